package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// Constraint identifies a rule that the fleet must satisfy while it changes.
type Constraint string

// The constraints. Each must hold at every moment of a change, even if any one host fails.
const (
	FloorConstraint           Constraint = "floor"     // the serving share of the warm caches is at least the location's floor
	SourceConstraint          Constraint = "source"    // a location with caches has at least one serving source
	WarmingCapacityConstraint Constraint = "cold-most" // the part of a location's capacity that is warming up stays within the rules
	WarmingCacheConstraint    Constraint = "cold"      // the load on a warming cache stays within what it can handle
	WarmingParentConstraint   Constraint = "cold-hub"  // the load on a warming parent cache stays within what it can handle
)

// Slack is the margin by which a constraint holds: Have - Need for lower bounds (floors and sources), Need - Have for upper bounds (loads).
// The constraint is violated if the margin is negative.
type Slack struct {
	Constraint Constraint
	Resource   string // name of the location or host that the constraint applies to
	Have       float64
	Need       float64
	Slack      float64
	RawSlack   float64 // Slack without exemptions or host failures; for a floor, the share in service whether warm or not
	FailedHost string  // host whose failure is the worst case; may be empty
}

func (s Slack) String() string {
	worst := ""
	if s.FailedHost != "" {
		worst = " if " + s.FailedHost + " fails"
	}
	switch s.Constraint {
	case FloorConstraint:
		return fmt.Sprintf("floor of location %s: share %.4g in service and warm%s, %.4g required", s.Resource, s.Have, worst, s.Need)
	case SourceConstraint:
		return fmt.Sprintf("sources of location %s: %.0f serving%s, at least one required", s.Resource, s.Have, worst)
	case WarmingCapacityConstraint:
		return fmt.Sprintf("warming capacity of location %s: %.4g at once, %.4g allowed", s.Resource, s.Have, s.Need)
	case WarmingCacheConstraint:
		return fmt.Sprintf("warming cache %s: load %.4g%s, at most %.4g allowed", s.Resource, s.Have, worst, s.Need)
	}
	return fmt.Sprintf("warming parent cache %s: load %.4g from fills%s, at most %.4g allowed", s.Resource, s.Have, worst, s.Need)
}

// IsNewViolation reports whether the constraint is violated after a step and the step is the cause: the constraint held before, or the
// step has made the violation worse. before is the slack before the step; existed is false if the constraint did not apply then. A step
// that only ends an exemption, such as the addition of a location's second warm cache, is not the cause of a violation.
func (s Slack) IsNewViolation(before Slack, existed bool) bool {
	if !less(s.Slack, 0) || existed && less(before.RawSlack, s.RawSlack) {
		return false
	}
	return !existed || less(s.Slack, before.Slack) || less(s.RawSlack, before.RawSlack)
}

// shareTolerance is the difference up to which shares count as equal, because of rounding errors.
const shareTolerance = 1e-9

// less reports whether share a is smaller than share b by more than shareTolerance.
func less(a, b float64) bool { return a < b-shareTolerance }

// Violations returns the constraints that an event would violate: those that do not hold after it and held before, or were violated less.
// A state that violates constraints already may thus be improved step by step, but never be made worse. The error is that of Check.
func (s ObservedState) Violations(e Event) ([]Slack, error) {
	after := s
	var err error
	if after.Fleet, err = s.Apply(e); err != nil {
		return nil, err
	}
	type key struct {
		constraint Constraint
		resource   string
	}
	locations, parents := s.affectedBy(e)
	before := map[key]Slack{}
	for _, slack := range s.slacksOf(locations, parents) {
		before[key{slack.Constraint, slack.Resource}] = slack
	}
	var violated []Slack
	for _, slack := range after.slacksOf(locations, parents) {
		old, existed := before[key{slack.Constraint, slack.Resource}]
		if slack.IsNewViolation(old, existed) {
			violated = append(violated, slack)
		}
	}
	slices.SortStableFunc(violated, func(a, b Slack) int { return cmp.Compare(a.Resource, b.Resource) })
	return violated, nil
}

// affectedBy returns the locations and parents whose constraints an event may affect, sorted and without duplicates.
func (s ObservedState) affectedBy(e Event) (locations, parents []string) {
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
		for _, l := range s.locationsUsing(e.Host.Name) {
			add(l)
		}
	}
	slices.Sort(locations)
	slices.Sort(parents)
	return slices.Compact(locations), slices.Compact(parents)
}

// locationsUsing returns the locations that list a source.
func (s ObservedState) locationsUsing(source string) (locations []*Location) {
	for l := range s.Locations() {
		if slices.Contains(l.Sources, source) {
			locations = append(locations, l)
		}
	}
	return locations
}

// slacksOf returns the slacks of all constraints of the given locations and parents.
func (s ObservedState) slacksOf(locations, parents []string) (all []Slack) {
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
