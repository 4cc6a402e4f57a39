package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// staleRetryAfter is the Retry-After of a request that is rejected because the director is stale.
const staleRetryAfter = 500 * time.Millisecond

// clientRequest is an accepted request. It is kept until it is answered and has no attempt in flight.
type clientRequest struct {
	*Request
	key        decision.RequestID
	deadline   time.Duration
	answered   bool // or cancelled: no answer may be sent any more
	clientGone bool
	firstRunAt time.Duration // when the first attempt that may have run was sent; 0: no attempt may have run

	resubmission  *resubmission // starts when this request is released; nil: none
	resubmissions int           // number of earlier submissions of the ID

	claimGroup string // the deduplication group for which the idempotency key is claimed; empty: none
	claimedAt  time.Duration
	ownsClaim  bool // the claim was granted to this request, not to an earlier one

	attempts         []*attempt
	attemptsInFlight int

	// excludedConns are connections that must get no further attempt of this request: a late response to an earlier attempt
	// could be taken for a response to the later one.
	excludedConns []*pooledConn
	// unconfirmedCancels are connections on which a cancel was sent that the cache may not have read yet.
	unconfirmedCancels []*pooledConn
}

func (q *clientRequest) excludeConn(c *pooledConn) {
	if !slices.Contains(q.excludedConns, c) {
		q.excludedConns = append(q.excludedConns, c)
	}
}

// Submit submits a request. Its Responder gets exactly one final answer, unless the request is cancelled.
func (d *Director) Submit(r *Request) {
	d.Counters.Accepted++
	if first := d.requests[decision.RequestID(r.ID)]; first != nil {
		slog.Debug("request.resubmitted", "id", r.ID)
		d.resubmit(first, r)
		return
	}
	d.accept(r, d.loop.Now()+r.Timeout)
}

// accept starts a request whose ID no other request in flight on this core has, or answers it immediately if it cannot be
// served.
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
	if !d.acquireID(r.ID) {
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
		return
	}
	d.requests[q.key] = q
	d.inFlight++
	d.handle(decision.Request{
		ID:         q.key,
		Object:     r.Object,
		Part:       r.Part,
		PurgeGroup: r.PurgeGroup,
		Class:      r.Class,
		SizeKB:     r.SizeKB,
		TimeLeft:   max(0, deadline-d.loop.Now()),
	})
}

// Cancel ends a request that its client has cancelled or whose client has disconnected. No answer is sent.
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
		d.handle(decision.ClientGone{Request: q.key})
		// If caches do not support cancels, the module cancels no attempts, not even those that are still waiting.
		for _, a := range q.attempts {
			if !a.ended && a.conn == nil {
				d.endAttempt(a, &Response{Status: decision.NotSent})
			}
		}
	}
}

// unansweredRequest returns the request with the given ID, or nil if there is none or it is already answered.
func (d *Director) unansweredRequest(id decision.RequestID) *clientRequest {
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
	if !q.Responder.Respond(q.Request, r.Body) {
		d.Counters.Failed++
		return
	}
	d.Counters.Served++
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

// markAnswered marks a request as answered, so that no second answer is sent.
func (d *Director) markAnswered(q *clientRequest) {
	q.answered = true
	d.inFlight--
	d.releaseIfDone(q)
}

// releaseIfDone drops a request that is answered and has no attempt in flight, and starts its resubmission, if any.
func (d *Director) releaseIfDone(q *clientRequest) {
	if !q.answered || q.attemptsInFlight > 0 {
		return
	}
	if q.ownsClaim && q.firstRunAt == 0 {
		q.ownsClaim = false
		d.hooks.Claims.Release(q.IdempotencyKey, q.ID)
	}
	delete(d.requests, q.key)
	d.storeCancelled(q)
	if d.cancelledByID[q.key] == nil {
		d.releaseID(q.ID)
	}
	if next := d.removeResubmission(q); next != nil {
		d.accept(next.Request, next.deadline)
	}
}

func (d *Director) isStale() bool { return d.hooks.IsStale != nil && d.hooks.IsStale() }
