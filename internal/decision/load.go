package decision

import (
	"math"
	"time"
)

// Load meters measure the demanded and the served load, in seconds of sending time per second. If the
// endpoint list does not give the capacity of a host, slow start derives it from the measured load.

const (
	rateInterval    = 2 * time.Second // averaging time of the rates; long enough for a few large answers
	peakServedDecay = 4               // time constant of the decay of the peak served rate, in longest deadlines
)

// rateMeter measures a rate.
type rateMeter struct {
	sum  float64 // seconds of sending time since the last measurement
	rate float64 // smoothed, in seconds of sending time per second
}

func (m *rateMeter) add(sendTime time.Duration) { m.sum += sendTime.Seconds() }

// measure updates the smoothed rate with the sum collected over the elapsed seconds, and clears the
// sum.
func (m *rateMeter) measure(elapsed, weight float64) {
	smooth(&m.rate, m.sum/elapsed, weight)
	m.sum = 0
}

// loadMeter measures the load of this director.
type loadMeter struct {
	demand     rateMeter // rate of all requests
	served     rateMeter // rate of served requests
	peakServed float64   // decaying maximum of the served rate
	measuredAt time.Duration
}

// measure updates the rates and the decaying peak.
func (l *loadMeter) measure(now, longestDeadline time.Duration) {
	elapsed := (now - l.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed/rateInterval.Seconds())
	l.demand.measure(elapsed, weight)
	l.served.measure(elapsed, weight)
	l.peakServed = max(l.served.rate, l.peakServed*math.Exp(-elapsed/(peakServedDecay*longestDeadline.Seconds())))
	l.measuredAt = now
}

// ServedRate returns the load that this director currently serves and its recent peak, in seconds of
// sending time per second.
func (r *Router) ServedRate() (current, peak float64) { return r.load.served.rate, r.load.peakServed }
