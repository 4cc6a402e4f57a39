package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// attempt is one attempt of a request. Until it has ended, it is either waiting for a connection or in flight on one.
type attempt struct {
	request              *clientRequest
	number               int
	action               decision.StartAttempt
	host                 *host
	source               *host // the host from which the cache fills a miss; nil: none
	decidedAt            time.Duration
	sentAt               time.Duration
	conn                 *pooledConn // nil until the attempt is sent
	fullyWritten         bool        // the kernel has accepted all of its bytes, so the cache may have executed it
	ended                bool
	etag                 string // the ETag that was sent with the attempt
	pendingConfirmations int    // outstanding pongs and claims; the attempt is sent when none is left
	timer                transport.Timer
}

// startAttempt starts the attempt that the decision module asks for. The attempt is sent once the cancels of the request's
// earlier attempts are confirmed and its idempotency key is claimed.
func (d *Director) startAttempt(action decision.StartAttempt) {
	q := d.requests[action.Request]
	if q == nil {
		return
	}
	a := &attempt{
		request:   q,
		number:    len(q.attempts),
		action:    action,
		host:      d.hosts[action.Host],
		decidedAt: d.loop.Now(),
	}
	a.timer.Fire = func() { d.attemptTimedOut(a) }
	q.attempts = append(q.attempts, a)
	q.attemptsInFlight++
	sourceKnown := true
	if action.Source != action.Host {
		a.source = d.hosts[action.Source]
		sourceKnown = a.source != nil
	}
	if !d.attemptAllowed(a, sourceKnown) {
		d.Counters.AttemptsBlocked++
		slog.Error("attempt.invalid", "attempt", a.number, "id", q.ID, "answered", q.answered,
			"host_known", a.host != nil, "source_known", sourceKnown, "out", q.attemptsInFlight)
		d.endAttempt(a, &Response{Status: decision.NotSent})
		return
	}
	// The attempt may wait for a connection, but no longer than the dial timeout.
	d.loop.Set(&a.timer, min(a.decidedAt+d.limits.DialTimeout, q.deadline))
	d.awaitCancelConfirmations(a)
	if d.requestClaim(a) {
		return
	}
	if a.pendingConfirmations == 0 {
		d.scheduleSend(a)
	}
}

// awaitCancelConfirmations delays an attempt until the caches have read the cancels of the request's earlier attempts. A
// cache reads two connections in any order, so an attempt that was sent at once could arrive before the cancel and the
// request would be executed twice concurrently.
func (d *Director) awaitCancelConfirmations(a *attempt) {
	for _, c := range a.request.unconfirmedCancels {
		if c.pings != nil {
			a.pendingConfirmations++
			c.ping(a)
		}
	}
	a.request.unconfirmedCancels = nil
}

// handleConfirmation records one of the confirmations that an attempt waits for, and schedules the attempt after the last.
func (d *Director) handleConfirmation(a *attempt) {
	a.pendingConfirmations--
	if a.pendingConfirmations == 0 && !a.ended {
		d.scheduleSend(a)
	}
}

// scheduleSend enqueues an attempt to be sent at the end of the loop's round. Events later in the same round may change the
// decision: the client may cancel, the connection may close, or the host may start to drain.
func (d *Director) scheduleSend(a *attempt) {
	d.sendQueue = append(d.sendQueue, a)
	d.scheduleFlush()
}

func (d *Director) scheduleFlush() {
	if !d.flushScheduled {
		d.flushScheduled = true
		d.loop.AfterRound(d.flushSendQueueFunc)
	}
}

// flushSendQueue sends the attempts that were enqueued, and the waiting attempts of hosts that now have a usable connection.
func (d *Director) flushSendQueue() {
	if d.hooks.BeforeSend != nil {
		d.hooks.BeforeSend()
	}
	// Sending an attempt, or ending one before it is sent, may enqueue more.
	for next := 0; next < len(d.sendQueue) || len(d.hostsToSendWaiting) > 0; {
		if n := len(d.hostsToSendWaiting); n > 0 {
			h := d.hostsToSendWaiting[n-1]
			d.hostsToSendWaiting = d.hostsToSendWaiting[:n-1]
			h.sendWaitingScheduled = false
			h.sendWaiting()
			continue
		}
		a := d.sendQueue[next]
		next++
		if !a.ended {
			d.sendOrWait(a)
		}
	}
	clear(d.sendQueue)
	d.sendQueue = d.sendQueue[:0]
	d.flushScheduled = false
}

func (d *Director) sendOrWait(a *attempt) {
	if c := a.host.pickConn(a.request); c != nil {
		d.send(a, c)
		return
	}
	a.host.waiting = append(a.host.waiting, a)
	a.host.openConns()
}

// send writes an attempt to a connection, or ends it with NotSent if a guard blocks it.
func (d *Director) send(a *attempt, c *pooledConn) {
	now := d.loop.Now()
	if reason := d.sendGuard(a, now); reason != "" {
		d.Counters.AttemptsBlocked++
		slog.Debug("attempt.withheld", "attempt", a.number, "id", a.request.ID, "host", a.host.Name, "why", reason)
		d.endAttempt(a, &Response{Status: decision.NotSent})
		return
	}
	deadline := d.attemptDeadline(a, now)
	r := d.upstreamRequest(a, deadline-now)
	d.Counters.Attempts++
	a.sentAt = now
	a.conn = c
	a.etag = r.ETag
	c.beginAttempt(a, now)
	c.conn.Send(&r)
	a.fullyWritten = c.conn.IsFlushed()
	if !a.fullyWritten {
		c.partlyWritten = a
		// A retry must arrive completely while caches still deduplicate the request.
		deadline = min(deadline, d.dedupDeadline(a.request))
	}
	d.loop.Set(&a.timer, deadline)
}

