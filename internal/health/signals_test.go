package health

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fleet is directors that try boxes at random and report; some lie.
type fleet struct {
	m    *Aggregator
	rng  *rand.Rand
	now  time.Duration
	seqs []uint64
	fail []float64 // share of attempts that go wrong, by box
	lie  func(director int) []Outcomes
}

func name(i int) string { return fmt.Sprintf("d%d/1", i) }

func (f *fleet) run(directors int, length time.Duration, perSecond float64, each func()) {
	f.seqs = make([]uint64, directors)
	for end := f.now + length; f.now < end; {
		f.now += 100 * ms
		for d := range directors {
			r := Report{Holder: name(d), Caches: f.lie(d)}
			if r.Caches == nil {
				for b, p := range f.fail {
					e := Outcomes{Cache: fmt.Sprint("b", b), LagMS: 5}
					for range 3 {
						if f.rng.Float64() < perSecond/10/3/float64(len(f.fail)) {
							e.Attempts++
							if f.rng.Float64() < p {
								e.Failures++
							}
						}
					}
					if e.Attempts > 0 {
						r.Caches = append(r.Caches, e)
					}
				}
			}
			f.seqs[d]++
			r.Seq = f.seqs[d]
			f.m.Take(r, Place{fmt.Sprint("m", d), "west"}, f.now)
		}
		each()
	}
}

// A box that fails two in three is believed to be bad within a second by eight directors of two requests a second each to it; when it
// is well again that is believed within its life.
func TestBadBoxIsKnown(t *testing.T) {
	f := &fleet{m: NewAggregator(DefaultSettings, 1), rng: rand.New(rand.NewPCG(1, 1)), fail: []float64{0.67, 0.02, 0.02, 0.02}, lie: func(int) []Outcomes { return nil }}
	b, known := NewTracker(DefaultSettings, "d"), time.Duration(0)
	f.run(8, 5*time.Second, 8, func() {
		b.Take(f.m.Aggregated(f.now), f.now)
		for box, doubt := range b.Doubts(f.now) {
			if box != "b0" {
				t.Errorf("%v: %s is doubted by %v", f.now, box, doubt)
			}
			if known == 0 {
				known = f.now
			}
		}
	})
	t.Logf("known after %v: %v", known, b.Doubts(f.now))
	if known == 0 || known > 2*time.Second {
		t.Errorf("known after %v", known)
	}
	f.fail[0] = 0.02
	f.run(8, DefaultSettings.Lives+time.Second, 8, func() { b.Take(f.m.Aggregated(f.now), f.now) })
	if d := b.Doubts(f.now); len(d) > 0 {
		t.Errorf("still doubted: %v", d)
	}
	f.m.Sweep(f.now + time.Minute)
	if len(f.m.boxes)+len(f.m.last)+len(f.m.hears) > 0 {
		t.Errorf("%d boxes and %d directors are kept", len(f.m.boxes), len(f.m.last))
	}
}

// Fewer than a third that lie, on machines of their own, accuse every box of everything with as much evidence as they like: a
// healthy box is doubted in under 5 % of the moments, and the bad one still is. With more than two thirds they can do it.
func TestLiarsMoveNothing(t *testing.T) {
	worst := 0
	for seed := range uint64(60) {
		directors := 3 + int(seed)%10
		for _, liars := range []int{(directors - 1) / 3, 2*directors/3 + 1} {
			f := &fleet{m: NewAggregator(DefaultSettings, 1), rng: rand.New(rand.NewPCG(seed, 2)), fail: []float64{0.02, 0.02, 0.02, 0.9}}
			f.lie = func(d int) (all []Outcomes) {
				if d >= liars {
					return nil
				}
				for b := range f.fail[:3] {
					all = append(all, Outcomes{Cache: fmt.Sprint("b", b), Attempts: 1e6, Failures: 1e6})
				}
				return append(all, Outcomes{Cache: "b3", Attempts: 1e6})
			}
			accused, known := 0, 0
			f.run(directors, 6*time.Second, 24, func() {
				b := NewTracker(DefaultSettings, "d")
				b.Take(f.m.Aggregated(f.now), f.now)
				for box := range b.Doubts(f.now) {
					if box == "b3" {
						known++
					} else {
						accused++
					}
				}
			})
			if liars <= (directors-1)/3 {
				worst = max(worst, accused)
			}
			switch few := liars <= (directors-1)/3; {
			case few && accused > 180/20:
				t.Errorf("seed %d: %d of %d lie, and healthy boxes are doubted %d times", seed, liars, directors, accused)
			case few && known < 20:
				t.Errorf("seed %d: %d of %d lie, and the bad box is doubted %d times of 60", seed, liars, directors, known)
			case !few && accused < 60:
				t.Errorf("seed %d: %d of %d lie, and the test sees nothing of it", seed, liars, directors)
			}
		}
	}
	t.Logf("at worst a healthy box was doubted in %d of 180 moments", worst)
}

