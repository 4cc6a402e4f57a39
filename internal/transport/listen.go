package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	backlog     = 1024
	acceptPause = 50 * time.Millisecond // after descriptors ran out, so that a full table is not polled in a circle
	// acceptsPerTurn bounds what one round accepts: what is closed to make room is free only when the round is over.
	acceptsPerTurn = 16
)

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	fd     int
	accept func() Handler
	opened func(*Conn, Handler)
	retry  Timer
	closed bool
}

// Share has Listen let other listeners of this process have the same address; the system divides connections among
// them.
func (l *Loop) Share() { l.reusePort = true }

// Listen accepts on addr. For each connection, accept makes its handler and opened gets both.
func (l *Loop) Listen(addr netip.AddrPort, accept func() Handler, opened func(*Conn, Handler)) (*Listener, error) {
	family, sa := sockaddr(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if l.reusePort {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			unix.Close(fd)
			return nil, fmt.Errorf("share %s: %w", addr, err)
		}
	}
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, accept: accept, opened: opened}
	ln.retry.Fire = func() { ln.ready(0) }
	if err := l.add(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr is where it listens.
func (ln *Listener) Addr() (netip.AddrPort, error) {
	sa, err := unix.Getsockname(ln.fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("getsockname: %w", err)
	}
	return addrPort(sa)
}

func addrPort(sa unix.Sockaddr) (netip.AddrPort, error) {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errors.New("unknown family of address")
}

// Close takes in what the system has accepted already, then stops listening, and tells whether that is done. It is not where
// descriptors ran out: who waits to be taken in would be turned away unheard. Then it is to be called again.
func (ln *Listener) Close() bool {
	if ln.closed {
		return true
	}
	if !ln.take(math.MaxInt) {
		return false
	}
	ln.closed = true
	ln.retry.Stop()
	ln.loop.drop(ln.fd)
	return true
}

func (ln *Listener) ready(uint32) { ln.take(acceptsPerTurn) }

// take accepts as many as that, and tells whether nobody waits any more.
func (ln *Listener) take(most int) bool {
	for range most {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EAGAIN):
			ln.poll(unix.EPOLLIN)
			return true
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			slog.Warn("accept.failed", "err", err, "again_in_ms", acceptPause.Milliseconds())
			ln.poll(0)
			ln.loop.Set(&ln.retry, ln.loop.now+acceptPause)
			return false
		}
		h := ln.accept()
		c, err := ln.loop.open(fd, unix.EPOLLIN, h)
		if err != nil {
			slog.Warn("accept.failed", "err", err)
			continue
		}
		ln.opened(c, h)
	}
	ln.poll(unix.EPOLLIN)
	return false
}

func (ln *Listener) poll(events uint32) {
	_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, &unix.EpollEvent{Events: events, Fd: int32(ln.fd)})
}
