// Package program joins the layers into one process: the clients' protocol and the caches' protocol on the loop's
// connections, the bulletin, the configuration, and the course of a life from start to SIGTERM.
package program

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"stairvane.org/stairvane"
	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/routing"
	"stairvane.org/stairvane/internal/transport"
)

const (
	clientStreams = 32               // requests open on one connection
	clientQueue   = 4 << 20          // bytes that a client may leave untaken before it is read no further
	stuckAfter    = 10 * time.Second // without a byte taken; longer than any deadline
)

// FrontCounts is what the front has seen.
type FrontCounts struct {
	Connections, Turned, Malformed, Unserved, Heartbeats, Stuck int64
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
	queueMax int // bytes of answers that clients together may leave untaken
	bodyMax  int // bytes of requests' bodies held
	bodies   int
	leaving  bool // on the way out: not admitted any more
	closing  bool // no more requests are expected
	call     thrift.Call
	head     []byte // reused by every answer
	tail     []byte
	sweep    transport.Timer
}

func newFront(loop *transport.Loop, d *routing.Director, listen netip.AddrPort, most int, idle time.Duration, memory int) (*front, error) {
	f := &front{loop: loop, director: d, clients: map[*client]struct{}{}, most: most, idle: idle,
		queueMax: memory / 6, bodyMax: memory / 8}
	var err error
	f.listener, err = loop.Listen(listen, func() transport.Handler { return &client{front: f, open: map[int32]*routing.Request{}} },
		func(c *transport.Conn, h transport.Handler) { f.admit(c, h.(*client)) })
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.sweep.Fire = f.tidy
	loop.Set(&f.sweep, loop.Now()+time.Second)
	return f, nil
}

func (f *front) admit(conn *transport.Conn, c *client) {
	c.conn = conn
	// Descriptors are shared with the links to the caches: clients have their part and no more.
	if len(f.clients) >= f.most {
		f.Counts.Turned++
		log.Printf("client turned away: %d connections are open", len(f.clients))
		conn.Close()
		return
	}
	f.Counts.Connections++
	f.clients[c] = struct{}{}
}

