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

// explorer visits every state that an apply can reach: every order in which steps start and complete, and the failure of one host at any
// moment. The process may be killed in each state: a machine that is restored from the stored state must make the same decision.
type explorer struct {
	t                  *testing.T
	plan               *plan.Plan
	desired            fleet.DesiredState
	visited            map[string]bool
	endStates          int
	states             int
	faultsAfterFailure int
}

func (x *explorer) machine(steps []StepState) *Machine {
	m, err := New(Record{ID: 1, Who: "test", Status: Running}, x.plan, steps)
	if err != nil {
		x.t.Fatal(err)
	}
	return m
}

// key returns the identifier of a state in visited.
func (x *explorer) key(state fleet.ObservedState, steps []StepState) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(string(s.Phase[0]))
	}
	for host := range state.Hosts() {
		fmt.Fprintf(&b, " %s%v%v", host.Name, state.IsWarmingUp(host), state.Observed[host.Name].Reachability)
	}
	return b.String()
}

// walk visits a state and all states that follow it. failed is the name of the host that has failed; empty: none has.
func (x *explorer) walk(state fleet.ObservedState, steps []StepState, failed string) {
	key := x.key(state, steps)
	if x.visited[key] {
		return
	}
	x.visited[key] = true
	x.states++
	m := x.machine(steps)
	in := Input{State: state, Acknowledged: func(int64) bool { return false }}
	decided, afterKill := m.Next(in), x.machine(m.Steps()).Next(in)
	if decided.Kind != afterKill.Kind || decided.Step != afterKill.Step {
		x.t.Fatalf("after a kill the decision is %+v, not %+v", afterKill, decided)
	}
	if len(m.ready)+len(m.waiting) == 0 {
		x.endStates++
		desired := x.desired
		desired.Normalize()
		if fleet.Sum(state.DesiredState()) != fleet.Sum(desired) {
			x.t.Fatalf("final state is %+v, desired %+v", state.DesiredState(), desired)
		}
		return
	}
	if len(m.waiting) < x.plan.Rules.MaxParallelSteps {
		for _, i := range m.ready {
			x.beginStep(state, steps, failed, i)
		}
	}
	for _, i := range m.waiting {
		n := x.machine(steps)
		after := state
		if s := x.plan.Steps[i]; s.Wait == plan.Warm {
			after.NowMS = max(after.NowMS, after.WarmAtMS(after.Host(s.Host.Name)))
		}
		n.MarkCompleted(i+1, after.NowMS)
		x.walk(after, n.Steps(), failed)
	}
	if failed == "" {
		for host := range state.Hosts() {
			if host.Role != fleet.Origin && state.Serves(host) {
				after := state
				after.Observed = map[string]fleet.Observation{host.Name: {Reachability: fleet.Unreachable}}
				x.walk(after, steps, host.Name)
			}
		}
	}
}

// beginStep starts one of the ready steps. It must not violate a constraint that held before, whichever host fails next.
func (x *explorer) beginStep(state fleet.ObservedState, steps []StepState, failed string, i int) {
	m := x.machine(steps)
	d := m.beginStep(i, Input{State: state})
	if d.Kind == Fault {
		if x.faultsAfterFailure++; failed == "" {
			x.t.Fatalf("%s without a host failure\n%v", d.Reason, x.plan.Steps)
		}
		return
	}
	after := state
	var err error
	if after.Fleet, err = state.Apply(d.Event); err != nil {
		x.t.Fatal(err)
	}
	if s := x.plan.Steps[i]; s.Kind == plan.Add && s.Host.Name == failed {
		after.Observed = nil
		failed = "an older host"
	}
	if x.plan.Steps[i].Kind != plan.SetRules {
		x.checkConstraints(state, after, i, failed)
	}
	// The explorer starts ready steps in any order. The machine itself starts the step with the lowest ID first.
	n := slices.Clone(m.steps)
	n[i] = StepState{Phase: Waiting, EventNo: d.Event.No, EffectMS: state.NowMS}
	x.walk(after, n, failed)
}

