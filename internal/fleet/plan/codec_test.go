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

// cachesBy20 returns a desired state with the given number of caches, 20 to a location, without the caches that skip selects.
func cachesBy20(caches int, skip func(i int) bool) fleet.DesiredState {
	desired := fleet.DesiredState{Rules: fleet.DefaultRules()}
	desired.Hosts = append(desired.Hosts, fleet.HostSpec{
		Name:    "store",
		Role:    fleet.Origin,
		Address: "9.0.0.1:1",
		Site:    "hub",
		Class:   "origin",
		Share:   1e6,
	})
	for i := range caches {
		site := fmt.Sprintf("depot-%05d", i/20)
		if i%20 == 0 {
			desired.Locations = append(desired.Locations, fleet.Location{Name: site, Floor: 24, Load: 24, Sources: []string{"store"}})
		}
		if !skip(i) {
			desired.Hosts = append(desired.Hosts, fleet.HostSpec{
				Name:    fmt.Sprintf("c-%06d", i),
				Role:    fleet.Cache,
				Site:    site,
				Class:   "std",
				Share:   4,
				Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255),
			})
		}
	}
	desired.Normalize()
	return desired
}

// tenthChanged returns a fleet of the given number of caches, and a desired state that drains a tenth and adds a tenth of them.
func tenthChanged(t testing.TB, caches int) (fleet.ObservedState, fleet.DesiredState) {
	from := cachesBy20(caches, func(i int) bool { return i%10 == 3 })
	return fleet.ObservedState{Fleet: fleettest.Build(t, from), NowMS: 1}, cachesBy20(caches, func(i int) bool { return i%10 == 7 })
}

// samplePlanFile returns a plan file with steps of several kinds.
func samplePlanFile(t testing.TB) []byte {
	state, desired := tenthChanged(t, 40)
	p, err := Make(state, desired, "fleet.scm")
	if err != nil {
		t.Fatal(err)
	}
	file, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// Decode rejects a plan file with a changed byte as damaged or newer. It returns ErrDamaged for a file that is truncated or extended, and
// ErrNewer for a file of a later version.
func TestDecodeRejectsChangedFiles(t *testing.T) {
	file := samplePlanFile(t)
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

// No wave of a plan with 10,000 steps has more steps than the rules allow.
func TestWavesOfTenThousandSteps(t *testing.T) {
	state, desired := tenthChanged(t, 34_000)
	start := time.Now()
	p, err := Make(state, desired, "")
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

// A decoded plan can be described, and is encoded to the same bytes.
func FuzzDecode(f *testing.F) {
	file := samplePlanFile(f)
	f.Add(file)
	end := bytes.IndexByte(file, '\n')
	f.Add(file[end+1:])
	f.Fuzz(func(t *testing.T, b []byte) {
		// Random input rarely has a valid checksum and would not reach the decoder, so input that is not a plan file is framed as the body
		// of one.
		p, err := Decode(b)
		if err != nil {
			p, err = Decode(frame(b))
		}
		if err != nil {
			return
		}
		for _, s := range p.Steps {
			_, _ = s.String(), s.Target()
			_ = s.Event(1, 1, "x", 1)
		}
		if again, err := Encode(p); err != nil || !bytes.Equal(again, b) && !bytes.Equal(again, frame(b)) {
			t.Errorf("decoding and encoding again does not return the same bytes: %v", err)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, caches := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			state, desired := tenthChanged(b, caches)
			b.ReportAllocs()
			b.ResetTimer()
			steps := 0
			for b.Loop() {
				p, err := Make(state, desired, "")
				if err != nil {
					b.Fatal(err)
				}
				steps = len(p.Steps)
			}
			b.ReportMetric(float64(steps), "steps")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(caches), "ns/cache")
		})
	}
}
