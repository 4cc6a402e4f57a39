package decision

import (
	"math"
	"time"
)

// Load meters measure the sending time that clients demand and that is served, in seconds per
// second. Slow start takes them for the capacity of hosts that list none.

const (
	rateInterval   = 2 * time.Second // over which rates are measured: a few large answers
	bestServedLife = 4               // longest deadlines over which the best served rate fades
)

// rateMeter measures a rate.
type rateMeter struct {
	sum  float64 // seconds of sending time since the last measurement
	rate float64 // smoothed, in seconds of sending time per second
}

func (m *rateMeter) add(sendTime time.Duration) { m.sum += sendTime.Seconds() }

// measure moves the rate towards that of the last elapsed seconds.
func (m *rateMeter) measure(elapsed, weight float64) {
	smooth(&m.rate, m.sum/elapsed, weight)
	m.sum = 0
}

// loadMeter measures the load of this director.
type loadMeter struct {
	demand     rateMeter // of all requests
	served     rateMeter // of those that were answered
	bestServed float64   // the highest rate of served lately
	measuredAt time.Duration
}

// measure updates the rates.
func (l *loadMeter) measure(now, longestDeadline time.Duration) {
	elapsed := (now - l.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/rateInterval.Seconds())
	l.demand.measure(elapsed, weight)
	l.served.measure(elapsed, weight)
	l.bestServed = max(l.served.rate, l.bestServed*math.Exp(-elapsed/(bestServedLife*longestDeadline.Seconds())))
	l.measuredAt = now
}

// ServedRate is the load that this director serves, and the most of it lately, in seconds of
// sending time per second.
func (r *Router) ServedRate() (now, best float64) { return r.load.served.rate, r.load.bestServed }
