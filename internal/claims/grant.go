package claims

import (
	"slices"
	"time"
)

// serves reports whether this node decides on a shard under an epoch at this moment. It does once the event log shows the epoch
// as complete, and not when the other replicas are filled: if the membership changes in between, the next primary asks the
// replicas of the last epoch that the log shows as complete, which know nothing of what was granted under this one.
func (n *Node) serves(s *shard, epoch int64, now time.Duration) bool {
	return s.ready && len(s.from) == 0 && epoch == s.epoch && epoch >= s.closed && len(s.homes) > 0 && s.homes[0] == n.id && now < n.lease
}

// handleRequest decides on a claim that another director requests.
func (n *Node) handleRequest(from string, m Message, now time.Duration) {
	s, want := &n.slots[m.Shard], m.Claims[0]
	answer := func(v Verdict, c *Claim) {
		a := Message{Kind: Answer, Seq: m.Seq, Epoch: m.Epoch, Shard: m.Shard, Verdict: v}
		if c != nil {
			one := *c
			one.At = now - one.At
			a.Claims = []Claim{one}
		}
		n.send(from, a)
	}
	if !n.serves(s, m.Epoch, now) {
		answer(Later, nil)
		return
	}
	c := s.claims[want.Token]
	if c != nil && len(c.pending) == 0 && n.expired(&c.Claim, now) {
		delete(s.claims, want.Token)
		n.held--
		c = nil
	}
	if c == nil {
		if n.held >= n.set.MaxClaims {
			answer(Full, nil)
			return
		}
		c = &heldClaim{Claim: want}
		c.At, c.Owner, c.Seq = now, from, m.Seq
		n.insert(s, c)
		c.waiters = []waiter{{from, m}}
		n.replicate(m.Shard, c, now)
		return
	}
	own := c.Owner == from && c.Request == want.Request
	switch {
	case c.Object != want.Object:
		answer(Reused, nil)
	case len(c.pending) > 0: // decided once its replicas are confirmed
		if !slices.ContainsFunc(c.waiters, func(w waiter) bool { return w.to == from && w.Seq == m.Seq }) {
			c.waiters = append(c.waiters, waiter{from, m})
		}
	case own && m.Seq <= c.Seq: // a repeated message
		answer(Granted, &c.Claim)
	case own && m.Moves: // nothing has run under it: it may move, and counts from now
		c.Group, c.At, c.Seq = want.Group, now, m.Seq
		c.Version++
		c.waiters = []waiter{{from, m}}
		n.replicate(m.Shard, c, now)
	case own && c.Group == want.Group:
		answer(Granted, &c.Claim)
	default:
		answer(HeldElsewhere, &c.Claim)
	}
}

func (n *Node) insert(s *shard, c *heldClaim) {
	if s.claims == nil {
		s.claims = map[string]*heldClaim{}
	}
	if s.claims[c.Token] == nil {
		n.held++
	}
	s.claims[c.Token] = c
}

// replicate sends a claim to the other replicas; it is answered once all have confirmed it.
func (n *Node) replicate(i int, c *heldClaim, now time.Duration) {
	s := &n.slots[i]
	c.pending = map[string]bool{}
	one := c.Claim
	one.At = now - one.At
	for _, id := range s.homes[1:] {
		c.pending[id] = true
		n.retryUntilAnswered(Sending{id, Message{Kind: Copy, Epoch: s.epoch, Shard: i, Claims: []Claim{one}}}, c.Token, now)
	}
	if len(s.homes) == 1 {
		n.Counts.Thin++
		n.answerWaiters(c, now)
	}
}

// answerWaiters answers the callers that wait for a claim that is replicated.
func (n *Node) answerWaiters(c *heldClaim, now time.Duration) {
	waiters := c.waiters
	c.waiters, c.pending = nil, nil
	for _, w := range waiters { // the first is the owner, whose request was replicated
		n.handleRequest(w.to, w.Message, now)
	}
}

// handleReplica stores replicated claims.
func (n *Node) handleReplica(m Message, now time.Duration) Verdict {
	s := &n.slots[m.Shard]
	if m.Epoch != s.epoch || m.Epoch < s.closed || !slices.Contains(s.homes, n.id) {
		return Later
	}
	for _, c := range m.Claims {
		n.store(s, c, now)
	}
	return Granted
}

// store keeps a replicated claim, whose time is its age; of two, the later version.
func (n *Node) store(s *shard, c Claim, at time.Duration) {
	c.At = at - c.At
	if old := s.claims[c.Token]; old != nil && old.Version > c.Version && old.Owner == c.Owner && old.Request == c.Request {
		return
	}
	n.insert(s, &heldClaim{Claim: c})
}

func (n *Node) handleConfirm(from string, m Message, now time.Duration) {
	w := n.waits[m.Seq]
	if w == nil || w.Kind != Copy || w.To != from {
		return
	}
	s := &n.slots[w.Shard]
	if w.Epoch != s.epoch {
		delete(n.waits, m.Seq)
		return
	}
	if m.Verdict != Granted {
		return // one side has not applied the epoch yet: Tick sends it again
	}
	delete(n.waits, m.Seq)
	if w.token == "" {
		delete(s.fills, from)
		if s.closes != nil {
			n.collect(w.Shard, now)
		}
		return
	}
	if c := s.claims[w.token]; c != nil && c.pending[from] {
		if delete(c.pending, from); len(c.pending) == 0 {
			n.answerWaiters(c, now)
		}
	}
}

// handleDrop releases a claim under which nothing has run.
func (n *Node) handleDrop(from string, m Message) {
	s, d := &n.slots[m.Shard], m.Claims[0]
	c := s.claims[d.Token]
	if c == nil || c.Owner != d.Owner || c.Request != d.Request || len(c.pending) > 0 || m.Epoch != s.epoch || m.Epoch < s.closed {
		return
	}
	first := s.homes[0] == n.id
	if first && from != d.Owner || !first && from != s.homes[0] {
		return
	}
	delete(s.claims, d.Token)
	n.held--
	if first {
		for _, id := range s.homes[1:] {
			n.send(id, Message{Kind: Drop, Epoch: s.epoch, Shard: m.Shard, Claims: []Claim{d}})
		}
	}
}
