package decision

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

func TestPlacementMovesOnlyObjectsOfRemovedCache(t *testing.T) {
	r := startRouter(t, testSettings())
	pick := func() (out []HostID) {
		for i := range 300 {
			out = append(out, r.router.pickCache(&request{key: fillKey{object: ObjectID(i)}, objectiveAt: time.Hour * 2}).Host)
		}
		return out
	}
	before := pick()
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Host: 101, Zone: "west", Kind: "cache", Readiness: Gone}}})
	moved := 0
	for i, h := range pick() {
		if h == 101 || h != before[i] && before[i] != 101 {
			t.Fatalf("object %d moved from %d to %d", i, before[i], h)
		}
		if h != before[i] {
			moved++
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("%d of 300 objects moved", moved)
	}
}

func TestCrowdedCacheIsSkipped(t *testing.T) {
	r := startRouter(t, testSettings())
	first := r.onlyAttempt(r.request("a", 1))
	r.router.endpoints.byID[first.Host].attemptsInFlight = 40
	r.router.fills = fillTable{}
	if got := r.onlyAttempt(r.request("b", 1)); got.Host == first.Host {
		t.Error("another request was sent to a crowded cache")
	}
}

func TestCrowdedAllowsForChanceAmongManyDirectors(t *testing.T) {
	s := testSettings()
	for _, directors := range []int{1, 9} {
		s.DirectorsByZone = []int{0, directors}
		r := startRouter(t, s)
		for i, attempts := range []int{5, 2, 2} {
			r.router.endpoints.caches[i].attemptsInFlight = attempts
		}
		if got := r.router.isCrowded(r.router.endpoints.caches[0]); got != (directors == 1) {
			t.Errorf("5 of 9 attempts in flight at one of three caches, %d directors: crowded %v", directors, got)
		}
	}
}

func TestSourceIsFasterParent(t *testing.T) {
	r := startRouter(t, testSettings())
	for _, h := range []HostID{500, 501} {
		p := r.router.endpoints.byID[h]
		p.asSource.firstByte = float64(h-499) * 0.1
		p.asSource.sampledAt = r.now
	}
	if got := r.onlyAttempt(r.request("a", 1)); got.Source != 500 {
		t.Errorf("source %d, want 500, the faster one", got.Source)
	}
	r.router.endpoints.byID[500].asSource.fillOverhead = 0.5 // its link is full: the first byte is fast, the rest is slow
	if got := r.onlyAttempt(r.request("b", 2)); got.Source != 501 {
		t.Errorf("source %d, want 501, because the link of 500 is full", got.Source)
	}
	for _, h := range []HostID{500, 501} {
		r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{Host: h, Zone: "hub", Kind: "parent", Readiness: Draining}}})
	}
	if got := r.onlyAttempt(r.request("c", 3)); got.Source != 900 {
		t.Errorf("source %d, want the origin with both parents draining", got.Source)
	}
}

// Guards against a fetch of the same object from the origin by every parent after a purge or the
// loss of a parent.
func TestDirectorsDrawSameParentsForLikelyMisses(t *testing.T) {
	sources := func(seed uint64, prepare func(*Router)) (out []HostID) {
		r := &testRouter{t: t, router: NewRouter(testSettings(), seed), now: time.Hour}
		r.router.Start(r.now)
		list := testEndpoints()
		for i := range 6 {
			list = append(list, Endpoint{Host: HostID(510 + i), Zone: "hub", Kind: "parent", Readiness: Ready})
		}
		r.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: list})
		prepare(r.router)
		for i := range 40 {
			out = append(out, r.onlyAttempt(r.request(fmt.Sprint(i), ObjectID(i))).Source)
		}
		return out
	}
	for name, prepare := range map[string]func(*Router){
		"purged":        func(r *Router) { r.Handle(r.now, Purge{ByGroup: true}) },
		"mostly misses": func(r *Router) { r.estimates.fetchShare = 0.9 },
		"parent out":    func(r *Router) { r.endpoints.parents[3].isReady = false },
	} {
		if !slices.Equal(sources(1, prepare), sources(2, prepare)) {
			t.Errorf("%s: two directors selected different parents", name)
		}
	}
	unchanged := func(*Router) {}
	if slices.Equal(sources(1, unchanged), sources(2, unchanged)) {
		t.Error("parents are not selected at random when they are likely to have the object")
	}
}

