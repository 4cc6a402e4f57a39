package decision

import (
	"slices"
	"time"
)

// Retries decide when a request may have another attempt.
//
// An attempt that failed, or that is overdue and was cancelled, is followed by another if the
// request may run again (mayRepeat), if time and Settings.MaxAttempts allow it (hasAttemptLeft),
// and if the retry budget has a token. A failure that cost no work, or whose work was not lost,
// needs no token. An overdue attempt is cancelled before the next one starts: a request never has
// two attempts out.
//
// The retry budget grows with the requests, so that retries are a bounded share of the load and
// cannot turn an overload into a storm.

const (
	retryTokensPerRequest = 0.15 // retries that each request pays for
	zoneRetryTokens       = 20.0 // retries that all directors of a zone can save up together
	minRetryTokens        = 2.0  // retries that one director can always save up

	overdueDeviations = 4 // mean deviations beyond the usual overhead at which an attempt is overdue, as in TCP's timer (RFC 6298)
)

// retryBudget is a token bucket. Each request pays in a share of a token; a retry takes one.
type retryBudget struct{ tokens float64 }

// maxRetryTokens bounds what one director saves up: what all directors of a zone can spend at once
// on its caches must not grow with their number.
func maxRetryTokens(directorsInZone float64) float64 {
	return max(minRetryTokens, zoneRetryTokens/directorsInZone)
}

func (b *retryBudget) earn(directorsInZone float64) {
	b.tokens = min(b.tokens+retryTokensPerRequest, maxRetryTokens(directorsInZone))
}

func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() { b.tokens-- }

// hasAttemptLeft reports whether time and the number of attempts allow one more.
func (r *Router) hasAttemptLeft(q *request) bool {
	return len(q.attempts) < r.settings.MaxAttempts && r.now+q.sendTime < q.deadline
}

// mayRepeat reports whether an attempt at the host is safe, though an earlier one may have run: the
// request is idempotent, or its key is known at the host.
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

// covers reports whether both hosts drop repeats of each other's requests.
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

// handleFailure follows an attempt that has ended without serving its request.
func (r *Router) handleFailure(q *request, a *attempt, e AttemptResult) {
	timedOut := e.Status == TimedOut && r.now+r.settings.AnswerGrace >= q.deadline
	// A lookup that found nothing and a refused connection cost no work. Behind a broken connection
	// the work was done, and the cache has the object.
	isFree := a.knownMiss > 0 || e.Status == Reset || e.Status == ConnectFailed
	if timedOut || !r.hasAttemptLeft(q) || !isFree && !r.retryBudget.hasToken() {
		r.giveUp(q)
		return
	}
	if !isFree {
		r.retryBudget.spend()
	}
	r.route(q)
}

// overdueAt is the clock time at which an attempt that is sent now is overdue: it has taken longer
// than its size and the usual overhead explain, and another attempt has to start to meet the
// objective. Later attempts get twice the time of the one before.
func (r *Router) overdueAt(q *request) time.Duration {
	usual := q.sendTime + seconds(r.estimates.overhead.mean)
	margin := seconds(overdueDeviations * r.estimates.overhead.deviation)
	if n := len(q.attempts); n > 1 {
		return r.now + (usual+margin)<<(n-1)
	}
	return max(r.now+usual+margin, r.lastSendAt(q))
}

// handleOverdue records the fault of an overdue attempt and cancels it if another one may follow.
func (r *Router) handleOverdue(a *attempt) {
	if r.shouldReplace(a) {
		r.updateSharedLimits(a, false) // a cancelled attempt cannot be late any more, and would not count
		r.do(CancelAttempt{Request: a.request.ID, Attempt: a.number})
	}
	r.recordOverdue(a)
}

// shouldReplace reports whether an overdue attempt is cancelled and followed by another: its answer
// may be lost, or its fill may hang.
func (r *Router) shouldReplace(a *attempt) bool {
	cache := a.cache
	q := a.request
	// While fetches are short or no parent sends, all fills are slow, and another one would add to
	// the overload.
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
		return h != cache && r.usable(h, q) && !q.failedAt(h)
	})
}
