package transport

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler handles the events of a connection.
type Handler interface {
	// Opened is called when a dialed connection is established.
	Opened()
	// Data is called with all received bytes that are not yet consumed. b is valid only during the call. It returns the
	// number of bytes that it consumed, and the number of unconsumed bytes that must be available before it is called again.
	// An error closes the connection.
	Data(b []byte) (used, need int, err error)
	// Flushed is called when the kernel has accepted all queued output.
	Flushed()
	// Closed is called once, as the last event, but not after Conn.Close. The error is io.EOF if the peer closed the
	// connection.
	Closed(err error)
}

// Errors that Handler.Closed gets if a timeout has closed the connection.
var (
	ErrDialTimeout   = errors.New("dial timed out")
	ErrLingerTimeout = errors.New("timed out waiting for the peer to close the connection")
)

// Conn is a non-blocking TCP connection.
type Conn struct {
	loop      *Loop
	fd        int
	handler   Handler
	epollMask uint32
	timer     Timer // the dial timeout, later the linger timeout
	lastUse   time.Duration

	dialing      bool
	closed       bool
	writeClosing bool // the write side is closed once all output is written
	linger       linger

	input           []byte // unconsumed bytes
	inputNeeded     int    // number of bytes that must be available before Data is called again
	incompleteSince time.Duration
	boundInput      bool
	heldExtra       int  // bytes of input's capacity that count towards the loop's limit
	paused          bool // the kernel holds the rest of a message; see pause
	restArrived     int  // bytes of that rest when it was last looked at

	output       [][]byte
	outputOffset int // number of bytes of output[0] that were written
	outputBytes  int
	sentBytes    int64 // bytes that the kernel has accepted
	hasSent      bool
}

// Dial starts to open a connection. The handler's Opened or Closed reports the result after Dial has returned.
func (l *Loop) Dial(addr netip.AddrPort, timeout time.Duration, h Handler) (*Conn, error) {
	family, sockaddr := sockaddrOf(addr)
	fd, err := newSocket(family)
	if err != nil {
		return nil, err
	}
	if err := unix.Connect(fd, sockaddr); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		closeFD(fd)
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	c := &Conn{dialing: true}
	if err := l.initConn(c, fd, unix.EPOLLOUT, h); err != nil {
		return nil, err
	}
	c.timer.Fire = func() { c.fail(ErrDialTimeout) }
	l.Set(&c.timer, l.now+timeout)
	return c, nil
}

func newSocket(family int) (fd int, err error) {
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, fmt.Errorf("create socket: %w", err)
	}
	return fd, nil
}

