package transport

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// maxReadsPerRound bounds what one connection may read before the others are served.
const maxReadsPerRound = 4

// Write sends the parts in order. What the system does not take at once is copied and queued. A failure is reported by
// Closed, never during the call.
func (c *Conn) Write(parts ...[]byte) {
	if c.closed || c.writeClosing {
		return
	}
	c.hasSent = true
	written := 0
	if c.outputBytes == 0 && !c.dialing {
		written = c.writeNow(parts)
	}
	for _, part := range parts {
		if written >= len(part) {
			written -= len(part)
			continue
		}
		c.enqueue(part[written:])
		written = 0
	}
	c.updateMask()
}

// writeNow gives the number of bytes that the system took. Errors are ignored: the next poll reports a broken connection,
// and the rest is queued until then.
func (c *Conn) writeNow(parts [][]byte) int {
	n, _ := unix.Writev(c.fd, parts) // see above
	if n <= 0 {
		return 0
	}
	c.lastUse = c.loop.now
	return n
}

func (c *Conn) enqueue(b []byte) {
	c.outputBytes += len(b)
	c.loop.queuedBytes += len(b)
	if n := len(c.output); n > 0 && cap(c.output[n-1])-len(c.output[n-1]) >= len(b) {
		c.output[n-1] = append(c.output[n-1], b...)
		return
	}
	c.output = append(c.output, append(c.loop.buffers.get(len(b)), b...))
}

// flush writes the queued output as far as the system takes it.
func (c *Conn) flush() {
	for c.outputBytes > 0 {
		n, err := unix.Write(c.fd, c.output[0][c.outputOffset:])
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			c.fail(fmt.Errorf("write: %w", err))
			return
		}
		c.lastUse = c.loop.now
		c.dequeue(n)
	}
	c.output = nil
	c.updateMask()
	if c.writeClosing {
		c.shutdownWrite()
	}
	c.handler.Flushed()
}

// dequeue removes bytes of the first buffer that were written.
func (c *Conn) dequeue(n int) {
	c.outputBytes -= n
	c.loop.queuedBytes -= n
	c.outputOffset += n
	if c.outputOffset < len(c.output[0]) {
		return
	}
	c.loop.buffers.put(c.output[0])
	c.output[0] = nil
	c.output = c.output[1:]
	c.outputOffset = 0
}

// ReadAvailable reads what has come by now, as much as in one round. It must not be called while Data of any connection
// runs, whose bytes it would overwrite; see Loop.AfterRound.
func (c *Conn) ReadAvailable() {
	if !c.closed && !c.dialing {
		c.read()
	}
}

// read hands input to the handler. Complete messages are parsed in the shared buffer; only an incomplete one gets a buffer
// of its own.
func (c *Conn) read() {
	for range maxReadsPerRound {
		buffer := c.loop.readBuffer
		if len(c.input) > 0 {
			c.growInput()
			buffer = c.input[len(c.input):cap(c.input)]
		}
		n, err := unix.Read(c.fd, buffer)
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
		data := buffer[:n]
		if len(c.input) > 0 {
			c.input = c.input[:len(c.input)+n]
			data = c.input
		}
		if !c.consume(data) || n < len(buffer) {
			return
		}
	}
}

// growInput makes space in the connection's own buffer for what the handler needs next.
func (c *Conn) growInput() {
	wanted := max(c.inputNeeded, len(c.input)+1)
	if cap(c.input) >= wanted {
		return
	}
	bigger := append(c.loop.buffers.get(max(wanted, 2*cap(c.input))), c.input...)
	c.loop.buffers.put(c.input)
	c.input = bigger
}

// consume hands data to the handler and keeps the rest. It reports whether the connection is still open.
func (c *Conn) consume(data []byte) bool {
	if len(data) < c.inputNeeded {
		c.keepInput(data)
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
	c.inputNeeded = need
	c.keepInput(data[used:])
	return true
}

// keepInput stores unused bytes, and gives the buffer back when there are none.
func (c *Conn) keepInput(rest []byte) {
	switch {
	case len(rest) == 0:
		if c.input != nil {
			c.loop.buffers.put(c.input)
			c.input = nil
		}
	case len(c.input) == 0:
		c.input = append(c.loop.buffers.get(max(len(rest), c.inputNeeded)), rest...)
	default:
		c.input = c.input[:copy(c.input[:cap(c.input)], rest)]
	}
}
