package transport

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Handler is told what happens on a connection. Closed comes once and last, but not after Conn.Close.
type Handler interface {
	// Opened tells that a dialled connection is up.
	Opened()
	// Data gives all bytes not yet used; they are valid during the call only. It returns how many it used and how
	// many it needs, counted after those, before it is worth calling again. An error closes the connection.
	Data(b []byte) (used, need int, err error)
	// Flushed tells that a queue of bytes has been taken in full by the system.
	Flushed()
	// Closed tells why the connection ended; io.EOF where the peer closed it.
	Closed(err error)
}

// Conn is one non-blocking connection.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler
	dialing bool
	closed  bool
	fin     bool // no more is to be written
	watched uint32
	in      []byte // what has come and is not used yet
	need    int
	out     [][]byte
	outHead int // bytes of out[0] already written
	outSize int
	lastUse time.Duration
	sent    bool  // anything at all
	limit   Timer // on coming up, later on the other end's close after ours
	linger  time.Duration
}

// ErrDialTimeout is why a connection that did not come up in time was closed; ErrLingers, one whose other end did not close.
var (
	ErrDialTimeout = errors.New("dial timed out")
	ErrLingers     = errors.New("the other end stays open after the close")
)

// Dial starts to connect. Either Opened or Closed follows, never before Dial has returned.
func (l *Loop) Dial(addr netip.AddrPort, timeout time.Duration, h Handler) (*Conn, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	if err := unix.Connect(fd, sa); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	c, err := l.open(fd, unix.EPOLLOUT, h)
	if err != nil {
		return nil, err
	}
	c.dialing = true
	c.limit.Fire = func() { c.fail(ErrDialTimeout) }
	l.Set(&c.limit, l.now+timeout)
	return c, nil
}

func (l *Loop) open(fd int, events uint32, h Handler) (*Conn, error) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, fd: fd, handler: h, watched: events, lastUse: l.now}
	if err := l.add(fd, events, c); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

func sockaddr(addr netip.AddrPort) (family int, sa unix.Sockaddr) {
	if ip := addr.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// Peer is the address of the other end; not valid once the connection has ended.
func (c *Conn) Peer() netip.AddrPort {
	sa, err := unix.Getpeername(c.fd)
	if err != nil || c.closed {
		return netip.AddrPort{}
	}
	addr, _ := addrPort(sa)
	return addr
}

// LastUse is when bytes last went either way.
func (c *Conn) LastUse() time.Duration { return c.lastUse }

// Sent tells whether anything has been written to the peer.
func (c *Conn) Sent() bool { return c.sent }

// Queued is how many bytes wait for the peer to take them.
func (c *Conn) Queued() int { return c.outSize }

// CloseAfterFlush sends what is queued, then ends the writing side and waits for the peer to close, so that
// unread input cannot reset the connection under the last answer. Input goes on coming to Data. The peer may take as long as
// linger says; 0: for good.
func (c *Conn) CloseAfterFlush(linger time.Duration) {
	if c.closed || c.fin {
		return
	}
	c.fin, c.linger = true, linger
	if c.outSize == 0 {
		c.endWriting()
	}
}

func (c *Conn) endWriting() {
	_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.linger > 0 {
		c.limit.Fire = func() { c.fail(ErrLingers) }
		c.loop.Set(&c.limit, c.loop.now+c.linger)
	}
}

// Ending tells whether CloseAfterFlush was called.
func (c *Conn) Ending() bool { return c.fin }

// Unfinished is how many bytes have come that are no whole message yet.
func (c *Conn) Unfinished() int { return len(c.in) }

// Take reads what has come by now, as far as one turn goes. It must not be called from within Data of any connection, whose bytes
// it would overwrite; see Loop.Later.
func (c *Conn) Take() {
	if !c.closed && !c.dialing {
		c.read()
	}
}

// Close ends the connection at once. Closed is not called.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.limit.Stop()
	// The descriptor is closed when the batch is over. The peer must hear of the end before anything that the same
	// batch sends it elsewhere: a request that goes on there would be out twice.
	_ = unix.Shutdown(c.fd, unix.SHUT_RDWR)
	c.loop.drop(c.fd)
	c.loop.queued -= c.outSize
	c.outSize = 0
	for _, b := range c.out {
		c.loop.spare.put(b)
	}
	c.out = nil
	c.keep(nil)
}

func (c *Conn) fail(err error) {
	if !c.closed {
		c.Close()
		c.handler.Closed(err)
	}
}

// watch keeps epoll's mask in step with what the connection waits for.
func (c *Conn) watch() {
	if c.closed {
		return
	}
	var events uint32
	if !c.dialing {
		events |= unix.EPOLLIN
	}
	if c.dialing || c.outSize > 0 {
		events |= unix.EPOLLOUT
	}
	if events != c.watched {
		c.watched = events
		ev := unix.EpollEvent{Events: events, Fd: int32(c.fd)}
		if err := unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &ev); err != nil {
			c.fail(fmt.Errorf("epoll modify: %w", err))
		}
	}
}

func (c *Conn) ready(events uint32) {
	if c.dialing {
		c.finishDial()
		return
	}
	if events&unix.EPOLLOUT != 0 && c.outSize > 0 {
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
	c.limit.Stop()
	c.lastUse = c.loop.now
	c.watch()
	c.handler.Opened()
	if !c.closed && c.outSize > 0 {
		c.flush()
	}
}