func sockaddrOf(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// initConn initializes a connection for a descriptor and registers it with the loop. On error it closes the descriptor.
func (l *Loop) initConn(c *Conn, fd int, mask uint32, h Handler) error {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // on failure the connection is only slower
	c.loop = l
	c.fd = fd
	c.handler = h
	c.epollMask = mask
	c.lastUse = l.now
	if err := l.register(fd, mask, c); err != nil {
		closeFD(fd)
		return err
	}
	return nil
}

// Peer returns the address of the peer. It returns the zero AddrPort if the connection is closed or the address is
// unavailable.
func (c *Conn) Peer() netip.AddrPort {
	sockaddr, err := unix.Getpeername(c.fd)
	if err != nil || c.closed {
		return netip.AddrPort{}
	}
	addr, err := addrPortOf(sockaddr)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

// LastUse returns when bytes were last received or written, on the loop's clock.
func (c *Conn) LastUse() time.Duration {
	c.noteArrivals()
	return c.lastUse
}

// HasSent reports whether anything has been written to the connection, sent or still queued.
func (c *Conn) HasSent() bool { return c.hasSent }

// Queued returns the number of written bytes that the kernel has not accepted yet.
func (c *Conn) Queued() int { return c.outputBytes }

// Delivered returns the number of written bytes that the peer's kernel has acknowledged. If the kernel does not tell, all bytes
// that it has accepted count as delivered.
func (c *Conn) Delivered() int64 { return c.sentBytes - c.unacknowledged() }

// Undelivered returns the number of written bytes that the peer's kernel has not acknowledged.
func (c *Conn) Undelivered() int { return c.outputBytes + int(c.unacknowledged()) }

func (c *Conn) unacknowledged() int64 {
	if c.closed {
		return 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return int64(n)
}

// IncompleteInput returns the number of received bytes that belong to an incomplete message.
func (c *Conn) IncompleteInput() int { return len(c.input) }

// linger is the state of a connection whose write side is closed, see CloseAfterFlush.
type linger struct {
	idle      time.Duration // 0: no limit
	deadline  time.Duration
	delivered int64 // bytes delivered when the timer was set
}

// CloseAfterFlush sends the queued output, closes the write side, and waits for the peer to close the connection. The wait ends
// when the peer has taken no output for the time idle, or after the time limit at the latest; if idle is 0, it does not end.
// Closing at once with unread input would reset the connection and could discard answers that the peer has not read. Data is
// still called for input that arrives.
func (c *Conn) CloseAfterFlush(idle, limit time.Duration) {
	if c.closed || c.writeClosing {
		return
	}
	c.writeClosing = true
	c.linger = linger{idle: idle, deadline: c.loop.now + limit}
	if c.outputBytes == 0 {
		c.shutdownWrite()
	}
}

func (c *Conn) shutdownWrite() {
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails if the peer has already closed, which the next read reports
	if c.linger.idle > 0 {
		c.timer.Fire = c.lingerTimedOut
		c.setLingerTimer()
	}
}

func (c *Conn) setLingerTimer() {
	c.linger.delivered = c.Delivered()
	c.loop.Set(&c.timer, c.loop.now+c.linger.idle)
}

// lingerTimedOut closes the connection unless the peer is still taking output.
func (c *Conn) lingerTimedOut() {
	progress := c.unacknowledged() > 0 && c.Delivered() > c.linger.delivered
	if !progress || c.loop.now >= c.linger.deadline {
		c.fail(ErrLingerTimeout)
		return
	}
	c.setLingerTimer()
}

// Close closes the connection immediately. The handler's Closed is not called.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.timer.Stop()
	// The descriptor is closed only at the end of the round, but the peer must see the shutdown before anything that is sent
	// on other connections in this round: otherwise a retry could run concurrently with the attempt that it replaces.
	_ = unix.Shutdown(c.fd, unix.SHUT_RDWR) // fails if the connection has already ended
	c.loop.unregister(c.fd)
	c.loop.queuedBytes -= c.outputBytes
	c.outputBytes = 0
	for _, b := range c.output {
		c.loop.buffers.put(b)
	}
	c.output = nil
	c.storeUnconsumed(nil)
}

func (c *Conn) fail(err error) {
	if !c.closed {
		c.Close()
		c.handler.Closed(err)
	}
}

// updateMask updates the epoll mask to the events that the connection currently waits for.
func (c *Conn) updateMask() {
	if c.closed {
		return
	}
	var mask uint32
	if !c.dialing {
		mask |= c.inputMask()
	}
	if c.dialing || c.outputBytes > 0 {
		mask |= unix.EPOLLOUT
	}
	if mask == c.epollMask {
		return
	}
	c.epollMask = mask
	event := unix.EpollEvent{Events: mask, Fd: int32(c.fd)}
	if err := unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &event); err != nil {
		c.fail(fmt.Errorf("epoll modify: %w", err))
	}
}

// handleEvents implements eventSource.
func (c *Conn) handleEvents(events uint32) {
	if c.dialing {
		c.finishDial()
		return
	}
	if events&unix.EPOLLOUT != 0 && c.outputBytes > 0 {
		c.flush()
	}
	switch {
	case c.closed:
	case c.boundInput && events&closedEvents != 0:
		c.peerClosed()
	case c.boundInput && events&unix.EPOLLIN != 0:
		c.readBounded(1)
	case !c.boundInput && events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0:
		c.read()
	}
}

func (c *Conn) finishDial() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.fail(fmt.Errorf("connect: %w", err))
		return
	}
	c.dialing = false
	c.timer.Stop()
	c.lastUse = c.loop.now
	c.updateMask()
	c.handler.Opened()
	if !c.closed && c.outputBytes > 0 {
		c.flush()
	}
}
