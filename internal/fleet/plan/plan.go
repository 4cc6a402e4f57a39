package plan

import (
	"cmp"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// Plan is a planned change of the fleet: the state that it depends on, and the steps.
type Plan struct {
	Revision    int64        `json:"revision"` // of the fleet for which the plan was made
	NowMS       int64        `json:"now_ms"`   // when the plan was made
	DesiredFile string       `json:"wish_file,omitempty"`
	DesiredSum  string       `json:"wish_sum"`
	RevertOf    int64        `json:"revert_of,omitempty"` // the apply that this plan reverts
	Rules       fleet.Rules  `json:"rules"`               // in force while the plan is applied
	Reads       []fleet.Read `json:"reads"`               // everything that the plan depends on, sorted by key
	Steps       []Step       `json:"steps"`
}

// Make returns a plan that leads from an observed state to a desired state. file is the name of the desired state's file; it may be empty.
// The error is an *ImpossibleError if no order of steps satisfies the constraints.
func Make(state fleet.ObservedState, desired fleet.DesiredState, file string) (*Plan, error) {
	desired.Normalize()
	if err := validate(desired); err != nil {
		return nil, err
	}
	p := &Plan{
		Revision:    state.Revision,
		NowMS:       state.NowMS,
		DesiredFile: file,
		DesiredSum:  fleet.Sum(desired),
		Rules:       desired.Rules,
		Reads:       []fleet.Read{state.ReadRules()},
	}
	changesRules := state.Rules() != desired.Rules
	if changesRules {
		rules := desired.Rules
		p.Steps = append(p.Steps, Step{ID: 1, Kind: SetRules, Wait: Notified, Rules: &rules})
	}
	state.Fleet = state.WithRules(desired.Rules)
	d := newDiffer(state, desired)
	d.collectChanges()
	s := &scheduler{state: state, plan: p, changes: d.changes, groups: d.groups, afterRules: changesRules, read: map[string]bool{}}
	if err := s.run(); err != nil {
		return nil, err
	}
	slices.SortFunc(p.Reads, func(a, b fleet.Read) int { return cmp.Compare(a.Resource, b.Resource) })
	return p, nil
}

// StaleRead is one read of a plan that no longer matches the state.
type StaleRead struct {
	Resource string `json:"thing"`
	Was      string `json:"was"`
	Is       string `json:"is"`
}

func (r StaleRead) String() string { return r.Resource + " was " + r.Was + ", is " + r.Is }

// Stale returns the reads of the plan that no longer match the state.
func (p *Plan) Stale(state fleet.ObservedState) (moved []StaleRead, err error) {
	for _, read := range p.Reads {
		now, err := state.Reread(read.Resource)
		if err != nil {
			return nil, err
		}
		if now.Sum != read.Sum {
			moved = append(moved, StaleRead{Resource: read.Resource, Was: read.Brief, Is: now.Brief})
		}
	}
	return moved, nil
}
