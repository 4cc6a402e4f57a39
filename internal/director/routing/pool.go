package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// pickConn returns the connection with the fewest attempts in flight among those available for a request, or nil.
func (h *host) pickConn(q *clientRequest) (best *pooledConn) {
	for _, c := range h.conns {
		if c.isAvailableFor(q) && (best == nil || len(c.inFlight) < len(best.inFlight)) {
			best = c
		}
	}
	return best
}

func (c *pooledConn) isAvailableFor(q *clientRequest) bool {
	return c.connected && !c.retired && !c.isSilent() &&
		len(c.inFlight) < c.host.director.limits.StreamsPerConn &&
		c.conn.IsFlushed() &&
		!slices.Contains(q.excludedConns, c)
}

// openConns opens connections until those being established have enough capacity for all waiting attempts.
func (h *host) openConns() {
	d := h.director
	connecting := 0
	usable := 0
	for _, c := range h.conns {
		if !c.connected {
			connecting++
		}
		if !c.retired && !c.isSilent() {
			usable++
		}
	}
	for connecting*d.limits.StreamsPerConn < len(h.waiting) && usable < d.limits.ConnsPerHost {
		if !d.makeRoomForConn() {
			slog.Warn("connection.limit_reached", "host", h.Name, "links", d.conns)
			h.failWaitingIfUnreachable()
			return
		}
		if err := h.openConn(); err != nil {
			slog.Warn("connection.dial_failed", "host", h.Name, "addr", h.Address, "err", err)
			h.failWaitingIfUnreachable()
			return
		}
		connecting++
		usable++
	}
}

func (h *host) openConn() error {
	d := h.director
	c := newPooledConn(h, d.loop.Now())
	conn, err := d.dialer.Dial(h.Address, d.limits.DialTimeout, c)
	if err != nil {
		return err
	}
	d.Counters.Connects++
	c.conn = conn
	h.conns = append(h.conns, c)
	d.conns++
	return nil
}

// makeRoomForConn reports whether one more connection may be opened. If the limit is reached, it first closes the connection
// that has been idle longest; it reports false if no connection is idle.
func (d *Director) makeRoomForConn() bool {
	if d.limits.MaxConns == 0 || d.conns < d.limits.MaxConns {
		return true
	}
	var longestIdle *pooledConn
	for _, h := range d.hosts {
		for _, c := range h.conns {
			if c.connected && c.isUnused() && (longestIdle == nil || c.idleSince < longestIdle.idleSince) {
				longestIdle = c
			}
		}
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.closeAndRemove()
	return true
}

// failWaitingIfUnreachable ends the waiting attempts with ConnectFailed if the host has no usable connection left, open or
// being established. None of them has run.
func (h *host) failWaitingIfUnreachable() {
	usable := func(c *pooledConn) bool { return !c.retired && !c.isSilent() }
	if slices.ContainsFunc(h.conns, usable) {
		return
	}
	for _, a := range slices.Clone(h.waiting) {
		h.director.Counters.ConnectFailed++
		h.director.endAttempt(a, &Response{Status: decision.ConnectFailed})
	}
}

// scheduleSendWaiting schedules sendWaiting for the end of the round.
func (h *host) scheduleSendWaiting() {
	if len(h.waiting) == 0 || h.sendWaitingScheduled {
		return
	}
	h.sendWaitingScheduled = true
	h.director.hostsToSendWaiting = append(h.director.hostsToSendWaiting, h)
	h.director.scheduleFlush()
}

// sendWaiting sends the waiting attempts in order, as far as connections are available, and opens connections for the rest.
func (h *host) sendWaiting() {
	for _, a := range slices.Clone(h.waiting) {
		if a.ended {
			continue
		}
		if c := h.pickConn(a.request); c != nil {
			h.removeWaiting(a)
			h.director.send(a, c)
		}
	}
	if len(h.waiting) > 0 {
		h.openConns()
	}
}

// closeIdleConns closes connections that have been idle for IdleTimeout, before the cache closes them: an attempt that is
// sent while the cache closes the connection would be lost. It also closes unused connections that must get no new
// attempts.
func (h *host) closeIdleConns(now time.Duration) {
	for _, c := range slices.Clone(h.conns) {
		if !c.connected || !c.isUnused() {
			continue
		}
		idle := now-c.idleSince >= h.director.limits.IdleTimeout
		if c.retired || c.isSilent() || h.Readiness == decision.Gone || idle {
			c.closeAndRemove()
		}
	}
}
