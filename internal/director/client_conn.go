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
	maxClientStreams = 32      // requests in flight on one connection
	maxClientQueue   = 4 << 20 // bytes of answers that a client may leave unread before its calls are shed
	maxShedInARow    = 1024    // calls, after which a client is closed that only sends and never reads
)

// clientConn is a connection of a client. It implements transport.Handler and routing.Responder.
type clientConn struct {
	frontend   *frontend
	conn       *transport.Conn
	openedAt   time.Duration
	inFlight   map[int32]*routing.Request // by sequence number
	shedInARow int
	ended      bool          // nothing more is accepted from it
	endedAt    time.Duration // when the frontend closed it
}

// Opened implements transport.Handler.
func (c *clientConn) Opened() {}

// Flushed implements transport.Handler.
func (c *clientConn) Flushed() {}

// Closed implements transport.Handler.
func (c *clientConn) Closed(err error) {
	if len(c.inFlight) > 0 && !errors.Is(err, io.EOF) && !errors.Is(err, transport.ErrLingerTimeout) {
		slog.Info("client.disconnected", "open", len(c.inFlight), "err", err)
	}
	c.abandon()
}

// abandon removes a client that cannot be answered any more and cancels its requests.
func (c *clientConn) abandon() {
	c.ended = true
	delete(c.frontend.clients, c)
	c.frontend.lingering = slices.DeleteFunc(c.frontend.lingering, func(other *clientConn) bool { return other == c })
	c.cancelRequests()
}

func (c *clientConn) cancelRequests() {
	for _, r := range slices.Collect(maps.Values(c.inFlight)) {
		c.cancel(r)
	}
}

func (c *clientConn) cancel(r *routing.Request) {
	c.forget(r)
	c.frontend.director.Cancel(r)
}

// closeGracefully closes the connection in order: what was written reaches the client, and for a while its input is
// dropped.
func (c *clientConn) closeGracefully() {
	if c.ended {
		return
	}
	c.ended = true
	c.endedAt = c.frontend.loop.Now()
	c.frontend.lingering = append(c.frontend.lingering, c)
	c.cancelRequests()
	c.conn.CloseAfterFlush(lingerTimeout)
}

// closeIfUnused closes the connection and reports that it did, unless a request has come by now. Such a request is served;
// the client sends again what comes after the close. It reads from the connection, so it must not be called while the
// input of any connection is handled.
func (c *clientConn) closeIfUnused() bool {
	c.conn.ReadAvailable()
	if c.ended || len(c.inFlight) > 0 || c.conn.Queued() > 0 {
		return false
	}
	c.closeGracefully()
	return true
}

func (c *clientConn) closeStuck() {
	c.frontend.Counters.Stuck++
	slog.Warn("client.stuck", "queued_bytes", c.conn.Queued(), "open", len(c.inFlight))
	c.conn.Close()
	c.abandon()
}

// closeIfDrained closes the connection during the shutdown if nothing is in flight, at the end of the round: input that
// has come by then is read before. A client that has sent a part of a request stays open for the rest of it.
func (c *clientConn) closeIfDrained() {
	if !c.frontend.closing || c.ended || len(c.inFlight) > 0 {
		return
	}
	c.frontend.loop.AfterRound(func() {
		if !c.ended && len(c.inFlight) == 0 {
			c.conn.ReadAvailable()
		}
		if !c.ended && len(c.inFlight) == 0 && c.conn.Unfinished() == 0 {
			c.closeGracefully()
		}
	})
}

// isIdle reports whether nothing is in flight and nothing unread. A client that has had an answer may be closed at any
// time, since it sends a request again that comes during the close. The first request of a new client must have had the
// time to come.
func (c *clientConn) isIdle() bool {
	if c.ended || len(c.inFlight) > 0 || c.conn.Queued() > 0 {
		return false
	}
	served := c.conn.HasSent() && c.conn.Unfinished() == 0
	return served || c.frontend.loop.Now()-c.conn.LastUse() >= evictAfter
}

