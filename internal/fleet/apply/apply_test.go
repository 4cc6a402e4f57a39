package apply

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/fleettest"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// explorer walks through every state that an apply can reach: every order in which steps begin and end, one death at
// any moment, and a kill at each state, after which a machine built anew must decide as the old one would.
type explorer struct {
	t      *testing.T
	plan   *plan.Plan
	wish   fleet.DesiredState
	seen   map[string]bool
	ends   int
	states int
	stops  int
}

func (x *explorer) machine(steps []StepState) *Machine {
	m, err := New(Record{ID: 1, Who: "test", Status: Running}, x.plan, steps)
	if err != nil {
		x.t.Fatal(err)
	}
	return m
}

func (x *explorer) key(w fleet.ObservedState, steps []StepState) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(string(s.Phase[0]))
	}
	for m := range w.Hosts() {
		fmt.Fprintf(&b, " %s%v%v", m.Name, w.IsCold(m), w.Observed[m.Name].Sight)
	}
	return b.String()
}

func (x *explorer) walk(w fleet.ObservedState, steps []StepState, dead string) {
	key := x.key(w, steps)
	if x.seen[key] {
		return
	}
	x.seen[key] = true
	x.states++
	m := x.machine(steps)
	told := func(int64) bool { return false }
	if a, b := m.Next(Input{State: w, Acknowledged: told}), x.machine(m.Steps()).Next(Input{State: w, Acknowledged: told}); a.Kind != b.Kind || a.Step != b.Step {
		x.t.Fatalf("after a kill %+v is decided, not %+v", b, a)
	}
	if len(m.ready)+len(m.waits) == 0 {
		x.ends++
		wish := x.wish
		wish.Normalize()
		if fleet.Sum(w.DesiredState()) != fleet.Sum(wish) {
			x.t.Fatalf("ends with %+v, wished %+v", w.DesiredState(), wish)
		}
		return
	}
	if len(m.waits) < x.plan.Rules.MaxParallelSteps {
		for _, i := range m.ready {
			x.begin(w, steps, dead, i)
		}
	}
	for _, i := range m.waits {
		n := x.machine(steps)
		after := w
		if s := x.plan.Steps[i]; s.Wait == plan.Warm {
			after.NowMS = max(after.NowMS, after.ColdUntil(after.Host(s.Host.Name)))
		}
		n.MarkFinished(i+1, after.NowMS)
		x.walk(after, n.Steps(), dead)
	}
	if dead == "" {
		for b := range w.Hosts() {
			if b.Role != fleet.Origin && w.Serves(b) {
				after := w
				after.Observed = map[string]fleet.Observation{b.Name: {Sight: fleet.Unreachable}}
				x.walk(after, steps, b.Name)
			}
		}
	}
}

func (x *explorer) begin(w fleet.ObservedState, steps []StepState, dead string, i int) {
	m := x.machine(steps)
	d := m.begin(i, Input{State: w})
	if d.Kind == Fault {
		if x.stops++; dead == "" {
			x.t.Fatalf("%s without a death\n%v", d.Reason, x.plan.Steps)
		}
		return
	}
	after := w
	var err error
	if after.Fleet, err = w.Apply(d.Event); err != nil {
		x.t.Fatal(err)
	}
	if s := x.plan.Steps[i]; s.Kind == plan.Add && s.Host.Name == dead {
		after.Observed, dead = nil, "an older box"
	}
	for b := range maps.Keys(x.names()) {
		was := fleettest.Broken(w, b)
		for what, by := range fleettest.Broken(after, b) {
			if old, is := was[what]; (!is || by > old+1e-9) && x.plan.Steps[i].Kind != plan.SetRules {
				worst := false
				for o := range maps.Keys(x.names()) {
					worst = worst || fleettest.Broken(w, o)[what] >= by-1e-9
				}
				if !worst {
					x.t.Fatalf("%v breaks %s by %v with %q dying and %q dead", x.plan.Steps[i], what, by, b, dead)
				}
			}
		}
	}
	// Ready steps may begin in any order here; the machine itself takes the least first.
	n := slices.Clone(m.steps)
	n[i] = StepState{Phase: Waiting, EventNo: d.Event.No, EffectMS: w.NowMS}
	x.walk(after, n, dead)
}

