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

// applyInRandomOrder applies a plan in a random order that its graph allows. It calls check with the state before and after each event.
func applyInRandomOrder(
	t *rapid.T, w fleet.ObservedState, p *Plan, check func(before, after fleet.ObservedState, s Step),
) fleet.ObservedState {
	const pending, effected, done = 0, 1, 2
	state := make([]int, len(p.Steps)+1)
	for left := 2 * len(p.Steps); left > 0; left-- {
		if rapid.IntRange(0, 9).Draw(t, "time") == 0 { // what warms up may be warm at any moment
			w.NowMS += 20_000
		}
		var can []int
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
				can = append(can, s.ID)
			}
		}
		s := p.Steps[rapid.SampledFrom(can).Draw(t, "next")-1]
		if state[s.ID] == effected {
			if m := w.Host(thingName(s)); s.Wait == Warm && m != nil {
				w.NowMS = max(w.NowMS, w.WarmAtMS(m))
			}
			state[s.ID] = done
			continue
		}
		state[s.ID] = effected
		e := s.Event(w.Revision+1, w.NowMS, "test", 1)
		slacks, err := w.Violations(e)
		if err != nil || len(slacks) > 0 {
			t.Fatalf("step %d, %v, is not admitted: %v %v\n%s", s.ID, s, err, slacks, text(p))
		}
		before := w
		if w.Fleet, err = w.Apply(e); err != nil {
			t.Fatal(err)
		}
		if s.Kind == Remove || s.Kind == Add { // the observer forgets a host that was removed, and does not know a new one
			w.Observed = maps.Clone(w.Observed)
			delete(w.Observed, s.Host.Name)
		}
		check(before, w, s)
	}
	return w
}

func thingName(s Step) string {
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

// isDesired tells whether a fleet is as desired.
func isDesired(f fleet.Fleet, desired fleet.DesiredState) bool {
	desired.Normalize()
	is := f.DesiredState()
	for _, hosts := range [][]fleet.HostSpec{is.Hosts, desired.Hosts} {
		for i := range hosts {
			hosts[i].Running = false // without meaning once a host is there
		}
	}
	return fleet.Sum(is) == fleet.Sum(desired)
}

// For random states and desired states: the plan leads to the desired state, and a second plan is empty. In any order of steps that the
// graph allows, no step breaks a constraint with any one host dying. Hosts may be dead before.
func TestPlansKeepConstraintsAtEveryStep(t *testing.T) {
	made, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		from, to := fleettest.DrawDesiredState(t, 8), fleettest.DrawDesiredState(t, 8)
		w := fleet.ObservedState{Fleet: fleettest.Build(t, from), NowMS: 1_000_000, Observed: map[string]fleet.Observation{}}
		for m := range w.Hosts() {
			switch rapid.IntRange(0, 15).Draw(t, "seen") {
			case 0:
				w.Observed[m.Name] = fleet.Observation{Sight: fleet.Unreachable}
			case 1:
				w.Observed[m.Name] = fleet.Observation{Sight: fleet.Up, RestartedMS: w.NowMS - 1000}
			}
		}
		p, err := Make(w, to, "")
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
		again, err := Make(w, to, "")
		a, _ := Encode(p)
		if b, _ := Encode(again); err != nil || !bytes.Equal(a, b) {
			t.Fatal("the same input gave other bytes")
		}
		if back, err := Decode(a); err != nil || fleet.Sum(back) != fleet.Sum(p) {
			t.Fatalf("not read back: %v", err)
		}
		deaths := []string{""}
		for _, b := range slices.Concat(from.Hosts, to.Hosts) {
			if b.Role != fleet.Origin {
				deaths = append(deaths, b.Name)
			}
		}
		end := applyInRandomOrder(t, w, p, func(before, after fleet.ObservedState, s Step) {
			if s.Kind == SetRules { // what the constraints are is the operator's
				return
			}
			if s.Kind == Add && s.Host.Running { // more warm share only helps, though it may end an exemption
				return
			}
			for _, d := range deaths {
				was := fleettest.Broken(before, d)
				for what, by := range fleettest.Broken(after, d) {
					if old, is := was[what]; !is || by > old+1e-9 {
						worst := false // another death broke it as much before
						for _, o := range deaths {
							worst = worst || fleettest.Broken(before, o)[what] >= by-1e-9
						}
						if !worst {
							t.Fatalf("step %d, %v: %s broken by %v (was %v) with %q dying\n%s", s.ID, s, what, by, old, d, text(p))
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
