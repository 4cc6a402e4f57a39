package decision

import (
	"math"
	"slices"
	"time"
)

// Concurrency limits bound the sending time in flight over a shared resource that may be overloaded:
// a cache's own link, the location's link for fills, and the origin for fetches. An overloaded
// resource shows in answers that miss their objective and in rejections. Limits are therefore
// adaptive: each request that meets its objective increases the limit by a share of its sending
// time, and each request that does not decreases it by a larger share. A limit is introduced when a
// large enough share of requests is late or rejected, and removed when it is far above the sending
// time in flight.

const (
	limitLateShareThreshold  = 0.2 // share of late or rejected requests above which a limit is introduced
	limitIncrease            = 0.2 // a request that meets its objective increases the limit by this share of its sending time
	limitDecrease            = 0.6 // a request that misses it decreases the limit by this share; the limit is stable if a quarter miss
	limitRemovalFactor       = 4   // a limit above this many times the mean sending time in flight is removed
	lateFillLinkUseThreshold = 2   // link use from which a late fill counts against the link; below it, hosts behind the link may be slow

	// Share of failures above which late fills are attributed to a source that fails more than its peers.
	suspectFailureShare = outlierFailureShare / 2
)

// concurrencyLimit bounds the sending time in flight.
type concurrencyLimit struct {
	limit        float64 // in nanoseconds; 0: no limit
	inFlight     time.Duration
	meanInFlight float64 // smoothed, in nanoseconds
	lateShare    float64 // smoothed share of requests that are late or rejected
}

func (l *concurrencyLimit) isLimited() bool { return l.limit > 0 }

// fits reports whether a request that needs the given headroom may be sent. If nothing is in flight,
// any request may be sent.
func (l *concurrencyLimit) fits(requiredHeadroom time.Duration) bool {
	return l.limit == 0 || l.inFlight <= 0 || float64(l.inFlight+requiredHeadroom) <= l.limit
}

func (l *concurrencyLimit) acquire(sendTime time.Duration) { l.inFlight += sendTime }

func (l *concurrencyLimit) release(sendTime time.Duration) { l.inFlight -= sendTime }

// update adjusts the limit after a request that met or missed its objective. The factor scales the
// step.
func (l *concurrencyLimit) update(sendTime, typicalSendTime time.Duration, metObjective bool, factor float64) {
	send := float64(sendTime)
	smooth(&l.meanInFlight, float64(l.inFlight), smoothing)
	smooth(&l.lateShare, indicator(!metObjective), smoothing)
	switch {
	case l.limit == 0 && !metObjective && l.lateShare > limitLateShareThreshold:
		l.limit = max(float64(l.inFlight)/2, send)
	case l.limit == 0: // too few late requests to introduce a limit
	case !metObjective:
		step := limitDecrease * min(send, l.limit/4) * factor
		l.limit = max(l.limit-step, min(l.limit, send)) // one request may always be in flight
	case l.limit > limitRemovalFactor*max(l.meanInFlight, float64(typicalSendTime)):
		l.limit = 0
	default:
		l.limit += limitIncrease * send * factor
	}
}

// sharedLimits are the limits on the resources that all caches of the location share.
type sharedLimits struct {
	fills   concurrencyLimit // fills over the location's link
	fetches concurrencyLimit // fills that the source fetches from the origin
	linkUse float64          // smoothed LoadReport.LinkUse of the zone's caches
}

func newSharedLimits() sharedLimits {
	return sharedLimits{linkUse: lateFillLinkUseThreshold} // assume a full link until it is reported: not all sites report link use
}

// limitsFor returns the shared limits that apply to an attempt: only the limit on fills if the
// source may serve only what it has cached, only the limit on fetches if the object is known to be
// missing at the parents, and otherwise both.
func (s *sharedLimits) limitsFor(q *request, depth fetchDepth) []*concurrencyLimit {
	switch {
	case depth == fetchFromSource:
		return []*concurrencyLimit{&s.fills}
	case q.knownMiss(nil) == fetchFromSource:
		return []*concurrencyLimit{&s.fetches}
	default:
		return []*concurrencyLimit{&s.fills, &s.fetches}
	}
}

// updateLimits releases the limits of an attempt that has ended, and adjusts those whose resource
// affected its result: the cache's link, the location's link or the origin.
func (r *Router) updateLimits(a *attempt, e AttemptResult) {
	q := a.request
	a.cache.limit.release(q.sendTime)
	for _, l := range a.limits {
		l.release(q.sendTime)
	}
	if e.Status == TimedOut && e.Elapsed < q.objective {
		return // the client's timeout was shorter than the objective, so this is no sign of overload
	}
	metObjective := e.Status == OK && e.Elapsed <= q.objective
	isHit := e.CacheStatus == CacheStatusHit || e.CacheStatus == CacheStatusStale
	isLookup := a.depth == fetchFromCache && (e.Status == OK || e.Status == TimedOut)
	switch {
	case isHit || isLookup:
		r.updateLimit(&a.cache.limit, q, metObjective)
		return
	case e.CacheStatus == CacheStatusFilled && r.settings.CacheStatusMode == CacheStatusModeAll:
		// The origin was not involved. If only hits are reported, a fill that was fetched from the
		// origin looks the same and has to count: otherwise only failures would adjust the limit on
		// fetches.
		a.limits = slices.DeleteFunc(a.limits, func(l *concurrencyLimit) bool { return l == &r.limits.fetches })
	case e.CacheStatus == CacheStatusFilledByOrigin && !metObjective && len(a.limits) > 0: // the origin was slow, not the link
		a.limits = a.limits[len(a.limits)-1:]
	}
	isRejected := e.Status == Full || e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusOriginFailed
	if isRejected || e.Status == OK || e.Status == TimedOut {
		r.updateSharedLimits(a, metObjective)
	}
}

// updateSharedLimits adjusts the shared limits that an attempt counts against, at most once per
// attempt. The limit on fills protects the location's link: a late fill does not decrease it if load
// reports show that the link is not full, or if only the source of the fill has stopped responding.
func (r *Router) updateSharedLimits(a *attempt, metObjective bool) {
	if a.limitsUpdated {
		return
	}
	a.limitsUpdated = true
	sourceMayFail := a.source != a.cache && a.source.health.failureShare > suspectFailureShare
	if !metObjective && sourceMayFail && r.failsMoreThanPeers(a.source) {
		return // the source is at fault; its rejections are no sign of an overloaded link or origin
	}
	for _, l := range a.limits {
		if metObjective || l != &r.limits.fills || !r.onlySourceIsUnresponsive(a) && r.limits.linkUse >= lateFillLinkUseThreshold {
			r.updateLimit(l, a.request, metObjective)
		}
	}
}

// updateLimit adjusts a limit after a request. The step grows with the number of directors, because
// each of many directors sees only few answers.
func (r *Router) updateLimit(l *concurrencyLimit, q *request, metObjective bool) {
	typical := seconds(r.estimates.meanSend[q.classIndex])
	l.update(q.sendTime, typical, metObjective, math.Sqrt(r.directorsInZone))
}

// onlySourceIsUnresponsive reports whether, since the attempt was sent, its source has not responded
// to anything while some parent has.
func (r *Router) onlySourceIsUnresponsive(a *attempt) bool {
	return a.source.lastAnswerAt < a.sentAt && r.endpoints.parentAnsweredSince(a.sentAt)
}
