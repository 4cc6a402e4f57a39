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
)

// rules for small worlds: generous enough that many wishes have a plan, tight enough that many orders break something.
func testRules() fleet.Rules {
	r := fleet.DefaultRules()
	r.Width = 3
	return r
}

func drawWish(t *rapid.T, boxes int) fleet.Wish {
	w := fleet.Wish{Rules: testRules()}
	w.Rules.ColdMost = rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "cold-most")
	hubs := rapid.IntRange(0, 2).Draw(t, "hubs")
	w.Boxes = append(w.Boxes, fleet.Box{Name: "store", Role: fleet.Origin, Address: "10.9.0.1:1", Site: "north", Class: "store", Share: 20})
	sources := []string{"store"}
	for i := range hubs {
		name := fmt.Sprintf("h-%d", i)
		w.Boxes = append(w.Boxes, fleet.Box{Name: name, Role: fleet.Hub, Address: fmt.Sprintf("10.8.0.%d:1", i), Site: "north",
			Class: "hub", Share: float64(rapid.IntRange(4, 12).Draw(t, "hub share"))})
		sources = append(sources, name)
	}
	sites := []string{"east", "west"}
	for i := range boxes {
		if !rapid.Bool().Draw(t, "is") {
			continue
		}
		// Few names and fewer addresses, so that boxes are replaced under their name and at their address.
		b := fleet.Box{Name: fmt.Sprintf("c-%d", i), Role: fleet.Cache, Class: "std", Share: float64(rapid.IntRange(1, 4).Draw(t, "share")),
			Site: rapid.SampledFrom(sites).Draw(t, "site"), Address: fmt.Sprintf("10.1.0.%d:1", rapid.IntRange(0, 1).Draw(t, "at")*50+i%4)}
		if !slices.ContainsFunc(w.Boxes, func(o fleet.Box) bool { return o.Address == b.Address }) {
			w.Boxes = append(w.Boxes, b)
		}
	}
	for _, site := range sites {
		sum, most := 0.0, 0.0
		for _, b := range w.Boxes {
			if b.Role == fleet.Cache && b.Site == site {
				sum, most = sum+b.Share, max(most, b.Share)
			}
		}
		if sum == 0 {
			continue
		}
		floor := float64(rapid.IntRange(0, int(sum-most)).Draw(t, "floor"))
		n := rapid.IntRange(1, len(sources)).Draw(t, "sources")
		w.Locations = append(w.Locations, fleet.Location{Name: site, Floor: floor,
			Load: floor * rapid.SampledFrom([]float64{0.3, 0.6, 1}).Draw(t, "load"), Sources: slices.Clone(sources[:n])})
	}
	w.Normal()
	return w
}

