package decision

import "time"

// Admission control: a request receives its final answer immediately, instead of waiting for its
// deadline, in any of these cases:
//   - No cache can serve it. A cache qualifies if it is ready, has capacity under its concurrency
//     limit and its slow start budget, has not failed the request, and may run it (pickCache).
//   - It needs a fill, but the limits on fills and fetches have no capacity, or its deadline is too
//     short for a fill (chooseDepth).
//   - The cache whose fill it waited for has reached its concurrency limit (endCoalescing).
//   - An attempt failed and no further attempt is allowed (handleFailure).
//
// The request is rejected if it has not run or is safe to run again, so that the client can retry
// it. Otherwise it fails.
//
// Retry-After is half of the time that remains until the objective after the sending time is
// deducted, so that a client that honors it can still be served in time. It is at least
// minRetryAfter and at most Settings.MaxRetryAfter; the maximum takes precedence.
//
// Requests are also rejected outside this package, before a Router receives them: by routing (too
// many open requests, a stale director, a claim that cannot be decided) and by the director's
// client connections (too many streams, or too many bytes in memory).

// minRetryAfter prevents a client whose objective has passed from retrying immediately.
const minRetryAfter = time.Millisecond

// rejectOrFail ends a request that cannot be served: it rejects a request that is safe to retry and
// fails any other.
func (r *Router) rejectOrFail(q *request) {
	if r.clientMayRetry(q) {
		r.emit(Reject{Request: q.ID, RetryAfter: r.retryAfter(q)})
	} else {
		r.emit(Fail{Request: q.ID})
	}
	r.finish(q)
}

// clientMayRetry reports whether the client can safely retry the request at any director.
func (r *Router) clientMayRetry(q *request) bool {
	class := r.class(q)
	return class.Idempotency == Idempotent || q.firstRun() == nil ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == ScopeAll
}

// retryAfter returns the delay after which the client should retry a rejected request.
func (r *Router) retryAfter(q *request) time.Duration {
	slack := q.objectiveAt - q.sendTime - r.now // the typical overhead is not deducted
	return min(max(slack/2, minRetryAfter), r.settings.MaxRetryAfter)
}
