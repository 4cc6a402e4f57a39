package routing

import (
	"errors"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Guards against a request that gets no answer because its ID is already in flight.
func TestResubmittedIDGetsItsAnswer(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r1"))
	d.Submit(newTestRequest(responses, "r1"))
	responses.want(t, "r1 failed")
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t, "r1 failed", "r1 served x")
	if d.InFlight() != 0 || len(d.requests) != 0 {
		t.Errorf("%d requests in flight, %d known", d.InFlight(), len(d.requests))
	}
}

// Guards against a resubmission that runs concurrently with the first request or uses the same connections.
func TestResubmissionWaitsForFirstToEnd(t *testing.T) {
	d, dialer, responses := newTestDirector(t, func(l *Limits) { l.CloseDelay = time.Millisecond }, "a")
	first, again := newTestRequest(responses, "r1"), newTestRequest(responses, "r1")
	d.Submit(first)
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Closed(errors.New("reset")) // the attempt ends after the close delay
	d.loop.Post(func() {
		d.Cancel(first)
		d.Submit(again)
	})
	runLoop(t, d, 20*time.Millisecond)
	if len(dialer.conns) != 2 || d.Counters.Resubmitted != 1 || d.InFlight() != 1 {
		t.Fatalf("%d connections, %+v", len(dialer.conns), d.Counters)
	}
	dialer.conns[1].handler.Connected()
	dialer.conns[1].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t, "r1 served x")
}

// Guards against a waiting resubmission that starts after it was cancelled.
func TestWaitingResubmissionCanBeCancelled(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	first, again := newTestRequest(responses, "r1"), newTestRequest(responses, "r1")
	d.loop.Post(func() {
		d.Submit(first)
		d.Submit(again)
		d.Cancel(again)
		d.Cancel(first)
	})
	runLoop(t, d, 10*time.Millisecond)
	if d.InFlight() != 0 || len(d.requests) != 0 || len(dialer.conns) != 0 || d.Counters.Cancelled != 2 {
		t.Errorf("%+v, %d in flight", d.Counters, d.InFlight())
	}
	responses.want(t)
}

// Guards against executing a request twice although its class does not allow that.
func TestResubmissionRunsOnlyAsClassAllows(t *testing.T) {
	keyed := func(scope decision.DedupScope, window time.Duration) classRules {
		return classRules{idempotency: decision.IdempotentWithKey, dedupScope: scope, dedupWindow: window}
	}
	for name, c := range map[string]struct {
		rules classRules
		sent  bool
	}{
		"idempotent":               {classRules{idempotency: decision.Idempotent, cacheable: true}, true},
		"not idempotent":           {classRules{idempotency: decision.NonIdempotent}, false},
		"with a key":               {keyed(decision.ScopeAll, time.Minute), true},
		"with a key, too late":     {keyed(decision.ScopeAll, time.Nanosecond), false},
		"with a key, for one zone": {keyed(decision.ScopeZone, time.Minute), false},
	} {
		d, dialer, responses := newTestDirector(t, defaultLimits, "a")
		d.classes["clips"] = c.rules
		first := newTestRequest(responses, "r1")
		d.Submit(first)
		dialer.conns[0].handler.Connected()
		d.Cancel(first)
		d.Submit(newTestRequest(responses, "r1"))
		if dialer.conns[0].pings != nil {
			dialer.conns[0].handler.Pong([]byte(dialer.conns[0].pings[0])) // the cancel has been read
		}
		if sent := len(dialer.conns) == 2; sent != c.sent {
			t.Errorf("%s: sent %t", name, sent)
		}
		if !c.sent {
			responses.want(t, "r1 failed")
		}
	}
}

// Guards against unbounded memory growth from cancelled requests.
func TestCancelledRequestsAreBounded(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r0"))
	dialer.conns[0].handler.Connected()
	for i := range maxCancelledRequests + 10 {
		r := newTestRequest(responses, time.Duration(i).String())
		d.Submit(r)
		d.Cancel(r)
	}
	if len(d.cancelledByID) != maxCancelledRequests || len(d.cancelledOldestFirst) != maxCancelledRequests {
		t.Errorf("%d cancelled requests are kept", len(d.cancelledByID))
	}
	d.expireCancelled(d.loop.Now() + d.limits.MaxDeadline)
	if len(d.cancelledByID)+len(d.cancelledOldestFirst) != 0 {
		t.Errorf("%d cancelled requests did not expire", len(d.cancelledByID))
	}
}
