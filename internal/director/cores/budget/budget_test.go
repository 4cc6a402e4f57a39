package budget

import (
	"math"
	"sync"
	"testing"
	"time"
)

// sim is four cores whose load moves on every second; each remembers its best as the decisions do.
func sim(part func(l *Ledger) float64) (worst float64) {
	const cores, load, fades = 4, 10.0, 24 * time.Second
	l := New(cores, fades)
	bests := make([]float64, cores)
	for step := range 600 { // of 0.1 s
		at := time.Duration(step+1) * 100 * time.Millisecond
		busy := step / 10 % cores
		for c := range cores {
			now := 0.0
			if c == busy {
				now = load
			}
			bests[c] = max(now, bests[c]*math.Exp(-0.1/fades.Seconds()))
			l.Publish(c, now, bests[c], at)
		}
		budgets := 0.0
		for c := range cores {
			budgets += bests[c] * part(l)
		}
		worst = max(worst, budgets/load)
	}
	return worst
}

// Where load moves from core to core, the budgets of all together stay at that of the process. With each core's own
// alone they come to several times that, which is what a cold box must not be sent.
func TestAllCoresKeepOneBudget(t *testing.T) {
	if worst := sim((*Ledger).Part); worst > 1.01 {
		t.Errorf("%.2f times the budget", worst)
	}
	if worst := sim(func(*Ledger) float64 { return 1 }); worst < 3 {
		t.Errorf("per core: %.2f times; the test would not notice", worst)
	}
}

// Even load costs nothing: each core keeps its whole part. A core alone is never cut.
func TestEvenLoadKeepsItsBudget(t *testing.T) {
	l := New(4, 24*time.Second)
	for i := range 20 {
		for c := range 4 {
			l.Publish(c, 5, 5, time.Duration(i)*50*time.Millisecond)
		}
	}
	if p := l.Part(); p < 0.99 {
		t.Errorf("%v", p)
	}
	if p := New(2, time.Second).Part(); p != 1 {
		t.Errorf("%v before anything was carried", p)
	}
	// What the process carried fades as the cores' own memories do.
	l.Publish(0, 0, 5*math.Exp(-3), 73*time.Second)
	if total := l.total.Load().rate; total > 15.01 {
		t.Errorf("%v", total)
	}
}

func TestPublishingAtOnce(t *testing.T) {
	l := New(8, 24*time.Second)
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for i := range 2000 {
				l.Publish(c, 1, 1, time.Duration(i)*time.Microsecond)
			}
		})
	}
	wg.Wait()
	l.Publish(0, 1, 1, time.Second)
	l.Publish(0, 1, 1, 2*time.Second)
	if p := l.Part(); p < 0.95 || p > 1 {
		t.Errorf("%v", p)
	}
}
