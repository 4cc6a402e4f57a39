package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestUnansweredAttemptsEjectWithoutHedging(t *testing.T) {
	r := startRouter(t, testSettings())
	first := r.onlyAttempt(r.request("a", 1))
	r.now += 300 * ms
	for range maxUnansweredOverdue {
		if got := actionsOf[StartAttempt](r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})); len(got) != 0 {
			t.Errorf("attempts %v, want no hedged request", got)
		}
	}
	if r.router.isHealthy(r.router.endpoints.byID[first.Host]) {
		t.Error("a cache with two unanswered attempts is still used")
	}
}

func TestUnresponsiveCacheIsEjectedThenOnProbation(t *testing.T) {
	r := startRouter(t, testSettings())
	h := r.router.endpoints.caches[0]
	for i := range maxUnansweredOverdue {
		q := &request{Request: Request{ID: RequestID(fmt.Sprint(i))}}
		r.router.handleOverdue(&attempt{request: q, cache: h, source: r.router.endpoints.origin, sentAt: r.now})
	}
	if r.router.isHealthy(h) {
		t.Fatal("an unresponsive cache is still used")
	}
	r.router.eject(r.router.endpoints.caches[1])
	if !r.router.isHealthy(r.router.endpoints.caches[1]) {
		t.Error("more than maxEjectedShare of the caches were ejected")
	}
	r.now = h.health.ejectedUntil
	r.router.Handle(r.now, PeerMessage{})
	if !r.router.isHealthy(h) {
		t.Error("the ejection does not end")
	}
	h.attemptsInFlight = 1
	if r.router.isHealthy(h) {
		t.Error("more than one attempt at a time during probation")
	}
}

// A cache whose answers take the typical time has only lost some of them. Ejecting it would lose the
// use of its cached objects.
func TestSlowCacheIsEjectedLossyOneIsNot(t *testing.T) {
	for _, slow := range []bool{true, false} {
		r := startRouter(t, testSettings())
		r.router.estimates.overhead = overheadEstimate{mean: 0.05, deviation: 0.04}
		h := r.router.endpoints.byID[r.onlyAttempt(r.request("a", 1)).Host]
		h.overhead = 0.05 + 0.5*indicator(slow)
		r.now += ms
		h.lastAnswerAt = r.now
		for _, p := range r.router.endpoints.parents {
			p.lastAnswerAt = r.now
		}
		for range 10 {
			r.handle(TimerFired{Timer{Kind: TimerAttemptOverdue, Request: "a"}})
		}
		if r.router.isHealthy(h) == slow {
			t.Errorf("slow %t: healthy %t, want the opposite", slow, !slow)
		}
	}
}

// Guards against two failing hosts that mask each other, as they would if a host was compared with
// the mean of its peers.
func TestTwoFailingParentsOfFourAreEjected(t *testing.T) {
	r := startRouter(t, testSettings())
	more := testEndpoints()
	for i := range 2 {
		more = append(more, Endpoint{Host: HostID(502 + i), Zone: "hub", Kind: "parent", Readiness: Ready, Weight: 1})
	}
	r.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: more})
	for range 3 {
		r.router.recordOutcome(r.router.endpoints.parents[0], true)
		r.router.recordOutcome(r.router.endpoints.parents[1], true)
	}
	for i, p := range r.router.endpoints.parents {
		if ejected := r.now < p.health.ejectedUntil; ejected != (i < 2) {
			t.Errorf("parent %d ejected: %v", i, ejected)
		}
	}
	r = startRouter(t, testSettings())
	for range 9 {
		for _, p := range r.router.endpoints.parents { // no host fails more than its peers
			r.router.recordOutcome(p, true)
		}
	}
	if slices.ContainsFunc(r.router.endpoints.parents, func(p *host) bool { return r.now < p.health.ejectedUntil }) {
		t.Error("ejected although all peers fail as well")
	}
}

