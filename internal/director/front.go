// Package program joins the layers into one process: the clients' protocol and the caches' protocol on the loop's
// connections, the bulletin, the configuration, and the course of a life from start to SIGTERM.
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

// evictAfter is how long a connection on which nothing was answered yet may be without use before it may be closed to make
// room. A request takes less to cross the network.
const evictAfter = 300 * time.Millisecond

const (
	sweepEvery = 500 * time.Millisecond
	// helloWithin is how long after connecting a client may have got no answer and wait for none. Some open connections
	// and say nothing, or half a message, or withdraw all they ask for; they are owed a close within 3 s.
	helloWithin = 2 * time.Second
)

// stuckAfter is how long a client may take no byte of what waits for it, or as long as the longest deadline where that is longer.
const stuckAfter = 10 * time.Second

const (
	// lingerFor is how long a client that we close may take to close too. Until then what it still sends is read and thrown away:
	// a close over unread bytes would reset the connection under its last answer.
	lingerFor = 500 * time.Millisecond
	// crossing is how long a request may be under way towards a close; after that a closed connection can make room at once.
	crossing = 50 * time.Millisecond
	// lingerShare is the part of the clients' descriptors that closed connections may hold beyond the open ones.
	lingerShare = 8
)

// FrontCounts is what the front has seen.
type FrontCounts struct {
	Connections, Turned, Evicted, Mute, Malformed, Unserved, Heartbeats, Stuck int64
	// Shed are requests of clients that leave their answers untaken, Crossed what came on a connection after its close.
	Shed, Crossed int64
}

// front accepts clients and turns their calls into requests.
type front struct {
	Counts   FrontCounts
	loop     *transport.Loop
	director *routing.Director
	listener *transport.Listener
	clients  map[*client]struct{} // those that linger are among them
	most     int
	idle     time.Duration
	stuck    time.Duration // see stuckAfter
	ending   []*client     // those that linger, in the order of their closes

	helloWithin time.Duration
	queueMax    int // bytes of answers that clients together may leave untaken
	bodyMax     int // bytes of requests' bodies held
	bodies      int
	leaving     bool // on the way out: not admitted any more
	closing     bool // no more requests are expected
	shut        bool // and nobody waits to be accepted
	call        thrift.Call
	head        []byte // reused by every answer
	tail        []byte
	sweep       transport.Timer
	well        func() bool // whether all cores are; nil: there is one
}

func newFront(loop *transport.Loop, d *routing.Director, listen netip.AddrPort, most int, idle time.Duration, memory int) (*front, error) {
	f := &front{
		loop: loop, director: d, clients: map[*client]struct{}{}, most: most, idle: idle, helloWithin: helloWithin,
		stuck: stuckAfter, queueMax: memory / 6, bodyMax: memory / 8,
	}
	var err error
	f.listener, err = loop.Listen(listen, func() transport.Handler { return &client{front: f, open: map[int32]*routing.Request{}} },
		func(c *transport.Conn, h transport.Handler) { f.admit(c, h.(*client)) })
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.sweep.Fire = f.tidy
	loop.Set(&f.sweep, loop.Now()+sweepEvery)
	return f, nil
}

func (f *front) admit(conn *transport.Conn, c *client) {
	c.conn, c.since = conn, f.loop.Now()
	// Descriptors are shared with the links to the caches: clients have their part and no more. Some ask once and hold
	// their connection for good; the one that has been unused for longest makes room for whoever comes now.
	if len(f.clients) >= f.most && !f.evict() {
		f.Counts.Turned++
		slog.Warn("client.turned_away", "connections", len(f.clients))
		conn.Close()
		return
	}
	f.Counts.Connections++
	f.clients[c] = struct{}{}
}

// evict makes room for one more: a connection that was closed a while ago goes, or else the one that has been without use for
// longest is closed, on which nobody is owed an answer. That one holds its descriptor a little longer, so that its last answer and
// the close reach it; as many as lingerShare allows may do so beyond the clients' part.
func (f *front) evict() bool {
	lingerMost := f.most/lingerShare + 1
	if n := len(f.ending); n > 0 && (f.loop.Now()-f.ending[0].endedAt >= crossing || n >= lingerMost) {
		c := f.ending[0]
		c.conn.Close()
		c.abandon()
		if len(f.clients) < f.most {
			return true
		}
	}
	for len(f.clients) >= f.most {
		var idlest *client
		for c := range f.clients {
			if c.idle() && (idlest == nil || c.conn.LastUse() < idlest.conn.LastUse()) {
				idlest = c
			}
		}
		if idlest == nil {
			return false
		}
		if idlest.endIfUnused() { // else its request came meanwhile, or it has gone
			f.Counts.Evicted++
			return len(f.clients) < f.most+lingerMost
		}
	}
	return true
}

// idle tells whether a client has nothing open and nothing to take. One that has had an answer may be closed at any time,
// for a request that crosses the close is sent again; a new one's first request must have had the time to come. Waiting
// for both alike turned away whoever came when many ask once and hold their connection.
func (c *client) idle() bool {
	return !c.ended && len(c.open) == 0 && c.conn.Queued() == 0 &&
		(c.conn.Sent() && c.conn.Unfinished() == 0 || c.front.loop.Now()-c.conn.LastUse() >= evictAfter)
}

// tidy closes connections that nobody uses.
func (f *front) tidy() {
	now := f.loop.Now()
	f.loop.Set(&f.sweep, now+sweepEvery)
	for c := range f.clients {
		switch unused := now - c.conn.LastUse(); {
		case c.conn.Queued() > 0 && unused >= f.stuck:
			c.dropStuck()
		case c.ended: // it lingers
		case len(c.open) == 0 && !c.conn.Sent() && now-c.since >= f.helloWithin:
			if c.endIfUnused() {
				f.Counts.Mute++
			}
		case len(c.open) == 0 && c.conn.Queued() == 0 && unused >= f.idle:
			c.endIfUnused()
		}
	}
}

// makeRoom keeps memory within its bound when clients do not take their answers: the one that has left the most
// untaken is closed. It can tell that its answers are not whole, and the others are served on.
func (f *front) makeRoom() {
	for f.loop.Queued() > f.queueMax {
		var worst *client
		for c := range f.clients {
			if worst == nil || c.conn.Queued() > worst.conn.Queued() {
				worst = c
			}
		}
		if worst == nil || worst.conn.Queued() == 0 {
			return
		}
		worst.dropStuck()
	}
}

// finish ends the taking in: what has come is answered, then its connection is closed.
func (f *front) finish() {
	f.closing = true
	f.shut = f.listener.Close()
	for c := range f.clients {
		c.closeIfDone()
	}
}
