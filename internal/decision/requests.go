package decision

import (
	"math"
	"slices"
	"time"
)

// A request is open from its arrival until it has its final answer. Its objective, deadline and
// sending time are fixed when it arrives.

// request is an open request.
type request struct {
	Request
	classIndex   int
	key          fillKey
	sendTime     time.Duration // that its answer takes to send to the client
	requiredFree time.Duration // sending time that must be free under a concurrency limit before it is sent
	objective    time.Duration // its latency objective, whatever its client's timeout

	objectiveAt time.Duration // clock time by which it should be answered
	deadline    time.Duration // clock time at which its client gives up

	attempts   []*attempt
	prior      *attempt // another director's attempt that may have run; nil: none is known
	waitingFor *fill    // the fill that it waits for; nil: it does not wait
}

// firstRun is the first attempt that may have run; nil if none has.
func (q *request) firstRun() *attempt {
	if q.prior != nil {
		return q.prior
	}
	i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return q.attempts[i]
}

// failedAt reports whether the cache has failed the request.
func (q *request) failedAt(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.cache == h && a.cacheFailed })
}

// hasUsedSource reports whether an attempt has named the host as its source.
func (q *request) hasUsedSource(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.source == h })
}

// knownMiss is how deep the last attempt has shown the object not to be cached, at a cache or, for
// nil, at any. 0: not at all.
func (q *request) knownMiss(cache *host) fetchDepth {
	n := len(q.attempts)
	if n > 0 && (cache == nil || q.attempts[n-1].cache == cache) {
		return q.attempts[n-1].knownMiss
	}
	return 0
}

func (r *Router) class(q *request) *Class { return &r.settings.Classes[q.classIndex] }

// admit takes a request in.
func (r *Router) admit(e Request) {
	class, known := r.classIndex[e.Class]
	if r.requests[e.ID] != nil {
		return
	}
	if !known {
		r.do(Fail{Request: e.ID}) // whether it is idempotent is not known either
		return
	}
	q := &request{
		Request:    e,
		classIndex: class,
		key:        fillKey{object: e.Object, part: e.Part, class: class, tenant: e.Tenant},
		deadline:   r.now + e.TimeLeft,
	}
	r.requests[e.ID] = q
	q.sendTime = r.estimates.observeSize(q.classIndex, e.SizeKB, r.settings.FlowKBPerS)
	q.requiredFree = r.requiredFree(q)
	c := r.class(q)
	q.objective = c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(q.sendTime))
	q.objectiveAt = min(r.now+q.objective, q.deadline)
	r.load.demand.add(q.sendTime)
	r.retryBudget.earn(r.directorsInZone)
	r.route(q)
}

// requiredFree is the geometric mean of the request's sending time and, twice, the class's
// usual one, and at most the former. Under a limit that is short a large request would hardly ever
// find all of its own sending time free.
func (r *Router) requiredFree(q *request) time.Duration {
	usual := r.estimates.meanSend[q.classIndex]
	return min(q.sendTime, seconds(math.Cbrt(q.sendTime.Seconds()*(usual*usual))))
}

// recordPriorAttempt notes another director's attempt, as if the Router had made it first.
func (r *Router) recordPriorAttempt(e PriorAttempt) {
	q := r.requests[e.Request]
	if q == nil {
		return
	}
	cache := &host{Endpoint: Endpoint{Zone: e.Zone, Cell: e.Cell}}
	q.prior = &attempt{request: q, cache: cache, sentAt: r.now - e.Age, mayHaveRun: true}
}

// lastSendAt is the last clock time at which a request can be sent and still meet its objective.
func (r *Router) lastSendAt(q *request) time.Duration {
	return q.objectiveAt - q.sendTime - seconds(r.estimates.overhead.bound(1))
}

// finish forgets a request that has its final answer, and cancels the attempt that is still out for
// it.
func (r *Router) finish(q *request) {
	if q == nil {
		return
	}
	q.stopWaiting()
	delete(r.requests, q.ID)
	if n := len(q.attempts); r.settings.Cancel && n > 0 && !q.attempts[n-1].ended {
		r.do(CancelAttempt{Request: q.ID, Attempt: n - 1})
	}
}
