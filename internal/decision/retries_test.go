package decision

import (
	"fmt"
	"testing"
	"time"
)

// The answer may have been lost on a connection that serves other requests, and the cache has the
// object, so the retry goes to the same cache. An attempt at a saturated cache is not repeated.
func TestOverdueAttemptIsReplaced(t *testing.T) {
	for _, cpuShare := range []float64{0.3, 0.95} {
		r := startRouter(t, testSettings())
		first := r.onlyAttempt(r.request("a", 1))
		r.now += 10 * ms
		h := r.router.endpoints.byID[first.Host]
		h.lastAnswerAt = r.now
		h.load = LoadReport{CPUShare: cpuShare}
		r.router.endpoints.parents[0].lastAnswerAt = r.now
		r.now += 400 * ms
		cancelled := actionsOf[CancelAttempt](r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))
		if cpuShare > saturatedCPUThreshold {
			if len(cancelled) != 0 {
				t.Errorf("an attempt at a saturated cache was replaced: %v", cancelled)
			}
			continue
		}
		if len(cancelled) != 1 || cancelled[0].Attempt != 0 {
			t.Fatalf("cancelled %v, want attempt 0", cancelled)
		}
		if got := r.onlyAttempt(r.endAttempt("a", first, 0, Cancelled, CacheStatusNone)); got.Host != first.Host {
			t.Errorf("retried at %d, want %d, which has the object", got.Host, first.Host)
		}
	}
}

// Guards against doubling the load of a slow origin by a second fetch for each overdue fill.
func TestOverdueFillIsNotReplacedWhileAllFillsAreSlow(t *testing.T) {
	for name, change := range map[string]func(*Router){
		"a parent answers":  func(r *Router) { r.endpoints.parents[0].lastAnswerAt = r.now },
		"no parent answers": func(*Router) {},
		"fetches are limited": func(r *Router) {
			r.endpoints.parents[0].lastAnswerAt = r.now
			r.limits.fetches.limit = float64(time.Second)
		},
	} {
		r := startRouter(t, testSettings())
		r.onlyAttempt(r.request("a", 1))
		r.now += 300 * ms
		r.router.now = r.now
		change(r.router)
		cancelled := actionsOf[CancelAttempt](r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))
		if (len(cancelled) == 1) != (name == "a parent answers") {
			t.Errorf("%s: cancelled %v", name, cancelled)
		}
	}
}

// Guards against cancelling an attempt that must not be repeated: its answer may still arrive, and no
// other attempt could follow.
func TestOverdueAttemptThatMayNotRepeatIsKept(t *testing.T) {
	for _, c := range []struct {
		idempotency Idempotency
		after       time.Duration
		cancels     bool
	}{
		{Idempotent, 2 * time.Second, true},
		{NonIdempotent, 2 * time.Second, false},
		{IdempotentWithKey, 500 * ms, true},
		{IdempotentWithKey, 2 * time.Second, false},
	} {
		s := testSettings() // with a deduplication window of 1 s
		s.Classes[0].Idempotency = c.idempotency
		s.Classes[0].DedupScope = ScopeAll
		r := startRouter(t, s)
		a := r.onlyAttempt(r.request("a", 7))
		r.now += 10 * ms
		other := r.onlyAttempt(r.request("b", 7)) // at the same cache, which responds to it
		if other.Host != a.Host {
			t.Fatal("the requests were sent to different caches")
		}
		r.now += c.after
		r.endAttempt("b", other, 0, OK, CacheStatusFilled) // shows that the source responds and that fills are not slow
		cancelled := actionsOf[CancelAttempt](r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}}))
		if got := len(cancelled) == 1; got != c.cancels {
			t.Errorf("%s after %v: cancelled %t", c.idempotency, c.after, got)
		}
	}
}

// Guards against a dead cache that uses up the retry budget.
func TestRefusedConnectionNeedsNoRetryToken(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.retryBudget.tokens = 0
	first := r.onlyAttempt(r.request("a", 1))
	if got := r.onlyAttempt(r.endAttempt("a", first, 0, ConnectFailed, CacheStatusNone)); got.Host == first.Host {
		t.Errorf("retried at %d, which refused the connection", got.Host)
	}
}

func TestLostAnswersNeedNoRetryToken(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.retryBudget.tokens = 0
	first := r.onlyAttempt(r.request("a", 1))
	for n := range 4 { // the cache has the object, so the retry needs no token and is no failure of the cache
		if got := r.onlyAttempt(r.endAttempt("a", first, n, Reset, CacheStatusNone)); got.Host != first.Host {
			t.Fatalf("retried at %d, want %d, which has the object", got.Host, first.Host)
		}
	}
	if h := r.router.endpoints.byID[first.Host]; h.health.failureShare != 0 || !r.router.isHealthy(h) {
		t.Error("lost answers were recorded as failures of the cache")
	}
}

