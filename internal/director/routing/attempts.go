package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// attempt is one attempt of a request. Until it ends, it either waits for a connection or is in flight on one.
type attempt struct {
	request              *clientRequest
	number               int
	action               decision.StartAttempt
	host                 *host
	source               *host // from which a miss is filled; nil: none
	decidedAt            time.Duration
	sentAt               time.Duration
	conn                 *pooledConn // nil while it waits for a connection
	fullyWritten         bool        // the operating system has accepted all of it, so it may have run
	ended                bool
	etag                 string // sent with the attempt
	pendingConfirmations int    // pongs and claims that must arrive before it may be sent
	timer                transport.Timer
}

// startAttempt creates the attempt that the module requests. The attempt is sent after the cancels of earlier attempts have
// been confirmed and its idempotency key has been claimed.
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
	// The attempt may wait for a connection for at most the dial timeout.
	d.loop.Set(&a.timer, min(a.decidedAt+d.limits.DialTimeout, q.deadline))
	d.awaitCancelConfirmations(a)
	if d.requestClaim(a) {
		return
	}
	if a.pendingConfirmations == 0 {
		d.scheduleSend(a)
	}
}

// awaitCancelConfirmations delays an attempt until the caches have read the cancels of earlier attempts of its request.
// Caches read their connections in any order: if the attempt were sent at once, it could be read before a cancel that was
// sent on another connection, and two attempts of the request would run at the same time.
func (d *Director) awaitCancelConfirmations(a *attempt) {
	for _, c := range a.request.unconfirmedCancels {
		if c.pings != nil {
			a.pendingConfirmations++
			c.ping(a)
		}
	}
	a.request.unconfirmedCancels = nil
}

// handleConfirmation counts a confirmation that an attempt waits for, and schedules the attempt after the last one.
func (d *Director) handleConfirmation(a *attempt) {
	a.pendingConfirmations--
	if a.pendingConfirmations == 0 && !a.ended {
		d.scheduleSend(a)
	}
}

// scheduleSend schedules an attempt for the end of the loop's round. Events later in the round may make the attempt
// obsolete: the client may cancel, the connection may close, or the host may start to drain.
func (d *Director) scheduleSend(a *attempt) {
	d.toSend = append(d.toSend, a)
	d.scheduleSendRound()
}

func (d *Director) scheduleSendRound() {
	if !d.sendScheduled {
		d.sendScheduled = true
		d.loop.AfterRound(d.sendRoundFunc)
	}
}

// sendRound sends the scheduled attempts, and the waiting attempts of hosts that now have a usable connection.
func (d *Director) sendRound() {
	if d.hooks.BeforeSend != nil {
		d.hooks.BeforeSend()
	}
	// Sending an attempt, or ending one without sending it, may schedule more attempts.
	for next := 0; next < len(d.toSend) || len(d.hostsToDispatch) > 0; {
		if n := len(d.hostsToDispatch); n > 0 {
			h := d.hostsToDispatch[n-1]
			d.hostsToDispatch = d.hostsToDispatch[:n-1]
			h.dispatchScheduled = false
			h.sendWaiting()
			continue
		}
		a := d.toSend[next]
		next++
		if !a.ended {
			d.sendOrWait(a)
		}
	}
	clear(d.toSend)
	d.toSend = d.toSend[:0]
	d.sendScheduled = false
}

func (d *Director) sendOrWait(a *attempt) {
	if c := a.host.pickConn(a.request); c != nil {
		d.send(a, c)
		return
	}
	a.host.waiting = append(a.host.waiting, a)
	a.host.openConns()
}

// send writes an attempt to a connection. If a guard forbids that, the attempt ends as decision.NotSent.
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
		// A retry must reach the cache completely while caches still drop duplicates.
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

// attemptTimedOut handles the timer of an attempt: the attempt has timed out, or got no connection in time.
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

// cancelForModule performs a CancelAttempt action of the module.
func (d *Director) cancelForModule(action decision.CancelAttempt) {
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

// cancelOnConn sends the cancel of an attempt to the cache. The cancel must be written before the next attempt of the
// request is sent. If the connection cannot accept it now, the connection is closed, which cancels everything on it.
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
	// Attempts share the request's ID: a response that crosses the cancel must not be matched to the next attempt.
	a.request.excludeConn(c)
	a.request.unconfirmedCancels = append(a.request.unconfirmedCancels, c)
	c.conn.Cancel(a.request.ID)
	if !c.conn.IsFlushed() {
		slog.Warn("connection.blocked", "host", c.host.Name, "attempts", len(c.inFlight))
		c.conn.Close()
		c.handleLoss()
	}
}

// endAttempt ends an attempt. It first answers the client, if the guards permit the response, and then reports the result to
// the module.
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
		if reason := d.responseGuard(a, r); reason != "" {
			d.Counters.ResponsesWithheld++
			slog.Debug("response.withheld", "host", a.host.Name, "id", q.ID, "why", reason)
			status = decision.Miss
		} else {
			d.respond(q, r)
		}
	}
	if a.conn != nil && !q.answered {
		q.excludeConn(a.conn) // some caches respond twice, a few milliseconds apart
	}
	d.releaseIfDone(q)
	d.handleEvent(decision.AttemptResult{
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

// mayHaveRun reports whether an attempt that ended with status s may have been executed by the cache.
func mayHaveRun(s decision.Status) bool {
	switch s {
	case decision.Full, decision.ConnectFailed, decision.NotSent, decision.Miss:
		return false
	}
	return true
}

// removeWaiting removes an attempt from the queue of attempts that wait for a connection to the host.
func (h *host) removeWaiting(a *attempt) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *attempt) bool { return other == a })
}
