package plan

import "stairvane.org/stairvane/internal/fleet"

// appendLocationSlacks appends the constraints of a location.
func (l *ledger) appendLocationSlacks(all []fleet.Slack, location *locationLedger) []fleet.Slack {
	have := location.warm.withoutGreatest()
	all = append(all, fleet.Slack{
		Constraint: fleet.FloorConstraint,
		Thing:      location.name,
		Have:       have,
		Need:       location.floor,
		Slack:      have - location.floor,
		RawSlack:   location.serving,
	})
	if location.caches+len(location.certainSources) > 0 {
		have := float64(l.liveSources(location))
		all = append(all, fleet.Slack{Constraint: fleet.SourceConstraint, Thing: location.name, Have: have, Need: 1, Slack: have - 1})
	}
	if location.load == 0 {
		return all
	}
	if slack, applies := l.warmingCapacitySlack(location); applies {
		all = append(all, slack)
	}
	if location.warmAtBegin == 0 && location.caches == 1 { // the first cache, or the last
		return all
	}
	for i := range location.warming {
		all = append(all, l.warmingCacheSlack(location, i))
	}
	return all
}

// liveSources is how many sources a location keeps with any one parent dying.
func (l *ledger) liveSources(location *locationLedger) int {
	live := 0
	hasParent := false
	for _, name := range location.certainSources {
		if s := l.sources[name]; s != nil && (s.serving > 0 || s.isWarmingUp) {
			live++
			hasParent = hasParent || s.role == fleet.Parent
		}
	}
	if hasParent {
		live--
	}
	return live
}

// warmingCapacitySlack bounds the capacity that warms up at once. Where there is at most one warm cache nothing more may warm up, for what
// is warm first changes what the others are asked for.
func (l *ledger) warmingCapacitySlack(location *locationLedger) (slack fleet.Slack, applies bool) {
	have := location.warmingCapacity()
	allowed := 0.0
	switch {
	case len(location.warming) > 1:
		if location.warmAtBegin > 1 {
			allowed = l.rules.MaxWarmingShare * location.capacity
		}
	case location.warmAtBegin <= 1 && location.addedWarming > 0 && location.addedWarm > 0:
	default:
		return fleet.Slack{}, false
	}
	return fleet.Slack{
		Constraint: fleet.WarmingCapacityConstraint,
		Thing:      location.name,
		Have:       have,
		Need:       allowed,
		Slack:      allowed - have,
	}, true
}

// warmingCacheSlack bounds what a cache that warms up is asked for.
func (l *ledger) warmingCacheSlack(location *locationLedger, i int) fleet.Slack {
	cache := location.warming[i]
	bears := l.rules.Cache.MaxLoadAtStart(cache.share)
	asked := location.load
	if warm := location.warmAfterWorstDeath(); warm+cache.serving > 0 {
		asked = location.load * cache.serving / (warm + cache.serving)
	}
	// Without deaths all that serves takes part, also what warmed up when the wave began. That may be drained.
	serving := location.serving
	if isAdded := i >= len(location.warming)-location.addedWarming; isAdded {
		serving += cache.serving
	}
	askedWithoutDeath := location.load * cache.serving / max(serving, cache.serving)
	return fleet.Slack{
		Constraint: fleet.WarmingCacheConstraint,
		Thing:      cache.name,
		Have:       asked,
		Need:       bears,
		Slack:      bears - asked,
		RawSlack:   bears - askedWithoutDeath,
	}
}

// appendParentSlack appends the constraint of a parent, which applies while it warms up.
func (l *ledger) appendParentSlack(all []fleet.Slack, parent *sourceLedger) []fleet.Slack {
	if !parent.isWarmingUp || parent.role != fleet.Parent {
		return all
	}
	asked, askedWithoutDeath := 0.0, 0.0
	for _, location := range l.users[parent.name] {
		if location.caches == 0 {
			continue
		}
		fills := l.fillsFrom(parent, location)
		asked += fills.withDeath
		askedWithoutDeath += fills.withoutDeath
	}
	need := l.rules.Parent.MaxLoadAtStart(parent.share)
	return append(all, fleet.Slack{
		Constraint: fleet.WarmingParentConstraint,
		Thing:      parent.name,
		Have:       asked,
		Need:       need,
		Slack:      need - asked,
		RawSlack:   need - askedWithoutDeath,
	})
}

// fills is what a location asks of a parent, with the worst death and without any.
type fills struct{ withDeath, withoutDeath float64 }

func (l *ledger) fillsFrom(parent *sourceLedger, location *locationLedger) fills {
	warming := location.warmingServing()
	all := l.rules.FillLoad(location.load, location.warm.sum, warming)
	worst := max(all, l.rules.FillLoad(location.load, location.warm.withoutGreatest(), warming))
	others, greatestParent := 0.0, 0.0
	for _, name := range location.certainSources {
		s := l.sources[name]
		if s == nil || s == parent {
			continue
		}
		others += s.serving
		if s.role == fleet.Parent {
			greatestParent = max(greatestParent, s.serving)
		}
	}
	serving := others - greatestParent + parent.warmingServing
	if serving <= 0 {
		return fills{}
	}
	return fills{
		withDeath:    worst * parent.warmingServing / serving,
		withoutDeath: all * parent.warmingServing / (others + parent.warmingServing),
	}
}
