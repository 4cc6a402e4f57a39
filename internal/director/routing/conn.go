package routing

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// pooledConn is a connection in a host's pool. It implements ConnHandler.
type pooledConn struct {
	host             *host
	conn             Conn
	connected        bool
	retired          bool // must get no new attempts
	closed           bool
	connectStartedAt time.Duration
	idleSince        time.Duration
	silentSince      time.Duration       // since when responses are outstanding and none has arrived; 0: none is outstanding
	lastReadAt       time.Duration       // when the last response or pong arrived
	inFlight         map[string]*attempt // by request ID
	partlyWritten    *attempt            // the attempt whose bytes the kernel has not fully accepted yet; nil: none

	// pings maps the tag of each unanswered ping to the attempt that waits for its pong, or to nil for a keepalive. The pong
	// shows that the cache has read everything that was sent before the ping.
	pings           map[string]*attempt
	pongTimer       transport.Timer
	keepaliveTimer  transport.Timer
	closeDelayTimer transport.Timer // set when the connection is lost
}

func newPooledConn(h *host, now time.Duration) *pooledConn {
	c := &pooledConn{
		host:             h,
		connectStartedAt: now,
		idleSince:        now,
		inFlight:         map[string]*attempt{},
		pings:            map[string]*attempt{},
	}
	c.pongTimer.Fire = c.pongTimedOut
	c.keepaliveTimer.Fire = c.keepalive
	c.closeDelayTimer.Fire = c.endInFlight
	return c
}

func (c *pooledConn) beginAttempt(a *attempt, now time.Duration) {
	c.inFlight[a.request.ID] = a
	c.idleSince = now
	if c.silentSince == 0 {
		c.silentSince = now
	}
	if keepaliveAfter := c.host.director.limits.KeepaliveAfter; keepaliveAfter > 0 && !c.keepaliveTimer.Active() {
		c.lastReadAt = now
		c.host.director.loop.Set(&c.keepaliveTimer, now+keepaliveAfter)
	}
}

func (c *pooledConn) endAttempt(a *attempt, now time.Duration) {
	delete(c.inFlight, a.request.ID)
	c.idleSince = now
}

// isSilent reports whether the connection's peer may have vanished, which TCP does not signal. An attempt on such a
// connection would hang until its timeout, whereas a new connection that fails to open proves that the attempt was not
// executed.
func (c *pooledConn) isSilent() bool {
	d := c.host.director
	return c.silentSince > 0 && d.loop.Now()-c.silentSince >= d.limits.SilentTimeout
}

// isUnused reports whether the connection has no attempts in flight and no unanswered pings.
func (c *pooledConn) isUnused() bool { return len(c.inFlight)+len(c.pings) == 0 }

func (c *pooledConn) closeIfUnused() {
	if c.isUnused() {
		c.closeAndRemove()
	}
}

func (c *pooledConn) closeAndRemove() {
	c.conn.Close()
	c.pings = nil
	c.removeFromPool()
}

func (c *pooledConn) removeFromPool() {
	c.pongTimer.Stop()
	c.keepaliveTimer.Stop()
	c.closeDelayTimer.Stop()
	if slices.Contains(c.host.conns, c) {
		c.host.director.conns--
	}
	c.host.conns = slices.DeleteFunc(c.host.conns, func(other *pooledConn) bool { return other == c })
}

// Connected implements ConnHandler.
func (c *pooledConn) Connected() {
	c.connected = true
	c.host.scheduleSendWaiting()
}

// Flushed implements ConnHandler.
func (c *pooledConn) Flushed() {
	if a := c.partlyWritten; a != nil {
		a.fullyWritten = true
		c.partlyWritten = nil
		d := c.host.director
		d.loop.Set(&a.timer, d.attemptDeadline(a, d.loop.Now()))
	}
	c.host.scheduleSendWaiting()
}

// Received implements ConnHandler.
func (c *pooledConn) Received(requestID []byte, r *Response) {
	d := c.host.director
	c.silentSince = 0
	c.lastReadAt = d.loop.Now()
	a := c.inFlight[string(requestID)]
	if a == nil {
		d.Counters.LateResponses++
		return
	}
	c.endAttempt(a, d.loop.Now())
	d.Counters.countStatus(r.Status)
	d.endAttempt(a, r)
	c.host.scheduleSendWaiting()
	if c.retired {
		c.closeIfUnused()
	}
}