// Data implements transport.Handler.
func (c *clientConn) Data(b []byte) (used, need int, err error) {
	call := &c.frontend.call
	for {
		if c.ended { // its answer could not be written; the client sends it again
			if len(b) > used {
				c.frontend.Counters.AfterClose++
			}
			return len(b), 0, nil
		}
		n, need, err := thrift.Parse(b[used:], call)
		if err != nil {
			c.rejectMalformed(err)
			return len(b), 0, nil
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if err := c.handle(call); err != nil {
			c.rejectMalformed(err)
			return len(b), 0, nil
		}
	}
}

// rejectMalformed closes a client that violates the protocol. Answers that were written before still reach it.
func (c *clientConn) rejectMalformed(err error) {
	c.frontend.Counters.Malformed++
	slog.Info("client.malformed", "err", err)
	c.closeGracefully()
}

func (c *clientConn) handle(call *thrift.Call) error {
	switch call.Method {
	case thrift.Submit:
		return c.submit(call)
	case thrift.Cancel:
		if r := c.inFlight[call.CancelTarget]; r != nil {
			c.cancel(r)
			c.closeIfDrained()
		}
	case thrift.Heartbeat:
		c.answerHeartbeat(call)
	default:
		if !call.Oneway {
			c.conn.Write(thrift.AppendException(nil, call.Name, call.SequenceNumber, thrift.UnknownMethod, "no such method"))
		}
	}
	return nil
}

func (c *clientConn) answerHeartbeat(call *thrift.Call) {
	f := c.frontend
	f.Counters.Heartbeats++
	good := !f.draining && f.director.HasReadyCache() && (f.isHealthy == nil || f.isHealthy())
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Heartbeat, call.SequenceNumber, 0, good)
	c.conn.Write(f.head, f.tail)
}

func (c *clientConn) submit(call *thrift.Call) error {
	if c.inFlight[call.SequenceNumber] != nil {
		return fmt.Errorf("sequence number %d is in flight already", call.SequenceNumber)
	}
	if c.conn.Queued() > maxClientQueue {
		c.shed(call)
		return nil
	}
	c.shedInARow = 0
	f := c.frontend
	// Too many requests, or too large ones, are rejected one by one: the connection has others in flight.
	if len(c.inFlight) >= maxClientStreams || f.bodyBytes+len(call.Body) > f.maxBodyBytes {
		f.Counters.Unserved++
		c.conn.Write(thrift.AppendRejected(nil, call.SequenceNumber))
		return nil
	}
	r, err := readRequest(call)
	if err != nil {
		f.Counters.Unserved++
		slog.Debug("request.malformed", "err", err)
		c.conn.Write(thrift.AppendException(nil, call.Name, call.SequenceNumber, thrift.ProtocolError, err.Error()))
		return nil
	}
	r.Responder = c
	r.SequenceNumber = call.SequenceNumber
	c.inFlight[call.SequenceNumber] = r
	f.bodyBytes += len(r.Body)
	f.director.Submit(r)
	return nil
}

// shed rejects a call of a client that does not read its answers. Its input is still read, or neither its cancels nor its
// end would be seen.
func (c *clientConn) shed(call *thrift.Call) {
	c.frontend.Counters.Shed++
	c.shedInARow++
	if c.shedInARow > maxShedInARow {
		c.closeStuck()
		return
	}
	c.conn.Write(thrift.AppendRejected(nil, call.SequenceNumber))
}

// forget removes a request that gets its answer now, or is owed none.
func (c *clientConn) forget(r *routing.Request) {
	delete(c.inFlight, r.SequenceNumber)
	c.frontend.bodyBytes -= len(r.Body)
}

// Respond implements routing.Responder.
func (c *clientConn) Respond(r *routing.Request, body []byte) { c.writeAnswer(r, body) }

// RespondNotModified implements routing.Responder.
func (c *clientConn) RespondNotModified(r *routing.Request) {
	c.writeAnswer(r, nil, thrift.Pair{Name: "same", Value: "1"})
}

func (c *clientConn) writeAnswer(r *routing.Request, body []byte, fields ...thrift.Pair) {
	c.forget(r)
	f := c.frontend
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Submit, r.SequenceNumber, len(body), true, fields...)
	c.conn.Write(f.head, body, f.tail)
	c.afterAnswer()
}

// Reject implements routing.Responder.
func (c *clientConn) Reject(r *routing.Request, retryAfter time.Duration) {
	c.forget(r)
	var fields []thrift.Pair
	if ms := (retryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = append(fields, thrift.Pair{Name: "backoff", Value: strconv.FormatInt(int64(ms), 10)})
	}
	f := c.frontend
	f.head = thrift.AppendRejected(f.head[:0], r.SequenceNumber, fields...)
	c.conn.Write(f.head)
	c.afterAnswer()
}

// Fail implements routing.Responder.
func (c *clientConn) Fail(r *routing.Request) {
	c.forget(r)
	f := c.frontend
	f.head = thrift.AppendFailed(f.head[:0], r.SequenceNumber)
	c.conn.Write(f.head)
	c.afterAnswer()
}

func (c *clientConn) afterAnswer() {
	c.closeIfDrained()
	c.frontend.limitQueuedBytes()
}
