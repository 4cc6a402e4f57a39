// Package budget limits the total slow start budget of a process with several cores to the budget of a process with one
// core.
//
// The decision module of each core derives the budget of a cache that is warming up from the peak rate that the core has
// recently served. If load moves from core to core, each core remembers its own peak rate, and the sum of these rates
// exceeds what the process has ever served. The Ledger computes the share of its budget that each core may spend.
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
	peak      []atomic.Uint64 // rate by core, as float bits
	peakTotal atomic.Pointer[totalRate]
	decayTime time.Duration
}

// totalRateWindow is the time for which a total rate must last to be recorded as the peak. Cores publish one after another,
// so load that moves is briefly counted on both its old and its new core.
const totalRateWindow = 200 * time.Millisecond

// totalRate holds the peak total rate of the process, and the lowest total in the current window.
type totalRate struct {
	peak        float64
	recordedAt  time.Duration // when peak was computed
	lowest      float64
	windowStart time.Duration
}

// New returns a Ledger for the given number of cores. decayTime is the time in which a peak rate decays to 1/e; it must
// equal the one that the cores use.
func New(cores int, decayTime time.Duration) *Ledger {
	l := &Ledger{
		current:   make([]atomic.Uint64, cores),
		peak:      make([]atomic.Uint64, cores),
		decayTime: decayTime,
	}
	l.peakTotal.Store(&totalRate{})
	return l
}

// Publish records a core's current rate and its recent peak rate at time at.
func (l *Ledger) Publish(core int, current, peak float64, at time.Duration) {
	l.current[core].Store(math.Float64bits(current))
	l.peak[core].Store(math.Float64bits(max(current, peak)))
	total := sum(l.current)
	for {
		old := l.peakTotal.Load()
		if l.peakTotal.CompareAndSwap(old, l.nextTotal(old, total, at)) {
			return
		}
	}
}

// nextTotal returns the state that replaces old when the cores publish the given total rate at time at.
func (l *Ledger) nextTotal(old *totalRate, total float64, at time.Duration) *totalRate {
	decayed := old.peak
	if l.decayTime > 0 && at > old.recordedAt {
		decayed *= math.Exp(-float64(at-old.recordedAt) / float64(l.decayTime))
	}
	nextTotal := &totalRate{
		peak:        decayed,
		recordedAt:  max(at, old.recordedAt),
		lowest:      min(old.lowest, total),
		windowStart: old.windowStart,
	}
	if at-old.windowStart >= totalRateWindow {
		nextTotal.peak = max(decayed, nextTotal.lowest)
		nextTotal.lowest = total
		nextTotal.windowStart = at
	}
	return nextTotal
}

// Share returns the share of its own budget, from 0 to 1, that each core may spend so that all cores together do not exceed
// the budget of the process.
func (l *Ledger) Share() float64 {
	sumOfPeaks := sum(l.peak)
	total := l.peakTotal.Load().peak
	if sumOfPeaks <= 0 || total <= 0 { // no rate has been recorded yet
		return 1
	}
	return min(1, total/sumOfPeaks)
}

func sum(rates []atomic.Uint64) (total float64) {
	for i := range rates {
		total += math.Float64frombits(rates[i].Load())
	}
	return total
}
