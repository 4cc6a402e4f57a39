package controlplane

import (
	"sync"

	"stairvane.org/stairvane/internal/fleet"
)

// shardService owns the reports of directors that claim shards are ready, which means that all replicas of the shard are filled. mu
// guards all of it.
//
// The leader keeps a report until the event log contains it or a later epoch of the shard. Other replicas forward each report once,
// because directors repeat it until the event log contains it. Reports are kept when leadership is gained or lost.
type shardService struct {
	mu       sync.Mutex
	isLeader bool
	ready    map[int]int64 // ready epoch by shard
}

func newShardService() *shardService { return &shardService{ready: map[int]int64{}} }

func (s *shardService) setLeader(isLeader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeader = isLeader
}

// recordReady records reports in the form of alternating shards and epochs. Invalid shards are ignored.
func (s *shardService) recordReady(pairs []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i+1 < len(pairs); i += 2 {
		shard := int(pairs[i])
		if shard >= 0 && shard < fleet.ShardCount {
			s.ready[shard] = max(s.ready[shard], pairs[i+1])
		}
	}
}

// readyPairs returns the reports for the leader as alternating shards and epochs. A replica that is not the leader then drops them.
func (s *shardService) readyPairs() []int64 {
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

// pendingChanges returns the changes that mark the reported shards as ready in f. It removes reports that f already contains or that
// belong to an older epoch.
func (s *shardService) pendingChanges(f fleet.Fleet) []fleet.ShardChange {
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
