package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// attempt is one attempt of a request. It waits for a connection or is in flight on one, until it has ended.
type attempt struct {
	request              *clientRequest
	number               int
	action               decision.StartAttempt
	host                 *host
	source               *host // that a miss is filled from; nil: none
	decidedAt            time.Duration
	sentAt               time.Duration
	conn                 *pooledConn // nil while it waits
	fullyWritten         bool        // the system has taken all of it: from here on it may have run
	ended                bool
	etag                 string // that was sent with it
	pendingConfirmations int    // pongs and claims that it waits for before it may be sent
	timer                transport.Timer
}

// startAttempt makes the attempt that the module asks for. It is sent once the cancels of its predecessors are confirmed
// and its idempotency key is claimed.
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
	// It may wait for a connection, but no longer than a connection may take to come up.
	d.loop.Set(&a.timer, min(a.decidedAt+d.limits.DialTimeout, q.deadline))
	d.awaitCancels(a)
	if d.requestClaim(a) {
		return
	}
	if a.pendingConfirmations == 0 {
		d.scheduleSend(a)
	}
}

// awaitCancels has an attempt wait until the caches have read the cancels of its predecessors. Two connections are read
// in any order: sent at once, it might arrive before a cancel, and the request would run twice at a time.
func (d *Director) awaitCancels(a *attempt) {
	for _, c := range a.request.unconfirmedCancels {
		if c.pings != nil {
			a.pendingConfirmations++
			c.ping(a)
		}
	}
	a.request.unconfirmedCancels = nil
}

// confirmed counts one of the confirmations that an attempt waits for.
func (d *Director) confirmed(a *attempt) {
	a.pendingConfirmations--
	if a.pendingConfirmations == 0 && !a.ended {
		d.scheduleSend(a)
	}
}

// scheduleSend has an attempt sent at the end of the loop's round. What the round still brings may change the decision:
// the client may cancel, the connection may close, the host may start to drain.
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

// sendRound sends the attempts that were scheduled, and waiting attempts of hosts that have a usable connection now.
func (d *Director) sendRound() {
	if d.hooks.BeforeSend != nil {
		d.hooks.BeforeSend()
	}
	// Sending an attempt, or ending one unsent, may schedule more.
	for next := 0; next < len(d.toSend) || len(d.hostsToRetry) > 0; {
		if n := len(d.hostsToRetry); n > 0 {
			h := d.hostsToRetry[n-1]
			d.hostsToRetry = d.hostsToRetry[:n-1]
			h.retryScheduled = false
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

// send writes an attempt, unless a guard holds it back.
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
		// A retry must arrive complete while caches still drop repeats.
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

// attemptDeadline is until when an attempt may take that is sent now.
func (d *Director) attemptDeadline(a *attempt, now time.Duration) time.Duration {
	if timeout := a.action.Timeout; timeout > 0 {
		return min(a.request.deadline, now+timeout)
	}
	return a.request.deadline
}

// attemptTimedOut ends an attempt whose timer has fired.
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

// cancelForModule cancels an attempt that the module has given up.
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

// cancelOnConn sends the cache the cancel of an attempt. The cancel must be written before the request's next attempt
// is sent. A connection that does not take it now is closed, which cancels everything on it.
func (d *Director) cancelOnConn(a *attempt) {
	c := a.conn
	d.Counters.AttemptsCancelled++
	c.endAttempt(a, d.loop.Now())
	if len(c.inFlight) == 0 && !c.isSilent() {
		c.silentSince = 0 // it owes nothing any more
	}
	if c.partlyWritten == a {
		c.partlyWritten = nil
	}
	// Attempts share the request's ID: a response that raced the cancel must not pass for one to the next attempt.
	a.request.excludeConn(c)
	a.request.unconfirmedCancels = append(a.request.unconfirmedCancels, c)
	c.conn.Cancel(a.request.ID)
	if !c.conn.IsFlushed() {
		slog.Warn("connection.blocked", "host", c.host.Name, "attempts", len(c.inFlight))
		c.conn.Close()
		c.handleLoss()
	}
}

// endAttempt ends an attempt. A response that may be passed on answers the client; then the module gets the result.
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
		q.excludeConn(a.conn) // some caches respond twice, the second time some milliseconds later
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

// mayHaveRun reports whether an attempt that ended in a status may have run.
func mayHaveRun(s decision.Status) bool {
	switch s {
	case decision.Full, decision.ConnectFailed, decision.NotSent, decision.Miss:
		return false
	}
	return true
}

// removeWaiting takes an attempt off the list of those that wait for a connection to the host.
func (h *host) removeWaiting(a *attempt) {
	h.waiting = slices.DeleteFunc(h.waiting, func(other *attempt) bool { return other == a })
}
