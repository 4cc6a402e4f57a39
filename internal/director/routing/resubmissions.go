package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// A client whose connection ended may submit its request again, with the same ID, on another connection. That is a request
// of its own; neither answers or cancels the other. Caches know attempts by the ID alone, so the second request starts
// only when the first has no attempt in flight, avoids the connections on which the first may still be answered, and
// repeats only what the class allows.

const (
	// maxResubmissions bounds how often one ID may come again: each time needs connections that were not used for it.
	maxResubmissions = 2
	// maxCancelledRequests bounds how many requests of clients that are gone are remembered.
	maxCancelledRequests = 4096
)

// resubmission is a request that waits for an earlier one of its ID to be released.
type resubmission struct {
	*Request
	deadline time.Duration
	timer    transport.Timer
}

// cancelledRequest is what a resubmission must know of a request whose client is gone.
type cancelledRequest struct {
	id                 decision.RequestID
	excludedConns      []*pooledConn
	unconfirmedCancels []*pooledConn
	firstRunAt         time.Duration
	resubmissions      int
	expiresAt          time.Duration
}

// resubmit takes in a request whose ID another request has. The client of the first may be gone in this very round of the
// loop: whether it is shows at the end of the round.
func (d *Director) resubmit(first *clientRequest, r *Request) {
	if first.resubmission != nil {
		d.Counters.Failed++
		r.Responder.Fail(r)
		return
	}
	second := &resubmission{Request: r, deadline: d.loop.Now() + r.Timeout}
	second.timer.Fire = func() { d.failResubmission(first) }
	first.resubmission = second
	d.inFlight++
	d.loop.AfterRound(func() {
		if first.resubmission == second && !first.answered {
			d.failResubmission(first)
		}
	})
	if first.resubmission == second {
		d.loop.Set(&second.timer, second.deadline)
	}
}

// takeResubmission removes and returns the resubmission that waits for a request, or nil.
func (d *Director) takeResubmission(first *clientRequest) *resubmission {
	second := first.resubmission
	if second != nil {
		second.timer.Stop()
		first.resubmission = nil
		d.inFlight--
	}
	return second
}

func (d *Director) failResubmission(first *clientRequest) {
	if second := d.takeResubmission(first); second != nil {
		d.Counters.Failed++
		second.Responder.Fail(second.Request)
	}
}

// rememberCancelled keeps what a resubmission must know of a request that is released, if its client is gone.
func (d *Director) rememberCancelled(q *clientRequest) {
	if !q.clientGone || len(q.excludedConns) == 0 && q.firstRunAt == 0 {
		return
	}
	c := &cancelledRequest{
		id:                 q.key,
		excludedConns:      q.excludedConns,
		unconfirmedCancels: q.unconfirmedCancels,
		firstRunAt:         q.firstRunAt,
		resubmissions:      q.resubmissions + 1,
		expiresAt:          d.loop.Now() + d.limits.MaxDeadline,
	}
	if len(d.cancelledOldestFirst) >= maxCancelledRequests {
		d.forgetCancelled(d.cancelledOldestFirst[:1])
	}
	d.cancelledByID[q.key] = c
	d.cancelledOldestFirst = append(d.cancelledOldestFirst, c)
}

// forgetCancelled forgets the oldest cancelled requests.
func (d *Director) forgetCancelled(oldest []*cancelledRequest) {
	for _, c := range oldest {
		if d.cancelledByID[c.id] == c {
			delete(d.cancelledByID, c.id)
		}
	}
	d.cancelledOldestFirst = slices.Delete(d.cancelledOldestFirst, 0, len(oldest))
}

// expireCancelled forgets the cancelled requests whose clients would not wait any more.
func (d *Director) expireCancelled(now time.Duration) {
	n := 0
	for n < len(d.cancelledOldestFirst) && d.cancelledOldestFirst[n].expiresAt <= now {
		n++
	}
	d.forgetCancelled(d.cancelledOldestFirst[:n])
}

// inheritCancelled takes over what is known of a cancelled request of the same ID, and reports whether the request may be
// sent at all.
func (d *Director) inheritCancelled(q *clientRequest) bool {
	c := d.cancelledByID[q.key]
	if c == nil {
		return true
	}
	d.Counters.Resubmitted++
	q.excludedConns = slices.Clone(c.excludedConns)
	q.unconfirmedCancels = slices.Clone(c.unconfirmedCancels)
	q.firstRunAt = c.firstRunAt
	q.resubmissions = c.resubmissions
	return c.resubmissions <= maxResubmissions && d.mayRunAgain(c, d.classes[q.Class])
}

// mayRunAgain reports whether a class allows to repeat a request that was cancelled.
func (d *Director) mayRunAgain(c *cancelledRequest, rules classRules) bool {
	if c.firstRunAt == 0 {
		return true
	}
	switch rules.idempotency {
	case decision.Idempotent:
		return true
	case decision.IdempotentWithKey:
		return rules.dedupScope == decision.ScopeAll && d.loop.Now()-c.firstRunAt < rules.dedupWindow
	default:
		return false
	}
}
