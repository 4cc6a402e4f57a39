package decision

import (
	"fmt"
	"testing"
	"time"
)

func TestLimitDecreasesIncreasesAndIsRemoved(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.estimates.meanSend[0] = 0.1
	l := &concurrencyLimit{inFlight: 2 * time.Second}
	q := &request{sendTime: 100 * ms}
	r.router.updateLimit(l, q, false)
	if l.limit != 0 {
		t.Error("a limit was introduced after one late request")
	}
	for range 5 {
		r.router.updateLimit(l, q, false)
	}
	low := l.limit
	if low <= 0 || low > float64(time.Second) {
		t.Fatalf("limit %v after six late requests with 2 s in flight", time.Duration(low))
	}
	r.router.updateLimit(l, q, true)
	if l.limit <= low {
		t.Error("a request in time did not increase the limit")
	}
	l.inFlight = 0
	for i := 0; l.limit > 0; i++ {
		if r.router.updateLimit(l, q, true); i > 200 {
			t.Fatal("the limit was never removed")
		}
	}
}

func TestLimitsByCacheStatus(t *testing.T) {
	late := func(r *testRouter, status CacheStatus) (fills, fetches, link float64) {
		a := r.onlyAttempt(r.request("a", 1))
		r.now += 2 * time.Second
		for _, p := range r.router.endpoints.parents {
			p.lastAnswerAt = r.now
		}
		r.handle(AttemptResult{Request: "a", Terminal: true, Host: a.Host, Status: OK, CacheStatus: status, Elapsed: 2 * time.Second})
		return r.router.limits.fills.lateShare, r.router.limits.fetches.lateShare, r.router.endpoints.byID[a.Host].limit.lateShare
	}
	for status, want := range map[CacheStatus][3]bool{
		CacheStatusHit: {false, false, true}, CacheStatusFilled: {true, false, false},
		CacheStatusFilledByOrigin: {false, true, false},
	} {
		fills, fetches, link := late(startRouter(t, testSettings()), status)
		if got := [3]bool{fills > 0, fetches > 0, link > 0}; got != want {
			t.Errorf("status %d: late share recorded for fills, fetches and the cache's link: %v, want %v", status, got, want)
		}
	}
}

// Guards against a limit on fetches that is adjusted only by failures and therefore never increases.
func TestFetchLimitIsRemovedIfOnlyHitsAreReported(t *testing.T) {
	s := testSettings()
	s.CacheStatusMode = CacheStatusModeHits
	r := startRouter(t, s)
	r.router.limits.fetches = exhaustedLimit()
	r.router.limits.fetches.limit = float64(10 * time.Second)
	r.router.limits.fetches.inFlight = 0
	for i := 0; r.router.limits.fetches.limit > 0; i++ {
		if i == 200 {
			t.Fatalf("still limited to %v after %d fetches in time", r.router.limits.fetches.limit, i)
		}
		id := fmt.Sprint("q", i)
		a := r.onlyAttempt(r.request(id, ObjectID(i)))
		again := r.onlyAttempt(r.endAttempt(id, a, 0, Miss, CacheStatusNone)) // the parents miss it too
		r.endAttempt(id, again, 1, OK, CacheStatusFilled)
	}
}

func TestLateCoalescedFetchChangesNoLimit(t *testing.T) {
	r := startRouter(t, testSettings())
	first := r.onlyAttempt(r.request("a", 1))
	r.request("b", 1) // joins the fill, so it counts against no shared limit
	r.handle(AttemptResult{
		Request: "b", Terminal: true, Host: first.Host, Status: OK, CacheStatus: CacheStatusFilledByOrigin,
		Elapsed: 3 * time.Second,
	})
	if r.router.limits.fetches.lateShare != 0 {
		t.Error("a late coalesced request changed the late share of the limit on fetches")
	}
}

