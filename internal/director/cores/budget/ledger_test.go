package budget

import (
	"math"
	"sync"
	"testing"
	"time"
)

// worstBudget simulates four cores whose load moves to the next core every second. It returns the highest sum of their budgets,
// as a multiple of the load.
func worstBudget(share func(l *Ledger) float64) (worst float64) {
	const (
		cores    = 4
		load     = 10.0
		fadeTime = 24 * time.Second
	)
	l := New(cores, fadeTime)
	bests := make([]float64, cores)
	for step := range 600 { // of 0.1 s
		at := time.Duration(step+1) * 100 * time.Millisecond
		busy := step / 10 % cores
		for c := range cores {
			current := 0.0
			if c == busy {
				current = load
			}
			bests[c] = max(current, bests[c]*math.Exp(-0.1/fadeTime.Seconds()))
			l.Publish(c, current, bests[c], at)
		}
		budgets := 0.0
		for c := range cores {
			budgets += bests[c] * share(l)
		}
		worst = max(worst, budgets/load)
	}
	return worst
}

// Guards against spending several times the budget of a cache that is warming up if load moves from core to core.
func TestMovingLoadStaysWithinOneBudget(t *testing.T) {
	if worst := worstBudget((*Ledger).Share); worst > 1.01 {
		t.Errorf("%.2f times the budget was spent", worst)
	}
	if worst := worstBudget(func(*Ledger) float64 { return 1 }); worst < 3 {
		t.Errorf("without the ledger: %.2f times; the test would not detect the fault", worst)
	}
}

// Guards against reducing the budget although load is evenly distributed, or nothing has been served yet.
func TestEvenLoadKeepsItsBudget(t *testing.T) {
	l := New(4, 24*time.Second)
	for i := range 20 {
		for c := range 4 {
			l.Publish(c, 5, 5, time.Duration(i)*50*time.Millisecond)
		}
	}
	if share := l.Share(); share < 0.99 {
		t.Errorf("%v", share)
	}
	if share := New(2, time.Second).Share(); share != 1 {
		t.Errorf("%v before anything was served", share)
	}
	// The best total decays like the cores' own best rates.
	l.Publish(0, 0, 5*math.Exp(-3), 73*time.Second)
	if total := l.bestTotal.Load().best; total > 15.01 {
		t.Errorf("%v", total)
	}
}

// Guards against losing a total when cores publish concurrently.
func TestConcurrentPublish(t *testing.T) {
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
	if share := l.Share(); share < 0.95 || share > 1 {
		t.Errorf("%v", share)
	}
}
