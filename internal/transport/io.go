package transport

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// readsPerTurn bounds what one connection may read before the others have their turn.
const readsPerTurn = 4

// Write sends the parts in order and copies what the system does not take at once. It reports failures through
// Closed, never from within the call.
func (c *Conn) Write(parts ...[]byte) {
	if c.closed || c.fin {
		return
	}
	c.sent = true
	written := 0
	if c.outSize == 0 && !c.dialing {
		n, err := unix.Writev(c.fd, parts)
		if n > 0 {
			written = n
			c.lastUse = c.loop.now
		}
		if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) {
			// The poll that follows reports the broken connection; the rest is kept until then.
			written = max(n, 0)
		}
	}
	for _, p := range parts {
		if written >= len(p) {
			written -= len(p)
			continue
		}
		c.enqueue(p[written:])
		written = 0
	}
	c.watch()
}

func (c *Conn) enqueue(p []byte) {
	c.outSize += len(p)
	c.loop.queued += len(p)
	if n := len(c.out); n > 0 && cap(c.out[n-1])-len(c.out[n-1]) >= len(p) {
		c.out[n-1] = append(c.out[n-1], p...)
		return
	}
	c.out = append(c.out, append(c.loop.spare.get(len(p)), p...))
}

func (c *Conn) flush() {
	for c.outSize > 0 {
		n, err := unix.Write(c.fd, c.out[0][c.outHead:])
		if err != nil {
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if !errors.Is(err, unix.EAGAIN) {
				c.fail(fmt.Errorf("write: %w", err))
			}
			return
		}
		c.lastUse = c.loop.now
		c.outSize -= n
		c.loop.queued -= n
		c.outHead += n
		if c.outHead == len(c.out[0]) {
			c.loop.spare.put(c.out[0])
			c.out[0] = nil
			c.out, c.outHead = c.out[1:], 0
		}
	}
	c.out = nil
	c.watch()
	if c.fin {
		c.endWriting()
	}
	c.handler.Flushed()
}

// read takes in what has come. A message that is whole is handed on from the shared space; only an unfinished one
// gets a buffer of its own.
func (c *Conn) read() {
	for range readsPerTurn {
		space := c.loop.scratch
		if len(c.in) > 0 {
			c.reserve()
			space = c.in[len(c.in):cap(c.in)]
		}
		n, err := unix.Read(c.fd, space)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			c.fail(fmt.Errorf("read: %w", err))
			return
		case n == 0:
			c.fail(io.EOF)
			return
		}
		c.lastUse = c.loop.now
		data := space[:n]
		if len(c.in) > 0 {
			c.in = c.in[:len(c.in)+n]
			data = c.in
		}
		if !c.consume(data) || n < len(space) {
			return
		}
	}
}

// reserve makes room in the connection's own buffer for what the handler needs next.
func (c *Conn) reserve() {
	want := max(c.need, len(c.in)+1)
	if cap(c.in) >= want {
		return
	}
	bigger := append(c.loop.spare.get(max(want, 2*cap(c.in))), c.in...)
	c.loop.spare.put(c.in)
	c.in = bigger
}

// consume hands data to the handler and keeps the rest. It tells whether the connection is still open.
func (c *Conn) consume(data []byte) bool {
	if len(data) < c.need {
		c.keep(data)
		return true
	}
	used, need, err := c.handler.Data(data)
	if c.closed {
		return false
	}
	if err != nil {
		c.fail(err)
		return false
	}
	c.need = need
	c.keep(data[used:])
	return true
}

// keep holds on to unused bytes and gives the buffer back when there are none.
func (c *Conn) keep(rest []byte) {
	switch {
	case len(rest) == 0:
		if c.in != nil {
			c.loop.spare.put(c.in)
			c.in = nil
		}
	case len(c.in) == 0:
		c.in = append(c.loop.spare.get(max(len(rest), c.need)), rest...)
	default:
		c.in = c.in[:copy(c.in[:cap(c.in)], rest)]
	}
}
