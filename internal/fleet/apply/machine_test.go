package apply

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/fleettest"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// origin returns the origin server of all fleets in these tests.
func origin() fleet.HostSpec {
	return fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "9:1", Site: "north", Class: "store", Share: 20}
}

// drainPlan returns a fleet of three caches, and a plan that drains one of them.
func drainPlan(t *testing.T) (fleet.ObservedState, *plan.Plan) {
	desired := fleet.DesiredState{Rules: fleet.DefaultRules()}
	desired.Hosts = []fleet.HostSpec{origin()}
	for i := range 3 {
		desired.Hosts = append(desired.Hosts, fleet.HostSpec{
			Name:    fmt.Sprintf("c-%d", i),
			Role:    fleet.Cache,
			Address: fmt.Sprintf("%d:1", i),
			Site:    "west",
			Class:   "k",
			Share:   2,
		})
	}
	desired.Locations = []fleet.Location{{Name: "west", Floor: 2, Load: 2, Sources: []string{"store"}}}
	from := fleet.ObservedState{Fleet: fleettest.Build(t, desired), NowMS: 5_000}
	desired.Normalize()
	desired.Hosts = slices.DeleteFunc(desired.Hosts, func(host fleet.HostSpec) bool { return host.Name == "c-1" })
	p, err := plan.Make(from, desired, "")
	if err != nil {
		t.Fatal(err)
	}
	return from, p
}

// If a host fails during an apply and the next drain would violate the capacity floor, the apply pauses or reverts as the rules require. A
// drain that does not complete is a fault after its timeout; a resume restarts the timeout.
func TestFaults(t *testing.T) {
	state, p := drainPlan(t)
	m, err := New(Record{ID: 1, Status: Running}, p, nil)
	if err != nil {
		t.Fatal(err)
	}
	never := func(int64) bool { return false }
	withFailure := state
	withFailure.Observed = map[string]fleet.Observation{"c-2": {Reachability: fleet.Unreachable}}
	d := m.Next(Input{State: withFailure, Acknowledged: never})
	if d.Kind != Fault || d.Revert || !strings.Contains(d.Reason, "floor of location west") {
		t.Errorf("%+v", d)
	}
	p.Rules.OnFault = fleet.Revert
	if d := m.Next(Input{State: withFailure, Acknowledged: never}); !d.Revert {
		t.Errorf("%+v", d)
	}
	d = m.Next(Input{State: state, Acknowledged: never})
	if d.Kind != BeginStep {
		t.Fatalf("%+v", d)
	}
	if state.Fleet, err = state.Apply(d.Event); err != nil {
		t.Fatal(err)
	}
	m.MarkStarted(d.Step, d.Event.No, state.NowMS)
	begun := state.NowMS
	// Without an acknowledgement the step waits until the event counts as acknowledged. Then it waits until the last requests are answered.
	if d = m.Next(Input{State: state, Acknowledged: never}); d.Kind != Wait || d.UntilMS != begun+p.Rules.NotifiedWithinMS {
		t.Errorf("%+v", d)
	}
	acknowledged := func(revision int64) bool { return revision == state.Revision }
	if d = m.Next(Input{State: state, Acknowledged: acknowledged}); d.Kind != Wait || d.UntilMS != begun+p.Rules.DrainSettleMS {
		t.Errorf("%+v", d)
	}
	p.Rules.DrainSettleMS = 1 << 40
	state.NowMS = begun + p.Rules.StepTimeoutMS
	d = m.Next(Input{State: state, Acknowledged: acknowledged})
	if d.Kind != Fault || !strings.Contains(d.Reason, "not done after 120 s: it waits until it is drained") {
		t.Errorf("%+v", d)
	}
	m.Record.Status = Paused
	if d = m.Next(Input{State: state, Acknowledged: acknowledged}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
	m.Record.Status = Running
	m.Record.ResumedMS = state.NowMS
	if d = m.Next(Input{State: state, Acknowledged: acknowledged}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
}
