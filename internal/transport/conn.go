package transport

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler gets the events of a connection.
type Handler interface {
	// Opened is called when a connection that was dialed is up.
	Opened()
	// Data gets all bytes that were not used yet; they are valid during the call only. It returns how many bytes it used,
	// and how many must follow those before it is worth calling it again. An error closes the connection.
	Data(b []byte) (used, need int, err error)
	// Flushed is called when the system has taken all queued output.
	Flushed()
	// Closed is called once, as the last event, but not after Conn.Close. The error is io.EOF where the peer closed the
	// connection.
	Closed(err error)
}

// Why a connection was closed by the loop.
var (
	ErrDialTimeout   = errors.New("dial timed out")
	ErrLingerTimeout = errors.New("the other end stays open after the close")
)

// Conn is a non-blocking TCP connection.
type Conn struct {
	loop      *Loop
	fd        int
	handler   Handler
	epollMask uint32
	timer     Timer // of the dial, later of the linger
	lastUse   time.Duration

	dialing      bool
	closed       bool
	writeClosing bool          // the write side is closed when all output was taken
	linger       time.Duration // see CloseAfterFlush

	input       []byte // that was not used yet
	inputNeeded int    // bytes that input must have before Data is called again

	output       [][]byte
	outputOffset int // bytes of output[0] that were written
	outputBytes  int
	hasSent      bool
}

// Dial starts to connect. Either Opened or Closed follows, never before Dial has returned.
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
	c, err := l.newConn(fd, unix.EPOLLOUT, h)
	if err != nil {
		return nil, err
	}
	c.dialing = true
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

// newConn makes a connection of a descriptor. On an error the descriptor is closed.
func (l *Loop) newConn(fd int, mask uint32, h Handler) (*Conn, error) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it the connection is only slower
	c := &Conn{loop: l, fd: fd, handler: h, epollMask: mask, lastUse: l.now}
	if err := l.add(fd, mask, c); err != nil {
		closeFD(fd)
		return nil, err
	}
	return c, nil
}

// Peer is the address of the other end. It is not valid once the connection is closed.
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

// LastUse is when bytes last went either way.
func (c *Conn) LastUse() time.Duration { return c.lastUse }

// HasSent reports whether anything was written to the peer.
func (c *Conn) HasSent() bool { return c.hasSent }

// Queued is the number of written bytes that the system has not taken.
func (c *Conn) Queued() int { return c.outputBytes }

// Unfinished is the number of bytes of an incomplete message that have come.
func (c *Conn) Unfinished() int { return len(c.input) }

// CloseAfterFlush sends the queued output, closes the write side, and waits for the peer to close, so that unread input
// cannot reset the connection under the last answer. Data is still called. The peer may take as long as linger; 0 is
// without limit.
func (c *Conn) CloseAfterFlush(linger time.Duration) {
	if c.closed || c.writeClosing {
		return
	}
	c.writeClosing = true
	c.linger = linger
	if c.outputBytes == 0 {
		c.shutdownWrite()
	}
}

func (c *Conn) shutdownWrite() {
	_ = unix.Shutdown(c.fd, unix.SHUT_WR) // it fails where the peer has closed already, which is read next
	if c.linger > 0 {
		c.timer.Fire = func() { c.fail(ErrLingerTimeout) }
		c.loop.Set(&c.timer, c.loop.now+c.linger)
	}
}

// Close closes the connection at once. Closed is not called.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.timer.Stop()
	// The descriptor is closed at the end of the round. The peer must see the end before anything that the same round
	// sends elsewhere: a retry would run beside the attempt that it replaces.
	_ = unix.Shutdown(c.fd, unix.SHUT_RDWR) // it fails where the connection has ended already
	c.loop.remove(c.fd)
	c.loop.queuedBytes -= c.outputBytes
	c.outputBytes = 0
	for _, b := range c.output {
		c.loop.buffers.put(b)
	}
	c.output = nil
	c.keepInput(nil)
}

func (c *Conn) fail(err error) {
	if !c.closed {
		c.Close()
		c.handler.Closed(err)
	}
}

// updateMask keeps epoll's mask in step with what the connection waits for.
func (c *Conn) updateMask() {
	if c.closed {
		return
	}
	var mask uint32
	if !c.dialing {
		mask |= unix.EPOLLIN
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

// ready handles the events that epoll reports.
func (c *Conn) ready(events uint32) {
	if c.dialing {
		c.finishDial()
		return
	}
	if events&unix.EPOLLOUT != 0 && c.outputBytes > 0 {
		c.flush()
	}
	if !c.closed && events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
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
