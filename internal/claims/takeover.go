package claims

import (
	"maps"
	"slices"
	"time"
)

// ShardState is the state of a shard in a membership event.
type ShardState struct {
	Shard            int
	Epoch            int64
	Replicas         []string // IDs; the first is the primary
	PreviousReplicas []string // of the last ready epoch; empty once the event log marks this epoch as ready
	ReadyEpoch       int64    // if set, only Shard is set too: this epoch is ready, and all its replicas have the claims
}

// ApplyMembership applies changes to the members and shards. If snapshot is true, joined replaces all members; otherwise it adds to
// them.
func (n *Node) ApplyMembership(joined, left []string, snapshot bool, shards []ShardState, now time.Duration) {
	if snapshot {
		clear(n.members)
	}
	for _, id := range left {
		delete(n.members, id)
	}
	for _, id := range joined {
		n.members[id] = true
	}
	for _, state := range shards {
		n.applyShard(state, now)
	}
	for i := range n.shards { // a takeover stops waiting for replicas that have left
		if s := &n.shards[i]; s.awaitingClose != nil {
			n.continueTakeover(i, now)
		}
	}
}

// applyShard applies the state of a shard: a new epoch, or that the current epoch is ready.
func (n *Node) applyShard(state ShardState, now time.Duration) {
	s := &n.shards[state.Shard]
	becomesReady := state.ReadyEpoch > 0 && state.ReadyEpoch == s.epoch
	isSnapshotOfReady := state.ReadyEpoch == 0 && state.Epoch == s.epoch && len(state.PreviousReplicas) == 0
	switch {
	case becomesReady, isSnapshotOfReady:
		s.previousReplicas = nil
		n.dropIfNotReplica(s)
	case state.ReadyEpoch == 0 && state.Epoch > s.epoch:
		n.startEpoch(state, now)
	}
}

// dropIfNotReplica removes the claims of a shard if this node is not one of its current replicas.
func (n *Node) dropIfNotReplica(s *shard) {
	if !slices.Contains(s.replicas, n.id) {
		n.claimCount -= len(s.claims)
		s.claims = nil
	}
}

// startEpoch switches a shard to a new epoch. Requests that wait for claims are rejected with RetryLater, so that their senders repeat
// them in the new epoch.
func (n *Node) startEpoch(state ShardState, now time.Duration) {
	s := &n.shards[state.Shard]
	n.rejectWaiters(s)
	s.epoch = state.Epoch
	s.replicas = state.Replicas
	s.previousReplicas = state.PreviousReplicas
	s.ready = false
	s.awaitingClose = nil
	s.awaitingFill = nil
	if !slices.Contains(s.replicas, n.id) && !slices.Contains(s.previousReplicas, n.id) {
		n.dropIfNotReplica(s)
	}
	if len(s.replicas) == 0 || s.replicas[0] != n.id {
		return
	}
	if len(state.PreviousReplicas) == 0 {
		s.ready = true
		return
	}
	s.awaitingClose = map[string]bool{}
	s.hasPreviousClaims = false
	s.unknownClaimsUntil = 0
	for _, id := range s.previousReplicas {
		if id == n.id {
			s.hasPreviousClaims = true
		} else {
			s.awaitingClose[id] = true
		}
	}
	n.continueTakeover(state.Shard, now)
}

// rejectWaiters answers all requests that wait for claims of a shard with RetryLater.
func (n *Node) rejectWaiters(s *shard) {
	for _, token := range sortedTokens(s) {
		c := s.claims[token]
		for _, w := range c.waiters {
			n.send(w.caller, Message{Kind: ReplyClaim, Seq: w.Seq, Epoch: w.Epoch, Shard: w.Shard, Verdict: RetryLater})
		}
		c.waiters = nil
		c.unconfirmed = nil
	}
}

// sortedTokens returns the tokens of a shard's claims, sorted so that messages have a deterministic order.
func sortedTokens(s *shard) []string { return slices.Sorted(maps.Keys(s.claims)) }

