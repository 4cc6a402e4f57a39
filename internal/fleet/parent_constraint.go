package fleet

import (
	"maps"
	"slices"
)

// parentSlack returns the slack of the constraint of one parent, which applies only while the parent serves and warms up.
func (s ObservedState) parentSlack(name string) (slack Slack, applies bool) {
	parent := s.Host(name)
	if parent == nil || parent.Role != Parent || !s.Serves(parent) || !s.IsWarmingUp(parent) {
		return Slack{}, false
	}
	locations := s.locationsUsing(name)
	loadWithFailure := func(failed string) (load float64) {
		for _, l := range locations {
			load += s.fillLoad(parent, l, failed)
		}
		return load
	}
	withoutFailure := loadWithFailure("")
	need := s.Rules().Parent.MaxLoadAtStart(parent.Share)
	worst := Slack{Constraint: WarmingParentConstraint, Resource: name, Have: withoutFailure, Need: need, RawSlack: need - withoutFailure}
	for _, failed := range s.relevantFailures(name, locations) {
		if load := loadWithFailure(failed); load > worst.Have {
			worst.Have = load
			worst.FailedHost = failed
		}
	}
	worst.Slack = worst.Need - worst.Have
	return worst, true
}

// relevantFailures returns the hosts whose failure may change the load on a parent, sorted by name: the other parents of its locations
// and, in locations with warming caches, all caches.
func (s ObservedState) relevantFailures(parent string, locations []*Location) []string {
	failures := map[string]bool{}
	for _, l := range locations {
		for _, source := range l.Sources {
			if host := s.Host(source); host != nil && host.Role == Parent && source != parent && s.Serves(host) {
				failures[source] = true
			}
		}
		totals := s.locationTotals(l.Name)
		if len(totals.warming) == 0 {
			continue
		}
		for _, cache := range totals.caches {
			failures[cache.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(failures))
}

// fillLoad returns the load from fills that a location puts on a parent when the host failed is down; empty: all hosts are up.
func (s ObservedState) fillLoad(parent *Host, l *Location, failed string) float64 {
	var warm, warming, sources float64
	for _, cache := range s.locationTotals(l.Name).caches {
		switch {
		case cache.Name == failed:
		case s.IsWarmingUp(cache):
			warming += cache.Serving
		default:
			warm += cache.Serving
		}
	}
	for _, name := range l.Sources {
		if host := s.Host(name); host != nil && s.Serves(host) && host.Name != failed {
			sources += host.Serving
		}
	}
	if sources <= 0 {
		return 0
	}
	return s.Rules().FillLoad(l.Load, warm, warming) * parent.Serving / sources
}
