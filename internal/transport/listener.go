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
	backlog = 1024
	// acceptRetryPause is how long a listener stops accepting after a failed accept, such as when descriptors have run out.
	acceptRetryPause = 50 * time.Millisecond
	// maxAcceptsPerRound bounds the connections that a listener accepts in a round: connections that are closed to make room
	// for new ones free their descriptors only at the end of the round.
	maxAcceptsPerRound = 16
)

var errUnknownFamily = errors.New("unknown address family")

// Listener accepts TCP connections.
type Listener struct {
	loop       *Loop
	fd         int
	newHandler func() Handler
	onAccept   func(*Conn, Handler)
	boundInput bool // of the connections that it accepts
	retryTimer Timer
	closed     bool
}

// ShareAddresses sets SO_REUSEPORT for all listeners that Listen creates afterwards, so that several listeners of this
// process can have the same address. The kernel distributes connections among them.
func (l *Loop) ShareAddresses() { l.reusePort = true }

// Listen starts to accept connections at an address. For each connection it calls newHandler to create the handler, and then
// onAccept.
func (l *Loop) Listen(addr netip.AddrPort, newHandler func() Handler, onAccept func(*Conn, Handler)) (*Listener, error) {
	fd, err := l.listeningSocket(addr)
	if err != nil {
		return nil, err
	}
	ln := &Listener{loop: l, fd: fd, newHandler: newHandler, onAccept: onAccept}
	ln.retryTimer.Fire = func() { ln.handleEvents(0) }
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		closeFD(fd)
		return nil, err
	}
	return ln, nil
}

func (l *Loop) listeningSocket(addr netip.AddrPort) (fd int, err error) {
	family, sockaddr := sockaddrOf(addr)
	if fd, err = newSocket(family); err != nil {
		return 0, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // on failure bind may fail, which is reported
	if l.reusePort {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			closeFD(fd)
			return 0, fmt.Errorf("share %s: %w", addr, err)
		}
	}
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		closeFD(fd)
		return 0, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return fd, nil
}

// Addr returns the address of the listener.
func (ln *Listener) Addr() (netip.AddrPort, error) {
	sockaddr, err := unix.Getsockname(ln.fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("getsockname: %w", err)
	}
	return addrPortOf(sockaddr)
}

func addrPortOf(sockaddr unix.Sockaddr) (netip.AddrPort, error) {
	switch a := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errUnknownFamily
}

// Close accepts the pending connections and then stops listening. It reports whether it did so. If descriptors have run out
// it returns false and keeps listening, since pending connections would be lost; the caller must then call it again.
func (ln *Listener) Close() bool {
	if ln.closed {
		return true
	}
	if !ln.acceptPending(math.MaxInt) {
		return false
	}
	ln.closed = true
	ln.retryTimer.Stop()
	ln.loop.unregister(ln.fd)
	return true
}

// handleEvents implements eventSource.
func (ln *Listener) handleEvents(uint32) { ln.acceptPending(maxAcceptsPerRound) }

// acceptPending accepts at most limit connections, and reports whether no more connections are pending.
func (ln *Listener) acceptPending(limit int) bool {
	for range limit {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EAGAIN):
			ln.setMask(unix.EPOLLIN)
			return true
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			slog.Warn("accept.failed", "err", err, "again_in_ms", acceptRetryPause.Milliseconds())
			ln.setMask(0)
			ln.loop.Set(&ln.retryTimer, ln.loop.now+acceptRetryPause)
			return false
		}
		h := ln.newHandler()
		c := &Conn{boundInput: ln.boundInput}
		if err := ln.loop.initConn(c, fd, c.inputMask(), h); err != nil {
			slog.Warn("accept.failed", "err", err)
			continue
		}
		ln.onAccept(c, h)
	}
	ln.setMask(unix.EPOLLIN)
	return false
}

func (ln *Listener) setMask(mask uint32) {
	event := unix.EpollEvent{Events: mask, Fd: int32(ln.fd)}
	_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_MOD, ln.fd, &event) // fails only for a closed listener
}
