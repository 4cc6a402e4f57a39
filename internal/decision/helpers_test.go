package decision

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a fictitious deployment. Tests modify them as needed.
func testSettings() Settings {
	return Settings{
		Zone: "west", Zones: []string{"hub", "west"}, Directors: 2, DirectorsByZone: []int{0, 2},
		Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2, FlowKBPerS: 1000,
		Classes: []Class{{
			Name: "clip", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 4 * time.Second,
			Idempotency: Idempotent, DedupWindow: time.Second,
		}},
		WeightMode: WeightModeOff, CacheStatusMode: CacheStatusModeAll,
		JoinsFills: true, Cancel: true, HedgedRequests: true,
		MaxAttempts: 6, MaxRetryAfter: 700 * ms, AnswerGrace: 8 * ms,
		DrainGrace: 250 * ms, PurgeGrace: 300 * ms, PurgeDone: 5 * time.Second,
		CacheSlowStart:  SlowStart{InitialShare: 0.2, WarmUp: 10 * time.Second, OverloadFactor: 2, Window: time.Second},
		ParentSlowStart: SlowStart{InitialShare: 0.1, WarmUp: 20 * time.Second, OverloadFactor: 2, Window: time.Second},
	}
}

// testEndpoints returns three caches of the own zone, two parents and the origin.
func testEndpoints() []Endpoint {
	out := []Endpoint{{Host: 900, Zone: "hub", Kind: "origin"}}
	for i := range 3 {
		out = append(out, Endpoint{Host: HostID(100 + i), Zone: "west", Kind: "cache", Cell: i})
	}
	for i := range 2 {
		out = append(out, Endpoint{Host: HostID(500 + i), Zone: "hub", Kind: "parent"})
	}
	for i := range out {
		out[i].Readiness = Ready
		out[i].Weight = 1
	}
	return out
}

// testRouter drives one Router and records its actions.
type testRouter struct {
	t       *testing.T
	router  *Router
	now     time.Duration
	actions []Action
}

// startRouter starts a Router and passes it testEndpoints.
func startRouter(t *testing.T, s Settings) *testRouter {
	r := &testRouter{t: t, router: NewRouter(s, 7), now: time.Hour}
	r.actions = r.router.Start(r.now)
	r.handle(EndpointUpdate{Kind: UpdateCached, Endpoints: testEndpoints()})
	return r
}

// handle passes an event to the Router.
func (r *testRouter) handle(ev Event) []Action {
	actions := r.router.Handle(r.now, ev)
	r.actions = append(r.actions, actions...)
	return actions
}

// request passes the arrival of a request to the Router.
func (r *testRouter) request(id string, object ObjectID) []Action {
	return r.handle(Request{ID: RequestID(id), Object: object, Class: "clip", SizeKB: 100, TimeLeft: 4 * time.Second})
}

// endAttempt passes the result of an attempt to the Router.
func (r *testRouter) endAttempt(id string, a StartAttempt, number int, status Status, cacheStatus CacheStatus) []Action {
	return r.handle(AttemptResult{
		Request: RequestID(id), Terminal: status == OK, Host: a.Host, Attempt: number, Status: status, CacheStatus: cacheStatus,
		Elapsed: 120 * ms, FirstByte: 20 * ms,
	})
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// onlyAttempt returns the only StartAttempt in actions. The test fails if there is not exactly one.
func (r *testRouter) onlyAttempt(actions []Action) StartAttempt {
	r.t.Helper()
	got := actionsOf[StartAttempt](actions)
	if len(got) != 1 {
		r.t.Fatalf("want one attempt, got %v", actions)
	}
	return got[0]
}

// exhaustedLimit returns a limit that allows no further request.
func exhaustedLimit() concurrencyLimit { return concurrencyLimit{limit: 1, inFlight: time.Second} }
