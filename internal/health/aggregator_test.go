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

// simulation models directors that send to random caches and report the outcomes. Some directors report false outcomes.
type simulation struct {
	aggregator    *Aggregator
	rng           *rand.Rand
	now           time.Duration
	seqs          []uint64
	failureShares []float64                     // share of attempts that fail, by cache
	falseOutcomes func(director int) []Outcomes // the reports of a faulty director; nil: the director reports its real outcomes
}

func directorID(i int) string { return fmt.Sprintf("d%d/1", i) }

func (s *simulation) run(directors int, length time.Duration, attemptsPerSecond float64, each func()) {
	s.seqs = make([]uint64, directors)
	for end := s.now + length; s.now < end; {
		s.now += 100 * ms
		for d := range directors {
			r := Report{Holder: directorID(d), Caches: s.falseOutcomes(d)}
			if r.Caches == nil {
				for b, p := range s.failureShares {
					o := Outcomes{Cache: fmt.Sprint("b", b), LagMS: 5}
					for range 3 {
						if s.rng.Float64() < attemptsPerSecond/10/3/float64(len(s.failureShares)) {
							o.Attempts++
							if s.rng.Float64() < p {
								o.Failures++
							}
						}
					}
					if o.Attempts > 0 {
						r.Caches = append(r.Caches, o)
					}
				}
			}
			s.seqs[d]++
			r.Seq = s.seqs[d]
			s.aggregator.Apply(r, ReporterLocation{fmt.Sprint("m", d), "west"}, s.now)
		}
		each()
	}
}

// TestBadCacheIsSuspected checks that eight directors that each send two attempts per second to a cache suspect it within two seconds if
// it fails two attempts in three, and that the suspicion ends within its lifetime once the cache has recovered.
func TestBadCacheIsSuspected(t *testing.T) {
	f := &simulation{
		aggregator:    NewAggregator(DefaultSettings, 1),
		rng:           rand.New(rand.NewPCG(1, 1)),
		failureShares: []float64{0.67, 0.02, 0.02, 0.02},
		falseOutcomes: func(int) []Outcomes { return nil },
	}
	tracker, suspectedAt := NewTracker(DefaultSettings, "d"), time.Duration(0)
	f.run(8, 5*time.Second, 8, func() {
		tracker.Apply(f.aggregator.Aggregated(f.now), f.now)
		for cache, share := range tracker.FailureShares(f.now) {
			if cache != "b0" {
				t.Errorf("%v: healthy cache %s is suspected, share of failures %v", f.now, cache, share)
			}
			if suspectedAt == 0 {
				suspectedAt = f.now
			}
		}
	})
	t.Logf("suspected after %v: %v", suspectedAt, tracker.FailureShares(f.now))
	if suspectedAt == 0 || suspectedAt > 2*time.Second {
		t.Errorf("suspected after %v", suspectedAt)
	}
	f.failureShares[0] = 0.02
	f.run(8, DefaultSettings.Lifetime+time.Second, 8, func() { tracker.Apply(f.aggregator.Aggregated(f.now), f.now) })
	if d := tracker.FailureShares(f.now); len(d) > 0 {
		t.Errorf("still suspected: %v", d)
	}
	f.aggregator.Sweep(f.now + time.Minute)
	if len(f.aggregator.caches)+len(f.aggregator.lastSeq)+len(f.aggregator.machines) > 0 {
		t.Errorf("%d caches and %d directors are left after the sweep", len(f.aggregator.caches), len(f.aggregator.lastSeq))
	}
}

// TestFaultyReportersHaveNoInfluence checks reports of false outcomes for all caches, with arbitrarily high counts. If fewer than a third
// of the machines send them, healthy caches must be suspected in at most 5 % of the samples and the bad cache must still be suspected.
// If more than two thirds send them, healthy caches are suspected, which verifies that the test detects it.
func TestFaultyReportersHaveNoInfluence(t *testing.T) {
	worst := 0
	for seed := range uint64(60) {
		directors := 3 + int(seed)%10
		for _, faulty := range []int{(directors - 1) / 3, 2*directors/3 + 1} {
			f := &simulation{
				aggregator:    NewAggregator(DefaultSettings, 1),
				rng:           rand.New(rand.NewPCG(seed, 2)),
				failureShares: []float64{0.02, 0.02, 0.02, 0.9},
			}
			f.falseOutcomes = func(d int) (all []Outcomes) {
				if d >= faulty {
					return nil
				}
				for b := range f.failureShares[:3] {
					all = append(all, Outcomes{Cache: fmt.Sprint("b", b), Attempts: 1e6, Failures: 1e6})
				}
				return append(all, Outcomes{Cache: "b3", Attempts: 1e6})
			}
			wronglySuspected, rightlySuspected := 0, 0
			f.run(directors, 6*time.Second, 24, func() {
				tracker := NewTracker(DefaultSettings, "d")
				tracker.Apply(f.aggregator.Aggregated(f.now), f.now)
				for cache := range tracker.FailureShares(f.now) {
					if cache == "b3" {
						rightlySuspected++
					} else {
						wronglySuspected++
					}
				}
			})
			if faulty <= (directors-1)/3 {
				worst = max(worst, wronglySuspected)
			}
			switch tolerable := faulty <= (directors-1)/3; {
			case tolerable && wronglySuspected > 180/20:
				t.Errorf("seed %d: %d of %d faulty: healthy caches are suspected %d times", seed, faulty, directors, wronglySuspected)
			case tolerable && rightlySuspected < 20:
				t.Errorf("seed %d: %d of %d faulty: the bad cache is suspected %d times of 60", seed, faulty, directors, rightlySuspected)
			case !tolerable && wronglySuspected < 60:
				t.Errorf("seed %d: %d of %d faulty: healthy caches are not suspected, so nothing is detected", seed, faulty, directors)
			}
		}
	}
	t.Logf("at worst, healthy caches were suspected %d times in 180 samples", worst)
}

