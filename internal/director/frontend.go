package director

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/transport"
)

const (
	sweepInterval = 500 * time.Millisecond
	// evictAfter is how long a connection on which nothing was answered yet may be unused before it may be closed for a
	// new one. A request takes less to cross the network.
	evictAfter = 300 * time.Millisecond
	// firstAnswerTimeout is how long after connecting a client may have got no answer and wait for none. Some clients
	// connect and send nothing, or half a message, or cancel all their requests; they are closed within 3 s.
	firstAnswerTimeout = 2 * time.Second
	// stuckTimeout is how long a client may read nothing of its answers, or the longest deadline where that is longer.
	stuckTimeout = 10 * time.Second
)

const (
	// lingerTimeout is how long a client whose connection was closed in order may take to close it too. Until then its
	// input is read and dropped: a close with unread input would reset the connection under the last answer.
	lingerTimeout = 500 * time.Millisecond
	// closeCrossing is how long a request may be on its way while its connection is closed. After that the lingering
	// connection can be ended for a new one.
	closeCrossing = 50 * time.Millisecond
	// lingeringDivisor: lingering connections may use the clients' descriptors divided by this, beyond those of open clients.
	lingeringDivisor = 8
	// Answers that wait for slow clients may use the memory limit divided by queuedMemoryDivisor, and bodies of open requests
	// divided by bodyMemoryDivisor: together they leave most of it to everything else.
	queuedMemoryDivisor = 6
	bodyMemoryDivisor   = 8
)

// FrontendCounters are totals of clients' connections and calls. The JSON keys are those of the operators' pages. All
// fields are int64.
type FrontendCounters struct {
	Connections int64 `json:"Connections"`
	Rejected    int64 `json:"Turned"` // connections beyond the limit
	Evicted     int64 `json:"Evicted"`
	Silent      int64 `json:"Mute"` // closed without an answer
	Malformed   int64 `json:"Malformed"`
	Unserved    int64 `json:"Unserved"` // calls rejected by the frontend: malformed, or too many
	Heartbeats  int64 `json:"Heartbeats"`
	Stuck       int64 `json:"Stuck"`
	Shed        int64 `json:"Shed"`    // calls of clients that leave their answers unread
	AfterClose  int64 `json:"Crossed"` // input that came after the connection was closed
}

// frontend accepts clients and submits their calls as requests.
type frontend struct {
	Counters FrontendCounters

	loop      *transport.Loop
	director  *routing.Director
	listener  *transport.Listener
	clients   map[*clientConn]struct{} // lingering ones included
	lingering []*clientConn            // in the order in which they were closed

	maxClients         int
	idleTimeout        time.Duration
	stuckTimeout       time.Duration
	firstAnswerTimeout time.Duration
	maxQueuedBytes     int // of answers that all clients together have not read
	maxBodyBytes       int // of requests in flight
	bodyBytes          int

	draining       bool // shutting down: heartbeats say that clients should go elsewhere
	closing        bool // no more requests are expected: connections are closed when they are idle
	listenerClosed bool

	sweepTimer transport.Timer
	isHealthy  func() bool // whether the process can serve; nil: yes

	call thrift.Call // reused by each call
	head []byte      // reused by each answer
	tail []byte      // reused by each answer
}

func newFrontend(loop *transport.Loop, d *routing.Director, listen netip.AddrPort, limits programLimits, memory int) (*frontend, error) {
	f := &frontend{
		loop:               loop,
		director:           d,
		clients:            map[*clientConn]struct{}{},
		maxClients:         limits.maxClients,
		idleTimeout:        limits.idleTimeout,
		stuckTimeout:       max(stuckTimeout, limits.routing.MaxDeadline),
		firstAnswerTimeout: firstAnswerTimeout,
		maxQueuedBytes:     memory / queuedMemoryDivisor,
		maxBodyBytes:       memory / bodyMemoryDivisor,
	}
	newHandler := func() transport.Handler {
		return &clientConn{frontend: f, inFlight: map[int32]*routing.Request{}}
	}
	opened := func(conn *transport.Conn, h transport.Handler) { f.admit(conn, h.(*clientConn)) }
	var err error
	if f.listener, err = loop.Listen(listen, newHandler, opened); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	f.sweepTimer.Fire = f.sweep
	loop.Set(&f.sweepTimer, loop.Now()+sweepInterval)
	return f, nil
}

