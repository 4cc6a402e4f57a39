package director

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/transport"
)

const (
	sweepInterval = 500 * time.Millisecond
	// firstAnswerTimeout is the time after connecting within which a client must get a first answer or have a request in
	// flight. Some clients connect and send nothing, or half a message, or cancel all their requests; they are closed
	// within 3 s.
	firstAnswerTimeout = 2 * time.Second
	// stuckTimeout is the time for which a client may leave its answers unread, or a message incomplete. The longest deadline applies
	// if it is longer.
	stuckTimeout = 10 * time.Second
	// lingerTimeout is the time within which a client must close its end after a graceful close and the last answer. Until then
	// its input is read and discarded: closing a socket with unread input would reset the connection and lose that answer.
	lingerTimeout = 500 * time.Millisecond
)

// FrontendCounters are totals of clients' connections and calls since the start of the process. The JSON keys are documented
// for operators. All fields must be int64.
type FrontendCounters struct {
	Connections int64 `json:"Connections"`
	Rejected    int64 `json:"Turned"` // connections rejected at the limit
	Evicted     int64 `json:"Evicted"`
	Silent      int64 `json:"Mute"` // connections closed before their first answer
	Malformed   int64 `json:"Malformed"`
	Unserved    int64 `json:"Unserved"` // calls rejected by the frontend: malformed or too many
	Heartbeats  int64 `json:"Heartbeats"`
	Stuck       int64 `json:"Stuck"`
	Shed        int64 `json:"Shed"`       // calls rejected because the client leaves its answers unread
	AfterClose  int64 `json:"Crossed"`    // input received after the connection was closed
	Dropped     int64 `json:"Dropped"`    // answers replaced by a failure because unread ones used up their memory
	LeftUnread  int64 `json:"LeftUnread"` // clients that left before all of their input was read; the rest was dropped
	Unfinished  int64 `json:"Unfinished"` // connections closed because a message was not complete in time
}

// frontend accepts clients' connections and submits their calls as requests.
type frontend struct {
	Counters FrontendCounters

	loop      *transport.Loop
	director  *routing.Director
	listener  *transport.Listener
	clients   map[*clientConn]struct{} // including lingering ones
	lingering []*clientConn            // in the order of their closing

	clientsOfAll       *atomic.Int64 // clients of all cores of the process; nil: there is one core
	maxClients         int           // of all cores
	idleTimeout        time.Duration
	stuckTimeout       time.Duration
	firstAnswerTimeout time.Duration
	maxQueuedBytes     int  // see unreadLimits
	memoryShort        bool // a call was rejected or an answer dropped for lack of memory; see closeStalled
	maxBodyBytes       int  // limit of the bodies of requests in flight
	bodyBytes          int

	draining       bool // shutting down: heartbeats tell clients to use other directors
	closing        bool // no more requests are expected: connections are closed once they are idle
	listenerClosed bool

	sweepTimer transport.Timer
	isHealthy  func() bool // reports whether the process can serve; nil: always

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
		maxQueuedBytes:     max(memory/queuedMemoryDivisor, resp.MaxBulk),
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
	f.listener.BoundInput()
	loop.SetInputLimit(max(memory/inputMemoryDivisor, 2*thrift.MaxFrame))
	f.sweepTimer.Fire = f.sweep
	loop.Set(&f.sweepTimer, loop.Now()+sweepInterval)
	return f, nil
}

// sweep closes stuck, silent and idle connections.
func (f *frontend) sweep() {
	now := f.loop.Now()
	f.loop.Set(&f.sweepTimer, now+sweepInterval)
	for c := range f.clients {
		f.sweepClient(c, now)
	}
	f.closeStalled(now)
}

func (f *frontend) sweepClient(c *clientConn, now time.Duration) {
	unused := now - c.conn.LastUse()
	c.checkDelivery()
	switch {
	case c.conn.Queued() > 0 && c.delivery.stalledFor(now) >= f.stuckTimeout:
		c.closeStuck(stuckUnread)
	case c.ended: // lingering; the transport limits the time
	case len(c.inFlight) == 0 && !c.conn.HasSent() && now-c.openedAt >= f.firstAnswerTimeout:
		if c.closeIfUnused() {
			f.Counters.Silent++
		}
	case len(c.inFlight) == 0 && c.conn.Queued() == 0 && c.conn.IncompleteFor() >= f.stuckTimeout:
		c.closeGracefully()
		f.Counters.Unfinished++
	case len(c.inFlight) == 0 && c.conn.Queued() == 0 && unused >= f.idleTimeout:
		c.closeIfUnused()
	}
}

// isDelivered reports whether no client is still receiving answers.
func (f *frontend) isDelivered() bool {
	for c := range f.clients {
		if c.conn.Queued() > 0 || c.isReading() {
			return false
		}
	}
	return true
}

// finishDraining closes the listener, and closes each connection once its requests have been answered.
func (f *frontend) finishDraining() {
	f.closing = true
	f.listenerClosed = f.listener.Close()
	for c := range f.clients {
		c.closeIfDrained()
	}
}
