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

// explorer visits every state that an apply can reach: every order in which steps begin and end, and the death of one host at any
// moment. In each state the process may be killed: a machine that is made anew must decide as the old one would.
type explorer struct {
	t                *testing.T
	plan             *plan.Plan
	desired          fleet.DesiredState
	visited          map[string]bool
	endStates        int
	states           int
	faultsAfterDeath int
}

func (x *explorer) machine(steps []StepState) *Machine {
	m, err := New(Record{ID: 1, Who: "test", Status: Running}, x.plan, steps)
	if err != nil {
		x.t.Fatal(err)
	}
	return m
}

// key names a state that was visited.
func (x *explorer) key(w fleet.ObservedState, steps []StepState) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(string(s.Phase[0]))
	}
	for m := range w.Hosts() {
		fmt.Fprintf(&b, " %s%v%v", m.Name, w.IsWarmingUp(m), w.Observed[m.Name].Sight)
	}
	return b.String()
}

// walk visits a state and all that follow it. dead is the host that has died; empty: none has.
func (x *explorer) walk(w fleet.ObservedState, steps []StepState, dead string) {
	key := x.key(w, steps)
	if x.visited[key] {
		return
	}
	x.visited[key] = true
	x.states++
	m := x.machine(steps)
	in := Input{State: w, Acknowledged: func(int64) bool { return false }}
	decided, afterKill := m.Next(in), x.machine(m.Steps()).Next(in)
	if decided.Kind != afterKill.Kind || decided.Step != afterKill.Step {
		x.t.Fatalf("after a kill %+v is decided, not %+v", afterKill, decided)
	}
	if len(m.ready)+len(m.waiting) == 0 {
		x.endStates++
		desired := x.desired
		desired.Normalize()
		if fleet.Sum(w.DesiredState()) != fleet.Sum(desired) {
			x.t.Fatalf("ends with %+v, desired %+v", w.DesiredState(), desired)
		}
		return
	}
	if len(m.waiting) < x.plan.Rules.MaxParallelSteps {
		for _, i := range m.ready {
			x.begin(w, steps, dead, i)
		}
	}
	for _, i := range m.waiting {
		n := x.machine(steps)
		after := w
		if s := x.plan.Steps[i]; s.Wait == plan.Warm {
			after.NowMS = max(after.NowMS, after.WarmAtMS(after.Host(s.Host.Name)))
		}
		n.MarkCompleted(i+1, after.NowMS)
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

// begin begins one of the steps that are ready. It must not break a constraint that held before, whichever host dies next.
func (x *explorer) begin(w fleet.ObservedState, steps []StepState, dead string, i int) {
	m := x.machine(steps)
	d := m.begin(i, Input{State: w})
	if d.Kind == Fault {
		if x.faultsAfterDeath++; dead == "" {
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
		after.Observed = nil
		dead = "an older host"
	}
	if x.plan.Steps[i].Kind != plan.SetRules {
		x.checkConstraints(w, after, i, dead)
	}
	// Ready steps begin in any order here. The machine itself takes the least first.
	n := slices.Clone(m.steps)
	n[i] = StepState{Phase: Waiting, EventNo: d.Event.No, EffectMS: w.NowMS}
	x.walk(after, n, dead)
}

// checkConstraints fails the test if a step breaks a constraint more than the death of any one host would have broken it before.
func (x *explorer) checkConstraints(before, after fleet.ObservedState, i int, dead string) {
	for dying := range maps.Keys(x.names()) {
		was := fleettest.Broken(before, dying)
		for what, by := range fleettest.Broken(after, dying) {
			if old, broken := was[what]; broken && by <= old+1e-9 {
				continue
			}
			brokenBefore := false
			for other := range maps.Keys(x.names()) {
				brokenBefore = brokenBefore || fleettest.Broken(before, other)[what] >= by-1e-9
			}
			if !brokenBefore {
				x.t.Fatalf("%v breaks %s by %v with %q dying and %q dead", x.plan.Steps[i], what, by, dying, dead)
			}
		}
	}
}

// names are the hosts that may die, and the empty name for no death.
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

// All changes between two small fleets: up to three caches, of which one may be replaced at its address or grow, and a parent cache.
func TestSmallFleetsExhaustively(t *testing.T) {
	fleetOf := func(bits, floor int) (w fleet.DesiredState, ok bool) {
		w.Rules = fleettest.Rules()
		w.Rules.MaxWarmingShare = 0.5
		w.Hosts = []fleet.HostSpec{origin()}
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
			switch is {
			case 2: // another cache at the same address
				name = "c-9"
			case 3:
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
	plans, states, ends, faults, impossible := 0, 0, 0, 0, 0
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
				var no *plan.ImpossibleError
				if errors.As(err, &no) {
					impossible++
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				x := &explorer{t: t, plan: p, desired: b, visited: map[string]bool{}}
				x.walk(w, pendingSteps(p), "")
				if x.endStates == 0 {
					t.Fatalf("no order of steps ends: %v", p.Steps)
				}
				plans++
				states += x.states
				ends += x.endStates
				faults += x.faultsAfterDeath
			}
		}
	}
	t.Logf("%d plans, %d impossible, %d states, %d ends, %d faults after a death", plans, impossible, states, ends, faults)
	if plans < 1000 || faults == 0 {
		t.Error("too little was explored")
	}
}

// pendingSteps are the states of an apply that has not begun.
func pendingSteps(p *plan.Plan) []StepState {
	s := make([]StepState, len(p.Steps))
	for i := range s {
		s[i].Phase = Pending
	}
	return s
}