// checkConstraints fails the test if a step violates a constraint more than the failure of any one host would have violated it before.
func (x *explorer) checkConstraints(before, after fleet.ObservedState, i int, failed string) {
	for failing := range maps.Keys(x.names()) {
		was := fleettest.Broken(before, failing)
		for what, by := range fleettest.Broken(after, failing) {
			if old, broken := was[what]; broken && by <= old+1e-9 {
				continue
			}
			brokenBefore := false
			for other := range maps.Keys(x.names()) {
				brokenBefore = brokenBefore || fleettest.Broken(before, other)[what] >= by-1e-9
			}
			if !brokenBefore {
				x.t.Fatalf("%v violates %s by %v with %q failing and %q failed", x.plan.Steps[i], what, by, failing, failed)
			}
		}
	}
}

// names returns the names of the hosts that may fail, and the empty name for no failure.
func (x *explorer) names() map[string]bool {
	names := map[string]bool{"": true}
	for _, s := range x.plan.Steps {
		if s.Host != nil && s.Host.Role != fleet.Origin {
			names[s.Host.Name] = true
		}
	}
	for _, r := range x.plan.Reads {
		if name, isHost := strings.CutPrefix(r.Resource, "box "); isHost && name != "store" {
			names[name] = true
		}
	}
	return names
}

// Explores all changes between two small fleets of up to three caches, of which one may be replaced at its address or get a larger share,
// and a parent cache.
func TestSmallFleetsExhaustively(t *testing.T) {
	fleetOf := func(bits, floor int) (state fleet.DesiredState, ok bool) {
		state.Rules = fleettest.Rules()
		state.Rules.MaxWarmingShare = 0.5
		state.Hosts = []fleet.HostSpec{origin()}
		addHost := func(name string, role fleet.Role, at, site string, share float64) {
			state.Hosts = append(state.Hosts, fleet.HostSpec{Name: name, Role: role, Address: at, Site: site, Class: "k", Share: share})
		}
		sources := []string{"store"}
		if bits&1 != 0 {
			addHost("h", fleet.Parent, "8:1", "north", 8)
			sources = []string{"h", "store"}
		}
		sum, largest := 0.0, 0.0
		for i, variant := range []int{bits >> 1 & 1, bits >> 2 & 1, bits >> 3 & 3} {
			if variant == 0 {
				continue
			}
			name, share := fmt.Sprintf("c-%d", i), 2.0
			switch variant {
			case 2: // another cache at the same address
				name = "c-9"
			case 3:
				share = 3
			}
			addHost(name, fleet.Cache, fmt.Sprintf("%d:1", i), "west", share)
			sum, largest = sum+share, max(largest, share)
		}
		if sum > 0 {
			state.Locations = []fleet.Location{{Name: "west", Floor: min(float64(floor), sum-largest), Load: 1, Sources: sources}}
		}
		state.Normalize()
		return state, sum > 0 || bits <= 1
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
				state := fleet.ObservedState{Fleet: fleettest.Build(t, a), NowMS: 1_000_000}
				p, err := plan.Make(state, b, "")
				var no *plan.ImpossibleError
				if errors.As(err, &no) {
					impossible++
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				x := &explorer{t: t, plan: p, desired: b, visited: map[string]bool{}}
				x.walk(state, pendingSteps(p), "")
				if x.endStates == 0 {
					t.Fatalf("no order of steps reaches the end: %v", p.Steps)
				}
				plans++
				states += x.states
				ends += x.endStates
				faults += x.faultsAfterFailure
			}
		}
	}
	t.Logf("%d plans, %d impossible, %d states, %d end states, %d faults after a host failure", plans, impossible, states, ends, faults)
	if plans < 1000 || faults == 0 {
		t.Error("too little was explored")
	}
}

// pendingSteps returns the step states of an apply that has not started.
func pendingSteps(p *plan.Plan) []StepState {
	s := make([]StepState, len(p.Steps))
	for i := range s {
		s[i].Phase = Pending
	}
	return s
}
