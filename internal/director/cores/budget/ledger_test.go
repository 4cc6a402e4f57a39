package budget

import (
	"math"
	"sync"
	"testing"
	"time"
)

// worstBudget simulates four cores whose load moves to the next core every second. It returns the highest sum of their
// budgets, as a multiple of the load.
func worstBudget(share func(l *Ledger) float64) (worst float64) {
	const (
		cores     = 4
		load      = 10.0
		decayTime = 24 * time.Second
	)
	l := New(cores, decayTime)
	peaks := make([]float64, cores)
	for step := range 600 { // of 0.1 s
		at := time.Duration(step+1) * 100 * time.Millisecond
		busy := step / 10 % cores
		for c := range cores {
			current := 0.0
			if c == busy {
				current = load
			}
			peaks[c] = max(current, peaks[c]*math.Exp(-0.1/decayTime.Seconds()))
			l.Publish(c, current, peaks[c], at)
		}
		budgets := 0.0
		for c := range cores {
			budgets += peaks[c] * share(l)
		}
		worst = max(worst, budgets/load)
	}
	return worst
}

// Guards against a cache that is warming up getting several times its budget if load moves from core to core.
func TestMovingLoadKeepsOneBudget(t *testing.T) {
	if worst := worstBudget((*Ledger).Share); worst > 1.01 {
		t.Errorf("%.2f times the budget", worst)
	}
	if worst := worstBudget(func(*Ledger) float64 { return 1 }); worst < 3 {
		t.Errorf("without the ledger: %.2f times the budget; the test would not detect a missing limit", worst)
	}
}

// Guards against a reduced budget if load is even or nothing has been served yet.
func TestEvenLoadKeepsItsBudget(t *testing.T) {
	l := New(4, 24*time.Second)
	for i := range 20 {
		for c := range 4 {
			l.Publish(c, 5, 5, time.Duration(i)*50*time.Millisecond)
		}
	}
	if share := l.Share(); share < 0.99 {
		t.Errorf("share %v with even load", share)
	}
	if share := New(2, time.Second).Share(); share != 1 {
		t.Errorf("share %v before anything was served", share)
	}
	// The peak total must decay at the same rate as the peak rates of the cores.
	l.Publish(0, 0, 5*math.Exp(-3), 73*time.Second)
	if total := l.peakTotal.Load().peak; total > 15.01 {
		t.Errorf("peak total %v", total)
	}
}

// Guards against a lost update of the total when cores publish concurrently.
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
		t.Errorf("share %v", share)
	}
}
