package transport

import (
	"bytes"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// endRecorder is a Handler that records the error with which its connection was closed.
type endRecorder struct{ err error }

func (*endRecorder) Opened() {}

func (*endRecorder) Data(b []byte) (used, need int, err error) { return len(b), 0, nil }

func (*endRecorder) Flushed() {}

func (r *endRecorder) Closed(err error) { r.err = err }

// exhaustDescriptors lowers the descriptor limit so that the process cannot open any until restore is called.
func exhaustDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest free number
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Close(next); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	restore = func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(restore)
	return restore
}

func runLoop(t *testing.T, l *Loop, length time.Duration) {
	t.Helper()
	var stop Timer
	stop.Fire = l.Stop
	l.Set(&stop, l.Now()+length)
	l.stopped = false
	if err := l.serve(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a busy loop and against the loss of pending connections when descriptors have run out.
func TestAcceptWithoutDescriptors(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	l, err := NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release()
	accepted := 0
	newHandler := func() Handler { return &endRecorder{} }
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), newHandler, func(*Conn, Handler) { accepted++ })
	if err != nil {
		t.Fatal(err)
	}
	addr, err := ln.Addr()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the test does not depend on it
	}
	restore := exhaustDescriptors(t)
	runLoop(t, l, 300*time.Millisecond)
	if tries := strings.Count(log.String(), "accept.failed"); accepted != 0 || tries == 0 || tries > 10 {
		t.Errorf("%d connections accepted, accept failed %d times in 0.3 s", accepted, tries)
	}
	if ln.Close() {
		t.Error("the listener was closed although connections were pending")
	}
	restore()
	runLoop(t, l, 100*time.Millisecond)
	if !ln.Close() || accepted != 2 {
		t.Errorf("the listener was not closed, or %d connections accepted", accepted)
	}
	runLoop(t, l, 10*time.Millisecond) // the descriptor is closed at the end of the round
	if _, err := net.Dial("tcp", addr.String()); err == nil {
		t.Error("the closed listener still accepts connections")
	}
}

// Guards against accepting more connections in a round than there are descriptors, which become free only at its end.
func TestRoundAcceptsAreBounded(t *testing.T) {
	l, err := NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release()
	rounds := map[time.Duration]int{}
	newHandler := func() Handler { return &endRecorder{} }
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), newHandler, func(*Conn, Handler) { rounds[l.now]++ })
	if err != nil {
		t.Fatal(err)
	}
	addr, err := ln.Addr()
	if err != nil {
		t.Fatal(err)
	}
	const many = 100
	for range many {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the test does not depend on it
	}
	runLoop(t, l, 50*time.Millisecond)
	sum := 0
	for _, n := range rounds {
		sum += n
		if n > maxAcceptsPerRound {
			t.Errorf("%d connections accepted in one round", n)
		}
	}
	if sum != many {
		t.Errorf("%d connections accepted", sum)
	}
}
