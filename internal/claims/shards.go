package claims

import (
	"maps"
	"slices"
	"time"
)

// ShardState is a shard as the membership events describe it.
type ShardState struct {
	Shard            int
	Epoch            int64
	Replicas         []string
	PreviousReplicas []string
	Complete         int64 // set alone: all replicas of this epoch are filled
}

// ApplyMembership applies a change of the membership and of the shards.
func (n *Node) ApplyMembership(joined, gone []string, whole bool, slots []ShardState, now time.Duration) {
	if whole {
		clear(n.on)
	}
	for _, id := range gone {
		delete(n.on, id)
	}
	for _, id := range joined {
		n.on[id] = true
	}
	for _, t := range slots {
		s := &n.slots[t.Shard]
		switch {
		case t.Complete > 0:
			if s.epoch == t.Complete {
				s.from = nil
				n.resetShard(s)
			}
		case t.Epoch > s.epoch:
			n.beginEpoch(t, now)
		case t.Epoch == s.epoch && len(t.PreviousReplicas) == 0: // the whole state again
			s.from = nil
			n.resetShard(s)
		}
	}
	for i := range n.slots { // a replica that has left need not be waited for
		if s := &n.slots[i]; s.closes != nil {
			n.collect(i, now)
		}
	}
}

// resetShard drops the claims of a shard that this node does not hold any more.
func (n *Node) resetShard(s *shard) {
	if !slices.Contains(s.homes, n.id) {
		n.held -= len(s.claims)
		s.claims = nil
	}
}

// beginEpoch begins an epoch of a shard.
func (n *Node) beginEpoch(t ShardState, now time.Duration) {
	s := &n.slots[t.Shard]
	n.refuseWaiting(s) // they ask again under this epoch
	first := !s.ever && len(t.PreviousReplicas) == 0
	s.epoch, s.homes, s.from, s.ready, s.closes, s.fills, s.ever = t.Epoch, t.Replicas, t.PreviousReplicas, false, nil, nil, true
	if !slices.Contains(s.homes, n.id) && !slices.Contains(s.from, n.id) {
		n.resetShard(s)
	}
	if len(s.homes) == 0 || s.homes[0] != n.id {
		return
	}
	if first || len(t.PreviousReplicas) == 0 {
		s.ready = true
		return
	}
	s.closes, s.knows, s.blind = map[string]bool{}, false, 0
	for _, id := range s.from {
		if s.knows = s.knows || id == n.id; id != n.id {
			s.closes[id] = true
		}
	}
	n.collect(t.Shard, now)
}

// refuseWaiting answers all callers that wait for claims of a shard that they may retry.
func (n *Node) refuseWaiting(s *shard) {
	for _, token := range tokens(s) {
		c := s.claims[token]
		for _, w := range c.waiters {
			n.send(w.to, Message{Kind: Answer, Seq: w.Seq, Epoch: w.Epoch, Shard: w.Shard, Verdict: Later})
		}
		c.waiters, c.pending = nil, nil
	}
}

func tokens(s *shard) []string { return slices.Sorted(maps.Keys(s.claims)) }

// collect gathers the claims of the replicas of earlier epochs, fills the new replicas, and then has the shard serve.
func (n *Node) collect(i int, now time.Duration) {
	s := &n.slots[i]
	for _, id := range slices.Sorted(maps.Keys(s.closes)) {
		if !n.on[id] {
			delete(s.closes, id)
			n.stopRetrying(id, Close, i)
		} else if !n.isPending(id, Close, i) {
			n.retryUntilAnswered(Sending{id, Message{Kind: Close, Epoch: s.epoch, Shard: i}}, "", now)
		}
	}
	if len(s.closes) == 0 && !s.knows && s.blind == 0 { // claims may be in force that no remaining replica knows
		s.blind = now + n.set.lifetime(n.set.MaxWindow)
	}
	if len(s.closes) > 0 || now < s.blind {
		return
	}
	if s.fills == nil {
		s.fills = map[string]bool{}
		for _, id := range s.homes[1:] {
			s.fills[id] = true
			n.retryUntilAnswered(Sending{id, Message{Kind: Copy, Epoch: s.epoch, Shard: i, Claims: n.claimsWithAges(s, now)}}, "", now)
		}
	}
	if len(s.fills) == 0 {
		s.ready, s.closes, s.fills, s.blind = true, nil, nil, 0
		n.complete = append(n.complete, int64(i), s.epoch)
	}
}

// Incomplete lists the shards, as pairs of shard and epoch, that this node has completed and that the event log does not
// show as complete yet.
func (n *Node) Incomplete() (all []int64) {
	for i := range n.slots {
		if s := &n.slots[i]; s.ready && len(s.from) > 0 {
			all = append(all, int64(i), s.epoch)
		}
	}
	return all
}

func (n *Node) claimsWithAges(s *shard, now time.Duration) (all []Claim) {
	for _, token := range tokens(s) {
		if c := s.claims[token]; !n.expired(&c.Claim, now) {
			one := c.Claim
			one.At = now - one.At
			all = append(all, one)
		}
	}
	return all
}

// handleClose ends older epochs of a shard here and returns its claims.
func (n *Node) handleClose(from string, m Message, now time.Duration) {
	s := &n.slots[m.Shard]
	if m.Epoch < s.epoch || m.Epoch < s.closed {
		return
	}
	s.closed = m.Epoch
	n.refuseWaiting(s)
	n.send(from, Message{Kind: Closed, Seq: m.Seq, Epoch: m.Epoch, Shard: m.Shard, Claims: n.claimsWithAges(s, now)})
}

// handleCollected takes over the claims of a replica of an earlier epoch. Ages count from the request.
func (n *Node) handleCollected(from string, m Message, now time.Duration) {
	w := n.waits[m.Seq]
	if w == nil || w.Kind != Close || w.To != from || w.Epoch != m.Epoch {
		return
	}
	delete(n.waits, m.Seq)
	s := &n.slots[m.Shard]
	if s.epoch != m.Epoch || s.closes == nil {
		return
	}
	for _, c := range m.Claims {
		if old := s.claims[c.Token]; old == nil || c.Version >= old.Version {
			n.store(s, c, w.first)
		}
	}
	delete(s.closes, from)
	s.knows = true
	n.collect(m.Shard, now)
}