// Guards against attributing the rejections of a failing parent to the cache or to the limits if
// answers report only hits.
func TestLateRejectionCountsAgainstSource(t *testing.T) {
	for elapsed, isSources := range map[time.Duration]bool{2 * ms: false, 150 * ms: true} {
		s := testSettings()
		s.CacheStatusMode = CacheStatusModeHits
		r := startRouter(t, s)
		a := r.onlyAttempt(r.request("a", 1))
		cache := r.router.endpoints.byID[a.Host]
		source := r.router.endpoints.byID[a.Source]
		source.health.failureShare = 0.4
		r.now += elapsed
		r.handle(AttemptResult{Request: "a", Host: a.Host, Status: Full, Elapsed: elapsed})
		if (cache.health.failureShare == 0) != isSources {
			t.Errorf("after %v: the cache's failure share is %v", elapsed, cache.health.failureShare)
		}
		if r.router.limits.fetches.lateShare > 0 {
			t.Errorf("after %v: a rejection by the only failing parent counts against the limit on fetches", elapsed)
		}
	}
}

// Aggregated failures affect the selection of the source, and the ejection after a failure that this
// director sees itself. They do not eject a host on their own.
func TestAggregatedHealth(t *testing.T) {
	r := startRouter(t, testSettings())
	suspect := r.router.endpoints.parents[0]
	r.handle(AggregatedHealth{Host: suspect.Host, FailureShare: 0.6})
	if !r.router.isHealthy(suspect) || suspect.health.failureShare != 0 {
		t.Error("aggregated health alone ejected a parent")
	}
	drawn := func() (n int) {
		for i := range 200 {
			q := &request{Request: Request{Object: ObjectID(i)}, key: fillKey{object: ObjectID(i)}}
			n += int(indicator(r.router.pickSource(q) == suspect))
		}
		return n
	}
	if n := drawn(); n > 0 {
		t.Errorf("a parent with aggregated failures was selected %d times in 200 although there are others", n)
	}
	r.router.recordOutcome(suspect, true)
	if r.router.isHealthy(suspect) {
		t.Error("a parent with aggregated failures was not ejected after a failure at this director")
	}
	r = startRouter(t, testSettings())
	suspect = r.router.endpoints.parents[0]
	r.handle(AggregatedHealth{Host: suspect.Host, FailureShare: 0.6})
	for _, p := range r.router.endpoints.parents[1:] {
		p.isReady = false
	}
	if drawn() != 200 {
		t.Error("the only parent is not used")
	}
	for _, p := range r.router.endpoints.parents[1:] {
		p.isReady = true
		p.health.failureShare = 0.3
	}
	if r.router.recordOutcome(suspect, true); !r.router.isHealthy(suspect) {
		t.Error("ejected although all peers fail as well")
	}
	r.handle(AggregatedHealth{Host: suspect.Host})
	if drawn() == 0 {
		t.Error("the parent is never selected although its aggregated failures are gone")
	}
	restarted := testEndpoints()
	for i := range restarted {
		restarted[i].StartedAt = r.now
	}
	r.handle(AggregatedHealth{Host: suspect.Host, FailureShare: 0.6})
	r.handle(EndpointUpdate{Kind: UpdateSnapshot, Version: 9, Endpoints: restarted})
	if r.router.endpoints.byID[suspect.Host].health.aggregatedFailures != 0 {
		t.Error("a restarted host kept the aggregated failures of the previous process")
	}
}

func TestHostOutcomesSinceLastCall(t *testing.T) {
	r := startRouter(t, testSettings())
	h := r.router.endpoints.caches[0]
	for i := range 5 {
		r.router.recordOutcome(h, i == 0)
	}
	for want := 5.0; want >= 0; want -= 5 {
		outcomes := 0.0
		failures := 0.0
		r.router.HostOutcomes(func(id HostID, n, failed, _ float64) {
			if id == h.Host {
				outcomes = n
				failures = failed
			}
		})
		if outcomes != want || failures != min(1, want) {
			t.Errorf("%v failures of %v outcomes, want %v outcomes", failures, outcomes, want)
		}
	}
}
