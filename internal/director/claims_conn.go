package director

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/transport"
)

const (
	claimsDialTimeout = 200 * time.Millisecond
	claimsRedialPause = 50 * time.Millisecond // minimum time between two dials to the same director
	maxClaimsQueue    = 1 << 20               // bytes queued for one director
	maxClaimsBulk     = 200_000               // bytes of claims in one bulk string of a message
)

// Message types between directors; the first word of each message.
const (
	claimsFrom    = "from"   // the sender's ID, sent once as the first message
	claimsMessage = "claims" // a claims.Message
)

var (
	errUnknownClaimsMessage = errors.New("claims: unknown message")
	errClaimsArrayLength    = errors.New("claims: message does not end at its announced length")
)

// listen starts the listener for connections from other directors.
func (s *claimsService) listen() error {
	newHandler := func() transport.Handler { return &claimsReceiver{service: s} }
	opened := func(conn *transport.Conn, h transport.Handler) {
		h.(*claimsReceiver).conn = conn
		if !s.settings.Allows(conn.Peer().Addr().Unmap()) {
			slog.Warn("claims.rejected", "addr", conn.Peer().Addr().String())
			conn.Close()
		}
	}
	var err error
	s.listener, err = s.prog.loop.Listen(s.settings.Listen, newHandler, opened)
	return err
}

// senderFor returns the sender for another director. It is dialed when it is first flushed.
func (s *claimsService) senderFor(id string) *claimsSender {
	sender := s.senders[id]
	if sender == nil {
		sender = &claimsSender{service: s, to: id}
		s.senders[id] = sender
	}
	return sender
}

// claimsSender sends messages to another director. Its connection is used in one direction only: the other director answers
// on a connection of its own. It implements transport.Handler.
type claimsSender struct {
	service    *claimsService
	to         string
	conn       *transport.Conn
	connected  bool
	buffer     []byte // messages that have not been written
	lastDialAt time.Duration
}

// enqueue appends a message to the queue, or drops it if the queue is full: the node resends it later.
func (c *claimsSender) enqueue(m claims.Message) {
	if len(c.buffer) > maxClaimsQueue {
		return
	}
	bulks, err := m.Bulks(maxClaimsBulk)
	if err != nil {
		slog.Error("claims.message_too_large", "err", err)
		return
	}
	c.buffer = resp.AppendHead(c.buffer, 2+len(bulks))
	c.buffer = resp.AppendBulk(c.buffer, claimsMessage)
	c.buffer = resp.AppendBulk(c.buffer, m.Head())
	for _, b := range bulks {
		c.buffer = resp.AppendBulk(c.buffer, b)
	}
}

func (c *claimsSender) flush() {
	if len(c.buffer) == 0 {
		return
	}
	if c.conn == nil {
		c.connect()
		return
	}
	if c.connected && c.conn.Queued() < maxClaimsQueue {
		c.conn.Write(c.buffer)
		c.buffer = c.buffer[:0]
	}
}

func (c *claimsSender) connect() {
	addr, known := c.service.addresses[c.to]
	if !known {
		c.buffer = c.buffer[:0]
		return
	}
	loop := c.service.prog.loop
	now := loop.Now()
	if c.lastDialAt > 0 && now-c.lastDialAt < claimsRedialPause {
		return
	}
	c.lastDialAt = now
	conn, err := loop.Dial(addr, claimsDialTimeout, c)
	if err != nil {
		return // the next flush dials again
	}
	c.conn = conn
}

func (c *claimsSender) close() {
	delete(c.service.senders, c.to)
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Opened implements transport.Handler.
func (c *claimsSender) Opened() {
	c.connected = true
	b := resp.AppendHead(nil, 2)
	b = resp.AppendBulk(b, claimsFrom)
	b = resp.AppendBulk(b, c.service.self.ID())
	c.conn.Write(b)
	c.flush()
}

// Flushed implements transport.Handler.
func (c *claimsSender) Flushed() { c.flush() }

// Data implements transport.Handler. It discards all input, since none is expected.
func (c *claimsSender) Data(b []byte) (used, need int, err error) { return len(b), 0, nil }

// Closed implements transport.Handler.
func (c *claimsSender) Closed(err error) {
	slog.Debug("claims.connection_lost", "to", c.to, "err", err)
	c.conn = nil
	c.connected = false
	c.buffer = c.buffer[:0]
}

// claimsReceiver receives messages from another director. It implements transport.Handler.
type claimsReceiver struct {
	service *claimsService
	conn    *transport.Conn
	from    string     // the other director's ID
	words   resp.Words // reused by each message
}

// Opened implements transport.Handler.
func (c *claimsReceiver) Opened() {}

// Flushed implements transport.Handler.
func (c *claimsReceiver) Flushed() {}

// Closed implements transport.Handler.
func (c *claimsReceiver) Closed(error) {}

// Data implements transport.Handler.
func (c *claimsReceiver) Data(b []byte) (used, need int, err error) {
	defer c.service.processNodeOutput()
	for {
		words, n, need, err := resp.Parse(b[used:], c.words)
		c.words = words
		if err != nil || n == 0 {
			return used, need, err
		}
		used += n
		// An array that is announced too short must not be taken for a message with fewer claims.
		if used < len(b) && b[used] != resp.ArrayPrefix {
			return used, 0, errClaimsArrayLength
		}
		if err := c.receiveMessage(words); err != nil {
			return used, 0, err
		}
	}
}

func (c *claimsReceiver) receiveMessage(words resp.Words) error {
	switch {
	case len(words) == 2 && string(words[0]) == claimsFrom && c.from == "":
		c.from = string(words[1])
		return nil
	case len(words) >= 2 && string(words[0]) == claimsMessage && c.from != "":
		m, err := claims.Decode(words[1], words[2:])
		if err != nil {
			slog.Warn("claims.malformed", "from", c.from, "err", err)
			return fmt.Errorf("decode a claims message: %w", err)
		}
		c.service.node.Receive(c.from, m, bootTime())
		return nil
	default:
		return errUnknownClaimsMessage
	}
}
