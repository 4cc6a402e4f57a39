package claims

import (
	"slices"
	"time"
)

// serves reports whether this node is the primary of a shard for an epoch and may decide on requests at this time. It may do so only
// once the event log marks the epoch as ready. If the membership changes before that, the next primary recovers claims from the
// replicas of the last epoch marked as ready, and those do not have claims granted in this epoch.
func (n *Node) serves(s *shard, epoch int64, now time.Duration) bool {
	isPrimary := len(s.replicas) > 0 && s.replicas[0] == n.id
	shownAsReady := s.ready && len(s.previousReplicas) == 0
	isCurrent := epoch == s.epoch && epoch >= s.closedEpoch
	return isPrimary && shownAsReady && isCurrent && now < n.lease
}

// handleRequest handles a director's request for a claim at the primary.
func (n *Node) handleRequest(from string, m Message, now time.Duration) {
	s := &n.shards[m.Shard]
	wanted := m.Claims[0]
	if !n.serves(s, m.Epoch, now) {
		n.reply(from, m, RetryLater, nil, now)
		return
	}
	c := s.claims[wanted.Token]
	if c != nil && len(c.unconfirmed) == 0 && n.expired(&c.Claim, now) {
		delete(s.claims, wanted.Token)
		n.claimCount--
		c = nil
	}
	if c != nil {
		n.handleClaimedToken(c, from, m, now)
		return
	}
	if n.claimCount >= n.settings.MaxClaims {
		n.reply(from, m, Full, nil, now)
		return
	}
	c = &storedClaim{Claim: wanted}
	c.At = now
	c.Owner = from
	c.Seq = m.Seq
	n.insertClaim(s, c)
	c.waiters = []waiter{{caller: from, Message: m}}
	n.replicate(m.Shard, c, now)
}

// handleClaimedToken handles a request for a token that already has a claim.
func (n *Node) handleClaimedToken(c *storedClaim, from string, m Message, now time.Duration) {
	wanted := m.Claims[0]
	isOwn := c.Owner == from && c.Request == wanted.Request
	switch {
	case c.Object != wanted.Object:
		n.reply(from, m, Reused, nil, now)
	case len(c.unconfirmed) > 0: // the request waits until the claim is replicated
		isRepeated := slices.ContainsFunc(c.waiters, func(w waiter) bool { return w.caller == from && w.Seq == m.Seq })
		if !isRepeated {
			c.waiters = append(c.waiters, waiter{caller: from, Message: m})
		}
	case isOwn && m.Seq <= c.Seq: // a duplicate or delayed message
		n.reply(from, m, Granted, &c.Claim, now)
	case isOwn && m.MayMove: // nothing has been executed yet: move the claim and restart its window
		c.Group = wanted.Group
		c.At = now
		c.Seq = m.Seq
		c.Version++
		c.waiters = []waiter{{caller: from, Message: m}}
		n.replicate(m.Shard, c, now)
	case isOwn && c.Group == wanted.Group:
		n.reply(from, m, Granted, &c.Claim, now)
	default:
		n.reply(from, m, HeldElsewhere, &c.Claim, now)
	}
}

// reply sends a verdict on a request to its sender. c may be nil; otherwise it is included in the reply.
func (n *Node) reply(to string, request Message, v Verdict, c *Claim, now time.Duration) {
	m := Message{Kind: ReplyClaim, Seq: request.Seq, Epoch: request.Epoch, Shard: request.Shard, Verdict: v}
	if c != nil {
		m.Claims = []Claim{c.withAge(now)}
	}
	n.send(to, m)
}

// withAge returns a copy of the claim in its wire form, in which At holds the claim's age instead of a time.
func (c Claim) withAge(now time.Duration) Claim {
	c.At = now - c.At
	return c
}

// insertClaim stores a claim, replacing any claim for the same token.
func (n *Node) insertClaim(s *shard, c *storedClaim) {
	if s.claims == nil {
		s.claims = map[string]*storedClaim{}
	}
	if s.claims[c.Token] == nil {
		n.claimCount++
	}
	s.claims[c.Token] = c
}

