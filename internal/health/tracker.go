package health

import (
	"hash/fnv"
	"math"
	"time"
)

// changeStep is the least change of a share of failures that Changes reports.
const changeStep = 0.05

// Tracker is a director's side: the results that it was notified of, which fade. It is not safe for concurrent use.
type Tracker struct {
	set         Settings
	epoch       int64
	seq         uint64
	requestedAt time.Duration          // when the call was made whose answer had the last result
	caches      map[string]CacheHealth // by name
	lifetime    time.Duration
	reported    map[string]float64 // shares of failures by cache, as Changes has reported them
}

// NewTracker makes a tracker that suspects no cache. Its lifetime is between half of the settings' and all of it, by the
// director's name. So when no director has sent to a suspected cache for a while, a few directors do first, and not all at once.
func NewTracker(set Settings, name string) *Tracker {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash returns no error
	part := 0.5 + 0.5*float64(hash.Sum64()>>11)/(1<<53)
	return &Tracker{
		set:      set,
		caches:   map[string]CacheHealth{},
		lifetime: time.Duration(part * float64(set.Lifetime)),
		reported: map[string]float64{},
	}
}

// Take takes a result that answers a call made at a moment, from which its ages count. A result of an earlier epoch, or an earlier
// one of the same, changes nothing.
func (t *Tracker) Take(h AggregatedHealth, requestedAt time.Duration) {
	if h.Epoch < t.epoch || h.Epoch == t.epoch && (h.Seq < t.seq || requestedAt < t.requestedAt) {
		return
	}
	t.epoch = h.Epoch
	t.seq = h.Seq
	t.requestedAt = requestedAt
	clear(t.caches)
	for _, c := range h.Caches[:min(len(h.Caches), t.set.MaxCaches)] {
		if c.FailureShare > 0 && c.FailureShare <= 1 && c.AgeMS >= 0 && c.Machines >= t.set.MinMachines {
			t.caches[c.Cache] = c
		}
	}
}

// FailureShares returns the share of failures of each suspected cache, 0 to 1. A share counts in full for the first half of the
// tracker's lifetime and sinks to nothing in the second.
func (t *Tracker) FailureShares(now time.Duration) map[string]float64 {
	shares := make(map[string]float64, len(t.caches))
	for cache, c := range t.caches {
		age := now - t.requestedAt + time.Duration(c.AgeMS)*time.Millisecond
		if left := 1 - float64(age)/float64(t.lifetime); left > 0 && age >= 0 {
			shares[cache] = c.FailureShare * min(1, 2*left)
		}
	}
	return shares
}

// Change is that a cache's share of failures has changed. Either share is 0 where the cache is not suspected.
type Change struct {
	Cache        string
	FailureShare float64
	Previous     float64
}

// Changes returns the changes since the last call, without those that are too small.
func (t *Tracker) Changes(now time.Duration) []Change {
	var changes []Change
	shares := t.FailureShares(now)
	for cache, previous := range t.reported {
		if _, suspected := shares[cache]; !suspected {
			delete(t.reported, cache)
			changes = append(changes, Change{Cache: cache, Previous: previous})
		}
	}
	for cache, share := range shares {
		previous, known := t.reported[cache]
		if !known || math.Abs(previous-share) >= changeStep {
			t.reported[cache] = share
			changes = append(changes, Change{Cache: cache, FailureShare: share, Previous: previous})
		}
	}
	return changes
}