// tidy closes connections that nobody uses.
func (f *front) tidy() {
	now := f.loop.Now()
	f.loop.Set(&f.sweep, now+time.Second)
	for c := range f.clients {
		switch unused := now - c.conn.LastUse(); {
		case c.conn.Queued() > 0 && unused >= stuckAfter:
			c.dropStuck()
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

// client is one connection of a client.
type client struct {
	front *front
	conn  *transport.Conn
	open  map[int32]*routing.Request // by sequence number
	ended bool                       // nothing more is taken from it
}

// Opened implements transport.Handler.
func (c *client) Opened() {}

// Flushed implements transport.Handler.
func (c *client) Flushed() { c.flow() }

// flow stops reading from a client that does not take its answers and goes on when it has.
func (c *client) flow() {
	stop := c.conn.Queued() > clientQueue
	if stop != c.conn.Paused() {
		if stop {
			c.conn.Pause()
		} else {
			c.conn.Resume()
		}
	}
}

// Closed implements transport.Handler.
func (c *client) Closed(err error) {
	if len(c.open) > 0 && !errors.Is(err, io.EOF) {
		log.Printf("client gone with %d requests open: %v", len(c.open), err)
	}
	c.abandon()
}

// abandon gives up what is open for a client that can't be answered any more.
func (c *client) abandon() {
	c.ended = true
	delete(c.front.clients, c)
	for _, r := range slices.Collect(maps.Values(c.open)) {
		c.answered(r)
		c.front.director.Revoke(r)
	}
}

func (c *client) dropStuck() {
	c.front.Counts.Stuck++
	log.Printf("client takes no answers: closed with %d bytes queued and %d requests open", c.conn.Queued(), len(c.open))
	c.conn.Close()
	c.abandon()
}

// Data implements transport.Handler.
func (c *client) Data(b []byte) (used, need int, err error) {
	call := &c.front.call
	for {
		if c.ended { // what crosses the close is the client's to send again; its answer could not be written
			return len(b), 0, nil
		}
		n, need, err := thrift.Parse(b[used:], call)
		if err != nil {
			c.front.Counts.Malformed++
			log.Printf("client closed: %v", err)
			return used, 0, err
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if err := c.handle(call); err != nil {
			c.front.Counts.Malformed++
			log.Printf("client closed: %v", err)
			return used, 0, err
		}
	}
}

func (c *client) handle(call *thrift.Call) error {
	switch call.Method {
	case thrift.Submit:
		return c.submit(call)
	case thrift.Revoke:
		if r := c.open[call.Target]; r != nil {
			c.answered(r)
			c.front.director.Revoke(r)
			c.closeIfDone()
		}
	case thrift.Heartbeat:
		c.front.Counts.Heartbeats++
		good := !c.front.leaving && c.front.director.Ready()
		head, tail := thrift.AppendAnswer(c.front.head[:0], c.front.tail[:0], thrift.Heartbeat, call.Seq, 0, good)
		c.conn.Write(head, tail)
		c.front.head, c.front.tail = head, tail
	default:
		if !call.Oneway {
			c.conn.Write(thrift.AppendException(nil, call.Name, call.Seq, thrift.UnknownMethod, "no such method"))
		}
	}
	return nil
}

func (c *client) submit(call *thrift.Call) error {
	if c.open[call.Seq] != nil {
		return fmt.Errorf("sequence number %d is open already", call.Seq)
	}
	// One too many is no reason to lose the others with the connection; nor are more bodies than memory has room for.
	if len(c.open) >= clientStreams || c.front.bodies+len(call.Body) > c.front.bodyMax {
		c.front.Counts.Unserved++
		c.conn.Write(thrift.AppendRefused(nil, call.Seq))
		return nil
	}
	r, err := readRequest(call)
	if err != nil {
		c.front.Counts.Unserved++
		log.Printf("request failed: %v", err)
		c.conn.Write(thrift.AppendException(nil, call.Name, call.Seq, thrift.ProtocolError, err.Error()))
		return nil
	}
	r.Caller, r.Ref = c, call.Seq
	c.open[call.Seq] = r
	c.front.bodies += len(r.Body)
	c.front.director.Submit(r)
	return nil
}

// hexWord tells whether b is made of n hex digits.
func hexWord(b []byte, n int) bool {
	if len(b) != n {
		return false
	}
	for _, x := range b {
		if (x < '0' || x > '9') && (x < 'a' || x > 'f') && (x < 'A' || x > 'F') {
			return false
		}
	}
	return true
}

// word tells whether b can stand as a value in the caches' fields.
func word(b []byte) bool {
	if len(b) > 64 {
		return false
	}
	for _, x := range b {
		if x <= ' ' || x == ',' || x == '=' || x >= 0x7f {
			return false
		}
	}
	return true
}

// readRequest copies out of the call what must outlive it.
func readRequest(call *thrift.Call) (*routing.Request, error) {
	bad := func(name string) error {
		return fmt.Errorf("field %s of request %q: bad value %q", name, call.Field("rid"), call.Field(name))
	}
	id, object, token, have := call.Field("rid"), call.Field("obj"), call.Field("token"), call.Field("have")
	class := call.Field("method")
	switch {
	case !hexWord(id, 16):
		return nil, bad("rid")
	case !hexWord(object, 16):
		return nil, bad("obj")
	case len(class) == 0 || !word(class):
		return nil, bad("method")
	case !word(token):
		return nil, bad("token")
	case !word(have):
		return nil, bad("have")
	}
	r := &routing.Request{ID: string(id), Class: string(class), Token: string(token), Have: string(have)}
	number, err := strconv.ParseUint(string(object), 16, 64)
	if err != nil {
		return nil, bad("obj")
	}
	r.Object = stairvane.ObjectID(number)
	if r.Part, err = small(call.Field("part")); err != nil {
		return nil, bad("part")
	}
	if r.Group, err = small(call.Field("group")); err != nil {
		return nil, bad("group")
	}
	if v := call.Field("mem"); len(v) > 0 {
		if r.SizeKB, err = strconv.ParseFloat(string(v), 64); err != nil || !(r.SizeKB >= 0 && r.SizeKB < 1e9) {
			return nil, bad("mem")
		}
	}
	ms, err := strconv.ParseFloat(string(call.Field("budget")), 64)
	if err != nil || !(ms >= 0 && ms < 1e7) {
		return nil, bad("budget")
	}
	r.Budget = time.Duration(ms * float64(time.Millisecond))
	if len(call.Body) > 0 {
		r.Body = append([]byte(nil), call.Body...)
	}
	return r, nil
}

func small(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(b), 10, 31)
	return int(n), err
}

// answered forgets a request that gets its answer now, or is owed none any more.
func (c *client) answered(r *routing.Request) {
	delete(c.open, r.Ref)
	c.front.bodies -= len(r.Body)
}

// Serve implements routing.Caller.
func (c *client) Serve(r *routing.Request, body []byte) { c.answer(r, body) }

// ServeSame implements routing.Caller.
func (c *client) ServeSame(r *routing.Request) {
	c.answer(r, nil, thrift.Pair{Name: "same", Value: "1"})
}

func (c *client) answer(r *routing.Request, body []byte, fields ...thrift.Pair) {
	c.answered(r)
	f := c.front
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Submit, r.Ref, len(body), true, fields...)
	c.conn.Write(f.head, body, f.tail)
	c.afterAnswer()
}

// Refuse implements routing.Caller.
func (c *client) Refuse(r *routing.Request, holdOff time.Duration) {
	c.answered(r)
	var fields []thrift.Pair
	if ms := (holdOff + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = append(fields, thrift.Pair{Name: "backoff", Value: strconv.FormatInt(int64(ms), 10)})
	}
	c.front.head = thrift.AppendRefused(c.front.head[:0], r.Ref, fields...)
	c.conn.Write(c.front.head)
	c.afterAnswer()
}

// Fail implements routing.Caller.
func (c *client) Fail(r *routing.Request) {
	c.answered(r)
	c.front.head = thrift.AppendFailed(c.front.head[:0], r.Ref)
	c.conn.Write(c.front.head)
	c.afterAnswer()
}

func (c *client) afterAnswer() {
	c.flow()
	c.closeIfDone()
	c.front.makeRoom()
}

func (c *client) closeIfDone() {
	if c.front.closing && len(c.open) == 0 {
		c.ended = true
		c.conn.CloseAfterFlush()
	}
}
