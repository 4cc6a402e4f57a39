// Package budget limits the slow start budget that all cores of a process spend to the budget of a single core with the same
// load.
//
// The decision module of each core derives the budget of a cache that is warming up from the best rate that the core has
// served recently. If load moves from core to core, each core remembers its own best rate, and their sum exceeds any rate that
// the process has served. The Ledger computes the share of its budget that each core may spend.
package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// Ledger records the served rates of all cores, in seconds of sending time per second. Its methods are safe for concurrent
// use and lock-free.
type Ledger struct {
	current   []atomic.Uint64 // rate by core, as float bits
	best      []atomic.Uint64 // rate by core, as float bits
	bestTotal atomic.Pointer[totalRate]
	decayTime time.Duration
}

// totalRateWindow is the time for which a total rate must be sustained to count as the best. Cores publish one after the other,
// so load that moves between cores is briefly counted on both.
const totalRateWindow = 200 * time.Millisecond

// totalRate is the best total rate of the process and the lowest total in the current window.
type totalRate struct {
	best        float64
	recordedAt  time.Duration // when best was computed
	lowest      float64
	windowStart time.Duration
}

// New returns a Ledger for the given number of cores. decayTime is the time in which a best rate decays to 1/e. It must equal
// the decay time in the decision modules of the cores.
func New(cores int, decayTime time.Duration) *Ledger {
	l := &Ledger{
		current:   make([]atomic.Uint64, cores),
		best:      make([]atomic.Uint64, cores),
		decayTime: decayTime,
	}
	l.bestTotal.Store(&totalRate{})
	return l
}

// Publish records the current rate of a core and its best recent rate.
func (l *Ledger) Publish(core int, current, best float64, at time.Duration) {
	l.current[core].Store(math.Float64bits(current))
	l.best[core].Store(math.Float64bits(max(current, best)))
	total := sum(l.current)
	for {
		old := l.bestTotal.Load()
		if l.bestTotal.CompareAndSwap(old, l.nextTotal(old, total, at)) {
			return
		}
	}
}

// nextTotal returns the totalRate that follows from old when a total is observed at a time.
func (l *Ledger) nextTotal(old *totalRate, total float64, at time.Duration) *totalRate {
	decayed := old.best
	if l.decayTime > 0 && at > old.recordedAt {
		decayed *= math.Exp(-float64(at-old.recordedAt) / float64(l.decayTime))
	}
	nextTotal := &totalRate{
		best:        decayed,
		recordedAt:  max(at, old.recordedAt),
		lowest:      min(old.lowest, total),
		windowStart: old.windowStart,
	}
	if at-old.windowStart >= totalRateWindow {
		nextTotal.best = max(decayed, nextTotal.lowest)
		nextTotal.lowest = total
		nextTotal.windowStart = at
	}
	return nextTotal
}

// Share returns the share of its own budget, from 0 to 1, that each core may spend so that all cores together spend the budget
// of the process.
func (l *Ledger) Share() float64 {
	bests := sum(l.best)
	total := l.bestTotal.Load().best
	if bests <= 0 || total <= 0 { // nothing is known yet
		return 1
	}
	return min(1, total/bests)
}

func sum(rates []atomic.Uint64) (total float64) {
	for i := range rates {
		total += math.Float64frombits(rates[i].Load())
	}
	return total
}