func TestFailedSourceIsReplacedAtSameCache(t *testing.T) {
	r := startRouter(t, testSettings())
	first := r.onlyAttempt(r.request("a", 1))
	again := r.onlyAttempt(r.endAttempt("a", first, 0, Full, CacheStatusSourceRejected))
	if again.Host != first.Host || again.Source == first.Source {
		t.Errorf("retried at %d with source %d, want %d with a source other than %d", again.Host, again.Source, first.Host, first.Source)
	}
}

func TestIdempotency(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NonIdempotent
	r := startRouter(t, s)
	first := r.onlyAttempt(r.request("a", 1))
	actions := r.endAttempt("a", first, 0, Failed, CacheStatusNone)
	if len(actionsOf[Fail](actions)) != 1 || len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 0 {
		t.Errorf("not idempotent and may have run: %v, want a failure", actions)
	}
	second := r.onlyAttempt(r.request("b", 2))
	if got := r.endAttempt("b", second, 0, ConnectFailed, CacheStatusNone); len(actionsOf[StartAttempt](got)) != 1 {
		t.Errorf("not idempotent and has not run: %v, want another attempt", got)
	}
	s.Classes[0].Idempotency = IdempotentWithKey
	s.Classes[0].DedupScope = ScopeCell
	r = startRouter(t, s)
	first = r.onlyAttempt(r.request("a", 1))
	if got := r.onlyAttempt(r.endAttempt("a", first, 0, Reset, CacheStatusNone)); got.Host != first.Host {
		t.Errorf("with a key of cell scope and may have run: sent again to %d, want %d in the same cell", got.Host, first.Host)
	}
	got := r.endAttempt("a", first, 1, Failed, CacheStatusNone)
	if len(actionsOf[StartAttempt](got)) != 0 || len(actionsOf[Fail](got)) != 1 {
		t.Errorf("with a key of cell scope and no other cache in the cell: %v, want a failure", got)
	}
}

// A request whose key was sent by another director may only be sent to the same cell, within the
// deduplication window. After the window it fails.
func TestPriorAttemptBindsToDedupScope(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		send bool
	}{{100 * ms, true}, {time.Second, false}} {
		s := testSettings()
		s.Classes[0].Idempotency = IdempotentWithKey
		s.Classes[0].DedupScope = ScopeCell
		r := startRouter(t, s)
		first := actionsOf[StartAttempt](r.request("q", 7))
		if len(first) != 1 {
			t.Fatal(first)
		}
		cell := int(first[0].Host-100+1) % 3 // a cell other than that of the selected cache
		r.handle(PriorAttempt{Request: "q", Cell: cell, Age: c.age})
		next := r.endAttempt("q", first[0], 0, NotSent, CacheStatusNone)
		for try := 0; try < 20 && len(actionsOf[StartAttempt](next))+len(actionsOf[Fail](next)) == 0; try++ {
			r.now += 20 * ms
			for _, a := range actionsOf[SetTimer](r.actions) {
				next = append(next, r.handle(TimerFired{a.Timer})...)
			}
		}
		sent := actionsOf[StartAttempt](next)
		failed := actionsOf[Fail](next)
		if c.send && (len(sent) != 1 || sent[0].Host != HostID(100+cell)) {
			t.Errorf("after %v: sent %v, failed %v; the key is bound to host %d", c.age, sent, failed, 100+cell)
		}
		if !c.send && (len(sent) != 0 || len(failed) != 1 || len(actionsOf[Reject](next)) != 0) {
			t.Errorf("after %v: sent %v, failed %v", c.age, sent, failed)
		}
	}
}

func TestDirectorsOfZoneDivideRetryTokens(t *testing.T) {
	for _, n := range []int{1, 5, 40} {
		s := testSettings()
		s.DirectorsByZone = []int{0, n}
		r := startRouter(t, s)
		for i := range 400 {
			id := fmt.Sprint("q", i)
			r.endAttempt(id, r.onlyAttempt(r.request(id, ObjectID(i))), 0, OK, CacheStatusHit)
		}
		all := r.router.retryBudget.tokens * float64(n)
		if most := float64(max(zoneRetryTokens, minRetryTokens*n)); all > most {
			t.Errorf("%d directors may spend %v tokens at once, want at most %v", n, all, most)
		}
	}
}