// replicate sends a claim to the other replicas. The claim's waiters are answered once all replicas have acknowledged it.
func (n *Node) replicate(i int, c *storedClaim, now time.Duration) {
	s := &n.shards[i]
	c.unconfirmed = map[string]bool{}
	sent := []Claim{c.withAge(now)}
	for _, id := range s.replicas[1:] {
		c.unconfirmed[id] = true
		m := Message{Kind: Replicate, Epoch: s.epoch, Shard: i, Claims: sent}
		n.sendUntilConfirmed(OutgoingMessage{To: id, Message: m}, c.Token, now)
	}
	if len(s.replicas) == 1 {
		n.answerWaiters(c, now)
	}
}

// answerWaiters handles the requests that waited for a claim to be replicated. The first is the owner's, which caused the replication.
func (n *Node) answerWaiters(c *storedClaim, now time.Duration) {
	waiters := c.waiters
	c.waiters = nil
	c.unconfirmed = nil
	for _, w := range waiters {
		n.handleRequest(w.caller, w.Message, now)
	}
}

// handleReplicate stores claims received from the primary at a replica and returns the verdict to send back.
func (n *Node) handleReplicate(m Message, now time.Duration) Verdict {
	s := &n.shards[m.Shard]
	if m.Epoch != s.epoch || m.Epoch < s.closedEpoch || !slices.Contains(s.replicas, n.id) {
		return RetryLater
	}
	for _, c := range m.Claims {
		n.storeReplicatedClaim(s, c, now)
	}
	return Granted
}

// storeReplicatedClaim stores a claim received in a message that was sent at sentAt or later. If a newer version of the same claim is
// already stored, that version is kept.
func (n *Node) storeReplicatedClaim(s *shard, c Claim, sentAt time.Duration) {
	c.At = sentAt - c.At
	if old := s.claims[c.Token]; old != nil && old.Version > c.Version && old.Owner == c.Owner && old.Request == c.Request {
		return
	}
	n.insertClaim(s, &storedClaim{Claim: c})
}

// handleConfirmReplica handles a replica's reply to a Replicate message at the primary. If the replica refused, one of the two has not
// applied the epoch yet, and Tick sends the message again.
func (n *Node) handleConfirmReplica(from string, m Message, now time.Duration) {
	p := n.unconfirmed[m.Seq]
	if p == nil || p.Kind != Replicate || p.To != from {
		return
	}
	s := &n.shards[p.Shard]
	if p.Epoch != s.epoch {
		delete(n.unconfirmed, m.Seq)
		return
	}
	if m.Verdict != Granted {
		return
	}
	delete(n.unconfirmed, m.Seq)
	if p.token == "" {
		delete(s.awaitingFill, from)
		if s.awaitingClose != nil {
			n.continueTakeover(p.Shard, now)
		}
		return
	}
	c := s.claims[p.token]
	if c == nil || !c.unconfirmed[from] {
		return
	}
	delete(c.unconfirmed, from)
	if len(c.unconfirmed) == 0 {
		n.answerWaiters(c, now)
	}
}

// handleRelease deletes a claim for which nothing has been executed. The primary accepts a release only from the claim's owner, and
// the other replicas only from the primary.
func (n *Node) handleRelease(from string, m Message) {
	s := &n.shards[m.Shard]
	released := m.Claims[0]
	if m.Epoch != s.epoch || m.Epoch < s.closedEpoch {
		return
	}
	c := s.claims[released.Token]
	if c == nil || c.Owner != released.Owner || c.Request != released.Request || len(c.unconfirmed) > 0 {
		return
	}
	isPrimary := s.replicas[0] == n.id
	sender := s.replicas[0]
	if isPrimary {
		sender = released.Owner
	}
	if from != sender {
		return
	}
	delete(s.claims, released.Token)
	n.claimCount--
	if !isPrimary {
		return
	}
	for _, id := range s.replicas[1:] {
		n.send(id, Message{Kind: ReleaseClaim, Epoch: s.epoch, Shard: m.Shard, Claims: []Claim{released}})
	}
}
