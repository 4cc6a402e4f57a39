package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// A client whose connection was closed may submit its request again, with the same ID, on another connection. The
// resubmission is a separate request: answering or cancelling one of the two does not answer or cancel the other. Caches
// identify attempts by the ID alone, so the resubmission starts only when the first request has no attempt in flight,
// avoids the connections on which a response to the first may still arrive, and is executed again only if the class allows
// it.

const (
	// maxResubmissions is the maximum number of resubmissions of an ID. Each needs connections that were not used for the ID.
	maxResubmissions = 2
	// maxCancelledRequests is the maximum number of cancelled requests that are kept for resubmissions. The IDs of those for which there
	// is no room are kept, so that they do not run again.
	maxCancelledRequests = 4096
)

// resubmission is a request that waits until an earlier request with the same ID is released.
type resubmission struct {
	*Request
	deadline time.Duration
	timer    transport.Timer
}

// cancelledRequest is the state of a cancelled request that its resubmission inherits.
type cancelledRequest struct {
	id                 decision.RequestID
	excludedConns      []*pooledConn
	unconfirmedCancels []*pooledConn
	firstRunAt         time.Duration
	resubmissions      int
	expiresAt          time.Duration
}

// resubmit handles a request with the ID of a request in flight. The client of the first request may be found to have
// disconnected later in the same round of the loop, so the resubmission fails only if the first is still unanswered at the
// end of the round.
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

// removeResubmission removes and returns the resubmission that waits for a request, or returns nil if there is none.
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

// storeCancelled stores the state that a resubmission needs of a request that is being released, if the request was
// cancelled.
func (d *Director) storeCancelled(q *clientRequest) {
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
		d.cancelledEarlier.add(string(d.cancelledOldestFirst[0].id), d.loop.Now())
		d.evictOldestCancelled(d.cancelledOldestFirst[:1])
	}
	d.cancelledByID[q.key] = c
	d.cancelledOldestFirst = append(d.cancelledOldestFirst, c)
}

// evictOldestCancelled removes the given cancelled requests, which must be the oldest ones. Other cores may use their IDs from then on.
func (d *Director) evictOldestCancelled(oldest []*cancelledRequest) {
	for _, c := range oldest {
		if d.cancelledByID[c.id] == c {
			delete(d.cancelledByID, c.id)
			if d.requests[c.id] == nil {
				d.releaseID(string(c.id))
			}
		}
	}
	d.cancelledOldestFirst = slices.Delete(d.cancelledOldestFirst, 0, len(oldest))
}

// KeptIDs returns the number of IDs that are reserved because of a cancelled request.
func (d *Director) KeptIDs() int { return len(d.cancelledByID) }

// expireCancelled removes the cancelled requests that have expired: no client waits for their resubmission any more.
func (d *Director) expireCancelled(now time.Duration) {
	n := 0
	for n < len(d.cancelledOldestFirst) && d.cancelledOldestFirst[n].expiresAt <= now {
		n++
	}
	d.evictOldestCancelled(d.cancelledOldestFirst[:n])
}

// acquireID reserves a request's ID on this core. It reports false if another core may have attempts of the ID in flight, or if the ID is
// that of a cancelled request of which nothing else is known any more. An ID stays reserved as long as a cancelled request is kept for it.
func (d *Director) acquireID(id string) bool {
	if d.cancelledByID[decision.RequestID(id)] != nil {
		return true
	}
	if d.cancelledEarlier.contains(id, d.loop.Now()) {
		d.Counters.Resubmitted++
		return false
	}
	return d.hooks.AcquireID == nil || d.hooks.AcquireID(id)
}

// releaseID makes an ID available to other cores.
func (d *Director) releaseID(id string) {
	if d.hooks.ReleaseID != nil {
		d.hooks.ReleaseID(id)
	}
}

// inheritCancelled copies the state of a cancelled request with the same ID, if any, to its resubmission q. It reports
// whether q may be sent at all.
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

// mayRunAgain reports whether the rules of a class allow a cancelled request to be executed again.
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
