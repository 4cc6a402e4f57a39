// Package budget keeps the cold rules for a process of several cores. Each core's decisions spend a cold box's budget by
// what the core itself has carried lately. Where load moves from core to core each remembers its own best, and the parts
// add up to more than the process ever carried; the ledger tells each core by how much to take its part back. It is
// pure but for atomics: rates in seconds of sending per second and times come in as arguments.
package budget

import (
	"math"
	"sync/atomic"
	"time"
)

// Ledger is shared by all cores; its methods take no lock.
type Ledger struct {
	now, best []atomic.Uint64 // by core, as float bits
	total     atomic.Pointer[mark]
	fades     time.Duration
}

// settles is how long a sum must hold to count. Cores publish one after the other: for a moment a load that moves is
// counted on the core that it left and on the one that it came to.
const settles = 200 * time.Millisecond

// mark is the most that the process carried, as it was at a time, and the least sum since the last time it was judged.
type mark struct {
	rate  float64
	at    time.Duration
	least float64
	since time.Duration
}

// New makes a ledger of some cores. fades is the time in which a best rate falls to 1/e, as it does in the cores.
func New(cores int, fades time.Duration) *Ledger {
	l := &Ledger{now: make([]atomic.Uint64, cores), best: make([]atomic.Uint64, cores), fades: fades}
	l.total.Store(&mark{})
	return l
}

// Publish takes in what a core carries and its best of late.
func (l *Ledger) Publish(core int, now, best float64, at time.Duration) {
	l.now[core].Store(math.Float64bits(now))
	l.best[core].Store(math.Float64bits(max(now, best)))
	sum := sumOf(l.now)
	for {
		old := l.total.Load()
		faded := old.rate
		if l.fades > 0 && at > old.at {
			faded *= math.Exp(-float64(at-old.at) / float64(l.fades))
		}
		m := &mark{rate: faded, at: max(at, old.at), least: min(old.least, sum), since: old.since}
		if at-old.since >= settles {
			m.rate, m.least, m.since = max(faded, m.least), sum, at
		}
		if l.total.CompareAndSwap(old, m) {
			return
		}
	}
}

// Part is what of its own budget a core may spend, so that all together spend that of the process: from 0 to 1.
func (l *Ledger) Part() float64 {
	bests, total := sumOf(l.best), l.total.Load().rate
	if bests <= 0 || total <= 0 { // nothing is known yet; each core's own caution holds
		return 1
	}
	return min(1, total/bests)
}

func sumOf(rates []atomic.Uint64) (sum float64) {
	for i := range rates {
		sum += math.Float64frombits(rates[i].Load())
	}
	return sum
}