// keepalive pings a connection on which responses are outstanding and nothing has arrived for KeepaliveAfter. It detects a
// hanging connection before the attempts time out, so that they are retried in time and their delay is not attributed to the
// cache's latency.
func (c *pooledConn) keepalive() {
	d := c.host.director
	now := d.loop.Now()
	if len(c.inFlight) == 0 {
		return
	}
	if len(c.pings) == 0 && now-c.lastReadAt >= d.limits.KeepaliveAfter {
		c.ping(nil)
	}
	d.loop.Set(&c.keepaliveTimer, max(c.lastReadAt, now)+d.limits.KeepaliveAfter)
}

// ping sends a ping. The pong confirms to attempt a, if it is not nil, that the cache has read everything sent before.
func (c *pooledConn) ping(a *attempt) {
	d := c.host.director
	d.pingsSent++
	tag := "p" + strconv.FormatInt(d.pingsSent, 36) // cannot equal a request ID, which has only hex digits
	c.pings[tag] = a
	if c.closed {
		return
	}
	c.conn.Ping(tag)
	if !c.pongTimer.Active() {
		c.startPongTimer()
	}
}

func (c *pooledConn) startPongTimer() {
	d := c.host.director
	d.loop.Set(&c.pongTimer, d.loop.Now()+d.limits.KeepaliveTimeout)
}

// Pong implements ConnHandler.
func (c *pooledConn) Pong(tag []byte) {
	a, known := c.pings[string(tag)]
	if !known {
		return
	}
	c.lastReadAt = c.host.director.loop.Now()
	c.pongTimer.Stop()
	delete(c.pings, string(tag))
	if len(c.pings) > 0 {
		c.startPongTimer()
	}
	if a != nil {
		c.host.director.handleConfirmation(a)
	}
}

// pongTimedOut closes a connection that has not answered a ping in time.
func (c *pooledConn) pongTimedOut() {
	c.host.director.Counters.ConnsDead++
	slog.Warn("connection.ping_timed_out", "host", c.host.Name, "attempts", len(c.inFlight))
	c.conn.Close()
	c.handleLoss()
}

// Closed implements ConnHandler.
func (c *pooledConn) Closed(err error) {
	if !c.connected {
		slog.Warn("connection.failed", "host", c.host.Name, "addr", c.host.Address, "err", err)
	} else if len(c.inFlight) > 0 {
		c.host.director.Counters.ConnsLost++
		slog.Warn("connection.lost", "host", c.host.Name, "attempts", len(c.inFlight), "err", err)
	}
	c.handleLoss()
}

// handleLoss removes a lost connection from the pool. Its attempts end after the close delay, when the cache has noticed the
// close: a cache reads connections in any order, so an immediate retry could be executed concurrently with the lost attempt.
func (c *pooledConn) handleLoss() {
	c.removeFromPool()
	c.closed = true
	d := c.host.director
	if d.limits.CloseDelay == 0 || c.isUnused() {
		c.endInFlight()
		return
	}
	d.loop.Set(&c.closeDelayTimer, d.loop.Now()+d.limits.CloseDelay)
}

// endInFlight ends the attempts on a lost connection. Those that were fully written may have been executed; the others were
// not.
func (c *pooledConn) endInFlight() {
	d := c.host.director
	attempts := slices.Collect(maps.Values(c.inFlight))
	clear(c.inFlight)
	slices.SortFunc(attempts, func(a, b *attempt) int { return int(a.sentAt - b.sentAt) })
	for _, a := range attempts {
		status := decision.Reset
		if !a.fullyWritten {
			status = decision.ConnectFailed
		}
		d.Counters.countStatus(status)
		d.endAttempt(a, &Response{Status: status})
	}
	pings := c.pings
	c.pings = nil
	for _, tag := range slices.Sorted(maps.Keys(pings)) { // the close has the effect of the cancels that the pings confirm
		if a := pings[tag]; a != nil {
			d.handleConfirmation(a)
		}
	}
	c.host.failWaitingIfUnreachable()
	c.host.scheduleSendWaiting()
}
