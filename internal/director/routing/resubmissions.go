package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// A client whose connection ended may resubmit its request, with the same ID, on another connection. The resubmission is a
// separate request: an answer or a cancel for one does not affect the other. Caches identify attempts by the ID alone.
// Therefore the second request starts only after the first has no attempt in flight, avoids the connections on which a
// response to the first may still arrive, and runs again only if the class allows it.

const (
	// maxResubmissions bounds the resubmissions of one ID: each needs connections that have not been used for the ID.
	maxResubmissions = 2
	// maxCancelledRequests bounds the number of cancelled requests that are remembered.
	maxCancelledRequests = 4096
)

// resubmission is a request that waits for the release of an earlier request with the same ID.
type resubmission struct {
	*Request
	deadline time.Duration
	timer    transport.Timer
}

// cancelledRequest is the state of a cancelled request that a resubmission inherits.
type cancelledRequest struct {
	id                 decision.RequestID
	excludedConns      []*pooledConn
	unconfirmedCancels []*pooledConn
	firstRunAt         time.Duration
	resubmissions      int
	expiresAt          time.Duration
}

// resubmit handles a request whose ID is in use by another request. The disconnect of the first client may be processed in
// the same round of the loop, so the resubmission fails only if the first request is still unanswered at the end of the
// round.
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

// removeResubmission removes and returns the resubmission that waits for a request. It returns nil if there is none.
func (d *Director) removeResubmission(first *clientRequest) *resubmission {
	second := first.resubmission
	if second != nil {
		second.timer.Stop()
		first.resubmission = nil
		d.inFlight--
	}
	return second
}

func (d *Director) failResubmission(first *clientRequest) {
	if second := d.removeResubmission(first); second != nil {
		d.Counters.Failed++
		second.Responder.Fail(second.Request)
	}
}

// recordCancelled keeps the state of a released request for a resubmission, if its client is gone.
func (d *Director) recordCancelled(q *clientRequest) {
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
		d.evictCancelled(d.cancelledOldestFirst[:1])
	}
	d.cancelledByID[q.key] = c
	d.cancelledOldestFirst = append(d.cancelledOldestFirst, c)
}

// evictCancelled removes the given records, which must be the oldest ones.
func (d *Director) evictCancelled(oldest []*cancelledRequest) {
	for _, c := range oldest {
		if d.cancelledByID[c.id] == c {
			delete(d.cancelledByID, c.id)
		}
	}
	d.cancelledOldestFirst = slices.Delete(d.cancelledOldestFirst, 0, len(oldest))
}

// expireCancelled removes the records whose retention time, the longest deadline of any class, is over.
func (d *Director) expireCancelled(now time.Duration) {
	n := 0
	for n < len(d.cancelledOldestFirst) && d.cancelledOldestFirst[n].expiresAt <= now {
		n++
	}
	d.evictCancelled(d.cancelledOldestFirst[:n])
}

// inheritCancelled copies the state of a cancelled request with the same ID, if there is one, and reports whether the new
// request may be sent.
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

// mayRunAgain reports whether the rules of a class allow a cancelled request to run again.
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
