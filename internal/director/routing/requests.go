package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// staleRetryAfter is the Retry-After of a request that a stale director rejects.
const staleRetryAfter = 500 * time.Millisecond

// clientRequest is a request that was accepted. It is remembered until it is answered and has no attempt in flight.
type clientRequest struct {
	*Request
	key        decision.RequestID
	deadline   time.Duration
	answered   bool // or cancelled: no answer may follow
	clientGone bool
	firstRunAt time.Duration // when the first attempt was sent that may have run; 0: none has

	resubmission  *resubmission // waits until this request is released
	resubmissions int           // how often the ID was submitted before

	claimGroup string // the dedup group that the idempotency key is claimed for; empty: none
	claimedAt  time.Duration
	ownsClaim  bool // the claim is this request's, not an earlier one's

	attempts         []*attempt
	attemptsInFlight int

	// excludedConns get no further attempt: a late response to an earlier attempt could be taken for the later one's.
	excludedConns []*pooledConn
	// unconfirmedCancels are connections on which a cancel was sent that the cache may not have read yet.
	unconfirmedCancels []*pooledConn
}

func (q *clientRequest) excludeConn(c *pooledConn) {
	if !slices.Contains(q.excludedConns, c) {
		q.excludedConns = append(q.excludedConns, c)
	}
}

// Submit takes in a request. Its Responder gets one final answer, unless it is cancelled.
func (d *Director) Submit(r *Request) {
	d.Counters.Accepted++
	if first := d.requests[decision.RequestID(r.ID)]; first != nil {
		slog.Debug("request.resubmitted", "id", r.ID)
		d.resubmit(first, r)
		return
	}
	d.accept(r, d.loop.Now()+r.Timeout)
}

// accept takes in a request whose ID no other request has, or answers it at once.
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
	if d.hooks.AcquireID != nil && !d.hooks.AcquireID(r.ID) { // two cores could have attempts in flight
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

// Cancel ends a request whose client is gone or takes it back. No answer follows.
func (d *Director) Cancel(r *Request) {
	q := d.requests[decision.RequestID(r.ID)]
	switch {
	case q == nil:
	case q.resubmission != nil && q.resubmission.Request == r:
		d.Counters.Cancelled++
		d.takeResubmission(q)
	case q.Request == r && !q.answered:
		d.Counters.Cancelled++
		q.clientGone = true
		d.markAnswered(q)
		d.handle(decision.ClientGone{Request: q.key})
		// Where caches do not support cancels, the module leaves even waiting attempts alone.
		for _, a := range q.attempts {
			if !a.ended && a.conn == nil {
				d.endAttempt(a, &Response{Status: decision.NotSent})
			}
		}
	}
}

// unanswered is the request of an ID if it is still owed its final answer, else nil.
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

// markAnswered ensures that no second answer follows.
func (d *Director) markAnswered(q *clientRequest) {
	q.answered = true
	d.inFlight--
	d.releaseIfDone(q)
}

// releaseIfDone forgets a request that is answered and has no attempt in flight.
func (d *Director) releaseIfDone(q *clientRequest) {
	if !q.answered || q.attemptsInFlight > 0 {
		return
	}
	if q.ownsClaim && q.firstRunAt == 0 {
		q.ownsClaim = false
		d.hooks.Claims.Release(q.IdempotencyKey, q.ID)
	}
	delete(d.requests, q.key)
	d.rememberCancelled(q)
	d.releaseID(q)
	if next := d.takeResubmission(q); next != nil {
		d.accept(next.Request, next.deadline)
	}
}

func (d *Director) releaseID(q *clientRequest) {
	if d.hooks.ReleaseID != nil {
		d.hooks.ReleaseID(q.ID)
	}
}

func (d *Director) isStale() bool { return d.hooks.IsStale != nil && d.hooks.IsStale() }
