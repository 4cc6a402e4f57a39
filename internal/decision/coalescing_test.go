package decision

import (
	"slices"
	"testing"
	"time"
)

func TestRequestJoinsFillInProgress(t *testing.T) {
	r := startRouter(t, testSettings())
	first := r.onlyAttempt(r.request("a", 1))
	second := r.onlyAttempt(r.request("b", 1))
	if first.Options&JoinFill == 0 || second.Options&JoinFill == 0 {
		t.Errorf("options %d and %d, want JoinFill in both", first.Options, second.Options)
	}
	if first.Host != second.Host || first.Source != second.Source {
		t.Errorf("second request went to %d with source %d, want %d with source %d", second.Host, second.Source, first.Host, first.Source)
	}
	if len(r.router.fills) != 1 {
		t.Errorf("%d fills, want one", len(r.router.fills))
	}
}

func TestRequestWaitsForFill(t *testing.T) {
	s := testSettings()
	s.JoinsFills = false
	for _, end := range []Status{OK, Failed} {
		r := startRouter(t, s)
		first := r.onlyAttempt(r.request("a", 1))
		if got := actionsOf[StartAttempt](r.request("b", 1)); len(got) != 0 {
			t.Fatalf("the second request was sent: %v", got)
		}
		actions := r.endAttempt("a", first, 0, end, CacheStatusNone)
		second := slices.IndexFunc(actionsOf[StartAttempt](actions), func(a StartAttempt) bool { return a.Request == "b" })
		if end == OK && (second < 0 || actionsOf[StartAttempt](actions)[second].Host != first.Host) {
			t.Errorf("served: the second request was not sent to the cache that has the object: %v", actions)
		}
		if end == Failed && len(actionsOf[StartAttempt](actions)) != 1 {
			t.Errorf("failed: want one new fill for both, got %v", actions)
		}
	}
}

func TestWaitEndsInTimeForObjective(t *testing.T) {
	s := testSettings()
	s.JoinsFills = false
	r := startRouter(t, s)
	r.request("a", 1)
	timer := actionsOf[SetTimer](r.request("b", 1))
	if len(timer) != 1 || timer[0].Delay > 500*ms {
		t.Fatalf("timers %v, want one before the objective", timer)
	}
	r.now += timer[0].Delay
	if got := r.onlyAttempt(r.handle(TimerFired{timer[0].Timer})); got.Request != "b" {
		t.Errorf("sent %v, want request b", got)
	}
}

// A request keeps waiting for a cache that has reached its limit but responds, because a waiting
// request puts no load on the cache.
func TestRequestWaitsAtFullCache(t *testing.T) {
	for _, joins := range []bool{false, true} {
		s := testSettings()
		s.JoinsFills = joins
		r := startRouter(t, s)
		first := r.onlyAttempt(r.request("a", 1))
		h := r.router.endpoints.byID[first.Host]
		r.now += ms
		h.lastAnswerAt = r.now
		h.limit = exhaustedLimit()
		got := actionsOf[StartAttempt](r.request("b", 1))
		if waits := len(got) == 0; waits == joins {
			t.Errorf("joins %v: a request for an object that is being filled by a full cache waits: %v", joins, waits)
		}
	}
}

func TestUncacheableRequestsAreNotCoalesced(t *testing.T) {
	s := testSettings()
	s.Classes[0].Uncacheable = true
	r := startRouter(t, s)
	if got := r.onlyAttempt(r.request("a", 1)); got.Options&JoinFill != 0 || got.CachePriority != 0 || len(r.router.fills) != 0 {
		t.Errorf("uncacheable: %+v with %d fills", got, len(r.router.fills))
	}
}

// Classes and tenants may use the same object IDs for different objects.
func TestClassesAndTenantsAreNotCoalesced(t *testing.T) {
	s := testSettings()
	s.JoinsFills = false // coalesced requests wait, which the test can observe
	s.Classes = append(s.Classes, Class{
		Name: "clips", LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: Idempotent,
	})
	r := startRouter(t, s)
	attempts := func(id, class, tenant string) int {
		actions := r.handle(Request{
			ID: RequestID(id), Object: 7, Class: class, Tenant: tenant, SizeKB: 100, TimeLeft: 4 * time.Second,
		})
		return len(actionsOf[StartAttempt](actions))
	}
	if attempts("a", "clip", "x") != 1 || attempts("b", "clip", "x") != 0 {
		t.Fatal("the second request of the same class and tenant does not wait")
	}
	if attempts("c", "clips", "x") != 1 {
		t.Error("a request waits for an attempt of another class")
	}
	if attempts("d", "clip", "y") != 1 {
		t.Error("a request waits for an attempt of another tenant")
	}
}
