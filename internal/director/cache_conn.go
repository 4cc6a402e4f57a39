package director

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/transport"
)

// cacheDialer opens connections to caches. It implements routing.Dialer. Its buffers are shared by all connections.
type cacheDialer struct {
	loop      *transport.Loop
	loadNames loadNames
	fields    []byte     // reused by each request
	message   []byte     // reused by each message
	words     resp.Words // reused by each response
}

// Dial implements routing.Dialer.
func (d *cacheDialer) Dial(address string, timeout time.Duration, handler routing.ConnHandler) (routing.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse cache address: %w", err)
	}
	c := &cacheConn{dialer: d, handler: handler, address: address}
	if c.conn, err = d.loop.Dial(addr, timeout, c); err != nil {
		return nil, err
	}
	return c, nil
}

// cacheConn is a connection to a cache. It implements routing.Conn and transport.Handler.
type cacheConn struct {
	dialer  *cacheDialer
	conn    *transport.Conn
	handler routing.ConnHandler
	address string

	lastWords int // number of words in the last message that was accepted
}

// Opened implements transport.Handler.
func (c *cacheConn) Opened() { c.handler.Connected() }

// Closed implements transport.Handler.
func (c *cacheConn) Closed(err error) { c.handler.Closed(err) }

// Flushed implements transport.Handler.
func (c *cacheConn) Flushed() { c.handler.Flushed() }

// IsFlushed implements routing.Conn.
func (c *cacheConn) IsFlushed() bool { return c.conn.Queued() == 0 }

// Close implements routing.Conn.
func (c *cacheConn) Close() { c.conn.Close() }

// Cancel implements routing.Conn.
func (c *cacheConn) Cancel(requestID string) { c.write(commandCancel, requestID) }

// Ping implements routing.Conn.
func (c *cacheConn) Ping(tag string) { c.write(commandPing, tag) }

func (c *cacheConn) write(command, id string) {
	b := resp.AppendHead(c.dialer.message[:0], 2)
	b = resp.AppendBulk(b, command)
	b = resp.AppendBulk(b, id)
	c.conn.Write(b)
	c.dialer.message = b
}

// Send implements routing.Conn.
func (c *cacheConn) Send(r *routing.UpstreamRequest) {
	d := c.dialer
	d.fields = appendRequestFields(d.fields[:0], r)
	b := resp.AppendHead(d.message[:0], 4)
	b = resp.AppendBulk(b, commandRequest)
	b = resp.AppendBulk(b, r.ID)
	b = resp.AppendBulk(b, d.fields)
	b = resp.AppendBulk(b, r.Body)
	c.conn.Write(b)
	d.message = b
}

// Data implements transport.Handler.
func (c *cacheConn) Data(b []byte) (used, need int, err error) {
	d := c.dialer
	for {
		words, n, need, err := resp.Parse(b[used:], d.words)
		d.words = words
		if err != nil {
			c.logMalformed(err)
			return used, 0, err
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		c.lastWords = len(words)
		if isPong(words) {
			c.handler.Pong(words[0])
			continue
		}
		id, response, err := d.parseResponse(words)
		if err != nil {
			c.logMalformed(err)
			return used, 0, err
		}
		c.handler.Received(id, response)
	}
}

func (c *cacheConn) logMalformed(err error) {
	slog.Warn("connection.malformed", "addr", c.address, "err", err, "last_words", c.lastWords)
}
