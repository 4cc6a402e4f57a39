package health

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// TestMeasureReports measures the bandwidth of reports and results and the leader's processing time, for different numbers of directors
// and caches. It runs only with STAIRVANE_MEASURE=1. Each director makes 8 attempts per second, spread over the 20 caches of its
// location and 4 caches that all directors use; 1 in 50 caches fails half of its attempts.
func TestMeasureReports(t *testing.T) {
	if os.Getenv("STAIRVANE_MEASURE") == "" {
		t.Skip("measurement: set STAIRVANE_MEASURE=1 to run it")
	}
	const seconds = 10
	for _, caches := range []int{100, 500} {
		for _, directors := range []int{10, 100, 1000} {
			rng := rand.New(rand.NewPCG(1, uint64(directors)))
			aggregator := NewAggregator(DefaultSettings, 1)
			bytesUp, bytesDown, reports, elapsed := 0, 0, 0, time.Duration(0)
			pending, seqs := make([]map[string]Outcomes, directors), make([]uint64, directors)
			var lastSeq uint64
			for now := 100 * ms; now <= seconds*time.Second; now += 100 * ms {
				for d := range directors {
					if pending[d] == nil {
						pending[d] = map[string]Outcomes{}
					}
					if rng.Float64() < 0.8 {
						b := (d%max(1, caches/20)*20 + rng.IntN(20)) % caches
						if rng.IntN(3) == 0 {
							b = rng.IntN(4)
						}
						e := pending[d][fmt.Sprint("box-", b)]
						e.Cache, e.Attempts, e.LagMS = fmt.Sprint("box-", b), e.Attempts+1, 12
						if b%50 == 0 && rng.IntN(2) == 0 {
							e.Failures++
						}
						pending[d][e.Cache] = e
					}
					bad := false
					for _, e := range pending[d] {
						bad = bad || e.Failures > 0
					}
					if !bad && (now/(100*ms)+time.Duration(d))%5 != 0 || len(pending[d]) == 0 {
						continue
					}
					seqs[d]++
					r := Report{Holder: fmt.Sprintf("director-%d/ABCDEFGHIJKLMNOPQRSTUVWXYZ", d), Seq: seqs[d]}
					for _, e := range pending[d] {
						r.Caches = append(r.Caches, e)
					}
					clear(pending[d])
					text, _ := json.Marshal(r)
					bytesUp, reports = bytesUp+len(text), reports+1
					start := time.Now()
					aggregator.Apply(r, ReporterLocation{fmt.Sprint("m", d), fmt.Sprint("l", d%max(1, caches/20))}, now)
					_ = aggregator.Aggregated(now)
					elapsed += time.Since(start)
				}
				if o := aggregator.Aggregated(now); o.Seq != lastSeq || len(o.Caches) > 0 && now%(500*ms) == 0 {
					lastSeq = o.Seq
					text, _ := json.Marshal(o)
					bytesDown += len(text) * directors
				}
			}
			upKBps, downKBps := float64(bytesUp)/seconds/1000, float64(bytesDown)/seconds/1000
			t.Logf("%4d directors, %3d caches: %6.0f reports/s, %7.1f kB/s up, %7.1f kB/s down, %.1f and %.1f kB/s for each director, "+
				"the leader aggregates %.1f %% of the time",
				directors, caches, float64(reports)/seconds, upKBps, downKBps, upKBps/float64(directors), downKBps/float64(directors),
				100*elapsed.Seconds()/seconds)
		}
	}
}
