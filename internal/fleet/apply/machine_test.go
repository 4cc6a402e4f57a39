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

// origin is the origin server of all fleets in these tests.
func origin() fleet.HostSpec {
	return fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "9:1", Site: "north", Class: "store", Share: 20}
}

// drainPlan is a fleet of three caches, and a plan that drains one.
func drainPlan(t *testing.T) (fleet.ObservedState, *plan.Plan) {
	w := fleet.DesiredState{Rules: fleet.DefaultRules()}
	w.Hosts = []fleet.HostSpec{origin()}
	for i := range 3 {
		w.Hosts = append(w.Hosts, fleet.HostSpec{
			Name:    fmt.Sprintf("c-%d", i),
			Role:    fleet.Cache,
			Address: fmt.Sprintf("%d:1", i),
			Site:    "west",
			Class:   "k",
			Share:   2,
		})
	}
	w.Locations = []fleet.Location{{Name: "west", Floor: 2, Load: 2, Sources: []string{"store"}}}
	from := fleet.ObservedState{Fleet: fleettest.Build(t, w), NowMS: 5_000}
	w.Normalize()
	w.Hosts = slices.DeleteFunc(w.Hosts, func(b fleet.HostSpec) bool { return b.Name == "c-1" })
	p, err := plan.Make(from, w, "")
	if err != nil {
		t.Fatal(err)
	}
	return from, p
}

// When a host dies during an apply, the next drain would break the capacity floor, and so the apply stops as the rules say. A drain that
// does not end is a fault after its timeout; a resume gives it its time again.
func TestFaults(t *testing.T) {
	w, p := drainPlan(t)
	m, err := New(Record{ID: 1, Status: Running}, p, nil)
	if err != nil {
		t.Fatal(err)
	}
	never := func(int64) bool { return false }
	died := w
	died.Observed = map[string]fleet.Observation{"c-2": {Sight: fleet.Unreachable}}
	d := m.Next(Input{State: died, Acknowledged: never})
	if d.Kind != Fault || d.Revert || !strings.Contains(d.Reason, "floor of location west") {
		t.Errorf("%+v", d)
	}
	p.Rules.OnFault = fleet.Revert
	if d := m.Next(Input{State: died, Acknowledged: never}); !d.Revert {
		t.Errorf("%+v", d)
	}
	d = m.Next(Input{State: w, Acknowledged: never})
	if d.Kind != BeginStep {
		t.Fatalf("%+v", d)
	}
	if w.Fleet, err = w.Apply(d.Event); err != nil {
		t.Fatal(err)
	}
	m.MarkBegun(d.Step, d.Event.No, w.NowMS)
	begun := w.NowMS
	// Without an acknowledgement it waits until the event counts as acknowledged. Then it waits for the last requests.
	if d = m.Next(Input{State: w, Acknowledged: never}); d.Kind != Wait || d.UntilMS != begun+p.Rules.NotifiedWithinMS {
		t.Errorf("%+v", d)
	}
	acknowledged := func(revision int64) bool { return revision == w.Revision }
	if d = m.Next(Input{State: w, Acknowledged: acknowledged}); d.Kind != Wait || d.UntilMS != begun+p.Rules.DrainSettleMS {
		t.Errorf("%+v", d)
	}
	p.Rules.DrainSettleMS = 1 << 40
	w.NowMS = begun + p.Rules.StepTimeoutMS
	d = m.Next(Input{State: w, Acknowledged: acknowledged})
	if d.Kind != Fault || !strings.Contains(d.Reason, "not done after 120 s: it waits until it is drained") {
		t.Errorf("%+v", d)
	}
	m.Record.Status = Paused
	if d = m.Next(Input{State: w, Acknowledged: acknowledged}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
	m.Record.Status = Running
	m.Record.ResumedMS = w.NowMS
	if d = m.Next(Input{State: w, Acknowledged: acknowledged}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
}
