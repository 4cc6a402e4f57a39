package decision

import "testing"

func TestPurgeClosesFillAndBoundsAge(t *testing.T) {
	r := startRouter(t, testSettings())
	r.request("a", 1)
	r.now += 50 * ms
	r.handle(Purge{Object: 1, Age: 20 * ms})
	if len(r.router.fills) != 0 {
		t.Error("the fill opened before the purge is still open")
	}
	r.now += 100 * ms
	if got := r.onlyAttempt(r.request("b", 1)); got.MaxAge <= 0 || got.MaxAge > 120*ms {
		t.Errorf("maximum age %v, want above 0 and at most 120ms", got.MaxAge)
	}
	r.handle(Purge{ByGroup: true, Group: 0})
	if got := r.onlyAttempt(r.request("c", 1)); got.MaxAge <= 0 || got.MaxAge > ms {
		t.Errorf("maximum age %v right after a group purge, want above 0 and at most 1ms", got.MaxAge)
	}
}
