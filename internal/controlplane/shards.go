package controlplane

import (
	"sync"

	"stairvane.org/stairvane/internal/fleet"
)

// shardService owns which claim shards directors have reported as ready, that is with all replicas filled, until the event log
// has it. mu guards all of it.
//
// At the leader a report stays until the event log shows the shard as ready, or a later epoch of it. Other replicas pass each
// report on once, since directors repeat it until the event log has it. What was reported stays when leadership is gained
// or lost.
type shardService struct {
	mu       sync.Mutex
	isLeader bool
	ready    map[int]int64 // epoch by shard
}

func newShardService() *shardService { return &shardService{ready: map[int]int64{}} }

func (s *shardService) setLeader(isLeader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeader = isLeader
}

// take takes reports, which are pairs of shard and epoch. Pairs that can't be are passed over.
func (s *shardService) take(pairs []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i+1 < len(pairs); i += 2 {
		shard := int(pairs[i])
		if shard >= 0 && shard < fleet.ShardCount {
			s.ready[shard] = max(s.ready[shard], pairs[i+1])
		}
	}
}

// report returns the pairs for the leader.
func (s *shardService) report() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pairs []int64
	for shard, epoch := range s.ready {
		pairs = append(pairs, int64(shard), epoch)
	}
	if !s.isLeader {
		clear(s.ready)
	}
	return pairs
}

// pending returns which shards are ready and not shown as such in f, and forgets those that f shows or that are of an older epoch.
func (s *shardService) pending(f fleet.Fleet) []fleet.ShardChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []fleet.ShardChange
	for i, epoch := range s.ready {
		shard := f.Shard(i)
		switch {
		case shard.Epoch == epoch && len(shard.PreviousReplicas) > 0:
			changes = append(changes, fleet.ShardChange{Shard: i, ReadyEpoch: epoch})
		case shard.Epoch >= epoch:
			delete(s.ready, i)
		}
	}
	return changes
}
