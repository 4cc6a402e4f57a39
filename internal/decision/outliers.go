package decision

import (
	"cmp"
	"slices"
	"time"
)

// Outlier detection ejects a host that fails much more often than its peers. Caches are compared
// with the caches of the zone, and parents with parents. A failure that affects all peers is not the
// fault of one host, and ejecting that host would not help.
//
// The inputs are the results of attempts at the host, overdue attempts, and the failure share
// aggregated over all directors. An ejection lasts for the shortest deadline of all classes times
// the number of consecutive ejections, up to maxEjectionSteps. When it ends, the host is on probation:
// it receives one attempt at a time, a failure that is its fault ejects it again, and a success
// while its failure share is low ends the probation. An overdue attempt without any response ejects
// the host only the second time, also on probation. A restart of the host clears its record. The
// origin is never ejected. An ejected cache still receives a request that no other cache can take.

const (
	outlierFailureShare    = 0.4 // share of failures above which a host is ejected, if most of its peers have less than half of its share
	maxUnansweredOverdue   = 2   // overdue attempts in a row, without any response from the host, that eject it
	maxEjectedShare        = 0.5 // share of a host's peers that may be ejected at the same time, as the others must take over their load
	maxEjectionSteps       = 3   // number of consecutive ejections up to which each ejection is longer than the one before
	slowOverheadDeviations = 2   // mean deviations above the mean overhead beyond which a cache is slow instead of only losing answers

	// A full cache rejects immediately, while a rejection by its source arrives over a connection. A
	// later rejection is therefore attributed to the source.
	ownRejectionWithin = 25 * time.Millisecond
)

// healthRecord is the failure state of a host.
type healthRecord struct {
	failureShare         float64       // smoothed share of attempts that failed because of the host
	aggregatedFailures   float64       // the same over all directors; see AggregatedHealth
	overdueSinceAnswer   int           // overdue attempts since its last response
	ejectedUntil         time.Duration // clock time
	consecutiveEjections int           // 0: neither ejected nor on probation
	// Counts since the last call of HostOutcomes.
	outcomes float64
	failures float64
}

func (h *healthRecord) isEjected(now time.Duration) bool { return now < h.ejectedUntil }

func (h *healthRecord) isOnProbation(now time.Duration) bool {
	return h.consecutiveEjections > 0 && !h.isEjected(now)
}

// addOutcome adds a success or a failure to the record.
func (h *healthRecord) addOutcome(failed bool) {
	smooth(&h.failureShare, indicator(failed), 2*smoothing)
	h.outcomes++
	h.failures += indicator(failed)
}

// eject starts an ejection, one step longer than the previous one, up to maxEjectionSteps steps.
func (h *healthRecord) eject(now, step time.Duration) {
	h.consecutiveEjections++
	h.overdueSinceAnswer = 0
	h.ejectedUntil = now + step*time.Duration(min(h.consecutiveEjections, maxEjectionSteps))
}

// isHealthy reports whether a host is neither ejected nor, on probation, busy with an attempt.
func (r *Router) isHealthy(h *host) bool {
	return !h.health.isEjected(r.now) && (h.health.consecutiveEjections == 0 || h.attemptsInFlight == 0)
}

// recordSuccess records a served attempt as a success of its cache and, if the source was involved,
// of the source.
func (r *Router) recordSuccess(a *attempt, e AttemptResult) {
	if !a.countedAgainstCache {
		r.recordOutcome(a.cache, false)
	}
	if r.countsForSource(e) {
		r.recordOutcome(a.source, false)
	}
}

// countsForSource reports whether a served attempt counts as a success of its source. If answers do
// not report a cache status, every served attempt does.
func (r *Router) countsForSource(e AttemptResult) bool {
	isFill := e.CacheStatus == CacheStatusFilled || e.CacheStatus == CacheStatusFilledByOrigin
	return isFill || r.settings.CacheStatusMode == CacheStatusModeNone
}

