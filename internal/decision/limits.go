package decision

import (
	"math"
	"slices"
	"time"
)

// Concurrency limits bound the sending time that is in flight over something shared that may be
// short: a cache's own link, the location's link for fills, and the origin for fetches. What is
// short shows itself by answers that miss their objective or are rejected. A limit therefore
// adapts: it widens by a share of each request that meets its objective and narrows by a larger
// share of each that does not. There is no limit until a good share of requests miss, and again
// once it is far wider than what is in flight.

const (
	limitFromLateShare     = 0.2 // share of late or rejected requests from which there is a limit
	limitWidening          = 0.2 // of the sending time of each request that meets its objective
	limitNarrowing         = 0.6 // of that of each request that misses it: if a quarter miss, the limit stays where it is
	limitFreedAt           = 4   // times what is usually in flight at which there is no limit any more
	lateFillsBlameLinkFrom = 2   // link use from which a late fill counts against the link; below, what lies behind it may be slow

	// Share of failures from which a source that fails more than its peers is at fault for late fills.
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

// fits reports whether a request may be sent. One at least always may.
func (l *concurrencyLimit) fits(headroom time.Duration) bool {
	return l.limit == 0 || l.inFlight <= 0 || float64(l.inFlight+headroom) <= l.limit
}

func (l *concurrencyLimit) acquire(sendTime time.Duration) { l.inFlight += sendTime }

func (l *concurrencyLimit) release(sendTime time.Duration) { l.inFlight -= sendTime }

// update adapts the limit to a request that has met its objective or not. A step is larger by the
// given factor.
func (l *concurrencyLimit) update(sendTime, usualSendTime time.Duration, metObjective bool, factor float64) {
	send := float64(sendTime)
	smooth(&l.meanInFlight, float64(l.inFlight), smoothing)
	smooth(&l.lateShare, indicator(!metObjective), smoothing)
	switch {
	case l.limit == 0 && !metObjective && l.lateShare > limitFromLateShare:
		l.limit = max(float64(l.inFlight)/2, send)
	case l.limit == 0: // too few were late for a limit
	case !metObjective:
		step := limitNarrowing * min(send, l.limit/4) * factor
		l.limit = max(l.limit-step, min(l.limit, send)) // one request may be in flight anyway
	case l.limit > limitFreedAt*max(l.meanInFlight, float64(usualSendTime)):
		l.limit = 0
	default:
		l.limit += limitWidening * send * factor
	}
}

// sharedLimits are the limits of what all caches of the location share.
type sharedLimits struct {
	fills   concurrencyLimit // fills over the location's link
	fetches concurrencyLimit // those that go on to the origin
	linkUse float64          // smoothed LoadReport.LinkUse of the zone's caches
}

func newSharedLimits() sharedLimits {
	return sharedLimits{linkUse: lateFillsBlameLinkFrom} // as if full: not all sites report it
}

// forAttempt returns the limits under which an attempt is in flight: that of fetches alone where the object
// is known not to be cached by the parents, that of fills alone where only what the source has is
// asked for.
func (s *sharedLimits) forAttempt(q *request, depth fetchDepth) []*concurrencyLimit {
	switch {
	case depth == fetchFromSource:
		return []*concurrencyLimit{&s.fills}
	case q.knownMiss(nil) == fetchFromSource:
		return []*concurrencyLimit{&s.fetches}
	default:
		return []*concurrencyLimit{&s.fills, &s.fetches}
	}
}

// updateLimits takes an attempt out of its limits, and updates those whose link, parents or origin
// its result speaks of.
func (r *Router) updateLimits(a *attempt, e AttemptResult) {
	q := a.request
	a.cache.limit.release(q.sendTime)
	for _, l := range a.limits {
		l.release(q.sendTime)
	}
	if e.Status == TimedOut && e.Elapsed < q.objective {
		return // its client's timeout was shorter than its objective, which shows nothing to be short
	}
	metObjective := e.Status == OK && e.Elapsed <= q.objective
	isHit := e.CacheStatus == CacheStatusHit || e.CacheStatus == CacheStatusStale
	isLookup := a.depth == fetchFromCache && (e.Status == OK || e.Status == TimedOut)
	switch {
	case isHit || isLookup:
		r.updateLimit(&a.cache.limit, q, metObjective)
		return
	case e.CacheStatus == CacheStatusFilled && r.settings.CacheStatusMode == CacheStatusModeAll:
		// The origin had no part in it. Where only hits are reported, a fetched fill looks the same
		// and has to count, or the limit of fetches would learn from failures alone.
		a.limits = slices.DeleteFunc(a.limits, func(l *concurrencyLimit) bool { return l == &r.limits.fetches })
	case e.CacheStatus == CacheStatusFilledByOrigin && !metObjective && len(a.limits) > 0: // the origin is late, not the link
		a.limits = a.limits[len(a.limits)-1:]
	}
	isRejected := e.Status == Full || e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusOriginFailed
	if isRejected || e.Status == OK || e.Status == TimedOut {
		r.updateSharedLimits(a, metObjective)
	}
}

// updateSharedLimits updates the shared limits of an attempt, once for each attempt. The limit of
// fills stands for the location's link: a late fill does not narrow it where reports show that the
// link is not full, or where the fill's source alone hangs.
func (r *Router) updateSharedLimits(a *attempt, metObjective bool) {
	if a.limitsUpdated {
		return
	}
	a.limitsUpdated = true
	sourceMayFail := a.source != a.cache && a.source.health.failureShare > suspectFailureShare
	if !metObjective && sourceMayFail && r.failsMoreThanPeers(a.source) {
		return // the source is at fault, and what it rejects shows nothing to be short
	}
	for _, l := range a.limits {
		if metObjective || l != &r.limits.fills || !r.onlySourceIsSilent(a) && r.limits.linkUse >= lateFillsBlameLinkFrom {
			r.updateLimit(l, a.request, metObjective)
		}
	}
}

// updateLimit updates one limit for a request. Where many directors see few answers each, steps are
// larger.
func (r *Router) updateLimit(l *concurrencyLimit, q *request, metObjective bool) {
	usual := seconds(r.estimates.meanSend[q.classIndex])
	l.update(q.sendTime, usual, metObjective, math.Sqrt(r.directorsInZone))
}

// onlySourceIsSilent reports whether an attempt's source has answered nothing since, while a parent
// has.
func (r *Router) onlySourceIsSilent(a *attempt) bool {
	return a.source.lastAnswerAt < a.sentAt && r.endpoints.parentAnsweredSince(a.sentAt)
}
