package transport

import (
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

// A connection with bounded input is for peers that are not trusted. In each round it reads at most heldInputBytes, or one
// message that is larger. An incomplete message may always keep heldInputBytes in memory; what exceeds that is bounded for all
// connections of a loop together, see Loop.SetInputLimit. A connection that finds no room is paused: the rest stays in the
// kernel until there is room, or until the kernel has all of it, when no room is needed. Once the peer has closed its end, or
// reset the connection, input that is still unread is dropped.

const (
	heldInputBytes = 4 << 10
	// availableReads bounds the reads of Conn.ReadAvailable, to more than a client's open requests take.
	availableReads = 32
	// discardReads bounds the reads that drop the input of a peer that has closed its end.
	discardReads = 8
	// pausedInterval is the interval at which paused connections are tried again.
	pausedInterval = 20 * time.Millisecond
	// closedEvents are the epoll events that report that the peer has closed its end or reset the connection.
	closedEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// inputBudget bounds the memory of incomplete messages, and has the connections that wait for some of it. The zero value has no room.
type inputBudget struct {
	limit  int // bytes
	used   int // bytes
	paused []*Conn
	timer  Timer // tries the paused connections again
}

// SetInputLimit bounds the bytes in memory of incomplete messages on connections with bounded input, beyond heldInputBytes for each.
func (l *Loop) SetInputLimit(bytes int) { l.input.limit = bytes }

// InputDroppedError is the error that Handler.Closed gets if the peer closed the connection before all of its input was read. It wraps the
// reason, which is io.EOF if the peer did not reset the connection.
type InputDroppedError struct{ Reason error }

// Error implements error.
func (e *InputDroppedError) Error() string {
	return "input was unread when the connection ended: " + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *InputDroppedError) Unwrap() error { return e.Reason }

// BoundInput bounds the input of the connections that the listener accepts from now on.
func (ln *Listener) BoundInput() { ln.boundInput = true }

// inputMask returns the epoll events that report input.
func (c *Conn) inputMask() uint32 {
	switch {
	case !c.boundInput:
		return unix.EPOLLIN
	case c.paused:
		return unix.EPOLLRDHUP
	default:
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
}

// readAvailableBounded reads the input that is available, unless the peer has closed the connection.
func (c *Conn) readAvailableBounded() {
	state := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	if n, err := unix.Poll(state, 0); err == nil && n > 0 {
		c.peerClosed()
		return
	}
	c.readBounded(availableReads)
}

// readBounded reads up to a number of times from a connection with bounded input.
func (c *Conn) readBounded(reads int) {
	for range reads {
		if !c.readStep() {
			return
		}
	}
}

// readStep reads once and passes the input to the handler. It reports whether there may be more to read.
func (c *Conn) readStep() bool {
	held := len(c.input)
	size := heldInputBytes
	if c.inputNeeded > heldInputBytes {
		available := c.unreadBytes()
		if available < c.inputNeeded-held {
			c.holdPart(available)
			return false
		}
		size = c.inputNeeded
	}
	buffer := c.loop.readBuffer[:size]
	copy(buffer, c.input)
	n, ok := c.readInto(buffer[held:])
	return ok && c.consume(buffer[:held+n]) && held+n == size
}

// unreadBytes returns the number of bytes that the kernel has received and that were not read.
func (c *Conn) unreadBytes() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// holdPart reads a part of a message that stays incomplete, or pauses the connection if there is no room for it.
func (c *Conn) holdPart(available int) {
	if available == 0 {
		return
	}
	held := len(c.input)
	if !c.growHeld(held + available) {
		c.pause()
		return
	}
	if n, ok := c.readInto(c.input[held : held+available]); ok {
		c.input = c.input[:held+n]
	}
}

// growHeld enlarges the connection's buffer to at least size bytes. It reports false if the loop's limit does not allow it.
func (c *Conn) growHeld(size int) bool {
	if size <= cap(c.input) {
		return true
	}
	budget := &c.loop.input
	capacity := min(max(size, 2*cap(c.input)), c.inputNeeded)
	if budget.used+capacity-c.heldExtra > budget.limit {
		return false
	}
	bigger := append(make([]byte, 0, capacity), c.input...)
	c.loop.buffers.put(c.input)
	c.input = bigger
	budget.used += capacity - c.heldExtra
	c.heldExtra = capacity
	return true
}

// releaseHeld gives the room of an incomplete message back.
func (c *Conn) releaseHeld() {
	c.loop.input.used -= c.heldExtra
	c.heldExtra = 0
}

// pause stops reading until there is room for the rest of a message, or all of it has arrived.
func (c *Conn) pause() {
	c.noteArrivals()
	if c.paused {
		return
	}
	c.paused = true
	c.updateMask()
	budget := &c.loop.input
	budget.paused = append(budget.paused, c)
	if !budget.timer.Active() {
		budget.timer.Fire = c.loop.retryPaused
		c.loop.Set(&budget.timer, c.loop.now+pausedInterval)
	}
}

// retryPaused reads from the paused connections, those first that have waited the longest.
func (l *Loop) retryPaused() {
	waiting := l.input.paused
	l.input.paused = nil
	for _, c := range waiting {
		if c.closed {
			continue
		}
		c.paused = false
		c.readBounded(1)
		c.updateMask()
	}
}

// noteArrivals updates the time of the last use if the kernel has received more of the message for which the connection is paused.
func (c *Conn) noteArrivals() {
	if c.closed || !c.paused {
		return
	}
	if n := c.unreadBytes(); n != c.restArrived {
		c.restArrived = n
		c.lastUse = c.loop.now
	}
}

// peerClosed closes the connection, whose peer has closed its end or reset it. Unread input is dropped: what the peer has given up must not
// be done. It is read all the same, since the kernel would otherwise reset the connection and drop output that the peer may still read.
func (c *Conn) peerClosed() {
	reason := io.EOF
	if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
		reason = fmt.Errorf("read: %w", unix.Errno(code))
	}
	if c.discardInput() {
		reason = &InputDroppedError{reason}
	}
	c.fail(reason)
}

// discardInput reads and drops unread input, and reports whether there was any.
func (c *Conn) discardInput() (found bool) {
	for range discardReads {
		n, err := unix.Read(c.fd, c.loop.readBuffer)
		if err != nil && !errors.Is(err, unix.EINTR) || n == 0 {
			return found
		}
		found = found || n > 0
	}
	return found
}

// IncompleteFor returns the time for which a message has been incomplete, or 0 if none is.
func (c *Conn) IncompleteFor() time.Duration {
	if len(c.input) == 0 {
		return 0
	}
	return c.loop.now - c.incompleteSince
}