func TestCacheOnlyLookupWhileFillsAreLimited(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.limits.fills = exhaustedLimit()
	lookup := r.onlyAttempt(r.request("a", 1))
	if lookup.Source != lookup.Host {
		t.Fatalf("source %d, want a cache-only lookup at %d", lookup.Source, lookup.Host)
	}
	if got := r.endAttempt("a", lookup, 0, Miss, CacheStatusNone); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("known miss without capacity: %v, want a rejection at once", got)
	}
	r.router.limits.fills.inFlight = 0
	r.router.retryBudget.tokens = 0
	lookup = r.onlyAttempt(r.request("b", 1))
	if got := r.onlyAttempt(r.endAttempt("b", lookup, 0, Miss, CacheStatusNone)); got.Host != lookup.Host || got.Source == lookup.Host {
		t.Errorf("known miss with capacity: %+v, want a fill at %d without a retry token", got, lookup.Host)
	}
}

// A lookup counts against the slow start budget like any other attempt. Guards against lookups that
// use up the budget before fills are sent.
func TestNoLookupInSlowStartWhileLimitsAllowFill(t *testing.T) {
	for _, hasCapacity := range []bool{true, false} {
		r := startRouter(t, testSettings())
		r.router.load.peakServed = 1000
		for _, h := range r.router.endpoints.caches {
			h.StartedAt = r.now
		}
		r.router.limits.fills = concurrencyLimit{limit: float64(time.Second)}
		r.router.limits.fetches = concurrencyLimit{limit: float64(time.Second)}
		if !hasCapacity {
			r.router.limits.fetches = exhaustedLimit()
		}
		if a := r.onlyAttempt(r.request("a", 1)); (a.Source == a.Host) == hasCapacity {
			t.Errorf("capacity %v: cache %d, source %d", hasCapacity, a.Host, a.Source)
		}
	}
}

// A lookup must return immediately even if it could join a fill that hangs.
func TestCacheOnlyLookupJoinsNoFill(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.limits.fills = exhaustedLimit()
	if lookup := r.onlyAttempt(r.request("a", 1)); lookup.Options&JoinFill != 0 {
		t.Errorf("options %d of a lookup contain JoinFill", lookup.Options)
	}
}

func TestSourceCachedOnlyWhileFetchesAreLimited(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.limits.fetches = exhaustedLimit()
	first := r.onlyAttempt(r.request("a", 1))
	if first.Options&SourceCachedOnly == 0 {
		t.Fatalf("options %d, want SourceCachedOnly", first.Options)
	}
	if got := r.endAttempt("a", first, 0, Miss, CacheStatusSourceMissing); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("known miss without capacity: %v, want a rejection at once", got)
	}
	r.router.limits.fetches.inFlight = 0
	second := r.onlyAttempt(r.request("b", 2))
	if got := r.onlyAttempt(r.endAttempt("b", second, 0, Miss, CacheStatusSourceMissing)); got.Options&SourceCachedOnly != 0 {
		t.Error("the fetch was not sent although the limit has capacity")
	}
}

// A request whose deadline is too short for a fill gets a cache-only lookup or a rejection. Its
// timeout is no sign of overload and must not affect the limits.
func TestShortDeadlineGetsLookupAndChangesNoLimit(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.estimates.overhead.mean = 0.05
	shortDeadline := func(id string) StartAttempt {
		return r.onlyAttempt(r.handle(Request{ID: RequestID(id), Object: 1, Class: "clip", SizeKB: 100, TimeLeft: 120 * ms}))
	}
	lookup := shortDeadline("a")
	if lookup.Source != lookup.Host {
		t.Fatalf("%+v, want a cache-only lookup", lookup)
	}
	if got := r.endAttempt("a", lookup, 0, Miss, CacheStatusNone); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("no time for a fill: %v, want a rejection at once", got)
	}
	r.router.estimates.overhead.mean = 0
	for i := range 20 {
		id := strconv.Itoa(i)
		a := shortDeadline(id)
		r.handle(AttemptResult{Request: RequestID(id), Host: a.Host, Status: TimedOut, Elapsed: 120 * ms})
	}
	if r.router.limits.fills.limit > 0 || r.router.limits.fetches.limit > 0 {
		t.Errorf("limits on fills %+v and fetches %+v, want none", r.router.limits.fills, r.router.limits.fetches)
	}
}
