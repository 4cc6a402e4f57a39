package decision

import "time"

// Admission: a request that no host can take, or that may have no further attempt, gets its final
// answer at once instead of waiting for its deadline. It is rejected if it has not run or may run
// again, so that the client can retry it; else it fails.
//
// Retry-After is half of the time that is left until the request must be sent to meet its
// objective, so that a client that obeys it can still be served in time. It is at least
// minRetryAfter and at most Settings.MaxRetryAfter.

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
	untilLastSend := q.objectiveAt - q.sendTime - r.now
	return min(max(untilLastSend/2, minRetryAfter), r.settings.MaxRetryAfter)
}
