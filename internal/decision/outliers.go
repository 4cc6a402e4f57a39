package decision

import (
	"cmp"
	"slices"
	"time"
)

// Outlier detection ejects a host that fails much more than its peers: caches are compared with the
// caches of the zone, parents with parents. What all peers suffer is not the host's fault, and
// ejecting it would help nobody.
//
// Inputs are the results of attempts at the host, attempts that are overdue, and the failures that
// all directors together have seen. An ejection lasts for the shortest deadline of all classes,
// times the number of ejections in a row, up to maxEjectionSteps. After it the host is on trial: it
// gets one attempt at a time, a failure by its fault ejects it again, and a success while its share
// of failures is low ends the trial. An overdue attempt without any answer ejects it only the second
// time, on trial too. A restart of the host clears its record. The origin is never ejected. An
// ejected cache still gets a request that no other cache can take.

const (
	outlierFailureShare = 0.4 // share of failures that ejects a host, if most of its peers have under half of its share
	maxUnanswered       = 2   // overdue attempts without any answer of the host between them that eject it
	maxEjectedShare     = 0.5 // share of a host's peers that may be ejected at once: the others have to carry their load
	maxEjectionSteps    = 3   // ejections in a row up to which each is longer than the one before, by the shortest deadline
	slowDeviations      = 2   // mean deviations beyond the usual overhead at which a cache is slow, not only losing answers

	// A cache that is full says so at once; its source's rejection reaches it over a connection.
	ownRejectionWithin = 25 * time.Millisecond
)

// healthRecord is what is known of a host's faults.
type healthRecord struct {
	failureShare       float64       // smoothed share of attempts that failed by the host's fault
	aggregatedFailures float64       // the same as all directors see it; see AggregatedHealth
	overdueSinceAnswer int           // overdue attempts since its last answer
	ejectedUntil       time.Duration // clock time
	ejections          int           // in a row; 0: neither ejected nor on trial
	// Outcomes since HostOutcomes was called last.
	outcomes float64
	failures float64
}

func (h *healthRecord) isEjected(now time.Duration) bool { return now < h.ejectedUntil }

func (h *healthRecord) isOnTrial(now time.Duration) bool { return h.ejections > 0 && !h.isEjected(now) }

// count counts an outcome.
func (h *healthRecord) count(failed bool) {
	smooth(&h.failureShare, indicator(failed), 2*smoothing)
	h.outcomes++
	h.failures += indicator(failed)
}

// eject begins an ejection. It lasts a step longer than the one before, up to a limit.
func (h *healthRecord) eject(now, step time.Duration) {
	h.ejections++
	h.overdueSinceAnswer = 0
	h.ejectedUntil = now + step*time.Duration(min(h.ejections, maxEjectionSteps))
}

// healthy reports whether a host may be used.
func (r *Router) healthy(h *host) bool {
	return !h.health.isEjected(r.now) && (h.health.ejections == 0 || h.attemptsInFlight == 0)
}

// recordSuccess counts a served attempt for its cache, and for its source if that took part.
func (r *Router) recordSuccess(a *attempt, e AttemptResult) {
	if !a.cacheBlamed {
		r.recordOutcome(a.cache, false)
	}
	if r.sourceTookPart(e) {
		r.recordOutcome(a.source, false)
	}
}

// sourceTookPart reports whether a served attempt counts for its source. Where answers do not
// report it, each does.
func (r *Router) sourceTookPart(e AttemptResult) bool {
	isFill := e.CacheStatus == CacheStatusFilled || e.CacheStatus == CacheStatusFilledByOrigin
	return isFill || r.settings.CacheStatusMode == CacheStatusModeNone
}

// recordFailure counts a failed attempt against the host at fault.
func (r *Router) recordFailure(a *attempt, e AttemptResult) {
	switch {
	case e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusSourceLost:
		r.recordOutcome(a.source, true)
	case e.CacheStatus == CacheStatusOriginFailed:
		r.recordOutcome(cmp.Or(r.endpoints.origin, a.source), true)
	case e.Status == Full && e.CacheStatus == CacheStatusNone && a.source != a.cache && e.Elapsed > ownRejectionWithin:
		r.recordOutcome(a.source, true)
	case e.Status == TimedOut || e.Status == Miss || e.Status == Reset || e.CacheStatus == CacheStatusNoSpace:
		// It shows no fault of a host.
	default:
		r.recordOutcome(a.cache, true)
		if r.settings.CacheStatusMode != CacheStatusModeAll && a.source != a.cache {
			r.recordOutcome(a.source, true)
		}
	}
}

// recordOverdue counts an overdue attempt against its cache if that has answered nothing since,
// else against a source that has not, else against the cache if its answers are slow.
func (r *Router) recordOverdue(a *attempt) {
	overhead := r.estimates.overhead
	switch cache := a.cache; {
	case cache.lastAnswerAt < a.sentAt:
		cache.health.overdueSinceAnswer++
		if cache.health.overdueSinceAnswer >= maxUnanswered {
			r.eject(cache)
		}
	case a.source.lastAnswerAt < a.sentAt && a.source != r.endpoints.origin && a.source != cache:
		r.recordOutcome(a.source, true)
	case !cache.isSaturated() && cache.overhead > overhead.bound(slowDeviations):
		a.cacheBlamed = true
		r.recordOutcome(cache, true)
	}
}

// recordOutcome counts an outcome for or against a host, and ejects it if it has become an outlier.
func (r *Router) recordOutcome(h *host, failed bool) {
	health := &h.health
	health.count(failed)
	if !failed {
		if health.isOnTrial(r.now) && health.failureShare < outlierFailureShare {
			health.ejections = 0
		}
		return
	}
	isFailing := max(health.failureShare, health.aggregatedFailures) > outlierFailureShare
	if health.isOnTrial(r.now) || isFailing && r.failsMoreThanPeers(h) {
		r.eject(h)
	}
}

// failsMoreThanPeers reports whether a host has more than twice the failures of its peers' median.
// Some peers may fail beside it.
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

// eject ejects a host, unless too many of its peers are ejected.
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

// HostOutcomes passes what was seen of each host since it was called last: outcomes, how many of
// them were failures by the host's fault, and its smoothed latency overhead in seconds.
func (r *Router) HostOutcomes(report func(h HostID, outcomes, failures, overhead float64)) {
	for id, h := range r.endpoints.byID {
		if h.health.outcomes > 0 {
			report(id, h.health.outcomes, h.health.failures, max(0, cmp.Or(h.asSource.firstByte, h.overhead)))
			h.health.outcomes = 0
			h.health.failures = 0
		}
	}
}
