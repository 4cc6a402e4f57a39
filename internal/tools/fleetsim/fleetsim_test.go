package fleetsim

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// TestLimitsHoldUnderFaults checks that no limit is exceeded while the fleet doubles, half of it fails, a third is partitioned, a new
// allocator takes over and messages are lost, and that freed shares are in use again within the allocator's waiting time plus one second.
// STAIRVANE_SEEDS is the number of runs, and STAIRVANE_SEED the first seed.
func TestLimitsHoldUnderFaults(t *testing.T) {
	n := 40
	if v, err := strconv.Atoi(os.Getenv("STAIRVANE_SEEDS")); err == nil {
		n = v
	}
	first := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("STAIRVANE_SEED"), 10, 64); err == nil {
		first = v
	}
	t.Logf("seeds from %d on", first)
	unused := time.Duration(0)
	for i := range n {
		cfg := Config{
			Seed:      first + uint64(i),
			Directors: []int{2, 5, 12, 30}[i%4],
			Caches:    2,
			Length:    12 * time.Second,
			Loss:      []float64{0, 0.1, 0.3}[i%3],
			Drift:     0.02,
			Double:    3 * time.Second,
			Halve:     6 * time.Second,
			Cut:       8 * time.Second,
			Skew:      []float64{-1, 1, 2}[i%3],
		}
		if i%2 == 0 {
			cfg.NewAllocator = 9 * time.Second
		}
		r, err := Run(cfg, nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.Worst > 1+1e-9 {
			t.Fatalf("seed %d: %.3f of a limit", cfg.Seed, r.Worst)
		}
		unused = max(unused, r.Unused)
		if r.Unused > 2500*time.Millisecond {
			t.Errorf("seed %d: less than half of the usable limits was used for %v", cfg.Seed, r.Unused)
		}
	}
	t.Logf("less than half of the usable limits was used for %v at most", unused)
	// Even shares by the number at the start exceed the limit once the fleet has doubled.
	r, err := Run(Config{Seed: first, Double: 3 * time.Second, Length: 5 * time.Second, EvenShares: true}, nil)
	if err != nil || r.Worst < 1.9 {
		t.Errorf("even shares by an outdated number: %.2f, %v", r.Worst, err)
	}
}

func TestEqualDemandsGetEqualShares(t *testing.T) {
	r, err := Run(Config{Seed: 1, Directors: 20, Skew: -1, Load: 5, Length: 5 * time.Second}, nil)
	if err != nil {
		t.Fatal(err)
	}
	last := r.Points[len(r.Points)-1]
	if last.Fairness < 0.95 || last.Used < 0.9*last.Usable || last.Members != 20 {
		t.Errorf("%+v", last)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for _, c := range []Config{{Directors: -1}, {Caches: 1 << 20}, {Loss: 1}, {Length: 2 * time.Hour}} {
		if _, err := Run(c, nil); err == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
}
