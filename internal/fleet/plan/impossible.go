package plan

import (
	"fmt"
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
)

// Blocked describes a change that is not possible in any order of steps, and the reason.
type Blocked struct {
	Change string   `json:"change"`
	Why    string   `json:"why"`
	Hosts  []string `json:"boxes,omitempty"` // names of the hosts that are involved
	Remedy string   `json:"remedy"`
}

// ImpossibleError is returned if there is no plan that satisfies the constraints.
type ImpossibleError struct {
	Blocked []Blocked `json:"blocked"`
}

func (e *ImpossibleError) Error() string {
	lines := []string{"no order of steps keeps the constraints"}
	for _, b := range e.Blocked {
		lines = append(lines, fmt.Sprintf("  %s: %s; %s", b.Change, b.Why, b.Remedy))
	}
	return strings.Join(lines, "\n")
}

// validate returns an *ImpossibleError for a desired state that is invalid regardless of the observed state.
func validate(desired fleet.DesiredState) error {
	invalid := desired.Validate()
	if len(invalid) == 0 {
		return nil
	}
	e := &ImpossibleError{}
	for _, v := range invalid {
		e.Blocked = append(e.Blocked, Blocked{Change: "desired state, " + v.Resource, Why: v.Message, Remedy: "correct the file"})
	}
	return e
}

// rejection is a change that could not be placed, with the constraint that it would violate.
type rejection struct {
	change   *change
	violated *fleet.Slack
}

// explain describes the constraint and the hosts that block a change, and what would make the change possible.
func (r rejection) explain() Blocked {
	b := Blocked{Change: r.change.String(), Why: r.violated.String()}
	if r.change.Host != nil {
		b.Hosts = []string{r.change.Host.Name}
	}
	resource := r.violated.Resource
	switch r.violated.Constraint {
	case fleet.FloorConstraint:
		b.Remedy = fmt.Sprintf("add share %.4g to %s first, or lower its floor to %.4g",
			r.violated.Need-r.violated.Have, resource, max(0, r.violated.Have))
	case fleet.SourceConstraint:
		b.Remedy = fmt.Sprintf("add another source to %s first", resource)
	case fleet.WarmingCapacityConstraint:
		b.Remedy = fmt.Sprintf("wait until the warming caches in %s are warm, or raise cold-most", resource)
	case fleet.WarmingCacheConstraint:
		b.Remedy = fmt.Sprintf("wait until %s is warm, add warm share to its location, or lower the location's load", resource)
		b.Hosts = append(b.Hosts, resource)
	default:
		b.Remedy = fmt.Sprintf("wait until parent cache %s is warm, or use it as a source of fewer locations", resource)
		b.Hosts = append(b.Hosts, resource)
	}
	slices.Sort(b.Hosts)
	b.Hosts = slices.Compact(b.Hosts)
	return b
}

// explainBlocked describes why none of the remaining changes can be placed. If no change was rejected, they depend on each other.
func explainBlocked(changes []*change, rejected []rejection) (blocked []Blocked) {
	for _, r := range rejected {
		blocked = append(blocked, r.explain())
	}
	if len(rejected) > 0 {
		return blocked
	}
	for _, c := range changes {
		if !c.done {
			blocked = append(blocked, Blocked{
				Change: c.String(),
				Why:    "it depends on steps that depend on it",
				Remedy: "make the change in two plans",
			})
		}
	}
	return blocked
}