// recordFailure attributes a failed attempt to the host at fault.
func (r *Router) recordFailure(a *attempt, e AttemptResult) {
	switch {
	case e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusSourceLost:
		r.recordOutcome(a.source, true)
	case e.CacheStatus == CacheStatusOriginFailed:
		r.recordOutcome(cmp.Or(r.endpoints.origin, a.source), true)
	case e.Status == Full && e.CacheStatus == CacheStatusNone && a.source != a.cache && e.Elapsed > ownRejectionWithin:
		r.recordOutcome(a.source, true)
	case e.Status == TimedOut || e.Status == Miss || e.Status == Reset || e.CacheStatus == CacheStatusNoSpace:
		// No host is at fault.
	default:
		r.recordOutcome(a.cache, true)
		if r.settings.CacheStatusMode != CacheStatusModeAll && a.source != a.cache {
			r.recordOutcome(a.source, true)
		}
	}
}

// recordOverdue attributes an overdue attempt: to the cache if the cache has not responded to
// anything since the attempt was sent, otherwise to the source if that has not, and otherwise to the
// cache if its answers are slow.
func (r *Router) recordOverdue(a *attempt) {
	overhead := r.estimates.overhead
	switch cache := a.cache; {
	case cache.lastAnswerAt < a.sentAt:
		cache.health.overdueSinceAnswer++
		if cache.health.overdueSinceAnswer >= maxUnansweredOverdue {
			r.eject(cache)
		}
	case a.source.lastAnswerAt < a.sentAt && a.source != r.endpoints.origin && a.source != cache:
		r.recordOutcome(a.source, true)
	case !cache.isSaturated() && cache.overhead > overhead.bound(slowOverheadDeviations):
		a.countedAgainstCache = true
		r.recordOutcome(cache, true)
	}
}

// recordOutcome records a success or a failure of a host, and ejects the host if it has become an
// outlier.
func (r *Router) recordOutcome(h *host, failed bool) {
	health := &h.health
	health.addOutcome(failed)
	if !failed {
		if health.isOnProbation(r.now) && health.failureShare < outlierFailureShare {
			health.consecutiveEjections = 0
		}
		return
	}
	isFailing := max(health.failureShare, health.aggregatedFailures) > outlierFailureShare
	if health.isOnProbation(r.now) || isFailing && r.failsMoreThanPeers(h) {
		r.eject(h)
	}
}

// failsMoreThanPeers reports whether the failure share of a host is more than twice the median of
// its peers. The median tolerates that some peers fail as well.
func (r *Router) failsMoreThanPeers(h *host) bool {
	var others []float64
	for _, o := range r.endpoints.peersOf(h) {
		if o != h && o.isReady {
			others = append(others, o.health.failureShare)
		}
	}
	slices.Sort(others)
	return len(others) > 0 && others[(len(others)-1)/2] < h.health.failureShare/2
}

// eject ejects a host unless it is the origin, is ejected already, or too many of its peers are
// ejected.
func (r *Router) eject(h *host) {
	if h.health.isEjected(r.now) || h == r.endpoints.origin {
		return
	}
	ready := 0
	ejected := 1 // the host itself
	for _, o := range r.endpoints.peersOf(h) {
		if !o.isReady {
			continue
		}
		ready++
		if o != h && o.health.isEjected(r.now) {
			ejected++
		}
	}
	if float64(ejected) > maxEjectedShare*float64(ready) {
		return
	}
	h.health.eject(r.now, r.shortestDeadline)
}

// HostOutcomes calls report for each host that had outcomes since the last call of HostOutcomes, with
// the number of outcomes, the number of failures that were the host's fault, and its smoothed latency
// overhead in seconds.
func (r *Router) HostOutcomes(report func(h HostID, outcomes, failures, overhead float64)) {
	for id, h := range r.endpoints.byID {
		if h.health.outcomes > 0 {
			report(id, h.health.outcomes, h.health.failures, max(0, cmp.Or(h.asSource.firstByte, h.overhead)))
			h.health.outcomes = 0
			h.health.failures = 0
		}
	}
}
