// Package program joins the layers into one process: the clients' protocol and the caches' protocol on the loop's
// connections, the bulletin, the configuration, and the course of a life from start to SIGTERM.
package program

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/routing"
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

// stuckAfter is how long a client may take no byte of what waits for it; longer than any deadline.
const stuckAfter = 10 * time.Second

// FrontCounts is what the front has seen.
type FrontCounts struct {
	Connections, Turned, Evicted, Mute, Malformed, Unserved, Heartbeats, Stuck int64
}

// front accepts clients and turns their calls into requests.
type front struct {
	Counts   FrontCounts
	loop     *transport.Loop
	director *routing.Director
	listener *transport.Listener
	clients  map[*client]struct{}
	most     int
	idle     time.Duration

	helloWithin time.Duration
	queueMax    int // bytes of answers that clients together may leave untaken
	bodyMax     int // bytes of requests' bodies held
	bodies      int
	leaving     bool // on the way out: not admitted any more
	closing     bool // no more requests are expected
	call        thrift.Call
	head        []byte // reused by every answer
	tail        []byte
	sweep       transport.Timer
	well        func() bool // whether all cores are; nil: there is one
}

func newFront(loop *transport.Loop, d *routing.Director, listen netip.AddrPort, most int, idle time.Duration, memory int) (*front, error) {
	f := &front{loop: loop, director: d, clients: map[*client]struct{}{}, most: most, idle: idle, helloWithin: helloWithin,
		queueMax: memory / 6, bodyMax: memory / 8}
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

// evict closes the connection that has been without use for longest, if there is one: nobody is owed an answer on it.
func (f *front) evict() bool {
	var idlest *client
	for c := range f.clients {
		if c.idle() && (idlest == nil || c.conn.LastUse() < idlest.conn.LastUse()) {
			idlest = c
		}
	}
	if idlest == nil {
		return false
	}
	f.Counts.Evicted++
	delete(f.clients, idlest)
	idlest.conn.Close()
	return true
}

// idle tells whether a client has nothing open and nothing to take. One that has had an answer may be closed at any time,
// for a request that crosses the close is sent again; a new one's first request must have had the time to come. Waiting
// for both alike turned away whoever came when many ask once and hold their connection.
func (c *client) idle() bool {
	return len(c.open) == 0 && c.conn.Queued() == 0 &&
		(c.conn.Sent() || c.front.loop.Now()-c.conn.LastUse() >= evictAfter)
}

// tidy closes connections that nobody uses.
func (f *front) tidy() {
	now := f.loop.Now()
	f.loop.Set(&f.sweep, now+sweepEvery)
	for c := range f.clients {
		switch unused := now - c.conn.LastUse(); {
		case c.conn.Queued() > 0 && unused >= stuckAfter:
			c.dropStuck()
		case len(c.open) == 0 && !c.conn.Sent() && now-c.since >= f.helloWithin:
			f.Counts.Mute++
			delete(f.clients, c)
			c.conn.Close()
		case len(c.open) == 0 && c.conn.Queued() == 0 && unused >= f.idle:
			delete(f.clients, c)
			c.conn.Close()
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
	f.listener.Close()
	for c := range f.clients {
		c.closeIfDone()
	}
}