func (d *Director) upstreamRequest(a *attempt, timeout time.Duration) UpstreamRequest {
	q := a.request
	r := UpstreamRequest{
		ID:             q.ID,
		Class:          q.Class,
		Object:         q.Object,
		Part:           q.Part,
		Timeout:        timeout,
		IdempotencyKey: q.IdempotencyKey,
		CachePriority:  a.action.CachePriority,
		MaxAge:         a.action.MaxAge,
		Options:        a.action.Options,
		Body:           q.Body,
	}
	if a.source != nil {
		r.Source = a.source.Name
	}
	if d.classes[q.Class].cacheable {
		r.ETag = q.ETag
	}
	return r
}

// attemptDeadline returns the time at which an attempt that is sent now times out.
func (d *Director) attemptDeadline(a *attempt, now time.Duration) time.Duration {
	if timeout := a.action.Timeout; timeout > 0 {
		return min(a.request.deadline, now+timeout)
	}
	return a.request.deadline
}

// attemptTimedOut ends an attempt whose timer has fired. An attempt that was not fully written counts as ConnectFailed, or
// as NotSent if it was still waiting at the request's deadline.
func (d *Director) attemptTimedOut(a *attempt) {
	switch {
	case a.ended:
	case a.conn != nil:
		d.cancelOnConn(a)
		d.Counters.TimedOut++
		status := decision.TimedOut
		if !a.fullyWritten {
			status = decision.ConnectFailed
		}
		d.endAttempt(a, &Response{Status: status})
	case d.loop.Now() >= a.request.deadline:
		d.endAttempt(a, &Response{Status: decision.NotSent})
	default:
		d.Counters.ConnectFailed++
		d.endAttempt(a, &Response{Status: decision.ConnectFailed})
	}
}

// cancelAttempt cancels an attempt at the request of the decision module.
func (d *Director) cancelAttempt(action decision.CancelAttempt) {
	q := d.requests[action.Request]
	if q == nil || action.Attempt < 0 || action.Attempt >= len(q.attempts) {
		return
	}
	a := q.attempts[action.Attempt]
	if a.ended {
		return
	}
	if a.conn != nil {
		d.cancelOnConn(a)
	}
	d.endAttempt(a, &Response{Status: decision.Cancelled})
}

// cancelOnConn sends the cache a cancel for an attempt. The cancel must be written before the request's next attempt is
// sent. If the connection cannot accept it immediately, the connection is closed, which cancels all attempts on it.
func (d *Director) cancelOnConn(a *attempt) {
	c := a.conn
	d.Counters.AttemptsCancelled++
	c.endAttempt(a, d.loop.Now())
	if len(c.inFlight) == 0 && !c.isSilent() {
		c.silentSince = 0 // no response is outstanding
	}
	if c.partlyWritten == a {
		c.partlyWritten = nil
	}
	// Attempts share the request's ID: a response that crossed the cancel must not be taken for one to the next attempt.
	a.request.excludeConn(c)
	a.request.unconfirmedCancels = append(a.request.unconfirmedCancels, c)
	c.conn.Cancel(a.request.ID)
	if !c.conn.IsFlushed() {
		slog.Warn("connection.blocked", "host", c.host.Name, "attempts", len(c.inFlight))
		c.conn.Close()
		c.handleLoss()
	}
}

// endAttempt ends an attempt. If the response passes the guards, it is sent to the client; then the decision module is given
// the result.
func (d *Director) endAttempt(a *attempt, r *Response) {
	if a.ended {
		return
	}
	a.ended = true
	a.timer.Stop()
	q := a.request
	q.attemptsInFlight--
	if a.conn == nil && a.host != nil {
		a.host.removeWaiting(a)
	}
	status := r.Status
	if a.fullyWritten && q.firstRunAt == 0 && mayHaveRun(status) {
		q.firstRunAt = a.sentAt
	}
	if status == decision.OK && !q.answered {
		var reason string
		if reason, status = d.responseGuard(a, r); reason != "" {
			d.Counters.ResponsesWithheld++
			slog.Debug("response.withheld", "host", a.host.Name, "id", q.ID, "why", reason)
		} else {
			d.respond(q, r)
		}
	}
	if a.conn != nil && !q.answered {
		q.excludeConn(a.conn) // some caches respond twice, the second time a few milliseconds later
	}
	d.releaseIfDone(q)
	d.handle(decision.AttemptResult{
		Request:     q.key,
		Terminal:    q.answered,
		Host:        a.action.Host,
		Attempt:     a.number,
		CacheStatus: r.CacheStatus,
		Status:      status,
		Elapsed:     d.loop.Now() - a.decidedAt,
		Load:        r.Load,
	})
}

// mayHaveRun reports whether a cache may have executed an attempt that ended with status s.
func mayHaveRun(s decision.Status) bool {
	switch s {
	case decision.Full, decision.ConnectFailed, decision.NotSent, decision.Miss:
		return false
	}
	return true
}

// removeWaiting removes an attempt from the list of attempts that wait for a connection to the host.
func (h *host) removeWaiting(a *attempt) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *attempt) bool { return other == a })
}
