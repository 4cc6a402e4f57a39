package decision

import (
	"testing"
)

func TestRequestIsRejectedWhenAllCachesAreFull(t *testing.T) {
	r := startRouter(t, testSettings())
	for _, h := range r.router.endpoints.caches {
		h.limit = exhaustedLimit()
	}
	rejected := actionsOf[Reject](r.request("a", 1))
	// The objective is 400 ms plus twice the sending time of 100 ms, that is, 600 ms. Less the sending
	// time, 500 ms remain, and Retry-After is half of that, 250 ms.
	if len(rejected) != 1 || rejected[0].RetryAfter != 250*ms {
		t.Errorf("got %v, want one rejection with Retry-After 250ms", rejected)
	}
}

func TestNoEndpointsRejects(t *testing.T) {
	r := &testRouter{t: t, router: NewRouter(testSettings(), 1), now: 0}
	r.router.Start(0)
	r.handle(EndpointUpdate{Kind: UpdateCached})
	if got := actionsOf[Reject](r.request("a", 1)); len(got) != 1 {
		t.Errorf("no endpoints: %v, want one rejection", r.actions)
	}
}
