package plan

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/fleettest"
)

// applyInRandomOrder applies the steps of a plan in a random order that its graph allows, and returns the state after the last step. It
// calls check with the state before and after each event.
func applyInRandomOrder(
	t *rapid.T, observed fleet.ObservedState, p *Plan, check func(before, after fleet.ObservedState, s Step),
) fleet.ObservedState {
	const pending, effected, done = 0, 1, 2
	state := make([]int, len(p.Steps)+1)
	for left := 2 * len(p.Steps); left > 0; left-- {
		if rapid.IntRange(0, 9).Draw(t, "time") == 0 { // warming hosts may become warm at any moment
			observed.NowMS += 20_000
		}
		var candidates []int
		running := 0
		for _, s := range p.Steps {
			if state[s.ID] == effected {
				running++
			}
		}
		for _, s := range p.Steps {
			ready := state[s.ID] == pending && running < p.Rules.MaxParallelSteps &&
				!slices.ContainsFunc(s.After, func(a int) bool { return state[a] != done })
			if ready || state[s.ID] == effected {
				candidates = append(candidates, s.ID)
			}
		}
		s := p.Steps[rapid.SampledFrom(candidates).Draw(t, "next")-1]
		if state[s.ID] == effected {
			if host := observed.Host(hostName(s)); s.Wait == Warm && host != nil {
				observed.NowMS = max(observed.NowMS, observed.WarmAtMS(host))
			}
			state[s.ID] = done
			continue
		}
		state[s.ID] = effected
		e := s.Event(observed.Revision+1, observed.NowMS, "test", 1)
		slacks, err := observed.Violations(e)
		if err != nil || len(slacks) > 0 {
			t.Fatalf("step %d, %v, is not admitted: %v %v\n%s", s.ID, s, err, slacks, text(p))
		}
		before := observed
		if observed.Fleet, err = observed.Apply(e); err != nil {
			t.Fatal(err)
		}
		if s.Kind == Remove || s.Kind == Add { // the observer drops a removed host and has not observed a new one
			observed.Observed = maps.Clone(observed.Observed)
			delete(observed.Observed, s.Host.Name)
		}
		check(before, observed, s)
	}
	return observed
}

func hostName(s Step) string {
	if s.Host != nil {
		return s.Host.Name
	}
	return ""
}

func text(p *Plan) string {
	var b strings.Builder
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%d [%d/%d after %v] %v\n", s.ID, s.Group, s.Wave, s.After, s)
	}
	return b.String()
}

// isDesired reports whether a fleet matches a desired state.
func isDesired(f fleet.Fleet, desired fleet.DesiredState) bool {
	desired.Normalize()
	actual := f.DesiredState()
	for _, hosts := range [][]fleet.HostSpec{actual.Hosts, desired.Hosts} {
		for i := range hosts {
			hosts[i].Running = false // ignored once a host is in service
		}
	}
	return fleet.Sum(actual) == fleet.Sum(desired)
}

// For random observed and desired states, the plan leads to the desired state and a second plan is empty. In any order of steps that the
// graph allows, no step violates a constraint, even if any one host fails. Some hosts may be unreachable before the plan is made.
func TestPlansKeepConstraintsAtEveryStep(t *testing.T) {
	made, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		from, to := fleettest.DrawDesiredState(t, 8), fleettest.DrawDesiredState(t, 8)
		observed := fleet.ObservedState{Fleet: fleettest.Build(t, from), NowMS: 1_000_000, Observed: map[string]fleet.Observation{}}
		for host := range observed.Hosts() {
			switch rapid.IntRange(0, 15).Draw(t, "seen") {
			case 0:
				observed.Observed[host.Name] = fleet.Observation{Reachability: fleet.Unreachable}
			case 1:
				observed.Observed[host.Name] = fleet.Observation{Reachability: fleet.Up, RestartedMS: observed.NowMS - 1000}
			}
		}
		p, err := Make(observed, to, "")
		var impossible *ImpossibleError
		if errors.As(err, &impossible) {
			if len(impossible.Blocked) == 0 {
				t.Fatal("no reason")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		made, steps = made+1, steps+len(p.Steps)
		again, err := Make(observed, to, "")
		a, _ := Encode(p)
		if b, _ := Encode(again); err != nil || !bytes.Equal(a, b) {
			t.Fatal("the same input gave different bytes")
		}
		if back, err := Decode(a); err != nil || fleet.Sum(back) != fleet.Sum(p) {
			t.Fatalf("the plan is not decoded as it was encoded: %v", err)
		}
		failures := []string{""}
		for _, b := range slices.Concat(from.Hosts, to.Hosts) {
			if b.Role != fleet.Origin {
				failures = append(failures, b.Name)
			}
		}
		end := applyInRandomOrder(t, observed, p, func(before, after fleet.ObservedState, s Step) {
			if s.Kind == SetRules { // the operator decides what the constraints are
				return
			}
			if s.Kind == Add && s.Host.Running { // adding warm share improves every constraint, though it may end an exemption
				return
			}
			for _, failing := range failures {
				brokenBefore := fleettest.Broken(before, failing)
				for what, by := range fleettest.Broken(after, failing) {
					if old, existed := brokenBefore[what]; !existed || by > old+1e-9 {
						brokenByOther := false // the failure of another host violated it as much before
						for _, other := range failures {
							brokenByOther = brokenByOther || fleettest.Broken(before, other)[what] >= by-1e-9
						}
						if !brokenByOther {
							t.Fatalf("step %d, %v: %s violated by %v (before: %v) with %q failing\n%s",
								s.ID, s, what, by, old, failing, text(p))
						}
					}
				}
			}
		})
		if !isDesired(end.Fleet, to) {
			t.Fatalf("the plan does not lead to the desired state: %+v, %+v", end.DesiredState(), to)
		}
		end.Observed = nil
		if second, err := Make(end, to, ""); err != nil || len(second.Steps) > 0 {
			t.Fatalf("a second plan is not empty: %v", err)
		}
	})
	t.Logf("%d plans with %d steps", made, steps)
	if made < 20 {
		t.Errorf("only %d desired states had a plan", made)
	}
}
