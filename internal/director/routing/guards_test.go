package routing

import (
	"errors"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Guards against sending an attempt to a host that began to drain while the attempt waited for a connection.
func TestWaitingAttemptIsNotSentToDrainingHost(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.Submit(newTestRequest(responses, "r1"))
	d.UpdateEndpoints(2, false, []Endpoint{testEndpoint("a", decision.Draining)})
	dialer.conns[0].handler.Connected()
	if len(dialer.conns[0].requests) != 0 {
		t.Fatal("sent to a draining host")
	}
	responses.want(t, "r1 rejected")
}

// Guards against sending an attempt with an age limit that was set before a purge.
func TestWaitingAttemptIsNotSentWithMaxAgeFromBeforePurge(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a", "b")
	d.Submit(newTestRequest(responses, "r1"))
	d.PurgeGroup(3, d.loop.Now()-time.Second)
	dialer.conns[0].handler.Connected()
	for _, conn := range dialer.conns {
		for _, upstream := range conn.requests {
			if upstream.MaxAge == 0 {
				t.Fatal("sent with the age limit from before the purge")
			}
		}
	}
	if len(dialer.conns) != 2 {
		t.Fatalf("%d connections, want 2: the module did not start another attempt", len(dialer.conns))
	}
}

// Guards against a retry that waited for a connection until the deduplication window had ended.
func TestWaitingRetryIsNotSentAfterDedupWindow(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.classes["clips"] = classRules{dedupWindow: time.Nanosecond}
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Closed(errors.New("reset")) // it may have run; the module retries
	if len(dialer.conns) != 2 {
		t.Fatalf("%d connections", len(dialer.conns))
	}
	dialer.conns[1].handler.Connected()
	if n := len(dialer.conns[1].requests); n != 0 {
		t.Fatalf("%d retries sent", n)
	}
}

// Guards against a purge that is too new to be enforced hiding an older one that must be enforced.
func TestEveryPurgeIsChecked(t *testing.T) {
	p := newPurgeLog()
	q := &clientRequest{Request: &Request{PurgeGroup: 3}}
	p.groups[3] = []purge{{issued: 10, notifiedAt: 20}, {issued: 30, notifiedAt: 40}}
	if !p.invalidates(q, 10, 25) || p.invalidates(q, 11, 25) || !p.invalidates(q, 11, 50) {
		t.Error("not every purge is checked")
	}
	p.expire(30)
	if p.invalidates(q, 9, 25) || len(p.groups[3]) != 1 {
		t.Error("an old purge was not dropped")
	}
}
