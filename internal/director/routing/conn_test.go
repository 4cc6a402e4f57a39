package routing

import (
	"errors"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// Guards against a request that fails because its first host never completes the connection.
func TestRequestIsRetriedWhenConnectFails(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) { l.DialTimeout = 100 * time.Millisecond }, "a", "b")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Closed(nil) // as after the dial timeout
	if len(dialer.conns) != 2 || dialer.conns[0].address == dialer.conns[1].address {
		t.Fatalf("%d connections: the request was not retried at the other host", len(dialer.conns))
	}
	dialer.conns[1].handler.Connected()
	dialer.conns[1].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t, "r1 served x")
}

// Guards against treating an attempt that was fully written as one that cannot have run, and vice versa.
func TestLostConnDistinguishesFullyAndPartlyWrittenAttempts(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].stuck = true
	d.Submit(newTestRequest(responses, "r2"))
	if n := len(dialer.conns[0].requests); n != 1 {
		t.Fatalf("%d upstream requests on a blocked connection, want 1", n)
	}
	dialer.conns[1].stuckAfterNext = true
	dialer.conns[1].handler.Connected() // r2 is partly written
	dialer.conns[0].handler.Closed(errors.New("reset"))
	if d.Counters.Reset != 1 {
		t.Errorf("%d resets, want 1", d.Counters.Reset)
	}
	dialer.conns[1].handler.Closed(errors.New("reset"))
	if d.Counters.Reset != 1 || d.Counters.ConnectFailed != 1 {
		t.Errorf("%d resets and %d that never ran, want 1 and 1", d.Counters.Reset, d.Counters.ConnectFailed)
	}
}

// Guards against a hanging connection that is detected only when its attempts time out.
func TestHangingConnIsPingedAndClosed(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) {
		l.KeepaliveAfter = time.Millisecond
		l.KeepaliveTimeout = 4 * time.Millisecond
	}, "a")
	d.Submit(newTestRequest(responses, "r1"))
	old := dialer.conns[0]
	old.handler.Connected()
	runLoop(t, d, 50*time.Millisecond)
	if len(old.pings) == 0 || !old.closed || d.Counters.Reset != 1 || len(dialer.conns) != 2 {
		t.Errorf("pinged %q, closed %t, %d resets, %d connections", old.pings, old.closed, d.Counters.Reset, len(dialer.conns))
	}
}

// Guards against a retry that is executed concurrently with an attempt whose cache has not noticed the close yet.
func TestAttemptsOfLostConnEndAfterCloseDelay(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) { l.CloseDelay = time.Millisecond }, "a")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Closed(errors.New("unreadable"))
	if len(dialer.conns) != 1 || d.Counters.Reset != 0 {
		t.Fatalf("%d connections, %d resets before the close delay is over", len(dialer.conns), d.Counters.Reset)
	}
	runLoop(t, d, 20*time.Millisecond)
	if len(dialer.conns) != 2 || d.Counters.Reset != 1 {
		t.Errorf("%d connections, %d resets after the close delay", len(dialer.conns), d.Counters.Reset)
	}
}

// Guards against an attempt that stays in flight because its cancel could not be written.
func TestCancelOnBlockedConnClosesIt(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	r := newTestRequest(responses, "r1")
	d.Submit(r)
	dialer.conns[0].handler.Connected()
	dialer.conns[0].stuck = true
	d.Cancel(r)
	if !dialer.conns[0].closed {
		t.Error("the blocked connection is still open")
	}
	responses.want(t)
}

// Guards against sending new attempts on a connection to a machine that vanished without closing it.
func TestSilentConnGetsNoNewAttempts(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) { l.SilentTimeout = time.Nanosecond }, "a")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	d.Submit(newTestRequest(responses, "r2"))
	if len(dialer.conns) != 2 || len(dialer.conns[0].requests) != 1 {
		t.Fatalf("%d connections, %d upstream requests on the silent one", len(dialer.conns), len(dialer.conns[0].requests))
	}
	dialer.conns[1].handler.Closed(transport.ErrDialTimeout)
	responses.want(t, "r2 rejected") // its attempt was never sent, and there is no other host
	dialer.conns[0].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t, "r2 rejected", "r1 served x")
}

// Guards against sending attempts on connections to the process that was replaced by a restart.
func TestRestartedHostGetsNewConns(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Received([]byte("r1"), okResponse(""))
	restarted := testEndpoint("a", decision.Ready)
	restarted.StartedAt = d.loop.Now()
	d.UpdateEndpoints(2, false, []Endpoint{restarted})
	if !dialer.conns[0].closed {
		t.Error("the connection to the old process is still open")
	}
	d.Submit(newTestRequest(responses, "r2"))
	dialer.conns[len(dialer.conns)-1].handler.Connected()
	if len(dialer.conns) != 2 || len(dialer.conns[1].requests) != 1 {
		t.Fatalf("%d connections", len(dialer.conns))
	}
	responses.want(t, "r1 served ")
}

// Guards against running out of file descriptors: at the limit the connection that has been idle longest is closed, and
// never one in use.
func TestMaxConnsIsRespected(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) { l.MaxConns = 2 }, "a", "b", "c")
	for i, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		r := newTestRequest(responses, id)
		r.Object = decision.ObjectID(i * 7919)
		d.Submit(r)
		for _, conn := range dialer.conns {
			if !conn.closed {
				conn.handler.(*pooledConn).Connected()
			}
		}
		for _, conn := range dialer.conns {
			for _, upstream := range conn.requests {
				if !conn.closed {
					conn.handler.Received([]byte(upstream.ID), okResponse(""))
				}
			}
		}
		open := 0
		for _, conn := range dialer.conns {
			if !conn.closed {
				open++
			}
		}
		if open > 2 || d.conns != open {
			t.Fatalf("%d connections are open, %d counted", open, d.conns)
		}
	}
	if d.Counters.Served != 6 {
		t.Errorf("%+v", d.Counters)
	}
}
