package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// locationLedger tracks the quantities that the constraints of one location limit.
type locationLedger struct {
	name  string
	floor float64
	load  float64

	warm     capacitySet // serving shares of the warm caches, less what the wave removes
	warming  []warmingCache
	serving  float64 // serving share of all serving caches, less what the wave removes
	capacity float64 // share of all serving caches, less what the wave removes
	caches   int     // upper bound of the number of serving caches

	certainSources  []string // sources that it has regardless of which steps of the wave have taken effect
	possibleSources []string // sources that it has if some steps of the wave have taken effect

	warmAtWaveStart    int // warm caches when the wave started
	warmingAtWaveStart int // warming caches when the wave started
	addedWarming       int // caches that the wave adds and that must warm up
	addedWarm          int // caches that the wave adds and that are already warm
}

// warmingCache is a cache that is warming up.
type warmingCache struct {
	name    string
	share   float64
	serving float64
}

func newWarmingCache(h *fleet.Host) warmingCache {
	return warmingCache{name: h.Name, share: h.Share, serving: h.Serving}
}

// newLocationLedger returns the ledger of a location in its current state.
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
	l.warmAtWaveStart = l.warm.count
	return l
}

func (l *locationLedger) setSources(sources []string) {
	l.certainSources = sources
	l.possibleSources = sources
}

// startWave prepares the ledger for the next wave.
func (l *locationLedger) startWave() {
	l.warmAtWaveStart = l.warm.count
	l.warmingAtWaveStart = len(l.warming)
	l.addedWarming = 0
	l.addedWarm = 0
}

// warmingIndex returns the index of a cache in warming, or a negative number if it is not warming up.
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

// warmAfterWorstFailure returns the serving share of the warm caches after the worst failure of one. The failure of the only warm cache is
// exempt, since the location is not open without it. While other caches may finish warming up, the cache is not certain to be the only
// warm one, and so the exemption does not apply.
func (l *locationLedger) warmAfterWorstFailure() float64 {
	if l.warmAtWaveStart == 1 && l.warmingAtWaveStart == 0 {
		return l.warm.sum
	}
	return l.warm.sumWithoutLargest()
}

// reserve subtracts the capacity that a change of a cache removes. serves reports whether a host serves in the state before the plan.
func (l *locationLedger) reserve(c *change, serves func(*fleet.Host) bool) (rollback func()) {
	switch c.Kind {
	case Raise:
		return l.reserveRaise(c.Host)
	case Add:
		return l.reserveAdd(c.Host)
	case Drain:
		if serves(c.Before) {
			return l.reserveDrain(c.Before)
		}
	case Lower:
		if serves(c.Before) {
			return l.reserveLower(c.Before, c.Host)
		}
	}
	return func() {}
}

// reserveRaise sets a warming cache to its new share. The raise of a warm cache only adds capacity and counts when the wave is done.
func (l *locationLedger) reserveRaise(after *fleet.Host) (rollback func()) {
	i := l.warmingIndex(after.Name)
	if i < 0 {
		return func() {}
	}
	before := l.warming[i]
	l.warming[i] = newWarmingCache(after)
	return func() { l.warming[i] = before }
}

func (l *locationLedger) reserveAdd(host *fleet.Host) (rollback func()) {
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

func (l *locationLedger) reserveDrain(before *fleet.Host) (rollback func()) {
	l.serving -= before.Serving
	if l.warmingIndex(before.Name) >= 0 { // it counts as a warming cache until it is drained
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

func (l *locationLedger) reserveLower(before, after *fleet.Host) (rollback func()) {
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

// complete adds the capacity that a change of a cache provides, once its wave is done.
func (l *locationLedger) complete(c *change, serves func(*fleet.Host) bool) {
	switch c.Kind {
	case Add:
		l.completeAdd(c.Host)
	case Raise:
		l.completeRaise(c, c.addedByPlan || serves(c.Before))
	case Lower:
		if i := l.warmingIndex(c.Host.Name); i >= 0 {
			l.completeWarmingShare(i, c)
		}
	case Drain:
		l.completeDrain(c.Before, serves(c.Before))
	}
}

// completeAdd adds a cache that is now warm.
func (l *locationLedger) completeAdd(host *fleet.Host) {
	l.serving += host.Serving
	if i := l.warmingIndex(host.Name); i >= 0 {
		l.warming = slices.Delete(l.warming, i, i+1)
	} else {
		l.capacity += host.Share
	}
	l.warm.add(host.Serving)
}

func (l *locationLedger) completeRaise(c *change, serves bool) {
	if serves {
		l.serving += c.Host.Serving - c.Before.Serving
	}
	if i := l.warmingIndex(c.Host.Name); i >= 0 {
		l.completeWarmingShare(i, c)
		return
	}
	if serves {
		l.warm.remove(c.Before.Serving)
		l.warm.add(c.Host.Serving)
		l.capacity += c.Host.Share - c.Before.Share
	}
}

// completeWarmingShare sets the new share of a warming cache.
func (l *locationLedger) completeWarmingShare(i int, c *change) {
	l.warming[i].share = c.Host.Share
	l.warming[i].serving = c.Host.Serving
	l.capacity += c.Host.Share - c.Before.Share
}

func (l *locationLedger) completeDrain(host *fleet.Host, served bool) {
	if i := l.warmingIndex(host.Name); i >= 0 {
		l.capacity -= l.warming[i].share
		l.warming = slices.Delete(l.warming, i, i+1)
	}
	if served {
		l.caches--
	}
}
