package decision

import (
	"math"
	"slices"
	"time"
)

// A request is open from its arrival until it receives its final answer. Its objective, deadline and
// sending time are fixed on arrival.

// request is an open request.
type request struct {
	Request
	classIndex       int
	key              fillKey
	sendTime         time.Duration // time that it takes to send the answer to the client
	requiredHeadroom time.Duration // sending time that must be free under a concurrency limit to send the request
	objective        time.Duration // latency objective, regardless of the client's timeout

	objectiveAt time.Duration // clock time by which the request should be answered
	deadline    time.Duration // clock time at which the client gives up

	attempts     []*attempt
	priorAttempt *attempt // attempt of another director that may have run; nil: none is known
	waitingFor   *fill    // fill that the request waits for; nil: it is not waiting
}

// firstRun returns the first attempt that may have run, or nil if there is none.
func (q *request) firstRun() *attempt {
	if q.priorAttempt != nil {
		return q.priorAttempt
	}
	i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return q.attempts[i]
}

// failedAt reports whether an earlier attempt of the request failed at the cache.
func (q *request) failedAt(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.cache == h && a.cacheFailed })
}

// hasUsedSource reports whether an earlier attempt of the request used the host as its source.
func (q *request) hasUsedSource(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.source == h })
}

// knownMiss returns the deepest level at which the last attempt found the object missing, or 0 if it
// found no miss. If cache is not nil, only an attempt at that cache counts.
func (q *request) knownMiss(cache *host) fetchDepth {
	n := len(q.attempts)
	if n > 0 && (cache == nil || q.attempts[n-1].cache == cache) {
		return q.attempts[n-1].knownMiss
	}
	return 0
}

func (r *Router) class(q *request) *Class { return &r.settings.Classes[q.classIndex] }

// handleRequest opens a request and routes it. It ignores a request that is already open.
func (r *Router) handleRequest(e Request) {
	class, known := r.classIndex[e.Class]
	if r.requests[e.ID] != nil {
		return
	}
	if !known {
		r.emit(Fail{Request: e.ID}) // without the class, it is unknown whether a retry is safe
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
	q.requiredHeadroom = r.requiredHeadroom(q)
	c := r.class(q)
	q.objective = c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(q.sendTime))
	q.objectiveAt = min(r.now+q.objective, q.deadline)
	r.load.demand.add(q.sendTime)
	r.retryBudget.refill(r.directorsInZone)
	r.route(q)
}

// requiredHeadroom returns the cube root of the request's sending time times the square of the mean
// sending time of its class, but at most the request's sending time. Under a tight limit, the full
// sending time of a large request would hardly ever be free.
func (r *Router) requiredHeadroom(q *request) time.Duration {
	mean := r.estimates.meanSend[q.classIndex]
	return min(q.sendTime, seconds(math.Cbrt(q.sendTime.Seconds()*(mean*mean))))
}

// handlePriorAttempt records an attempt of another director as the first attempt of the request.
func (r *Router) handlePriorAttempt(e PriorAttempt) {
	q := r.requests[e.Request]
	if q == nil {
		return
	}
	cache := &host{Endpoint: Endpoint{Zone: e.Zone, Cell: e.Cell}}
	q.priorAttempt = &attempt{request: q, cache: cache, sentAt: r.now - e.Age, mayHaveRun: true}
}

// latestSendAt returns the latest clock time at which a request can be sent and still meet its
// objective.
func (r *Router) latestSendAt(q *request) time.Duration {
	return q.objectiveAt - q.sendTime - seconds(r.estimates.overhead.bound(1))
}

// finish removes a request that has its final answer and, if the settings allow it, cancels the
// attempt that is still in flight. A nil request is ignored.
func (r *Router) finish(q *request) {
	if q == nil {
		return
	}
	q.stopWaiting()
	delete(r.requests, q.ID)
	if n := len(q.attempts); r.settings.Cancel && n > 0 && !q.attempts[n-1].ended {
		r.emit(CancelAttempt{Request: q.ID, Attempt: n - 1})
	}
}
