package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// staleRetryAfter is the Retry-After of requests that are rejected because the director is stale.
const staleRetryAfter = 500 * time.Millisecond

// clientRequest is an accepted request. It is kept until it has been answered and has no attempt in flight.
type clientRequest struct {
	*Request
	key        decision.RequestID
	deadline   time.Duration
	answered   bool // or cancelled: no answer may be sent any more
	clientGone bool
	firstRunAt time.Duration // when the first attempt that may have run was sent; 0: nothing has run

	resubmission  *resubmission // waits for the release of this request
	resubmissions int           // number of earlier submissions of the ID

	claimGroup string // the dedup group for which the idempotency key is claimed; empty: none
	claimedAt  time.Duration
	ownsClaim  bool // the claim belongs to this request, not to an earlier one

	attempts         []*attempt
	attemptsInFlight int

	// excludedConns get no further attempts: a late response to an earlier attempt could be matched to a later one.
	excludedConns []*pooledConn
	// unconfirmedCancels are the connections on which a cancel was sent that the cache may not have read yet.
	unconfirmedCancels []*pooledConn
}

func (q *clientRequest) excludeConn(c *pooledConn) {
	if !slices.Contains(q.excludedConns, c) {
		q.excludedConns = append(q.excludedConns, c)
	}
}

// Submit accepts a request for routing. Its Responder gets exactly one final answer, unless the request is cancelled.
func (d *Director) Submit(r *Request) {
	d.Counters.Accepted++
	if first := d.requests[decision.RequestID(r.ID)]; first != nil {
		slog.Debug("request.resubmitted", "id", r.ID)
		d.resubmit(first, r)
		return
	}
	d.accept(r, d.loop.Now()+r.Timeout)
}

// accept registers a request whose ID is not in use, or rejects or fails it at once.
func (d *Director) accept(r *Request, deadline time.Duration) {
	if d.limits.MaxRequests > 0 && d.inFlight >= d.limits.MaxRequests {
		d.Counters.Rejected++
		r.Responder.Reject(r, 0)
		return
	}
	if d.isStale() {
		d.Counters.Rejected++
		d.Counters.RejectedStale++
		r.Responder.Reject(r, staleRetryAfter)
		return
	}
	if d.hooks.AcquireID != nil && !d.hooks.AcquireID(r.ID) { // another core has the ID in flight
		d.Counters.Failed++
		r.Responder.Fail(r)
		return
	}
	q := &clientRequest{
		Request:  r,
		key:      decision.RequestID(r.ID),
		deadline: deadline,
	}
	if !d.inheritCancelled(q) {
		d.Counters.Failed++
		r.Responder.Fail(r)
		d.releaseID(q)
		return
	}
	d.requests[q.key] = q
	d.inFlight++
	d.handleEvent(decision.Request{
		ID:         q.key,
		Object:     r.Object,
		Part:       r.Part,
		PurgeGroup: r.PurgeGroup,
		Class:      r.Class,
		SizeKB:     r.SizeKB,
		TimeLeft:   max(0, deadline-d.loop.Now()),
	})
}

// Cancel ends a request whose client disconnected or cancelled it. No answer follows.
func (d *Director) Cancel(r *Request) {
	q := d.requests[decision.RequestID(r.ID)]
	switch {
	case q == nil:
	case q.resubmission != nil && q.resubmission.Request == r:
		d.Counters.Cancelled++
		d.removeResubmission(q)
	case q.Request == r && !q.answered:
		d.Counters.Cancelled++
		q.clientGone = true
		d.markAnswered(q)
		d.handleEvent(decision.ClientGone{Request: q.key})
		// If caches do not support cancels, the module does not cancel any attempts, not even those that are still waiting.
		for _, a := range q.attempts {
			if !a.ended && a.conn == nil {
				d.endAttempt(a, &Response{Status: decision.NotSent})
			}
		}
	}
}

// unanswered returns the request with an ID, or nil if there is none or it has been answered.
func (d *Director) unanswered(id decision.RequestID) *clientRequest {
	if q := d.requests[id]; q != nil && !q.answered {
		return q
	}
	return nil
}

func (d *Director) respond(q *clientRequest, r *Response) {
	d.markAnswered(q)
	if r.NotModified {
		d.Counters.NotModified++
		q.Responder.RespondNotModified(q.Request)
		return
	}
	d.Counters.Served++
	q.Responder.Respond(q.Request, r.Body)
}

func (d *Director) reject(q *clientRequest, retryAfter time.Duration) {
	d.Counters.Rejected++
	d.markAnswered(q)
	q.Responder.Reject(q.Request, retryAfter)
}

func (d *Director) fail(q *clientRequest) {
	d.Counters.Failed++
	d.markAnswered(q)
	q.Responder.Fail(q.Request)
}

// markAnswered records the final answer, so that no second one follows.
func (d *Director) markAnswered(q *clientRequest) {
	q.answered = true
	d.inFlight--
	d.releaseIfDone(q)
}

// releaseIfDone releases a request that is answered and has no attempt in flight, and accepts the resubmission that waits for
// it, if any.
func (d *Director) releaseIfDone(q *clientRequest) {
	if !q.answered || q.attemptsInFlight > 0 {
		return
	}
	if q.ownsClaim && q.firstRunAt == 0 {
		q.ownsClaim = false
		d.hooks.Claims.Release(q.IdempotencyKey, q.ID)
	}
	delete(d.requests, q.key)
	d.recordCancelled(q)
	d.releaseID(q)
	if next := d.removeResubmission(q); next != nil {
		d.accept(next.Request, next.deadline)
	}
}

func (d *Director) releaseID(q *clientRequest) {
	if d.hooks.ReleaseID != nil {
		d.hooks.ReleaseID(q.ID)
	}
}

func (d *Director) isStale() bool { return d.hooks.IsStale != nil && d.hooks.IsStale() }
