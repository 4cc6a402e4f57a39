package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// Constraint names one of the constraints.
type Constraint string

// The constraints. Each must hold at every moment of a change, with any one host dying.
const (
	FloorConstraint           Constraint = "floor"     // the share of warm caches in service is at least the location's floor
	SourceConstraint          Constraint = "source"    // a location with caches has a source that serves
	WarmingCapacityConstraint Constraint = "cold-most" // no more of a location's capacity warms up than the rules allow
	WarmingCacheConstraint    Constraint = "cold"      // a cache that warms up is asked for no more than it bears
	WarmingParentConstraint   Constraint = "cold-hub"  // a parent that warms up is asked for no more than it bears
)

// Slack is by how much a constraint holds: Have - Need for floors, Need - Have for loads. It is broken if Slack is negative.
type Slack struct {
	Constraint Constraint
	Thing      string // the location or the host that it is about
	Have       float64
	Need       float64
	Slack      float64
	RawSlack   float64 // Slack without exemptions or deaths; for a floor, the share in service whether warm or not
	FailedHost string  // the host whose death is the worst case; may be empty
}

func (s Slack) String() string {
	worst := ""
	if s.FailedHost != "" {
		worst = " with " + s.FailedHost + " dying"
	}
	switch s.Constraint {
	case FloorConstraint:
		return fmt.Sprintf("floor of location %s: share %.4g in service and warm%s, %.4g needed", s.Thing, s.Have, worst, s.Need)
	case SourceConstraint:
		return fmt.Sprintf("sources of location %s: %.0f would serve%s, one needed", s.Thing, s.Have, worst)
	case WarmingCapacityConstraint:
		return fmt.Sprintf("cold capacity of location %s: %.4g at once, %.4g allowed", s.Thing, s.Have, s.Need)
	case WarmingCacheConstraint:
		return fmt.Sprintf("cold cache %s: asked for %.4g%s, bears %.4g", s.Thing, s.Have, worst, s.Need)
	}
	return fmt.Sprintf("cold hub %s: asked for %.4g%s with fills counted, bears %.4g", s.Thing, s.Have, worst, s.Need)
}

// IsNewViolation tells whether a constraint that does not hold after a step is broken by that step. It is not if the constraint was
// broken before and the step has not made it worse. A step that only ends an exemption, as a second warm cache in a location does, makes
// nothing worse.
func (s Slack) IsNewViolation(before Slack, existed bool) bool {
	if !less(s.Slack, 0) || existed && less(before.RawSlack, s.RawSlack) {
		return false
	}
	return !existed || less(s.Slack, before.Slack) || less(s.RawSlack, before.RawSlack)
}

// roundingError is what shares may differ by and count as equal.
const roundingError = 1e-9

// less compares shares, rounding errors aside.
func less(a, b float64) bool { return a < b-roundingError }

// Violations gives the constraints that an event would break: those that are broken after it and were not, or less so, before. A state that
// breaks constraints already may become better step by step, and never worse.
func (s ObservedState) Violations(e Event) ([]Slack, error) {
	after := s
	var err error
	if after.Fleet, err = s.Apply(e); err != nil {
		return nil, err
	}
	type key struct {
		constraint Constraint
		thing      string
	}
	locations, parents := s.touched(e)
	before := map[key]Slack{}
	for _, slack := range s.slacks(locations, parents) {
		before[key{slack.Constraint, slack.Thing}] = slack
	}
	var broken []Slack
	for _, slack := range after.slacks(locations, parents) {
		old, existed := before[key{slack.Constraint, slack.Thing}]
		if slack.IsNewViolation(old, existed) {
			broken = append(broken, slack)
		}
	}
	slices.SortStableFunc(broken, func(a, b Slack) int { return cmp.Compare(a.Thing, b.Thing) })
	return broken, nil
}

// touched are the locations and parents whose constraints an event may change, each once and sorted.
func (s ObservedState) touched(e Event) (locations, parents []string) {
	add := func(l *Location) {
		locations = append(locations, l.Name)
		for _, source := range l.Sources {
			if host := s.Host(source); host != nil && host.Role == Parent {
				parents = append(parents, source)
			}
		}
	}
	switch {
	case e.Location != nil:
		add(e.Location)
		if old := s.Location(e.Location.Name); old != nil {
			add(old)
		}
	case e.Host != nil && e.Host.Role == Cache:
		if l := s.Location(e.Host.Site); l != nil {
			add(l)
		}
	case e.Host != nil:
		parents = append(parents, e.Host.Name)
		for _, l := range s.filledFrom(e.Host.Name) {
			add(l)
		}
	}
	slices.Sort(locations)
	slices.Sort(parents)
	return slices.Compact(locations), slices.Compact(parents)
}

// filledFrom are the locations that name a source.
func (s ObservedState) filledFrom(source string) (users []*Location) {
	for l := range s.Locations() {
		if slices.Contains(l.Sources, source) {
			users = append(users, l)
		}
	}
	return users
}

// slacks measures all constraints of some locations and parents.
func (s ObservedState) slacks(locations, parents []string) (all []Slack) {
	for _, name := range locations {
		all = append(all, s.LocationSlacks(name)...)
	}
	for _, name := range parents {
		if slack, applies := s.parentSlack(name); applies {
			all = append(all, slack)
		}
	}
	return all
}