func (x *explorer) names() map[string]bool {
	names := map[string]bool{"": true}
	for _, s := range x.plan.Steps {
		if s.Host != nil && s.Host.Role != fleet.Origin {
			names[s.Host.Name] = true
		}
	}
	for _, r := range x.plan.Reads {
		if name, is := strings.CutPrefix(r.Thing, "box "); is && name != "store" {
			names[name] = true
		}
	}
	return names
}

// All small fleets, from each to each: up to three caches (one of which may be replaced at its address, or grow) and a
// hub.
func TestSmallWorldsExhaustively(t *testing.T) {
	fleetOf := func(bits, floor int) (w fleet.DesiredState, ok bool) {
		w.Rules = fleettest.Rules()
		w.Rules.MaxColdShare = 0.5
		w.Hosts = []fleet.HostSpec{{Name: "store", Role: fleet.Origin, Address: "9:1", Site: "north", Class: "store", Share: 20}}
		put := func(name string, role fleet.Role, at, site string, share float64) {
			w.Hosts = append(w.Hosts, fleet.HostSpec{Name: name, Role: role, Address: at, Site: site, Class: "k", Share: share})
		}
		sources := []string{"store"}
		if bits&1 != 0 {
			put("h", fleet.Parent, "8:1", "north", 8)
			sources = []string{"h", "store"}
		}
		sum, most := 0.0, 0.0
		for i, is := range []int{bits >> 1 & 1, bits >> 2 & 1, bits >> 3 & 3} {
			if is == 0 {
				continue
			}
			name, share := fmt.Sprintf("c-%d", i), 2.0
			if is == 2 { // another box at the same address
				name = "c-9"
			} else if is == 3 {
				share = 3
			}
			put(name, fleet.Cache, fmt.Sprintf("%d:1", i), "west", share)
			sum, most = sum+share, max(most, share)
		}
		if sum > 0 {
			w.Locations = []fleet.Location{{Name: "west", Floor: min(float64(floor), sum-most), Load: 1, Sources: sources}}
		}
		w.Normalize()
		return w, sum > 0 || bits <= 1
	}
	plans, states, ends, stops, impossible := 0, 0, 0, 0, 0
	for from := range 32 {
		for to := range 32 {
			for _, floor := range []int{0, 2, 4} {
				a, okA := fleetOf(from, floor)
				b, okB := fleetOf(to, floor)
				if !okA || !okB {
					continue
				}
				w := fleet.ObservedState{Fleet: fleettest.Build(t, a), NowMS: 1_000_000}
				p, err := plan.Make(w, b, "")
				var no *plan.Impossible
				if errors.As(err, &no) {
					impossible++
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				x := &explorer{t: t, plan: p, wish: b, seen: map[string]bool{}}
				x.walk(w, unbegun(p), "")
				if x.ends == 0 {
					t.Fatalf("no way ends: %v", p.Steps)
				}
				plans, states, ends, stops = plans+1, states+x.states, ends+x.ends, stops+x.stops
			}
		}
	}
	t.Logf("%d plans, %d impossible, %d states, %d ends, %d stops after a death", plans, impossible, states, ends, stops)
	if plans < 1000 || stops == 0 {
		t.Error("too little was explored")
	}
}

func unbegun(p *plan.Plan) []StepState {
	s := make([]StepState, len(p.Steps))
	for i := range s {
		s[i].Phase = Pending
	}
	return s
}

// world is a fleet of three caches, and a plan that drains one.
func world(t *testing.T) (fleet.ObservedState, *plan.Plan) {
	w := fleet.DesiredState{Rules: fleet.DefaultRules()}
	w.Hosts = []fleet.HostSpec{{Name: "store", Role: fleet.Origin, Address: "9:1", Site: "north", Class: "store", Share: 20}}
	for i := range 3 {
		w.Hosts = append(w.Hosts, fleet.HostSpec{Name: fmt.Sprintf("c-%d", i), Role: fleet.Cache, Address: fmt.Sprintf("%d:1", i), Site: "west", Class: "k", Share: 2})
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

// A stale plan is refused and tells what moved; a busy board tells who; a plan that was carried out changes nothing.
func TestSubmissions(t *testing.T) {
	w, p := world(t)
	if a, err := Submit(p, w, nil, nil); err != nil || !a.Start {
		t.Fatal(a, err)
	}
	died := w
	died.Observed = map[string]fleet.Observation{"c-2": {Sight: fleet.Unreachable}}
	_, err := Submit(p, died, nil, nil)
	if !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), "box c-2 was in_service at 2:1, share 2, is in_service at 2:1, share 2, not reachable") {
		t.Error(err)
	}
	holder := &Record{ID: 4, Who: "anna", Status: Running}
	if _, err = Submit(p, died, nil, holder); !errors.Is(err, ErrBusy) || !strings.Contains(err.Error(), "apply 4 by anna") {
		t.Error(err)
	}
	if a, err := Submit(p, died, &Record{ID: 3, Status: Done}, nil); err != nil || a.Start || a.Already.ID != 3 {
		t.Error(a, err)
	}
}

// A box dies in the middle: the next drain would break the floor, so the apply stops as the rules say; a drain that
// never ends is trouble when its time is up, and a resume gives it its time anew.
func TestTrouble(t *testing.T) {
	w, p := world(t)
	m, err := New(Record{ID: 1, Status: Running}, p, nil)
	if err != nil {
		t.Fatal(err)
	}
	never := func(int64) bool { return false }
	died := w
	died.Observed = map[string]fleet.Observation{"c-2": {Sight: fleet.Unreachable}}
	if d := m.Next(Input{State: died, Acknowledged: never}); d.Kind != Fault || d.Revert || !strings.Contains(d.Reason, "floor of location west") {
		t.Errorf("%+v", d)
	}
	p.Rules.OnFault = fleet.Revert
	if d := m.Next(Input{State: died, Acknowledged: never}); !d.Revert {
		t.Errorf("%+v", d)
	}
	d := m.Next(Input{State: w, Acknowledged: never})
	if d.Kind != Effect {
		t.Fatalf("%+v", d)
	}
	if w.Fleet, err = w.Apply(d.Event); err != nil {
		t.Fatal(err)
	}
	m.MarkBegun(d.Step, d.Event.No, w.NowMS)
	begun := w.NowMS
	// Not told: it waits for the bound after which it counts as told, then for the last requests.
	if d = m.Next(Input{State: w, Acknowledged: never}); d.Kind != Wait || d.UntilMS != begun+p.Rules.NotifiedWithinMS {
		t.Errorf("%+v", d)
	}
	told := func(no int64) bool { return no == 1+w.Revision-1 }
	if d = m.Next(Input{State: w, Acknowledged: told}); d.Kind != Wait || d.UntilMS != begun+p.Rules.DrainSettleMS {
		t.Errorf("%+v", d)
	}
	p.Rules.DrainSettleMS = 1 << 40
	w.NowMS = begun + p.Rules.StepTimeoutMS
	if d = m.Next(Input{State: w, Acknowledged: told}); d.Kind != Fault || !strings.Contains(d.Reason, "not done after 120 s: it waits until it is drained") {
		t.Errorf("%+v", d)
	}
	m.Record.Status = Paused
	if d = m.Next(Input{State: w, Acknowledged: told}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
	m.Record.Status, m.Record.ResumedMS = Running, w.NowMS
	if d = m.Next(Input{State: w, Acknowledged: told}); d.Kind != Wait {
		t.Errorf("%+v", d)
	}
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		is   Status
		o    Order
		want Status
		err  error
	}{
		{Running, OrderPause, Paused, nil},
		{Paused, OrderPause, "", ErrNotRunning},
		{Paused, OrderResume, Running, nil},
		{Running, OrderResume, "", ErrNotPaused},
		{Paused, OrderCancel, Cancelled, nil},
		{Done, OrderCancel, "", ErrEnded},
	} {
		if got, err := Obey(Record{Status: c.is}, c.o); got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s %s: %s, %v", c.is, c.o, got, err)
		}
	}
}