// Reports of several directors may come in any order, and again: what is believed is the same.
func TestOrderIsWithoutInfluence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "directors")
		var all []Report
		for d := range n {
			boxes := []Outcomes{}
			for b := range 3 {
				tried := rapid.Float64Range(0.5, 20).Draw(t, "tried")
				boxes = append(boxes, Outcomes{Cache: fmt.Sprint("b", b), Attempts: tried, Failures: tried * rapid.Float64Range(0, 1).Draw(t, "bad")})
			}
			all = append(all, Report{Holder: name(d), Seq: 7, Caches: boxes})
		}
		order := rapid.Permutation(all).Draw(t, "order")
		a, b := NewAggregator(DefaultSettings, 1), NewAggregator(DefaultSettings, 1)
		for i := range all {
			a.Take(all[i], Place{all[i].Holder, "west"}, time.Second)
			b.Take(order[i], Place{order[i].Holder, "west"}, time.Second)
			b.Take(order[rapid.IntRange(0, i).Draw(t, "again")], Place{"other", "east"}, time.Second)
		}
		if x, y := a.Aggregated(2*time.Second), b.Aggregated(2*time.Second); !reflect.DeepEqual(x, y) {
			t.Fatalf("%+v\n%+v", x, y)
		}
	})
}

// What can't be, what is too much, and what comes late counts for nothing, and nothing outlives its life.
func TestSenselessAndOld(t *testing.T) {
	m := NewAggregator(DefaultSettings, 5)
	for d := range 5 {
		m.Take(Report{Holder: name(d), Seq: 1, Caches: []Outcomes{{Cache: "x", Attempts: 2, Failures: 3}, {Cache: "y", Attempts: -1}, {Cache: "", Attempts: 1}, {Cache: "z", Attempts: 1e300}}}, Place{name(d), ""}, 0)
	}
	if len(m.boxes) > 0 {
		t.Errorf("%v", maps.Collect(maps.All(m.boxes)))
	}
	for d := range 5 {
		m.Take(Report{Holder: name(d), Seq: 3, Caches: []Outcomes{{Cache: "x", Attempts: 4, Failures: 4}}}, Place{"one machine", ""}, 0)
	}
	if o := m.Aggregated(0); len(o.Caches) > 0 {
		t.Errorf("one machine has an opinion: %+v", o)
	}
	m = NewAggregator(DefaultSettings, 5)
	for d := range 5 {
		m.Take(Report{Holder: name(d), Seq: 3, Caches: []Outcomes{{Cache: "x", Attempts: 4, Failures: 4}}}, Place{name(d), ""}, 0)
	}
	o := m.Aggregated(0)
	b := NewTracker(DefaultSettings, "d")
	b.Take(o, time.Hour)
	if d := b.Doubts(time.Hour); d["x"] < 0.9 {
		t.Errorf("%v", d)
	}
	b.Take(AggregatedHealth{Epoch: 4, Seq: 99}, time.Hour+ms) // of the one before it
	b.Take(AggregatedHealth{Epoch: 5, Seq: 0}, time.Hour+ms)
	last := 2.0
	for at := time.Duration(0); at < b.lives; at += 100 * ms {
		d := b.Doubts(time.Hour + at)["x"]
		if d > last || d == 0 || b.lives < DefaultSettings.Lives/2 || b.lives > DefaultSettings.Lives {
			t.Fatalf("after %v: %v, before %v", at, d, last)
		}
		last = d
	}
	if d := b.Doubts(time.Hour + DefaultSettings.Lives); len(d) > 0 {
		t.Errorf("it outlives its life: %v", d)
	}
	if d := b.Doubts(time.Hour - time.Second); len(d) > 0 {
		t.Errorf("a clock that is set back makes it young: %v", d)
	}
	if o := m.Aggregated(DefaultSettings.Lives); len(o.Caches) > 0 {
		t.Errorf("old evidence has an opinion: %+v", o)
	}
}
