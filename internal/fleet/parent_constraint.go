package fleet

import (
	"maps"
	"slices"
)

// parentSlack measures the constraint of one parent. It applies only while the parent serves and warms up.
func (s ObservedState) parentSlack(name string) (slack Slack, applies bool) {
	parent := s.Host(name)
	if parent == nil || parent.Role != Parent || !s.Serves(parent) || !s.IsWarmingUp(parent) {
		return Slack{}, false
	}
	users := s.filledFrom(name)
	asked := func(dying string) (load float64) {
		for _, l := range users {
			load += s.fillsFrom(parent, l, dying)
		}
		return load
	}
	withoutDeath := asked("")
	need := s.Rules().Parent.MaxLoadAtStart(parent.Share)
	worst := Slack{Constraint: WarmingParentConstraint, Thing: name, Have: withoutDeath, Need: need, RawSlack: need - withoutDeath}
	for _, dying := range s.relevantDeaths(name, users) {
		if load := asked(dying); load > worst.Have {
			worst.Have = load
			worst.FailedHost = dying
		}
	}
	worst.Slack = worst.Need - worst.Have
	return worst, true
}

// relevantDeaths are the hosts whose death may change what a parent is asked for, sorted. They are the other parents of
// its locations and, where a location has caches that warm up, all of its caches.
func (s ObservedState) relevantDeaths(parent string, users []*Location) []string {
	deaths := map[string]bool{}
	for _, l := range users {
		for _, source := range l.Sources {
			if host := s.Host(source); host != nil && host.Role == Parent && source != parent && s.Serves(host) {
				deaths[source] = true
			}
		}
		totals := s.siteTotals(l.Name)
		if len(totals.warming) == 0 {
			continue
		}
		for _, cache := range totals.caches {
			deaths[cache.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(deaths))
}

// fillsFrom is what a location asks of a parent when a host has died.
func (s ObservedState) fillsFrom(parent *Host, l *Location, dying string) float64 {
	var warm, warming, sources float64
	for _, cache := range s.siteTotals(l.Name).caches {
		switch {
		case cache.Name == dying:
		case s.IsWarmingUp(cache):
			warming += cache.Serving
		default:
			warm += cache.Serving
		}
	}
	for _, name := range l.Sources {
		if host := s.Host(name); host != nil && s.Serves(host) && host.Name != dying {
			sources += host.Serving
		}
	}
	if sources <= 0 {
		return 0
	}
	return s.Rules().FillLoad(l.Load, warm, warming) * parent.Serving / sources
}
