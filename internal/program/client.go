package program

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/routing"
	"stairvane.org/stairvane/internal/transport"
)

const (
	clientStreams = 32      // requests open on one connection
	clientQueue   = 4 << 20 // bytes that a client may leave untaken before it is read no further
)

// client is one connection of a client.
type client struct {
	front *front
	conn  *transport.Conn
	since time.Duration
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
		slog.Info("client.gone", "open", len(c.open), "err", err)
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
	slog.Warn("client.stuck", "queued_bytes", c.conn.Queued(), "open", len(c.open))
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
			slog.Info("client.malformed", "err", err)
			return used, 0, err
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if err := c.handle(call); err != nil {
			c.front.Counts.Malformed++
			slog.Info("client.malformed", "err", err)
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
		good := !c.front.leaving && c.front.director.Ready() && (c.front.well == nil || c.front.well())
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
		slog.Debug("request.unusable", "err", err)
		c.conn.Write(thrift.AppendException(nil, call.Name, call.Seq, thrift.ProtocolError, err.Error()))
		return nil
	}
	r.Caller, r.Ref = c, call.Seq
	c.open[call.Seq] = r
	c.front.bodies += len(r.Body)
	c.front.director.Submit(r)
	return nil
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
