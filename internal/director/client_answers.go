package director

import (
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/thrift"
)

// reply writes a reply without an object. It may close the connection.
func (c *clientConn) reply(parts ...[]byte) {
	c.conn.Write(parts...)
	if c.conn.Queued() == 0 {
		return
	}
	for _, part := range parts {
		c.replyBytes += len(part)
	}
	c.frontend.limitReplies()
}

// Respond implements routing.Responder.
func (c *clientConn) Respond(r *routing.Request, body []byte) (passedOn bool) {
	if !c.frontend.hasRoom(c, len(body)) {
		c.frontend.Counters.Dropped++
		c.Fail(r)
		return false
	}
	c.largestAnswer = max(c.largestAnswer, len(body))
	c.removeRequest(r)
	f := c.frontend
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Submit, r.SequenceNumber, len(body), true)
	c.conn.Write(f.head, body, f.tail)
	c.closeIfDrained()
	return true
}

// RespondNotModified implements routing.Responder.
func (c *clientConn) RespondNotModified(r *routing.Request) {
	c.removeRequest(r)
	f := c.frontend
	same := thrift.Pair{Name: "same", Value: "1"}
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Submit, r.SequenceNumber, 0, true, same)
	c.reply(f.head, f.tail)
	c.closeIfDrained()
}

// Reject implements routing.Responder.
func (c *clientConn) Reject(r *routing.Request, retryAfter time.Duration) {
	c.removeRequest(r)
	var fields []thrift.Pair
	if ms := (retryAfter + time.Millisecond - 1) / time.Millisecond; ms > 0 {
		fields = append(fields, thrift.Pair{Name: "backoff", Value: strconv.FormatInt(int64(ms), 10)})
	}
	f := c.frontend
	f.head = thrift.AppendRejected(f.head[:0], r.SequenceNumber, fields...)
	c.reply(f.head)
	c.closeIfDrained()
}

// Fail implements routing.Responder.
func (c *clientConn) Fail(r *routing.Request) {
	c.removeRequest(r)
	f := c.frontend
	f.head = thrift.AppendFailed(f.head[:0], r.SequenceNumber)
	c.reply(f.head)
	c.closeIfDrained()
}

// shed rejects a call of a client that reads its answers too slowly, or not at all. The client's input is still read, because
// otherwise its cancels and its disconnect would go unnoticed.
func (c *clientConn) shed(call *thrift.Call) {
	c.frontend.Counters.Shed++
	if delivered := c.conn.Delivered(); delivered != c.shedDelivered {
		c.shedDelivered = delivered
		c.shedInARow = 0
	}
	c.shedInARow++
	if c.shedInARow > maxShedInARow {
		c.closeStuck(stuckFlood)
		return
	}
	c.reply(thrift.AppendRejected(nil, call.SequenceNumber))
}

func (c *clientConn) answerHeartbeat(call *thrift.Call) {
	f := c.frontend
	f.Counters.Heartbeats++
	good := !f.draining && f.director.HasReadyCache() && (f.isHealthy == nil || f.isHealthy())
	f.head, f.tail = thrift.AppendAnswer(f.head[:0], f.tail[:0], thrift.Heartbeat, call.SequenceNumber, 0, good)
	c.reply(f.head, f.tail)
}
