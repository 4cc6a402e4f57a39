package claims

import (
	"slices"
	"time"
)

// pendingRequest is a claim request of this director that has no outcome yet.
type pendingRequest struct {
	key           uint64
	claim         Claim
	mayMove       bool
	deadline      time.Duration
	firstSentAt   time.Duration
	sentAt        time.Duration // when the last message was sent
	awaitingReply bool          // no reply to the last message has arrived
}

// Request requests a claim. DrainOutput returns its outcome under the given key, at the latest after the first Tick past the deadline.
// mayMove indicates that nothing of the request has been executed, so that a claim it already has may move to another group.
func (n *Node) Request(key uint64, c Claim, mayMove bool, deadline, now time.Duration) {
	c.Owner = n.id
	n.seq++
	r := &pendingRequest{key: key, claim: c, mayMove: mayMove, deadline: deadline, firstSentAt: now}
	n.requests[n.seq] = r
	n.requestOrder = append(n.requestOrder, n.seq)
	n.sendRequest(n.seq, r, now)
}

// sendRequest sends a request to the primary of its shard. If the shard has no primary, the request is retried later.
func (n *Node) sendRequest(seq uint64, r *pendingRequest, now time.Duration) {
	i := ShardOf(r.claim.Token, n.settings.Shards)
	s := &n.shards[i]
	r.sentAt = now
	r.awaitingReply = true
	if len(s.replicas) == 0 {
		return
	}
	c := r.claim
	c.At = 0
	n.send(s.replicas[0], Message{
		Kind:    RequestClaim,
		Seq:     seq,
		Epoch:   s.epoch,
		Shard:   i,
		MayMove: r.mayMove,
		Claims:  []Claim{c},
	})
}

// retryRequests ends the requests whose deadline has passed and resends the others: ResendAfter/2 after they were last sent if the
// verdict was RetryLater, and 4*ResendAfter if there was no reply.
func (n *Node) retryRequests(now time.Duration) {
	n.requestOrder = slices.DeleteFunc(n.requestOrder, func(seq uint64) bool { return n.requests[seq] == nil })
	for _, seq := range slices.Clone(n.requestOrder) {
		r := n.requests[seq]
		unanswered := now - r.sentAt
		switch {
		case now >= r.deadline:
			n.finishRequest(seq, Outcome{Key: r.key, Verdict: Unreachable, RequestedAt: r.firstSentAt})
		case !r.awaitingReply && unanswered >= n.settings.ResendAfter/2, unanswered >= 4*n.settings.ResendAfter:
			n.sendRequest(seq, r, now)
		}
	}
}

// handleReply handles the primary's verdict on a request of this director.
func (n *Node) handleReply(m Message, now time.Duration) {
	r := n.requests[m.Seq]
	if r == nil {
		return
	}
	isIncomplete := m.verdictNeedsClaim() && len(m.Claims) != 1
	if m.Verdict == RetryLater || isIncomplete {
		r.awaitingReply = false
		return
	}
	o := Outcome{Key: r.key, Verdict: m.Verdict, RequestedAt: r.firstSentAt}
	if len(m.Claims) == 1 {
		o.Group = m.Claims[0].Group
		o.Age = m.Claims[0].At + (now - r.firstSentAt)
	}
	n.finishRequest(m.Seq, o)
}

// verdictNeedsClaim reports whether a reply with the message's verdict includes the claim that the verdict is about.
func (m Message) verdictNeedsClaim() bool { return m.Verdict == Granted || m.Verdict == HeldElsewhere }

// finishRequest ends a request with an outcome.
func (n *Node) finishRequest(seq uint64, o Outcome) {
	delete(n.requests, seq)
	n.outcomes = append(n.outcomes, o)
}

// Release releases a claim for which nothing has been executed. The message is not resent: if it is lost, the claim remains until it
// expires.
func (n *Node) Release(token, request string) {
	i := ShardOf(token, n.settings.Shards)
	s := &n.shards[i]
	if len(s.replicas) == 0 {
		return
	}
	released := Claim{Token: token, Owner: n.id, Request: request}
	n.send(s.replicas[0], Message{Kind: ReleaseClaim, Epoch: s.epoch, Shard: i, Claims: []Claim{released}})
}
