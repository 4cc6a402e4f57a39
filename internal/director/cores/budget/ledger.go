// Package budget keeps the slow start budget of a process on several cores within what one core would spend.
//
// The decision module of each core derives the budget of a cache that is warming up from the best rate that the core has
// served lately. Where load moves from core to core, each remembers its own best rate, and the sum exceeds what the process
// ever served. The Ledger gives each core the share of its budget that it may spend.
package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// Ledger has the served rates of all cores, in seconds of sending per second. Its methods are safe for concurrent use and
// take no lock.
type Ledger struct {
	current   []atomic.Uint64 // rate by core, as float bits
	best      []atomic.Uint64 // rate by core, as float bits
	bestTotal atomic.Pointer[totalRate]
	fadeTime  time.Duration
}

// totalRateWindow is how long a total must last to count. Cores publish one after the other: for a moment, load that moves
// is counted on the core that it left and on the one that it came to.
const totalRateWindow = 200 * time.Millisecond

// totalRate is the best total rate of the process, and the lowest total of the present window.
type totalRate struct {
	best        float64
	recordedAt  time.Duration // when best was computed
	lowest      float64
	windowStart time.Duration
}

// New makes a Ledger for some cores. fadeTime is the time in which a best rate falls to 1/e, as it does in the cores.
func New(cores int, fadeTime time.Duration) *Ledger {
	l := &Ledger{
		current:  make([]atomic.Uint64, cores),
		best:     make([]atomic.Uint64, cores),
		fadeTime: fadeTime,
	}
	l.bestTotal.Store(&totalRate{})
	return l
}

// Publish takes in a core's present rate and its recent best.
func (l *Ledger) Publish(core int, current, best float64, at time.Duration) {
	l.current[core].Store(math.Float64bits(current))
	l.best[core].Store(math.Float64bits(max(current, best)))
	total := sum(l.current)
	for {
		old := l.bestTotal.Load()
		if l.bestTotal.CompareAndSwap(old, l.next(old, total, at)) {
			return
		}
	}
}

// next is the total rate after a total was observed.
func (l *Ledger) next(old *totalRate, total float64, at time.Duration) *totalRate {
	faded := old.best
	if l.fadeTime > 0 && at > old.recordedAt {
		faded *= math.Exp(-float64(at-old.recordedAt) / float64(l.fadeTime))
	}
	next := &totalRate{
		best:        faded,
		recordedAt:  max(at, old.recordedAt),
		lowest:      min(old.lowest, total),
		windowStart: old.windowStart,
	}
	if at-old.windowStart >= totalRateWindow {
		next.best = max(faded, next.lowest)
		next.lowest = total
		next.windowStart = at
	}
	return next
}

// Share is the share of its own budget, from 0 to 1, that a core may spend, so that all cores together spend the budget of
// the process.
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
