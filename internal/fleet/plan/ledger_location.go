package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// locationLedger is the ledger of one location.
type locationLedger struct {
	name  string
	floor float64
	load  float64

	warm     capacities     // serving, of the warm caches, less what the wave takes
	warming  []warmingCache // those that warm up
	serving  float64        // of all caches that serve, less what the wave takes
	capacity float64        // of all caches that serve, less what the wave takes
	caches   int            // that serve, at most

	certainSources  []string // that it has whichever steps of the wave have taken effect
	possibleSources []string // that it may have

	warmAtBegin    int // warm caches when the wave began
	warmingAtBegin int // caches that warmed up when the wave began
	addedWarming   int // caches that the wave adds and that warm up
	addedWarm      int // caches that the wave adds and that are warm
}

// warmingCache is a cache that warms up.
type warmingCache struct {
	name    string
	share   float64
	serving float64
}

func newWarmingCache(h *fleet.Host) warmingCache {
	return warmingCache{name: h.Name, share: h.Share, serving: h.Serving}
}

// newLocationLedger is the ledger of a location as it is.
func newLocationLedger(state fleet.ObservedState, name string) *locationLedger {
	l := &locationLedger{name: name}
	if location := state.Location(name); location != nil {
		l.floor = location.Floor
		l.load = location.Load
		l.setSources(location.Sources)
	}
	for host := range state.HostsInSite(name) {
		if host.Role != fleet.Cache || !state.Serves(host) {
			continue
		}
		l.caches++
		l.serving += host.Serving
		l.capacity += host.Share
		if state.IsWarmingUp(host) {
			l.warming = append(l.warming, newWarmingCache(host))
		} else {
			l.warm.add(host.Serving)
		}
	}
	l.warmAtBegin = l.warm.count
	return l
}

func (l *locationLedger) setSources(sources []string) {
	l.certainSources = sources
	l.possibleSources = sources
}

// beginWave begins the next wave.
func (l *locationLedger) beginWave() {
	l.warmAtBegin = l.warm.count
	l.warmingAtBegin = len(l.warming)
	l.addedWarming = 0
	l.addedWarm = 0
}

// warmingIndex is the index of a cache among those that warm up; negative if it is none of them.
func (l *locationLedger) warmingIndex(name string) int {
	return slices.IndexFunc(l.warming, func(c warmingCache) bool { return c.name == name })
}

func (l *locationLedger) warmingCapacity() (sum float64) {
	for _, c := range l.warming {
		sum += c.share
	}
	return sum
}

func (l *locationLedger) warmingServing() (sum float64) {
	for _, c := range l.warming {
		sum += c.serving
	}
	return sum
}

// warmAfterWorstDeath is what is warm with the worst cache dying. The death of the only warm cache is exempt, for without it the location
// is not open. It is not certain to be the only one while others may finish to warm up.
func (l *locationLedger) warmAfterWorstDeath() float64 {
	if l.warmAtBegin == 1 && l.warmingAtBegin == 0 {
		return l.warm.sum
	}
	return l.warm.withoutGreatest()
}

// begin counts what a change of a cache takes. serves tells whether a host of the state before the plan serves.
func (l *locationLedger) begin(c *change, serves func(*fleet.Host) bool) (rollback func()) {
	switch c.Kind {
	case Raise:
		return l.beginRaise(c.Host)
	case Add:
		return l.beginAdd(c.Host)
	case Drain:
		if serves(c.Before) {
			return l.beginDrain(c.Before)
		}
	case Lower:
		if serves(c.Before) {
			return l.beginLower(c.Before, c.Host)
		}
	}
	return func() {}
}

// beginRaise counts a cache that warms up at its new share. A warm one gives, and so counts when the wave is done.
func (l *locationLedger) beginRaise(after *fleet.Host) (rollback func()) {
	i := l.warmingIndex(after.Name)
	if i < 0 {
		return func() {}
	}
	before := l.warming[i]
	l.warming[i] = newWarmingCache(after)
	return func() { l.warming[i] = before }
}

func (l *locationLedger) beginAdd(host *fleet.Host) (rollback func()) {
	l.caches++
	if !host.NeedsWarmUp() {
		l.addedWarm++
		return func() {
			l.caches--
			l.addedWarm--
		}
	}
	l.addedWarming++
	l.warming = append(l.warming, newWarmingCache(host))
	l.capacity += host.Share
	return func() {
		l.warming = l.warming[:len(l.warming)-1]
		l.capacity -= host.Share
		l.caches--
		l.addedWarming--
	}
}

func (l *locationLedger) beginDrain(before *fleet.Host) (rollback func()) {
	l.serving -= before.Serving
	if l.warmingIndex(before.Name) >= 0 { // it counts as one that warms up until it is drained
		return func() { l.serving += before.Serving }
	}
	l.capacity -= before.Share
	l.warm.remove(before.Serving)
	return func() {
		l.serving += before.Serving
		l.warm.add(before.Serving)
		l.capacity += before.Share
	}
}

func (l *locationLedger) beginLower(before, after *fleet.Host) (rollback func()) {
	taken := before.Serving - after.Serving
	l.serving -= taken
	if i := l.warmingIndex(before.Name); i >= 0 {
		was := l.warming[i]
		l.warming[i] = newWarmingCache(after)
		return func() {
			l.serving += taken
			l.warming[i] = was
		}
	}
	l.warm.add(after.Serving)
	l.capacity -= before.Share - after.Share
	l.warm.remove(before.Serving)
	return func() {
		l.serving += taken
		l.warm.add(before.Serving)
		l.warm.remove(after.Serving)
		l.capacity += before.Share - after.Share
	}
}

// finish counts what a change of a cache gives, once its wave is done.
func (l *locationLedger) finish(c *change, serves func(*fleet.Host) bool) {
	switch c.Kind {
	case Add:
		l.finishAdd(c.Host)
	case Raise:
		l.finishRaise(c, c.addedByPlan || serves(c.Before))
	case Lower:
		if i := l.warmingIndex(c.Host.Name); i >= 0 {
			l.finishWarmingShare(i, c)
		}
	case Drain:
		l.finishDrain(c.Before, serves(c.Before))
	}
}

// finishAdd counts a cache that has warmed up.
func (l *locationLedger) finishAdd(host *fleet.Host) {
	l.serving += host.Serving
	if i := l.warmingIndex(host.Name); i >= 0 {
		l.warming = slices.Delete(l.warming, i, i+1)
	} else {
		l.capacity += host.Share
	}
	l.warm.add(host.Serving)
}

func (l *locationLedger) finishRaise(c *change, serves bool) {
	if serves {
		l.serving += c.Host.Serving - c.Before.Serving
	}
	if i := l.warmingIndex(c.Host.Name); i >= 0 {
		l.finishWarmingShare(i, c)
		return
	}
	if serves {
		l.warm.remove(c.Before.Serving)
		l.warm.add(c.Host.Serving)
		l.capacity += c.Host.Share - c.Before.Share
	}
}

// finishWarmingShare counts the new share of a cache that warms up.
func (l *locationLedger) finishWarmingShare(i int, c *change) {
	l.warming[i].share = c.Host.Share
	l.warming[i].serving = c.Host.Serving
	l.capacity += c.Host.Share - c.Before.Share
}

func (l *locationLedger) finishDrain(host *fleet.Host, served bool) {
	if i := l.warmingIndex(host.Name); i >= 0 {
		l.capacity -= l.warming[i].share
		l.warming = slices.Delete(l.warming, i, i+1)
	}
	if served {
		l.caches--
	}
}
