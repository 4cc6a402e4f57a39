package health

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// What signals cost in bytes a second and in the leader's time, against directors and boxes: by command, STAIRVANE_MEASURE=1.
// Each director has 8 attempts a second, spread over 20 boxes of its location or 4 of all; one box in 50 fails half of them.
func TestMeasureSignals(t *testing.T) {
	if os.Getenv("STAIRVANE_MEASURE") == "" {
		t.Skip("a measurement, by command: STAIRVANE_MEASURE=1")
	}
	const seconds = 10
	for _, boxes := range []int{100, 500} {
		for _, directors := range []int{10, 100, 1000} {
			rng := rand.New(rand.NewPCG(1, uint64(directors)))
			m := NewAggregator(DefaultSettings, 1)
			up, down, reports, took := 0, 0, 0, time.Duration(0)
			kept, seqs := make([]map[string]Outcomes, directors), make([]uint64, directors)
			var said uint64
			for now := 100 * ms; now <= seconds*time.Second; now += 100 * ms {
				for d := range directors {
					if kept[d] == nil {
						kept[d] = map[string]Outcomes{}
					}
					if rng.Float64() < 0.8 {
						b := (d%max(1, boxes/20)*20 + rng.IntN(20)) % boxes
						if rng.IntN(3) == 0 {
							b = rng.IntN(4)
						}
						e := kept[d][fmt.Sprint("box-", b)]
						e.Cache, e.Attempts, e.LagMS = fmt.Sprint("box-", b), e.Attempts+1, 12
						if b%50 == 0 && rng.IntN(2) == 0 {
							e.Failures++
						}
						kept[d][e.Cache] = e
					}
					bad := false
					for _, e := range kept[d] {
						bad = bad || e.Failures > 0
					}
					if !bad && (now/(100*ms)+time.Duration(d))%5 != 0 || len(kept[d]) == 0 {
						continue
					}
					seqs[d]++
					r := Report{Holder: fmt.Sprintf("director-%d/ABCDEFGHIJKLMNOPQRSTUVWXYZ", d), Seq: seqs[d]}
					for _, e := range kept[d] {
						r.Caches = append(r.Caches, e)
					}
					clear(kept[d])
					text, _ := json.Marshal(r)
					up, reports = up+len(text), reports+1
					begin := time.Now()
					m.Take(r, Place{fmt.Sprint("m", d), fmt.Sprint("l", d%max(1, boxes/20))}, now)
					_ = m.Aggregated(now)
					took += time.Since(begin)
				}
				if o := m.Aggregated(now); o.Seq != said || len(o.Caches) > 0 && now%(500*ms) == 0 {
					said = o.Seq
					text, _ := json.Marshal(o)
					down += len(text) * directors
				}
			}
			t.Logf("%4d directors, %3d boxes: %6.0f reports/s, %7.1f kB/s up, %7.1f kB/s down, %.1f and %.1f kB/s for each director, the leader merges %.1f %% of the time",
				directors, boxes, float64(reports)/seconds, float64(up)/seconds/1000, float64(down)/seconds/1000, float64(up)/seconds/1000/float64(directors),
				float64(down)/seconds/1000/float64(directors), 100*took.Seconds()/seconds)
		}
	}
}
