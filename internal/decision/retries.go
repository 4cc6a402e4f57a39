package decision

import (
	"slices"
	"time"
)

// Retries: the rules for sending another attempt of a request.
//
// An attempt that failed, or that was cancelled because it was overdue, is followed by another if
// the request may run again (mayRepeat), if time and Settings.MaxAttempts allow it (hasAttemptLeft),
// and if the retry budget has a token. A failure that cost no work, or whose work was not lost,
// needs no token. An overdue attempt is cancelled before the next one starts: a request never has
// two attempts in flight.
//
// The retry budget grows with the number of requests, so that retries remain a bounded share of the
// load and cannot turn an overload into a retry storm.

const (
	retryTokensPerRequest = 0.15 // tokens that each request adds
	zoneRetryTokens       = 20.0 // maximum number of tokens of all directors of a zone together
	minRetryTokens        = 2.0  // lower bound on the maximum number of tokens of one director

	overdueDeviations = 4 // mean deviations above the mean overhead at which an attempt is overdue, like TCP's timer (RFC 6298)
)

// retryBudget is a token bucket. Each request adds a fraction of a token; a retry takes a whole one.
type retryBudget struct{ tokens float64 }

// maxRetryTokens returns the maximum number of tokens of one director. The retries that all directors
// of a zone can send at once must not grow with the number of directors.
func maxRetryTokens(directorsInZone float64) float64 {
	return max(minRetryTokens, zoneRetryTokens/directorsInZone)
}

func (b *retryBudget) refill(directorsInZone float64) {
	b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens(directorsInZone))
}

func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() { b.tokens-- }

// hasAttemptLeft reports whether the deadline and Settings.MaxAttempts allow another attempt.
func (r *Router) hasAttemptLeft(q *request) bool {
	return len(q.attempts) < r.settings.MaxAttempts && r.now+q.sendTime < q.deadline
}

// mayRepeat reports whether it is safe to send the request to the host: no earlier attempt can have
// run, the request is idempotent, or the host drops repeats of its idempotency key.
func (r *Router) mayRepeat(q *request, h *host) bool {
	class := r.class(q)
	if class.Idempotency == Idempotent {
		return true
	}
	first := q.firstRun()
	if first == nil {
		return true
	}
	return class.Idempotency == IdempotentWithKey && r.now-first.sentAt < class.DedupWindow && class.DedupScope.covers(first.cache, h)
}

// covers reports whether each of the hosts drops repeats of requests that ran at the other.
func (s DedupScope) covers(a, b *host) bool {
	switch s {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return false
}

// handleFailure retries a request whose attempt ended without serving it or, if no retry is allowed,
// ends the request.
func (r *Router) handleFailure(q *request, a *attempt, e AttemptResult) {
	timedOut := e.Status == TimedOut && r.now+r.settings.AnswerGrace >= q.deadline
	// A lookup that found nothing and a refused connection cost no work. If the connection broke, the
	// work was done and the cache has the object.
	isFree := a.knownMiss > 0 || e.Status == Reset || e.Status == ConnectFailed
	if timedOut || !r.hasAttemptLeft(q) || !isFree && !r.retryBudget.hasToken() {
		r.rejectOrFail(q)
		return
	}
	if !isFree {
		r.retryBudget.spend()
	}
	r.route(q)
}

// overdueAt returns the clock time at which an attempt that is sent now becomes overdue: it has taken
// longer than its size and the typical overhead explain, and another attempt must start now to meet
// the objective. Each later attempt is given twice the time of the previous one.
func (r *Router) overdueAt(q *request) time.Duration {
	typical := q.sendTime + seconds(r.estimates.overhead.mean)
	margin := seconds(overdueDeviations * r.estimates.overhead.deviation)
	if n := len(q.attempts); n > 1 {
		return r.now + (typical+margin)<<(n-1)
	}
	return max(r.now+typical+margin, r.latestSendAt(q))
}

// handleOverdue cancels an overdue attempt if another one should replace it, and attributes the delay
// to the host at fault.
func (r *Router) handleOverdue(a *attempt) {
	if r.shouldReplace(a) {
		r.updateSharedLimits(a, false) // counts as late now, because a cancelled attempt cannot miss its objective later
		r.emit(CancelAttempt{Request: a.request.ID, Attempt: a.number})
	}
	r.recordOverdue(a)
}

// shouldReplace reports whether an overdue attempt should be cancelled and replaced by another one,
// because its answer may be lost or its fill may hang.
func (r *Router) shouldReplace(a *attempt) bool {
	cache := a.cache
	q := a.request
	// While a limit on fetches is in force or no parent responds, all fills are slow, and another one
	// would add to the overload.
	fillsAreSlow := a.source != cache && a.depth == fetchAnywhere &&
		(r.limits.fetches.isLimited() || !r.endpoints.parentAnsweredSince(a.sentAt))
	if fillsAreSlow || cache.lastAnswerAt < a.sentAt && !r.hasOtherCache(q, cache) {
		return false
	}
	return r.settings.Cancel && r.retryBudget.hasToken() && r.requests[q.ID] == q && r.hasAttemptLeft(q) &&
		r.mayRepeat(q, cache) && !cache.isSaturated()
}

// hasOtherCache reports whether a cache other than the given one could take the request.
func (r *Router) hasOtherCache(q *request, cache *host) bool {
	return slices.ContainsFunc(r.endpoints.caches, func(h *host) bool {
		return h != cache && r.canSendTo(h, q) && !q.failedAt(h)
	})
}
