package director

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

const (
	// evictAfter is the time for which a connection without any answer yet must be unused before it may be evicted to admit
	// a new one. A request takes less time than that to cross the network.
	evictAfter = 300 * time.Millisecond
	// closeRaceWindow is the time for which a request sent before the client noticed the close may still arrive. After that,
	// the lingering connection may be closed to admit a new one.
	closeRaceWindow = 50 * time.Millisecond
	// lingeringDivisor limits lingering connections: they may use the number of clients' descriptors divided by it, in addition
	// to the descriptors of open clients.
	lingeringDivisor = 8
)

// admit registers a new connection. Clients may use a fixed part of the descriptors. If that is exhausted, an unused
// connection is evicted; if there is none, the new connection is rejected.
func (f *frontend) admit(conn *transport.Conn, c *clientConn) {
	c.conn = conn
	c.openedAt = f.loop.Now()
	c.checkDelivery()
	if f.isFull() && !f.evict() {
		f.Counters.Rejected++
		slog.Warn("client.rejected", "connections", f.clientCount())
		conn.Close()
		return
	}
	f.Counters.Connections++
	f.clients[c] = struct{}{}
	if f.clientsOfAll != nil {
		f.clientsOfAll.Add(1)
	}
}

// clientCount returns the number of connections that count towards maxClients.
func (f *frontend) clientCount() int {
	if f.clientsOfAll != nil {
		return int(f.clientsOfAll.Load())
	}
	return len(f.clients)
}

func (f *frontend) isFull() bool { return f.clientCount() >= f.maxClients }

// unregister forgets a connection, if it is registered.
func (f *frontend) unregister(c *clientConn) {
	if _, registered := f.clients[c]; !registered {
		return
	}
	delete(f.clients, c)
	if f.clientsOfAll != nil {
		f.clientsOfAll.Add(-1)
	}
}

// evict makes room for a new connection and reports whether it may be admitted. It closes the connection that has lingered
// the longest, or else gracefully closes the idle connection that has been unused the longest. The latter lingers, so that its
// last answer reaches the client; lingeringDivisor limits how many connections may linger beyond maxClients.
func (f *frontend) evict() bool {
	maxLingering := f.maxClients/lingeringDivisor + 1
	if c := f.longestLingering(); c != nil {
		if len(f.lingering) >= maxLingering || f.loop.Now()-c.endedAt >= closeRaceWindow {
			c.conn.Close()
			c.remove()
			if !f.isFull() {
				return true
			}
		}
	}
	for f.isFull() {
		if f.clientCount() >= f.maxClients+maxLingering { // to close another would make no room yet
			return false
		}
		c := f.longestIdle()
		if c == nil {
			return false
		}
		if c.closeIfUnused() { // otherwise a request has just arrived, or the client disconnected
			f.Counters.Evicted++
			return true
		}
	}
	return true
}

// longestLingering returns the lingering connection that was closed first, of those whose clients have received all answers. It
// returns nil if there is none.
func (f *frontend) longestLingering() *clientConn {
	for _, c := range f.lingering {
		if c.conn.Queued() == 0 && !c.isReading() {
			return c
		}
	}
	return nil
}

// longestIdle returns the idle connection that has been unused the longest, or nil if none is idle.
func (f *frontend) longestIdle() (longest *clientConn) {
	for c := range f.clients {
		if (longest == nil || c.conn.LastUse() < longest.conn.LastUse()) && c.isIdle() {
			longest = c
		}
	}
	return longest
}
