package routing

import (
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Guards against a replaced host that comes back although its process has not, or that does not come back when it has.
func TestReplacedHostComesBackWithItsProcess(t *testing.T) {
	newcomer := testEndpoint("b", decision.Ready)
	newcomer.Address = "a"
	old := testEndpoint("a", decision.Ready)
	restarted := old
	restarted.StartedAt = time.Hour
	moved := old
	moved.Address = "elsewhere"
	gone := newcomer
	gone.Readiness = decision.Gone
	for name, c := range map[string]struct {
		then          []Endpoint
		old, newcomer decision.Readiness
	}{
		"listed as before":       {[]Endpoint{old, newcomer}, decision.Gone, decision.Ready},
		"restarted":              {[]Endpoint{restarted}, decision.Ready, decision.Gone},
		"moved":                  {[]Endpoint{moved}, decision.Ready, decision.Ready},
		"the newcomer has gone":  {[]Endpoint{gone, old}, decision.Ready, decision.Gone},
		"only the newcomer left": {[]Endpoint{newcomer}, decision.Gone, decision.Ready},
	} {
		d, _, _ := newTestDirector(t, defaultLimits, "a")
		d.UpdateEndpoints(5, false, []Endpoint{newcomer})
		if got := d.byName["a"].Readiness; got != decision.Gone {
			t.Errorf("%s: the replaced host is %s", name, got)
		}
		d.byName["a"].readinessSince -= time.Hour
		d.runMaintenance()
		d.UpdateEndpoints(6, name == "listed as before", c.then)
		if a, b := d.byName["a"].Readiness, d.byName["b"].Readiness; a != c.old || b != c.newcomer {
			t.Errorf("%s: %s and %s, want %s and %s", name, a, b, c.old, c.newcomer)
		}
	}
}