// admit takes in a new connection. Clients have their part of the descriptors and no more; where it is used up, an unused
// connection is closed.
func (f *frontend) admit(conn *transport.Conn, c *clientConn) {
	c.conn = conn
	c.openedAt = f.loop.Now()
	if len(f.clients) >= f.maxClients && !f.evict() {
		f.Counters.Rejected++
		slog.Warn("client.rejected", "connections", len(f.clients))
		conn.Close()
		return
	}
	f.Counters.Connections++
	f.clients[c] = struct{}{}
}

// evict closes a connection for a new one and reports whether it may be admitted. It ends the connection that has lingered for
// longest, or else closes the idle one that was unused for longest. That one lingers, so that its last answer reaches the
// client; as many as lingeringShare allows may do so beyond maxClients.
func (f *frontend) evict() bool {
	maxLingering := f.maxClients/lingeringDivisor + 1
	if n := len(f.lingering); n > 0 {
		c := f.lingering[0]
		if n >= maxLingering || f.loop.Now()-c.endedAt >= closeCrossing {
			c.conn.Close()
			c.abandon()
			if len(f.clients) < f.maxClients {
				return true
			}
		}
	}
	for len(f.clients) >= f.maxClients {
		c := f.longestIdle()
		if c == nil {
			return false
		}
		if c.closeIfUnused() { // else its request came meanwhile, or it has gone
			f.Counters.Evicted++
			return len(f.clients) < f.maxClients+maxLingering
		}
	}
	return true
}

// longestIdle is the idle connection that was unused for longest, or nil.
func (f *frontend) longestIdle() (longest *clientConn) {
	for c := range f.clients {
		if c.isIdle() && (longest == nil || c.conn.LastUse() < longest.conn.LastUse()) {
			longest = c
		}
	}
	return longest
}

// sweep closes connections that nobody uses.
func (f *frontend) sweep() {
	now := f.loop.Now()
	f.loop.Set(&f.sweepTimer, now+sweepInterval)
	for c := range f.clients {
		f.sweepClient(c, now)
	}
}

func (f *frontend) sweepClient(c *clientConn, now time.Duration) {
	unused := now - c.conn.LastUse()
	switch {
	case c.conn.Queued() > 0 && unused >= f.stuckTimeout:
		c.closeStuck()
	case c.ended: // it lingers
	case len(c.inFlight) == 0 && !c.conn.HasSent() && now-c.openedAt >= f.firstAnswerTimeout:
		if c.closeIfUnused() {
			f.Counters.Silent++
		}
	case len(c.inFlight) == 0 && c.conn.Queued() == 0 && unused >= f.idleTimeout:
		c.closeIfUnused()
	}
}

// limitQueuedBytes bounds the memory of answers that clients do not read: it closes the client that has left the most
// unread. That client sees that its answers are incomplete, and the others are served on.
func (f *frontend) limitQueuedBytes() {
	for f.loop.Queued() > f.maxQueuedBytes {
		var worst *clientConn
		for c := range f.clients {
			if worst == nil || c.conn.Queued() > worst.conn.Queued() {
				worst = c
			}
		}
		if worst == nil || worst.conn.Queued() == 0 {
			return
		}
		worst.closeStuck()
	}
}

// isFlushed reports whether the system has taken all answers.
func (f *frontend) isFlushed() bool {
	for c := range f.clients {
		if c.conn.Queued() > 0 {
			return false
		}
	}
	return true
}

// finishDraining closes the listener, and each connection when its requests are answered.
func (f *frontend) finishDraining() {
	f.closing = true
	f.listenerClosed = f.listener.Close()
	for c := range f.clients {
		c.closeIfDrained()
	}
}
