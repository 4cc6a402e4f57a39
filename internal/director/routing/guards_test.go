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

// Guards against passing on an object whose age is unknown because the response lacks the time or the ETag: neither purges nor
// the age limit could be enforced. Its request goes on elsewhere.
func TestIncompleteObjectIsWithheld(t *testing.T) {
	for name, spoil := range map[string]func(*Response){
		"no time": func(r *Response) { r.GeneratedAt = 0 },
		"no ETag": func(r *Response) { r.ETag = "" },
		"neither": func(r *Response) { r.GeneratedAt, r.ETag = 0, "" },
	} {
		t.Run(name, func(t *testing.T) {
			d, dialer, responses := newTestDirector(t, defaultLimits, "a")
			d.Submit(newTestRequest(responses, "r1"))
			dialer.conns[0].handler.Connected()
			incomplete := okResponse("spoilt")
			spoil(incomplete)
			dialer.conns[0].handler.Received([]byte("r1"), incomplete)
			responses.want(t)
			dialer.conns[1].handler.Connected()
			dialer.conns[1].handler.Received([]byte("r1"), okResponse("whole"))
			responses.want(t, "r1 served whole")
			if d.Counters.ResponsesWithheld != 1 {
				t.Errorf("%+v", d.Counters)
			}
		})
	}
}

// Guards against withholding responses of a class that caches keep no copies of, which have neither an ETag nor a time.
func TestUncacheableResponseNeedsNoETag(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.classes["clips"] = classRules{cacheable: false}
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	dialer.conns[0].handler.Received([]byte("r1"), &Response{Status: decision.OK, Body: []byte("report")})
	responses.want(t, "r1 served report")
}

// Guards against repeating a request that may have run because a cache confirms a copy where there can be none.
func TestConfirmedCopyOfUncacheableClassCountsAsRun(t *testing.T) {
	d, dialer, responses := newTestDirector(t, defaultLimits, "a")
	d.classes["clips"] = classRules{cacheable: false}
	d.Submit(newTestRequest(responses, "r1"))
	dialer.conns[0].handler.Connected()
	confirmed := okResponse("")
	confirmed.NotModified = true
	q := d.requests["r1"]
	dialer.conns[0].handler.Received([]byte("r1"), confirmed)
	if q.firstRunAt == 0 || d.Counters.NotModified != 0 || d.Counters.ResponsesWithheld != 1 {
		t.Errorf("first run at %v, %+v", q.firstRunAt, d.Counters)
	}
	if reason, status := d.responseGuard(q.attempts[0], confirmed); reason == "" || !mayHaveRun(status) {
		t.Errorf("%q, status %v", reason, status)
	}
}

// Guards against repeating a request of a class with idempotency keys that has none: caches cannot recognize the repeat.
func TestRequestWithoutItsIdempotencyKeyIsNotRepeated(t *testing.T) {
	for _, key := range []string{"", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"} {
		d, dialer, responses := newTestDirector(t, defaultLimits, "a")
		d.classes["clips"] = classRules{idempotency: decision.IdempotentWithKey, dedupWindow: time.Minute}
		r := newTestRequest(responses, "r1")
		r.IdempotencyKey = key
		d.Submit(r)
		dialer.conns[0].handler.Connected()
		dialer.conns[0].handler.Closed(errors.New("reset")) // it may have run; the module retries
		dialer.conns[1].handler.Connected()
		if sent := len(dialer.conns[1].requests); (sent > 0) != (key != "") {
			t.Errorf("key %q: %d retries sent", key, sent)
		}
	}
}
