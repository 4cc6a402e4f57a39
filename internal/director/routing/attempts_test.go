package routing

import (
	"errors"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Guards against passing on the response to an attempt that was cancelled.
func TestResponseToCancelledAttemptIsDropped(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	r := newTestRequest(responses, "r1")
	d.Submit(r)
	dialer.conns[0].handler.Connected()
	d.Cancel(r)
	dialer.conns[0].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t)
	if d.Counters.LateResponses != 1 || d.InFlight() != 0 || len(d.requests) != 0 {
		t.Errorf("%d late responses, %d requests in flight, %d known", d.Counters.LateResponses, d.InFlight(), len(d.requests))
	}
}

// Guards against a late response to a cancelled attempt being taken for the response to its retry.
func TestRetryUsesAnotherConn(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	a := d.requests["r1"].attempts[0]
	d.attemptTimedOut(a) // the client still waits
	if !slices.Equal(dialer.conns[0].cancelled, []string{"r1"}) {
		t.Fatal("the attempt timed out but no cancel was sent")
	}
	q := &clientRequest{Request: newTestRequest(responses, "r1"), excludedConns: []*pooledConn{a.conn}}
	if picked := a.host.pickConn(q); picked != nil {
		t.Error("the connection of the cancelled attempt is picked again")
	}
	dialer.conns[0].handler.Received([]byte("r1"), okResponse("late"))
	if d.Counters.LateResponses != 1 || d.Counters.Served != 0 {
		t.Errorf("the late response was used: %+v", d.Counters)
	}
}

// Guards against a retry that is executed concurrently with the attempt that it replaces: it must wait for the pong that
// confirms the cancel, and a connection that sends no pong must be closed.
func TestRetryWaitsForCancelConfirmation(t *testing.T) {
	for _, answers := range []bool{true, false} {
		d, dialer, responses := newTestDirector(t, defaultLimits, "a")
		d.Submit(newTestRequest(responses, "r1"))
		old := dialer.conns[0]
		old.handler.Connected()
		d.Submit(newTestRequest(responses, "r2"))
		old.handler.Received([]byte("r2"), okResponse("")) // the host answers, so the module retries there
		d.cancelAttempt(decision.CancelAttempt{Request: "r1"})
		if len(old.cancelled) != 1 || len(old.pings) != 1 || len(dialer.conns) != 1 {
			t.Fatalf("cancelled %q, pinged %q, %d connections", old.cancelled, old.pings, len(dialer.conns))
		}
		if answers {
			old.handler.Pong([]byte(old.pings[0]))
		} else {
			old.handler.(*pooledConn).pongTimedOut()
		}
		if old.closed == answers || len(dialer.conns) != 2 {
			t.Fatalf("answers %t: closed %t, %d connections", answers, old.closed, len(dialer.conns))
		}
		dialer.conns[1].handler.Connected()
		if len(dialer.conns[1].requests) != 1 {
			t.Error("the retry was not sent")
		}
	}
}

// Guards against sending an attempt or opening a connection for a request that its client cancels in the same round.
func TestRequestCancelledInItsRoundIsNotSent(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	r := newTestRequest(responses, "r1")
	d.loop.Post(func() {
		d.Submit(r)
		if len(dialer.conns) != 0 {
			t.Error("a connection was opened before the end of the round")
		}
		d.Cancel(r)
	})
	runLoop(t, d, 10*time.Millisecond)
	if len(dialer.conns) != 0 || d.Counters.Attempts != 0 || d.InFlight() != 0 || len(d.requests) != 0 {
		t.Errorf("%d connections, %+v", len(dialer.conns), d.Counters)
	}
	responses.want(t)
}

// Guards against sending a waiting attempt of a cancelled request if caches do not support cancels.
func TestWaitingAttemptIsNotSentWhenClientIsGone(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	settings := testSettings()
	settings.Cancel = false
	settings.CacheStatusMode = ""
	d.module = decision.NewRouter(settings, 1)
	d.Start()
	d.UpdateEndpoints(2, true, []Endpoint{testEndpoint("a", decision.Ready)})
	r := newTestRequest(responses, "r1")
	d.Submit(r)
	d.Cancel(r)
	if len(d.requests) != 0 {
		t.Error("the request is still known")
	}
	dialer.conns[0].handler.Connected()
	if len(dialer.conns[0].requests) != 0 || len(d.requests) != 0 {
		t.Errorf("%d upstream requests, %d requests known", len(dialer.conns[0].requests), len(d.requests))
	}
}

// Guards against a retry that is sent although its client disconnected while the retry waited for the confirmation of a
// cancel.
func TestNoRetryForClientGoneDuringCancel(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	r := newTestRequest(responses, "r1")
	d.Submit(r)
	old := dialer.conns[0]
	old.handler.Connected()
	d.Submit(newTestRequest(responses, "r2"))
	old.handler.Received([]byte("r2"), okResponse(""))
	d.cancelAttempt(decision.CancelAttempt{Request: "r1"}) // the module retries, and the retry waits for the pong
	if len(old.pings) != 1 {
		t.Fatalf("pinged %q", old.pings)
	}
	d.Cancel(r)
	old.handler.Pong([]byte(old.pings[0]))
	if len(dialer.conns) != 1 || len(old.requests) != 2 || len(d.requests) != 0 {
		t.Errorf("%d connections, %d upstream requests, %d requests known", len(dialer.conns), len(old.requests), len(d.requests))
	}
}

// Guards against a retry that is only partly written when the deduplication window ends, and arrives completely afterwards.
func TestPartlyWrittenRetryEndsWithDedupWindow(t *testing.T) {
	const window = 60 * time.Millisecond
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.classes["clips"] = classRules{idempotency: decision.IdempotentWithKey, dedupScope: decision.ScopeAll, dedupWindow: window}
	r := newTestRequest(responses, "r1")
	r.IdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	r.SizeKB = 10_000 // large enough that the module does not cancel the request before the window ends
	d.Submit(r)
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Closed(errors.New("reset")) // it may have run; the module retries
	dialer.conns[1].stuckAfterNext = true
	dialer.conns[1].handler.Connected()
	if len(dialer.conns[1].requests) != 1 || dialer.conns[1].closed {
		t.Fatalf("%d upstream requests, closed %t", len(dialer.conns[1].requests), dialer.conns[1].closed)
	}
	runLoop(t, d, window)
	if !dialer.conns[1].closed {
		t.Error("the connection is still open: the retry may arrive after the window")
	}
	for _, conn := range dialer.conns[2:] {
		if len(conn.requests) > 0 {
			t.Error("the request was retried after the window")
		}
	}
}

// Guards against counting a request as served whose answer the client did not get.
func TestAnswerWithoutRoomCountsAsFailed(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	responses.noRoom = true
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Received([]byte("r1"), okResponse("x"))
	responses.want(t, "r1 failed")
	if d.Counters.Served != 0 || d.Counters.Failed != 1 || d.InFlight() != 0 {
		t.Errorf("%+v, %d in flight", d.Counters, d.InFlight())
	}
}
