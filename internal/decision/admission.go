package decision

import "time"

// Admission: a request gets its final answer at once, instead of waiting for its deadline, when
//   - no cache can take it: none is ready, has capacity under its concurrency limit and its slow
//     start, has not failed the request, and may run it (pickCache),
//   - it needs a fill, and the limits of fills and fetches have no capacity, or its deadline is too
//     short for a fill (chooseDepth),
//   - the cache whose fill it has waited for is full (endCoalescing), or
//   - an attempt has failed and there is no other left (handleFailure).
//
// It is rejected if it has not run or may run again, so that the client can retry it; else it
// fails.
//
// Retry-After is half of the time that is left of the objective beside the sending time, so that a
// client that obeys it can still be served in time. It is at least minRetryAfter, and at most
// Settings.MaxRetryAfter even if that is less.
//
// Requests are also rejected outside this package, before a Router sees them: by routing (too many
// open requests, a stale director, a claim that cannot be decided) and by the director's client
// connections (too many streams, or too many bytes in memory).

// minRetryAfter keeps a client whose objective has passed from retrying at once.
const minRetryAfter = time.Millisecond

// giveUp gives a request its final answer.
func (r *Router) giveUp(q *request) {
	if r.mayRunAnywhere(q) {
		r.do(Reject{Request: q.ID, RetryAfter: r.retryAfter(q)})
	} else {
		r.do(Fail{Request: q.ID})
	}
	r.finish(q)
}

// mayRunAnywhere reports whether the client can retry the request at any director without running
// it twice.
func (r *Router) mayRunAnywhere(q *request) bool {
	class := r.class(q)
	return class.Idempotency == Idempotent || q.firstRun() == nil ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == ScopeAll
}

func (r *Router) retryAfter(q *request) time.Duration {
	slack := q.objectiveAt - q.sendTime - r.now // the usual overhead is not deducted
	return min(max(slack/2, minRetryAfter), r.settings.MaxRetryAfter)
}
