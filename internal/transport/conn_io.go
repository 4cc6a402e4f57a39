package transport

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
)

// maxReadsPerRound bounds the number of reads of one connection in a round, so that it does not delay the others.
const maxReadsPerRound = 4

// outputBufferSize is the largest size of a buffer of queued output, in bytes.
const outputBufferSize = 64 << 10

// Write sends the parts in order. What the kernel does not accept immediately is copied and queued. An error is reported by
// the handler's Closed, but not during the call.
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

// writeNow writes the parts to the socket and returns the number of bytes that the kernel accepted. It ignores errors: the
// caller queues the rest, and the next poll reports a broken connection.
func (c *Conn) writeNow(parts [][]byte) int {
	n, _ := unix.Writev(c.fd, parts) // see above
	if n <= 0 {
		return 0
	}
	c.lastUse = c.loop.now
	c.sentBytes += int64(n)
	return n
}

// enqueue copies b to the queue. Buffers are filled up before another is added, so that the memory of the queue exceeds the bytes
// in it by less than outputBufferSize.
func (c *Conn) enqueue(b []byte) {
	c.outputBytes += len(b)
	c.loop.queuedBytes += len(b)
	for len(b) > 0 {
		last := len(c.output) - 1
		if last < 0 || len(c.output[last]) == cap(c.output[last]) {
			c.output = append(c.output, c.loop.buffers.get(min(len(b), outputBufferSize)))
			last++
		}
		n := min(len(b), cap(c.output[last])-len(c.output[last]))
		c.output[last] = append(c.output[last], b[:n]...)
		b = b[n:]
	}
}

// flush writes as much of the queued output as the kernel accepts.
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

// dequeue removes n written bytes from the first buffer of the output.
func (c *Conn) dequeue(n int) {
	c.sentBytes += int64(n)
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

// ReadAvailable reads the input that is available now, at most as much as in one round. It must not be called while Data of
// any connection is running, since it would overwrite the bytes passed to Data; see Loop.AfterRound.
func (c *Conn) ReadAvailable() {
	switch {
	case c.closed || c.dialing:
	case c.boundInput:
		c.readAvailableBounded()
	default:
		c.read()
	}
}

// read reads input and passes it to the handler. Complete messages are parsed in the loop's shared buffer; only an
// incomplete message is copied to a buffer of the connection.
func (c *Conn) read() {
	for range maxReadsPerRound {
		buffer := c.loop.readBuffer
		if len(c.input) > 0 {
			c.growInput()
			buffer = c.input[len(c.input):cap(c.input)]
		}
		n, ok := c.readInto(buffer)
		if !ok {
			return
		}
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

// readInto reads input into a buffer and reports whether there was any. If the connection has ended, it is closed.
func (c *Conn) readInto(buffer []byte) (n int, ok bool) {
	n, err := unix.Read(c.fd, buffer)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(c.fd, buffer)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, false
	case err != nil:
		c.fail(fmt.Errorf("read: %w", err))
		return 0, false
	case n == 0:
		c.fail(io.EOF)
		return 0, false
	}
	c.lastUse = c.loop.now
	return n, true
}

// growInput enlarges the connection's own buffer to the size that the handler needs next.
func (c *Conn) growInput() {
	wanted := max(c.inputNeeded, len(c.input)+1)
	if cap(c.input) >= wanted {
		return
	}
	bigger := append(c.loop.buffers.get(max(wanted, 2*cap(c.input))), c.input...)
	c.loop.buffers.put(c.input)
	c.input = bigger
}

// consume passes data to the handler and stores the unconsumed rest. It reports whether the connection is still open.
func (c *Conn) consume(data []byte) bool {
	if len(data) < c.inputNeeded {
		c.storeUnconsumed(data)
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
	if used > 0 || len(c.input) == 0 {
		c.incompleteSince = c.loop.now
	}
	c.storeUnconsumed(data[used:])
	return true
}

// storeUnconsumed stores unconsumed bytes, or returns the buffer to the pool if there are none.
func (c *Conn) storeUnconsumed(rest []byte) {
	switch {
	case len(rest) == 0:
		c.releaseHeld()
		if c.input != nil {
			c.loop.buffers.put(c.input)
			c.input = nil
		}
	case len(c.input) == 0 && c.boundInput:
		c.input = append(c.loop.buffers.get(heldInputBytes), rest...)
	case len(c.input) == 0:
		c.input = append(c.loop.buffers.get(max(len(rest), c.inputNeeded)), rest...)
	default:
		c.input = c.input[:copy(c.input[:cap(c.input)], rest)]
	}
}
