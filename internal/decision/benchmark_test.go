package decision

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkRequest measures the handling of a request that is served by its first attempt.
func BenchmarkRequest(b *testing.B) {
	r := NewRouter(testSettings(), 7)
	now := time.Hour
	r.Start(now)
	r.Handle(now, EndpointUpdate{Kind: UpdateCached, Endpoints: testEndpoints()})
	ids := make([]RequestID, 1<<12)
	for i := range ids {
		ids[i] = RequestID("request-" + strconv.Itoa(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		id := ids[i%len(ids)]
		var attempt StartAttempt
		for _, action := range r.Handle(now, Request{ID: id, Object: ObjectID(i), Class: "clip", SizeKB: 100, TimeLeft: 4 * time.Second}) {
			if a, ok := action.(StartAttempt); ok {
				attempt = a
			}
		}
		r.Handle(now, AttemptResult{
			Request: id, Terminal: true, Host: attempt.Host, Status: OK, CacheStatus: CacheStatusHit,
			Elapsed: 120 * time.Millisecond, FirstByte: 20 * time.Millisecond,
		})
	}
	if len(r.requests) != 0 {
		b.Fatalf("%d requests are still open", len(r.requests))
	}
}
