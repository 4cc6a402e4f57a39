package director

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
	"stairvane.org/stairvane/internal/transport"
)

const (
	maxClientStreams = 32      // requests in flight on one connection
	maxClientQueue   = 4 << 20 // bytes of unread answers beyond which a client's calls are shed
	maxShedInARow    = 1024    // calls shed in a row, after which a client that never reads is closed
)

// clientConn is a client's connection. It implements transport.Handler and routing.Responder.
type clientConn struct {
	frontend *frontend
	conn     *transport.Conn
	openedAt time.Duration
	inFlight map[int32]*routing.Request // by sequence number
	ended    bool                       // closed by either side: no more calls are accepted
	endedAt  time.Duration              // when the frontend closed it

	delivery      delivery
	largestAnswer int   // bytes of the largest answer so far
	replyBytes    int   // bytes of replies without an object since all output was last read
	shedInARow    int   // calls shed without another being accepted or the client reading anything
	shedDelivered int64 // bytes delivered when shedInARow was counted
}

// Opened implements transport.Handler.
func (c *clientConn) Opened() {}

// Flushed implements transport.Handler.
func (c *clientConn) Flushed() { c.replyBytes = 0 }

// Closed implements transport.Handler.
func (c *clientConn) Closed(err error) {
	var dropped *transport.InputDroppedError
	if errors.As(err, &dropped) {
		c.frontend.Counters.LeftUnread++
	}
	if len(c.inFlight) > 0 && !errors.Is(err, io.EOF) && !errors.Is(err, transport.ErrLingerTimeout) {
		slog.Info("client.disconnected", "open", len(c.inFlight), "err", err)
	}
	c.remove()
}

// remove unregisters a client that can no longer be answered and cancels its requests.
func (c *clientConn) remove() {
	c.ended = true
	c.frontend.unregister(c)
	c.frontend.lingering = slices.DeleteFunc(c.frontend.lingering, func(other *clientConn) bool { return other == c })
	c.cancelRequests()
}

func (c *clientConn) cancelRequests() {
	for _, r := range slices.Collect(maps.Values(c.inFlight)) {
		c.cancel(r)
	}
}

func (c *clientConn) cancel(r *routing.Request) {
	c.removeRequest(r)
	c.frontend.director.Cancel(r)
}

// closeGracefully closes the connection after everything that was written has reached the client. Until the client closes its
// end, or has taken nothing for lingerTimeout, its input is read and discarded.
func (c *clientConn) closeGracefully() {
	if c.ended {
		return
	}
	c.ended = true
	c.endedAt = c.frontend.loop.Now()
	c.frontend.lingering = append(c.frontend.lingering, c)
	c.cancelRequests()
	c.conn.CloseAfterFlush(lingerTimeout, c.frontend.stuckTimeout)
}

// closeIfUnused gracefully closes the connection, unless a request has arrived, and reports whether it did. A request that
// has arrived is served; a request that arrives after the close is sent again by the client. closeIfUnused reads from the
// connection, so it must not be called while the input of any connection is being handled.
func (c *clientConn) closeIfUnused() bool {
	c.conn.ReadAvailable()
	if c.ended || len(c.inFlight) > 0 || c.conn.Queued() > 0 || c.isReading() {
		return false
	}
	c.closeGracefully()
	return true
}

// isReading reports whether the client is still receiving answers that the kernel has accepted. It would learn of a close only
// after the last of them, and requests that it sends until then would be lost.
func (c *clientConn) isReading() bool {
	return c.conn.Undelivered() > inTransitBytes && c.delivery.stalledFor(c.frontend.loop.Now()) < stalledTimeout
}

// checkDelivery records how much the client has taken by now.
func (c *clientConn) checkDelivery() {
	c.delivery.check(c.conn.Delivered(), c.conn.Undelivered(), c.frontend.loop.Now())
}

// stuckReason tells why a connection was closed with unread answers. Its values are those of the attribute reason in the log.
type stuckReason string

const (
	stuckUnread stuckReason = "unread" // the client took nothing for stuckTimeout
	stuckMemory stuckReason = "memory" // memory was short and the client took nothing for memoryStallTimeout
	stuckFlood  stuckReason = "flood"  // the client left the rejections of too many calls unread
)

