package health

import (
	"hash/fnv"
	"math"
	"time"
)

// changeStep is the smallest change of a share of failures that Changes reports.
const changeStep = 0.05

// Tracker holds the latest result that a director was notified of and reduces its effect over time. It is not safe for concurrent use.
type Tracker struct {
	settings    Settings
	epoch       int64
	seq         uint64
	requestedAt time.Duration          // start time of the call that returned the last result
	caches      map[string]CacheHealth // by name
	lifetime    time.Duration
	reported    map[string]float64 // shares of failures by cache, as last returned by Changes
}

// NewTracker returns a tracker that suspects no cache. Its lifetime is between half of the settings' Lifetime and all of it, depending
// on a hash of the director's name. So after a period in which no director has sent to a suspected cache, a few directors resume first
// instead of all at once.
func NewTracker(settings Settings, name string) *Tracker {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash returns no error
	fraction := 0.5 + 0.5*float64(hash.Sum64()>>11)/(1<<53)
	return &Tracker{
		settings: settings,
		caches:   map[string]CacheHealth{},
		lifetime: time.Duration(fraction * float64(settings.Lifetime)),
		reported: map[string]float64{},
	}
}

// Apply sets the current result. requestedAt is the start time of the call that returned it, from which its ages count. A result of an
// earlier epoch, or an older result of the same epoch, is ignored.
func (t *Tracker) Apply(h AggregatedHealth, requestedAt time.Duration) {
	if h.Epoch < t.epoch || h.Epoch == t.epoch && (h.Seq < t.seq || requestedAt < t.requestedAt) {
		return
	}
	t.epoch = h.Epoch
	t.seq = h.Seq
	t.requestedAt = requestedAt
	clear(t.caches)
	for _, c := range h.Caches[:min(len(h.Caches), t.settings.MaxCaches)] {
		if c.FailureShare > 0 && c.FailureShare <= 1 && c.AgeMS >= 0 && c.Machines >= t.settings.MinMachines {
			t.caches[c.Cache] = c
		}
	}
}

// FailureShares returns the share of failures of each suspected cache, from 0 to 1. A share counts in full for the first half of the
// tracker's lifetime and decreases linearly to 0 in the second half.
func (t *Tracker) FailureShares(now time.Duration) map[string]float64 {
	shares := make(map[string]float64, len(t.caches))
	for cache, c := range t.caches {
		age := now - t.requestedAt + time.Duration(c.AgeMS)*time.Millisecond
		if remaining := 1 - float64(age)/float64(t.lifetime); remaining > 0 && age >= 0 {
			shares[cache] = c.FailureShare * min(1, 2*remaining)
		}
	}
	return shares
}

// Change describes a change of a cache's share of failures. A share of 0 means that the cache is not suspected.
type Change struct {
	Cache        string
	FailureShare float64
	Previous     float64
}

// Changes returns the changes since the last call. Changes smaller than changeStep are omitted.
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
