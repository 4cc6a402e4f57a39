package decision

import (
	"math"
	"time"
)

// Estimates of typical values: the overhead of answers beyond their sending time, the size of
// requests, the miss rate, the share of fills that are fetched from the origin, and the fill latency
// of each source. All are exponentially weighted moving averages over the results of attempts.

const (
	smoothing         = 0.1           // weight of a new sample; the average covers about the last ten results
	slowSmoothing     = smoothing / 4 // for values that change slowly
	fetchSmoothing    = smoothing / 2 // for the share of fetches
	sourceStaleFactor = 2             // a source's estimate is ignored once it is older than this many times the longest deadline
)

// smooth updates an exponentially weighted moving average with a sample of the given weight.
func smooth(mean *float64, sample, weight float64) { *mean += weight * (sample - *mean) }

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// overheadEstimate holds the mean overhead of an answer beyond its sending time, in seconds, and its
// mean deviation, like TCP's estimate of the round-trip time (RFC 6298).
type overheadEstimate struct {
	mean      float64
	deviation float64
}

func (o *overheadEstimate) observe(overhead float64) {
	smooth(&o.deviation, math.Abs(overhead-o.mean), smoothing)
	smooth(&o.mean, overhead, smoothing)
}

// bound returns the mean overhead plus the given number of mean deviations, in seconds.
func (o *overheadEstimate) bound(deviations float64) float64 { return o.mean + deviations*o.deviation }

// sourceEstimate is the latency of the fills that a host serves as a source.
type sourceEstimate struct {
	firstByte    float64 // smoothed time to the first byte, in seconds
	fillOverhead float64 // smoothed fill time less first byte, sending time and the overhead of a hit, in seconds
	sampledAt    time.Duration
}

func (s *sourceEstimate) observe(firstByte, fillOverhead float64, isRecent bool, now time.Duration) {
	if !isRecent {
		s.firstByte = firstByte
		s.fillOverhead = fillOverhead
	}
	smooth(&s.fillOverhead, fillOverhead, smoothing)
	smooth(&s.firstByte, firstByte, smoothing)
	s.sampledAt = now
}

// estimates holds the estimates that do not belong to a single host.
type estimates struct {
	overhead    overheadEstimate
	hitOverhead float64   // smoothed overhead of hits beyond their sending time, in seconds
	meanSend    []float64 // smoothed sending time of each class, in seconds
	missShare   float64   // smoothed share of answers that were not hits
	fetchShare  float64   // smoothed share of fills that the source had to fetch from the origin
}

func newEstimates(classes int) estimates {
	return estimates{meanSend: make([]float64, classes), missShare: unmeasuredMissShare}
}

// observeSize returns the sending time of a request, computed from its size and the rate of one
// transfer, and updates the mean of the class. If the size or the rate is unknown, it returns the
// mean.
func (s *estimates) observeSize(class int, sizeKB, rateKBPerS float64) time.Duration {
	mean := &s.meanSend[class]
	if sizeKB <= 0 || rateKBPerS <= 0 {
		return seconds(*mean)
	}
	send := sizeKB / rateKBPerS
	if *mean == 0 {
		*mean = send
	}
	smooth(mean, send, slowSmoothing)
	return seconds(send)
}

// plannedMissShare returns the share of attempts that are assumed to need a fill: the estimated miss
// share with a safety margin.
func (s *estimates) plannedMissShare() float64 { return min(1, missShareMargin*s.missShare) }

// observeLatency updates the latency and miss estimates from a served attempt.
func (r *Router) observeLatency(a *attempt, e AttemptResult) {
	s := &r.estimates
	mode := r.settings.CacheStatusMode
	overhead := max(0, (e.Elapsed - a.request.sendTime).Seconds())
	s.overhead.observe(overhead)
	smooth(&a.cache.overhead, overhead, 2*smoothing)
	if e.CacheStatus == CacheStatusHit || a.source == a.cache {
		smooth(&s.hitOverhead, overhead, smoothing)
	}
	if mode != CacheStatusModeNone {
		isMiss := e.CacheStatus != CacheStatusHit && e.CacheStatus != CacheStatusStale
		smooth(&s.missShare, indicator(isMiss), slowSmoothing)
	}
	if e.CacheStatus == CacheStatusFilled || e.CacheStatus == CacheStatusFilledByOrigin {
		smooth(&s.fetchShare, indicator(e.CacheStatus == CacheStatusFilledByOrigin), fetchSmoothing)
	}
	if r.countsForSource(e) {
		r.observeSource(a, e)
	}
}

// observeSource updates the latency estimate of a fill's source.
func (r *Router) observeSource(a *attempt, e AttemptResult) {
	source := a.source
	source.lastAnswerAt = r.now
	firstByte := e.FirstByte.Seconds()
	if firstByte <= 0 { // unknown
		firstByte = max(0, (e.Elapsed - a.request.sendTime).Seconds())
	}
	fillOverhead := 0.0
	if e.FirstByte > 0 && source != r.endpoints.origin {
		fillOverhead = (e.Elapsed - e.FirstByte - a.request.sendTime).Seconds() - r.estimates.hitOverhead
	}
	source.asSource.observe(firstByte, fillOverhead, r.isRecent(source.asSource), r.now)
}

// isRecent reports whether a source's estimate is recent enough to be used.
func (r *Router) isRecent(s sourceEstimate) bool {
	return s.sampledAt > 0 && r.now-s.sampledAt < sourceStaleFactor*r.longestDeadline
}

// sourceLatency returns the time, in seconds, that a fill from a parent is expected to take beyond a
// hit: the time to first byte, the fill overhead, and the expected loss from failures as aggregated
// over all directors. A parent without a recent estimate is assumed to be average.
func (r *Router) sourceLatency(p *host) float64 {
	sum := 0.0
	n := 0.0
	for _, o := range r.endpoints.parents {
		if r.isRecent(o.asSource) && (o == p || !r.isRecent(p.asSource)) {
			sum = sum + o.asSource.firstByte + max(0, o.asSource.fillOverhead)
			n++
		}
	}
	return sum/max(1, n) + p.health.aggregatedFailures*r.shortestDeadline.Seconds()
}
