package plan

import "stairvane.org/stairvane/internal/fleet"

// appendLocationSlacks appends the slacks of the constraints of a location.
func (l *ledger) appendLocationSlacks(all []fleet.Slack, location *locationLedger) []fleet.Slack {
	have := location.warm.sumWithoutLargest()
	all = append(all, fleet.Slack{
		Constraint: fleet.FloorConstraint,
		Resource:   location.name,
		Have:       have,
		Need:       location.floor,
		Slack:      have - location.floor,
		RawSlack:   location.serving,
	})
	if location.caches+len(location.certainSources) > 0 {
		have := float64(l.sourcesAfterWorstFailure(location))
		all = append(all, fleet.Slack{Constraint: fleet.SourceConstraint, Resource: location.name, Have: have, Need: 1, Slack: have - 1})
	}
	if location.load == 0 {
		return all
	}
	if slack, applies := l.warmingCapacitySlack(location); applies {
		all = append(all, slack)
	}
	if location.warmAtWaveStart == 0 && location.caches == 1 { // a single cache and no warm one: the first or the last
		return all
	}
	for i := range location.warming {
		all = append(all, l.warmingCacheSlack(location, i))
	}
	return all
}

// sourcesAfterWorstFailure returns the number of serving sources that a location keeps if any one parent fails.
func (l *ledger) sourcesAfterWorstFailure(location *locationLedger) int {
	count := 0
	hasParent := false
	for _, name := range location.certainSources {
		if s := l.sources[name]; s != nil && (s.serving > 0 || s.isWarmingUp) {
			count++
			hasParent = hasParent || s.role == fleet.Parent
		}
	}
	if hasParent {
		count--
	}
	return count
}

// warmingCapacitySlack returns the slack of the capacity that warms up at once. A location with at most one warm cache must not get another
// cache while one is warming up, since the first one to become warm changes the load on the others.
func (l *ledger) warmingCapacitySlack(location *locationLedger) (slack fleet.Slack, applies bool) {
	have := location.warmingCapacity()
	allowed := 0.0
	switch {
	case len(location.warming) > 1:
		if location.warmAtWaveStart > 1 {
			allowed = l.rules.MaxWarmingShare * location.capacity
		}
	case location.warmAtWaveStart <= 1 && location.addedWarming > 0 && location.addedWarm > 0:
	default:
		return fleet.Slack{}, false
	}
	return fleet.Slack{
		Constraint: fleet.WarmingCapacityConstraint,
		Resource:   location.name,
		Have:       have,
		Need:       allowed,
		Slack:      allowed - have,
	}, true
}

// warmingCacheSlack returns the slack of the load on a warming cache, in the worst case of the wave and of any one failure.
func (l *ledger) warmingCacheSlack(location *locationLedger, i int) fleet.Slack {
	cache := location.warming[i]
	maxLoad := l.rules.Cache.MaxLoadAtStart(cache.share)
	requested := location.load
	if warm := location.warmAfterWorstFailure(); warm+cache.serving > 0 {
		requested = location.load * cache.serving / (warm + cache.serving)
	}
	// Without a failure all serving caches share the load, including those that were warming up when the wave started, which may be
	// drained.
	serving := location.serving
	if isAdded := i >= len(location.warming)-location.addedWarming; isAdded {
		serving += cache.serving
	}
	requestedWithoutFailure := location.load * cache.serving / max(serving, cache.serving)
	return fleet.Slack{
		Constraint: fleet.WarmingCacheConstraint,
		Resource:   cache.name,
		Have:       requested,
		Need:       maxLoad,
		Slack:      maxLoad - requested,
		RawSlack:   maxLoad - requestedWithoutFailure,
	}
}

// appendParentSlack appends the slack of the constraint of a parent, which applies only while the parent warms up.
func (l *ledger) appendParentSlack(all []fleet.Slack, parent *sourceLedger) []fleet.Slack {
	if !parent.isWarmingUp || parent.role != fleet.Parent {
		return all
	}
	requested, requestedWithoutFailure := 0.0, 0.0
	for _, location := range l.users[parent.name] {
		if location.caches == 0 {
			continue
		}
		fills := l.fillLoad(parent, location)
		requested += fills.withFailure
		requestedWithoutFailure += fills.withoutFailure
	}
	need := l.rules.Parent.MaxLoadAtStart(parent.share)
	return append(all, fleet.Slack{
		Constraint: fleet.WarmingParentConstraint,
		Resource:   parent.name,
		Have:       requested,
		Need:       need,
		Slack:      need - requested,
		RawSlack:   need - requestedWithoutFailure,
	})
}

// fillLoads is the load from fills that a location puts on a parent, with the worst failure and without a failure.
type fillLoads struct{ withFailure, withoutFailure float64 }

func (l *ledger) fillLoad(parent *sourceLedger, location *locationLedger) fillLoads {
	warming := location.warmingServing()
	all := l.rules.FillLoad(location.load, location.warm.sum, warming)
	worstCase := max(all, l.rules.FillLoad(location.load, location.warm.sumWithoutLargest(), warming))
	others, largestParent := 0.0, 0.0
	for _, name := range location.certainSources {
		s := l.sources[name]
		if s == nil || s == parent {
			continue
		}
		others += s.serving
		if s.role == fleet.Parent {
			largestParent = max(largestParent, s.serving)
		}
	}
	serving := others - largestParent + parent.warmingServing
	if serving <= 0 {
		return fillLoads{}
	}
	return fillLoads{
		withFailure:    worstCase * parent.warmingServing / serving,
		withoutFailure: all * parent.warmingServing / (others + parent.warmingServing),
	}
}
