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

// quiet is a handler that only notes its end.
type quiet struct{ ended error }

func (*quiet) Opened()                                   {}
func (*quiet) Data(b []byte) (used, need int, err error) { return len(b), 0, nil }
func (*quiet) Flushed()                                  {}
func (q *quiet) Closed(err error)                        { q.ended = err }

// exhaust leaves this process without a free descriptor until the function that it gives is called.
func exhaust(t *testing.T) (give func()) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Dup(0) // the lowest that is free
	if err != nil {
		t.Fatal(err)
	}
	unix.Close(next)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(next), Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	give = func() { _ = unix.Setrlimit(unix.RLIMIT_NOFILE, &before) }
	t.Cleanup(give)
	return give
}

func run(t *testing.T, l *Loop, length time.Duration) {
	t.Helper()
	var stop Timer
	stop.Fire = l.Stop
	l.Set(&stop, l.Now()+length)
	l.stopped = false
	if err := l.serve(); err != nil {
		t.Fatal(err)
	}
}

// With no descriptor free, whoever waits to be accepted is neither polled in a circle nor forgotten, also when the listener is to
// close meanwhile.
func TestAcceptWithoutADescriptor(t *testing.T) {
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
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func() Handler { return &quiet{} }, func(*Conn, Handler) { accepted++ })
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
		defer conn.Close()
	}
	give := exhaust(t)
	run(t, l, 300*time.Millisecond)
	if tries := strings.Count(log.String(), "accept.failed"); accepted != 0 || tries == 0 || tries > 10 {
		t.Errorf("accepted %d, tried %d times in 0.3 s", accepted, tries)
	}
	if ln.Close() {
		t.Error("closed over those that wait")
	}
	give()
	run(t, l, 100*time.Millisecond)
	if !ln.Close() || accepted != 2 {
		t.Errorf("accepted %d", accepted)
	}
	run(t, l, 10*time.Millisecond) // closed when the round is over
	if _, err := net.Dial("tcp", addr.String()); err == nil {
		t.Error("it listens still")
	}
}

// One round accepts a few only: what was closed to make room for them is free when the round is over.
func TestARoundAcceptsAFew(t *testing.T) {
	l, err := NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release()
	rounds := map[time.Duration]int{}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func() Handler { return &quiet{} }, func(*Conn, Handler) { rounds[l.now]++ })
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
		defer conn.Close()
	}
	run(t, l, 50*time.Millisecond)
	sum := 0
	for _, n := range rounds {
		sum += n
		if n > acceptsPerTurn {
			t.Errorf("%d in one round", n)
		}
	}
	if sum != many {
		t.Errorf("%d accepted", sum)
	}
}