func TestOneSilentParentDoesNotDecreaseFillLimit(t *testing.T) {
	for _, alone := range []bool{true, false} {
		r := startRouter(t, testSettings())
		a := r.onlyAttempt(r.request("a", 1))
		r.now += time.Second
		if alone {
			r.router.endpoints.byID[1001-a.Source].lastAnswerAt = r.now // the other of 500 and 501
		}
		r.handle(TimerFired{Timer{Kind: TimerObjectiveMissed, Request: "a"}})
		if got := r.router.limits.fills.lateShare > 0; got == alone {
			t.Errorf("only the source is silent %v: counted as late for the limit on fills %v", alone, got)
		}
	}
}

// Guards against rejecting all fills because they are late due to a slow origin.
func TestFillLimitDecreasesOnlyWhenLinkIsFull(t *testing.T) {
	for _, use := range []float64{0.3, 2} {
		r := startRouter(t, testSettings())
		for i := range 30 { // every answer carries a load report
			id := fmt.Sprint("q", i)
			a := r.onlyAttempt(r.request(id, ObjectID(i)))
			r.handle(AttemptResult{
				Request: RequestID(id), Terminal: true, Host: a.Host, Status: OK, CacheStatus: CacheStatusHit,
				Elapsed: 110 * ms, Load: &LoadReport{LinkUse: use, HasLinkUse: true},
			})
		}
		r.onlyAttempt(r.request("a", 1000))
		r.now += time.Second
		r.handle(TimerFired{Timer{Kind: TimerObjectiveMissed, Request: "a"}})
		if got := r.router.limits.fills.lateShare > 0; got != (use >= lateFillLinkUseThreshold) {
			t.Errorf("link use %v: counted as late for the limit on fills %v", use, got)
		}
		if r.router.limits.fetches.lateShare == 0 {
			t.Errorf("link use %v: not counted as late for the limit on fetches", use)
		}
	}
}

// Guards against limits that are never adjusted because overdue attempts are cancelled before they
// miss their objective.
func TestCancelledOverdueAttemptCountsAsLate(t *testing.T) {
	r := startRouter(t, testSettings())
	r.onlyAttempt(r.request("a", 1))
	r.router.endpoints.parents[0].lastAnswerAt = r.now
	r.now += 300 * ms // before the objective
	if cancelled := actionsOf[CancelAttempt](r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})); len(cancelled) != 1 {
		t.Fatalf("cancelled %v, want one", cancelled)
	}
	if r.router.limits.fetches.lateShare == 0 {
		t.Error("an overdue attempt that was cancelled does not count as late for the limit on fetches")
	}
}

func TestLimitStepsGrowWithDirectors(t *testing.T) {
	step := func(n int, inTime bool) float64 {
		s := testSettings()
		s.DirectorsByZone = []int{0, n}
		r := startRouter(t, s)
		r.router.estimates.meanSend[0] = 1
		l := &concurrencyLimit{limit: float64(time.Second), lateShare: 1}
		r.router.updateLimit(l, &request{sendTime: 100 * ms}, inTime)
		return l.limit - float64(time.Second)
	}
	for _, inTime := range []bool{true, false} {
		if one, nine := step(1, inTime), step(9, inTime); nine/one < 2.9 || nine/one > 3.1 {
			t.Errorf("in time %v: one of nine directors changes the limit by %v, a single director by %v", inTime, nine, one)
		}
	}
}

func TestLimitAllowsOneAfterManyLate(t *testing.T) {
	r := startRouter(t, testSettings())
	l := &concurrencyLimit{inFlight: time.Second}
	q := &request{sendTime: 100 * ms}
	for range 100 {
		r.router.updateLimit(l, q, false)
	}
	if l.limit < float64(q.sendTime) {
		t.Errorf("limit %v is below the sending time of one request", time.Duration(l.limit))
	}
}

func TestLateHitsLimitCache(t *testing.T) {
	r := startRouter(t, testSettings())
	h := r.router.endpoints.byID[r.onlyAttempt(r.request("a", 1)).Host]
	q := &request{sendTime: 100 * ms}
	for range 12 {
		r.router.updateLimit(&h.limit, q, false) // late hits
	}
	h.limit.inFlight = time.Second
	r.router.fills = fillTable{}
	if got := r.onlyAttempt(r.request("b", 1)); got.Host == h.Host {
		t.Error("another request was sent to a cache whose hits are late")
	}
}