// continueTakeover advances a takeover as far as currently possible: it closes earlier epochs at their replicas, which send their
// claims, then sends all claims to the new replicas, and finally marks the shard as ready.
func (n *Node) continueTakeover(i int, now time.Duration) {
	s := &n.shards[i]
	n.closeEarlierEpochs(i, now)
	if len(s.awaitingClose) == 0 && !s.hasPreviousClaims && s.unknownClaimsUntil == 0 {
		// Claims that no remaining replica has may still be in force. All of them will have expired by this time.
		s.unknownClaimsUntil = now + n.settings.lifetime(n.settings.MaxWindow)
	}
	if len(s.awaitingClose) > 0 || now < s.unknownClaimsUntil {
		return
	}
	if s.awaitingFill == nil {
		n.fillReplicas(i, now)
	}
	if len(s.awaitingFill) == 0 {
		s.ready = true
		s.awaitingClose = nil
		s.awaitingFill = nil
		s.unknownClaimsUntil = 0
		n.readyShards = append(n.readyShards, int64(i), s.epoch)
	}
}

// closeEarlierEpochs asks each replica of earlier epochs to close them. It stops waiting for replicas that are no longer members.
func (n *Node) closeEarlierEpochs(i int, now time.Duration) {
	s := &n.shards[i]
	for _, id := range slices.Sorted(maps.Keys(s.awaitingClose)) {
		switch {
		case !n.members[id]:
			delete(s.awaitingClose, id)
			n.dropUnconfirmed(id, CloseEpoch, i)
		case !n.hasUnconfirmed(id, CloseEpoch, i):
			m := Message{Kind: CloseEpoch, Epoch: s.epoch, Shard: i}
			n.sendUntilConfirmed(OutgoingMessage{To: id, Message: m}, "", now)
		}
	}
}

// fillReplicas sends all claims of a shard to its other replicas.
func (n *Node) fillReplicas(i int, now time.Duration) {
	s := &n.shards[i]
	s.awaitingFill = map[string]bool{}
	for _, id := range s.replicas[1:] {
		s.awaitingFill[id] = true
		m := Message{Kind: Replicate, Epoch: s.epoch, Shard: i, Claims: n.claimsWithAges(s, now)}
		n.sendUntilConfirmed(OutgoingMessage{To: id, Message: m}, "", now)
	}
}

// ReadyShards returns the shards that are ready but not yet marked as ready in the event log, as alternating shard and epoch.
func (n *Node) ReadyShards() []int64 {
	var pairs []int64
	for i := range n.shards {
		if s := &n.shards[i]; s.ready && len(s.previousReplicas) > 0 {
			pairs = append(pairs, int64(i), s.epoch)
		}
	}
	return pairs
}

// claimsWithAges returns the unexpired claims of a shard in their wire form, sorted by token.
func (n *Node) claimsWithAges(s *shard, now time.Duration) []Claim {
	var all []Claim
	for _, token := range sortedTokens(s) {
		if c := s.claims[token]; !n.expired(&c.Claim, now) {
			all = append(all, c.withAge(now))
		}
	}
	return all
}

// handleCloseEpoch closes earlier epochs of a shard at this replica and sends its claims to the new primary.
func (n *Node) handleCloseEpoch(from string, m Message, now time.Duration) {
	s := &n.shards[m.Shard]
	if m.Epoch < s.epoch || m.Epoch < s.closedEpoch {
		return
	}
	s.closedEpoch = m.Epoch
	n.rejectWaiters(s)
	n.send(from, Message{
		Kind:   EpochClosed,
		Seq:    m.Seq,
		Epoch:  m.Epoch,
		Shard:  m.Shard,
		Claims: n.claimsWithAges(s, now),
	})
}

// handleEpochClosed stores the claims of a replica of an earlier epoch at the new primary. Their ages are taken relative to the time
// when the CloseEpoch message was first sent.
func (n *Node) handleEpochClosed(from string, m Message, now time.Duration) {
	p := n.unconfirmed[m.Seq]
	if p == nil || p.Kind != CloseEpoch || p.To != from || p.Epoch != m.Epoch {
		return
	}
	delete(n.unconfirmed, m.Seq)
	s := &n.shards[m.Shard]
	if s.epoch != m.Epoch || s.awaitingClose == nil {
		return
	}
	for _, c := range m.Claims {
		if old := s.claims[c.Token]; old == nil || c.Version >= old.Version {
			n.storeReplicatedClaim(s, c, p.firstSentAt)
		}
	}
	delete(s.awaitingClose, from)
	s.hasPreviousClaims = true
	n.continueTakeover(m.Shard, now)
}