// closeStuck closes the connection at once. Everything that is queued or in flight on it is lost.
func (c *clientConn) closeStuck(reason stuckReason) {
	f := c.frontend
	f.Counters.Stuck++
	c.checkDelivery()
	slog.Warn("client.stuck", "reason", reason, "queued_bytes", c.conn.Queued(), "open", len(c.inFlight),
		"unread_ms", c.delivery.stalledFor(f.loop.Now()).Milliseconds(), "queued_by_all", f.loop.Queued())
	c.conn.Close()
	c.remove()
}

// closeIfDrained closes the connection during shutdown if nothing is in flight. It does so at the end of the round, after
// reading the input that has arrived by then. A connection with a partially received request stays open for the rest of it.
func (c *clientConn) closeIfDrained() {
	if !c.frontend.closing || c.ended || len(c.inFlight) > 0 {
		return
	}
	c.frontend.loop.AfterRound(func() {
		if !c.ended && len(c.inFlight) == 0 {
			c.conn.ReadAvailable()
		}
		if !c.ended && len(c.inFlight) == 0 && c.conn.IncompleteInput() == 0 {
			c.closeGracefully()
		}
	})
}

// isIdle reports whether the connection may be evicted: no request is in flight and no answer is unread. A client that has
// been answered may be closed at any time, since it resends a request that crosses the close. A new client must first have
// had evictAfter for its first request to arrive.
func (c *clientConn) isIdle() bool {
	if c.ended || len(c.inFlight) > 0 || c.conn.Queued() > 0 || c.isReading() {
		return false
	}
	served := c.conn.HasSent() && c.conn.IncompleteInput() == 0
	return served || c.frontend.loop.Now()-c.conn.LastUse() >= evictAfter
}

// Data implements transport.Handler.
func (c *clientConn) Data(b []byte) (used, need int, err error) {
	call := &c.frontend.call
	for {
		if c.ended { // a call could no longer be answered; the client sends it again
			if len(b) > used {
				c.frontend.Counters.AfterClose++
			}
			return len(b), 0, nil
		}
		n, need, err := thrift.Parse(b[used:], call)
		if err != nil {
			c.closeOnProtocolError(err)
			return len(b), 0, nil
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if err := c.handleCall(call); err != nil {
			c.closeOnProtocolError(err)
			return len(b), 0, nil
		}
	}
}

// closeOnProtocolError closes the connection of a client that violates the protocol. Answers already written still reach it.
func (c *clientConn) closeOnProtocolError(err error) {
	c.frontend.Counters.Malformed++
	slog.Info("client.malformed", "err", err)
	c.closeGracefully()
}

func (c *clientConn) handleCall(call *thrift.Call) error {
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
			c.reply(thrift.AppendException(nil, call.Name, call.SequenceNumber, thrift.UnknownMethod, "no such method"))
		}
	}
	return nil
}

func (c *clientConn) submit(call *thrift.Call) error {
	if c.inFlight[call.SequenceNumber] != nil {
		return fmt.Errorf("sequence number %d is already in flight", call.SequenceNumber)
	}
	if c.conn.Queued() > maxClientQueue || !c.frontend.admits(c) {
		c.shed(call)
		return nil
	}
	c.shedInARow = 0
	f := c.frontend
	// Excess requests are rejected individually instead of closing the connection, which has other requests in flight.
	if len(c.inFlight) >= maxClientStreams || f.bodyBytes+len(call.Body) > f.maxBodyBytes {
		f.Counters.Unserved++
		c.reply(thrift.AppendRejected(nil, call.SequenceNumber))
		return nil
	}
	r, err := readRequest(call)
	if err != nil {
		f.Counters.Unserved++
		slog.Debug("request.malformed", "err", err)
		c.reply(thrift.AppendException(nil, call.Name, call.SequenceNumber, thrift.ProtocolError, err.Error()))
		return nil
	}
	r.Responder = c
	r.SequenceNumber = call.SequenceNumber
	c.inFlight[call.SequenceNumber] = r
	f.bodyBytes += len(r.Body)
	f.director.Submit(r)
	return nil
}

// removeRequest removes a request that is being answered or cancelled.
func (c *clientConn) removeRequest(r *routing.Request) {
	delete(c.inFlight, r.SequenceNumber)
	c.frontend.bodyBytes -= len(r.Body)
}
