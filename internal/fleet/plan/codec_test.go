package plan

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/fleettest"
)

func TestMain(m *testing.M) { fleettest.Main(m) }

// many is a wished fleet of so many boxes in locations of twenty.
func many(boxes int, skip func(i int) bool) fleet.DesiredState {
	w := fleet.DesiredState{Rules: fleet.DefaultRules()}
	w.Hosts = append(w.Hosts, fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "9.0.0.1:1", Site: "hub", Class: "origin", Share: 1e6})
	for i := range boxes {
		site := fmt.Sprintf("depot-%05d", i/20)
		if i%20 == 0 {
			w.Locations = append(w.Locations, fleet.Location{Name: site, Floor: 24, Load: 24, Sources: []string{"store"}})
		}
		if !skip(i) {
			w.Hosts = append(w.Hosts, fleet.HostSpec{
				Name: fmt.Sprintf("c-%06d", i), Role: fleet.Cache, Site: site, Class: "std", Share: 4,
				Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255),
			})
		}
	}
	w.Normalize()
	return w
}

// tenth is a world of so many boxes, and a wish in which a tenth is drained and a tenth added.
func tenth(t testing.TB, boxes int) (fleet.ObservedState, fleet.DesiredState) {
	from := many(boxes, func(i int) bool { return i%10 == 3 })
	return fleet.ObservedState{Fleet: fleettest.Build(t, from), NowMS: 1}, many(boxes, func(i int) bool { return i%10 == 7 })
}

func sample(t testing.TB) []byte {
	w, wish := tenth(t, 40)
	p, err := Make(w, wish, "fleet.scm")
	if err != nil {
		t.Fatal(err)
	}
	file, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// A plan file that was changed anywhere, cut or lengthened is damaged; one of a later version is newer.
func TestPlanFileIsGuarded(t *testing.T) {
	file := sample(t)
	for at := range file {
		b := bytes.Clone(file)
		b[at] ^= 4
		if _, err := Decode(b); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
	for _, b := range [][]byte{nil, file[:100], file[:len(file)-1], append(bytes.Clone(file), 0)} {
		if _, err := Decode(b); !errors.Is(err, ErrDamaged) {
			t.Errorf("%d bytes: %v", len(b), err)
		}
	}
	if _, err := Decode([]byte("stairvane-plan 2 9 something else\n...")); !errors.Is(err, ErrNewer) {
		t.Error(err)
	}
}

// 10,000 steps are planned, with no more of them to a wave than stated, and each after those it needs.
func TestTenThousandSteps(t *testing.T) {
	w, wish := tenth(t, 34_000)
	start := time.Now()
	p, err := Make(w, wish, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d steps in %v", len(p.Steps), time.Since(start))
	if len(p.Steps) < 10_000 {
		t.Errorf("%d steps", len(p.Steps))
	}
	waves := map[[2]int]int{}
	for _, s := range p.Steps {
		waves[[2]int{s.Group, s.Wave}]++
	}
	for at, n := range waves {
		if n > p.Rules.MaxParallelSteps {
			t.Errorf("group %d, wave %d: %d steps", at[0], at[1], n)
		}
	}
}

func FuzzDecode(f *testing.F) {
	file := sample(f)
	f.Add(file)
	end := bytes.IndexByte(file, '\n')
	f.Add(file[end+1:])
	f.Fuzz(func(t *testing.T, b []byte) {
		// The checksum would keep the fuzzer from the reader behind it: what is no plan file is tried as the body of one.
		p, err := Decode(b)
		if err != nil {
			p, err = Decode(frame(b))
		}
		if err != nil {
			return
		}
		for _, s := range p.Steps {
			_, _ = s.String(), s.Thing()
			_ = s.Event(1, 1, "x", 1)
		}
		if again, err := Encode(p); err != nil || !bytes.Equal(again, b) && !bytes.Equal(again, frame(b)) {
			t.Errorf("read and written again it differs: %v", err)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, boxes := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			w, wish := tenth(b, boxes)
			b.ReportAllocs()
			b.ResetTimer()
			steps := 0
			for b.Loop() {
				p, err := Make(w, wish, "")
				if err != nil {
					b.Fatal(err)
				}
				steps = len(p.Steps)
			}
			b.ReportMetric(float64(steps), "steps")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(boxes), "ns/box")
		})
	}
}