// TestReportOrderHasNoInfluence checks that reordered and duplicate reports of several directors give the same result.
func TestReportOrderHasNoInfluence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "directors")
		var all []Report
		for d := range n {
			caches := []Outcomes{}
			for b := range 3 {
				tried := rapid.Float64Range(0.5, 20).Draw(t, "tried")
				failed := tried * rapid.Float64Range(0, 1).Draw(t, "bad")
				caches = append(caches, Outcomes{Cache: fmt.Sprint("b", b), Attempts: tried, Failures: failed})
			}
			all = append(all, Report{Holder: directorID(d), Seq: 7, Caches: caches})
		}
		order := rapid.Permutation(all).Draw(t, "order")
		a, b := NewAggregator(DefaultSettings, 1), NewAggregator(DefaultSettings, 1)
		for i := range all {
			a.Apply(all[i], ReporterLocation{all[i].Holder, "west"}, time.Second)
			b.Apply(order[i], ReporterLocation{order[i].Holder, "west"}, time.Second)
			b.Apply(order[rapid.IntRange(0, i).Draw(t, "again")], ReporterLocation{"other", "east"}, time.Second)
		}
		if x, y := a.Aggregated(2*time.Second), b.Aggregated(2*time.Second); !reflect.DeepEqual(x, y) {
			t.Fatalf("%+v\n%+v", x, y)
		}
	})
}

// TestInvalidAndLateReports checks that invalid, excessive and late reports are ignored and that no suspicion outlives its lifetime.
func TestInvalidAndLateReports(t *testing.T) {
	aggregator := NewAggregator(DefaultSettings, 5)
	for d := range 5 {
		impossible := []Outcomes{
			{Cache: "x", Attempts: 2, Failures: 3},
			{Cache: "y", Attempts: -1},
			{Cache: "", Attempts: 1},
			{Cache: "z", Attempts: 1e300},
		}
		aggregator.Apply(Report{Holder: directorID(d), Seq: 1, Caches: impossible}, ReporterLocation{directorID(d), ""}, 0)
	}
	if len(aggregator.caches) > 0 {
		t.Errorf("%v", maps.Collect(maps.All(aggregator.caches)))
	}
	failing := []Outcomes{{Cache: "x", Attempts: 4, Failures: 4}}
	for d := range 5 {
		aggregator.Apply(Report{Holder: directorID(d), Seq: 3, Caches: failing}, ReporterLocation{"one machine", ""}, 0)
	}
	if o := aggregator.Aggregated(0); len(o.Caches) > 0 {
		t.Errorf("reports of a single machine are sufficient: %+v", o)
	}
	aggregator = NewAggregator(DefaultSettings, 5)
	for d := range 5 {
		aggregator.Apply(Report{Holder: directorID(d), Seq: 3, Caches: failing}, ReporterLocation{directorID(d), ""}, 0)
	}
	o := aggregator.Aggregated(0)
	tracker := NewTracker(DefaultSettings, "d")
	tracker.Apply(o, time.Hour)
	if d := tracker.FailureShares(time.Hour); d["x"] < 0.9 {
		t.Errorf("%v", d)
	}
	tracker.Apply(AggregatedHealth{Epoch: 4, Seq: 99}, time.Hour+ms) // from an earlier aggregator
	tracker.Apply(AggregatedHealth{Epoch: 5, Seq: 0}, time.Hour+ms)
	last := 2.0
	for at := time.Duration(0); at < tracker.lifetime; at += 100 * ms {
		d := tracker.FailureShares(time.Hour + at)["x"]
		if d > last || d == 0 || tracker.lifetime < DefaultSettings.Lifetime/2 || tracker.lifetime > DefaultSettings.Lifetime {
			t.Fatalf("after %v: share %v, previous share %v", at, d, last)
		}
		last = d
	}
	if d := tracker.FailureShares(time.Hour + DefaultSettings.Lifetime); len(d) > 0 {
		t.Errorf("the suspicion outlives its lifetime: %v", d)
	}
	if d := tracker.FailureShares(time.Hour - time.Second); len(d) > 0 {
		t.Errorf("a clock that is set back extends the suspicion: %v", d)
	}
	if o := aggregator.Aggregated(DefaultSettings.Lifetime); len(o.Caches) > 0 {
		t.Errorf("expired outcomes are counted: %+v", o)
	}
}
