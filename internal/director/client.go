package director

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/transport"
)

const (
	clientStreams = 32      // requests open on one connection
	clientQueue   = 4 << 20 // bytes that a client may leave untaken before further requests of its are refused
	clientShed    = 1024    // of them in a row after which it is closed: it only sends and never reads
)

// client is one connection of a client.
type client struct {
	front *front
	conn  *transport.Conn
	since time.Duration
	open  map[int32]*routing.Request // by sequence number
	ended bool                       // nothing more is taken from it

	endedAt time.Duration // when we closed it, if we did
	shed    int           // see clientShed
}

// Opened implements transport.Handler.
func (c *client) Opened() {}

// Flushed implements transport.Handler.
func (c *client) Flushed() {}

// Closed implements transport.Handler.
func (c *client) Closed(err error) {
	if len(c.open) > 0 && !errors.Is(err, io.EOF) && !errors.Is(err, transport.ErrLingers) {
		slog.Info("client.gone", "open", len(c.open), "err", err)
	}
	c.abandon()
}

// abandon gives up what is open for a client that can't be answered any more.
func (c *client) abandon() {
	c.ended = true
	delete(c.front.clients, c)
	c.front.ending = slices.DeleteFunc(c.front.ending, func(e *client) bool { return e == c })
	c.giveUp()
}

// giveUp withdraws all that is open for a client.
func (c *client) giveUp() {
	for _, r := range slices.Collect(maps.Values(c.open)) {
		c.answered(r)
		c.front.director.Cancel(r)
	}
}

// end closes a client in order: what was written reaches it, and what it still sends is thrown away, for a while.
func (c *client) end() {
	if c.ended {
		return
	}
	c.ended, c.endedAt = true, c.front.loop.Now()
	c.front.ending = append(c.front.ending, c)
	c.giveUp()
	c.conn.CloseAfterFlush(lingerFor)
}

// endIfUnused closes a client unless a request has come by now: what the system holds whole was taken, and is owed its answer. A part of
// one crosses the close, and its client sends it again. It reads, so it must not be called while any connection's bytes are handled.
func (c *client) endIfUnused() bool {
	c.conn.Take()
	if c.ended || len(c.open) > 0 || c.conn.Queued() > 0 {
		return false
	}
	c.end()
	return true
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
			if len(b) > used {
				c.front.Counts.Crossed++
			}
			return len(b), 0, nil
		}
		n, need, err := thrift.Parse(b[used:], call)
		if err != nil {
			return len(b), 0, c.malformed(err)
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if err := c.handle(call); err != nil {
			return len(b), 0, c.malformed(err)
		}
	}
}

// malformed ends a client that sent what is no message of the protocol. What was answered before still reaches it.
func (c *client) malformed(err error) error {
	c.front.Counts.Malformed++
	slog.Info("client.malformed", "err", err)
	c.end()
	return nil
}

func (c *client) handle(call *thrift.Call) error {
	switch call.Method {
	case thrift.Submit:
		return c.submit(call)
	case thrift.Revoke:
		if r := c.open[call.Target]; r != nil {
			c.answered(r)
			c.front.director.Cancel(r)
			c.closeIfDone()
		}
	case thrift.Heartbeat:
		c.front.Counts.Heartbeats++
		good := !c.front.leaving && c.front.director.HasReadyCache() && (c.front.well == nil || c.front.well())
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
	// It is read on although it takes no answers, or neither its end nor what it takes back would be seen.
	if c.conn.Queued() > clientQueue {
		c.front.Counts.Shed++
		if c.shed++; c.shed > clientShed {
			c.dropStuck()
			return nil
		}
		c.conn.Write(thrift.AppendRefused(nil, call.Seq))
		return nil
	}
	c.shed = 0
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
	r.Responder, r.SequenceNumber = c, call.Seq
	c.open[call.Seq] = r
	c.front.bodies += len(r.Body)
	c.front.director.Submit(r)
	return nil
}

// answered forgets a request that gets its answer now, or is owed none any more.
func (c *client) answered(r *routing.Request) {
	delete(c.open, r.SequenceNumber)
	c.front.bodies -= len(r.Body)
}

// Respond implements routing.Caller.
func (c *client) Respond(r *routing.Request, body []byte) { c.answer(r, body) }

// RespondNotModified implements routing.Caller.
func (c *client) RespondNotModified(r *routing.Request) {
	c.answer(r, nil, thrift.Pair{Name: "same", Value: "1"})
}

func (c *client) answer(r *routing.Request, body []byte, fields ...thrift.Pair) {
	c.answered(r)
	f := c.front
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Submit, r.SequenceNumber, len(body), true, fields...)
	c.conn.Write(f.head, body, f.tail)
	c.afterAnswer()
}

// Reject implements routing.Caller.
func (c *client) Reject(r *routing.Request, holdOff time.Duration) {
	c.answered(r)
	var fields []thrift.Pair
	if ms := (holdOff + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = append(fields, thrift.Pair{Name: "backoff", Value: strconv.FormatInt(int64(ms), 10)})
	}
	c.front.head = thrift.AppendRefused(c.front.head[:0], r.SequenceNumber, fields...)
	c.conn.Write(c.front.head)
	c.afterAnswer()
}

// Fail implements routing.Caller.
func (c *client) Fail(r *routing.Request) {
	c.answered(r)
	c.front.head = thrift.AppendFailed(c.front.head[:0], r.SequenceNumber)
	c.conn.Write(c.front.head)
	c.afterAnswer()
}

func (c *client) afterAnswer() {
	c.closeIfDone()
	c.front.makeRoom()
}

// closeIfDone closes a client on the way out once it is owed nothing, at the end of the round: bytes that a close would cross are
// read before. One that has sent a part of a request stays open for the rest of it, as long as the process does.
func (c *client) closeIfDone() {
	if !c.front.closing || c.ended || len(c.open) > 0 {
		return
	}
	c.front.loop.Later(func() {
		if !c.ended && len(c.open) == 0 {
			c.conn.Take()
		}
		if !c.ended && len(c.open) == 0 && c.conn.Unfinished() == 0 {
			c.end()
		}
	})
}