// build makes a fleet that is as wished, warm.
func build(t interface{ Fatal(...any) }, wish fleet.Wish) fleet.Fleet {
	var f fleet.Fleet
	put := func(e fleet.Event) {
		e.No = f.Revision + 1
		var err error
		if f, err = f.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	put(fleet.Event{Rules: &wish.Rules})
	for i := range wish.Locations {
		put(fleet.Event{Location: &wish.Locations[i]})
	}
	for _, b := range wish.Boxes {
		put(fleet.Event{Member: &fleet.Member{Box: b, State: fleet.InService, Serving: b.Share}})
	}
	return f
}

// broken looks for broken constraints the plain way: for each box, what is left if it dies now.
func broken(w fleet.World, death string) (all map[string]float64) {
	all = map[string]float64{}
	serves := func(m *fleet.Member) bool { return w.Serves(m) && m.Name != death }
	for l := range w.Locations() {
		warm, cold, serving, capacity, sources, caches := 0.0, 0.0, 0.0, 0.0, 0.0, 0
		n := 0
		for m := range w.InSite(l.Name) {
			if m.Role != fleet.Cache || !serves(m) {
				continue
			}
			caches++
			serving += m.Serving
			capacity += m.Share
			if w.IsCold(m) {
				cold += m.Share
				n++
			} else {
				warm += m.Serving
			}
		}
		for _, s := range l.Sources {
			if m := w.Member(s); m != nil && serves(m) {
				sources++
			}
		}
		if warm < l.Floor {
			all["floor "+l.Name] = l.Floor - warm
		}
		if caches+len(l.Sources) > 0 && sources == 0 {
			all["source "+l.Name] = 1
		}
		if l.Load == 0 || warm == 0 {
			continue
		}
		if most := w.Rules().ColdMost * capacity; death == "" && n > 1 && cold > most+1e-9 {
			all["cold-most "+l.Name] = cold - most
		}
		for m := range w.InSite(l.Name) {
			if m.Role == fleet.Cache && serves(m) && w.IsCold(m) {
				if asked, bears := l.Load*m.Serving/serving, w.Rules().Cache.Fall*w.Rules().Cache.Start*m.Share; asked > bears+1e-9 {
					all["cold "+m.Name] = asked - bears
				}
			}
		}
	}
	return all
}

// run carries a plan out in a random order that its graph allows, and looks at the world after each event.
func run(t *rapid.T, w fleet.World, p *Plan, look func(before, after fleet.World, s Step)) fleet.World {
	const pending, effected, done = 0, 1, 2
	state := make([]int, len(p.Steps)+1)
	for left := 2 * len(p.Steps); left > 0; left-- {
		var can []int
		running := 0
		for _, s := range p.Steps {
			if state[s.ID] == effected {
				running++
			}
		}
		for _, s := range p.Steps {
			ready := state[s.ID] == pending && running < p.Rules.Width &&
				!slices.ContainsFunc(s.After, func(a int) bool { return state[a] != done })
			if ready || state[s.ID] == effected {
				can = append(can, s.ID)
			}
		}
		s := p.Steps[rapid.SampledFrom(can).Draw(t, "next")-1]
		if state[s.ID] == effected {
			if m := w.Member(thingName(s)); s.Wait == Warm && m != nil {
				w.NowMS = max(w.NowMS, w.ColdUntil(m))
			}
			state[s.ID] = done
			continue
		}
		state[s.ID] = effected
		e := s.Event(w.Revision+1, w.NowMS, "test", 1)
		slacks, err := w.Admit(e)
		if err != nil || len(slacks) > 0 {
			t.Fatalf("step %d, %v, is not admitted: %v %v\n%s", s.ID, s, err, slacks, text(p))
		}
		before := w
		if w.Fleet, err = w.Apply(e); err != nil {
			t.Fatal(err)
		}
		if s.Kind == Add { // nobody has looked at the new box yet
			w.Observed = maps.Clone(w.Observed)
			delete(w.Observed, s.Member.Name)
		}
		look(before, w, s)
	}
	return w
}

func thingName(s Step) string {
	if s.Member != nil {
		return s.Member.Name
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

// sameAsWished compares what is declared with the wish.
func sameAsWished(f fleet.Fleet, wish fleet.Wish) bool {
	wish.Normal()
	is := f.AsWish()
	return fleet.Sum(is) == fleet.Sum(wish)
}

// For random worlds and wishes: the plan makes the wish, a second plan is empty, and in every order that the graph
// allows no prefix breaks a constraint with any one box dying. Boxes may be dead already.
func TestPlansKeepConstraintsAtEveryPrefix(t *testing.T) {
	made, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawWish(t, 8), drawWish(t, 8)
		w := fleet.World{Fleet: build(t, from), NowMS: 1_000_000, Observed: map[string]fleet.Observation{}}
		for m := range w.Members() {
			switch rapid.IntRange(0, 15).Draw(t, "seen") {
			case 0:
				w.Observed[m.Name] = fleet.Observation{Sight: fleet.Unreachable}
			case 1:
				w.Observed[m.Name] = fleet.Observation{Sight: fleet.Up, RestartedMS: w.NowMS - 1000}
			}
		}
		p, err := Make(w, to, "")
		var impossible *Impossible
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
		for _, b := range slices.Concat(from.Boxes, to.Boxes) {
			if b.Role != fleet.Origin {
				deaths = append(deaths, b.Name)
			}
		}
		end := run(t, w, p, func(before, after fleet.World, s Step) {
			if s.Kind == SetRules { // what the constraints are is the operator's
				return
			}
			for _, d := range deaths {
				was := broken(before, d)
				for what, by := range broken(after, d) {
					if old, is := was[what]; !is || by > old+1e-9 {
						worst := false // another death broke it as much before
						for _, o := range deaths {
							worst = worst || broken(before, o)[what] >= by-1e-9
						}
						if !worst {
							t.Fatalf("step %d, %v: %s broken by %v (was %v) with %q dying\n%s", s.ID, s, what, by, old, d, text(p))
						}
					}
				}
			}
		})
		if !sameAsWished(end.Fleet, to) {
			t.Fatalf("the plan does not make the wish: %+v, %+v", end.AsWish(), to)
		}
		end.Observed = nil
		if second, err := Make(end, to, ""); err != nil || len(second.Steps) > 0 {
			t.Fatalf("a second plan is not empty: %v", err)
		}
	})
	t.Logf("%d plans with %d steps", made, steps)
	if made < 20 {
		t.Errorf("only %d wishes had a plan", made)
	}
}
