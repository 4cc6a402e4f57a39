package decision

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowStartBudgetOfOneCache(t *testing.T) {
	s := testSettings()
	r := startRouter(t, s)
	fresh := testEndpoints()[1]
	fresh.StartedAt = r.now - 100*ms
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{fresh}})
	const served = 3.0 // seconds of sending time per second
	r.router.load.peakServed = served
	spent := 0.0
	for i := range 200 {
		r.now += 5 * ms
		r.router.load.peakServed = served
		r.request(fmt.Sprint("q", i), ObjectID(i))
	}
	for _, a := range actionsOf[StartAttempt](r.actions) {
		if a.Host == fresh.Host {
			spent += 0.1
		}
	}
	// Within one second the share rises to at most 0.3. The capacity of the cache is assumed to be a
	// third of the served load.
	if limit := s.CacheSlowStart.OverloadFactor * 0.3 * served / 3; spent == 0 || spent > limit {
		t.Errorf("sent %.2f s of sending time to the restarted cache, want more than 0 and at most %.2f", spent, limit)
	}
}

func TestSlowStartBudgetsOfAllCaches(t *testing.T) {
	s := testSettings()
	r := startRouter(t, s)
	var restarted []Endpoint
	for _, e := range testEndpoints() {
		if e.Kind == "cache" {
			e.StartedAt = r.now
			restarted = append(restarted, e)
		}
	}
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: restarted})
	const served = 6.0
	sent := map[HostID]float64{}
	for i := range 200 {
		r.now += 5 * ms
		r.router.load.peakServed = served
		for _, a := range actionsOf[StartAttempt](r.request(fmt.Sprint("q", i), ObjectID(i))) {
			sent[a.Host] += 0.1
		}
	}
	if len(sent) != len(restarted) {
		t.Errorf("%d of %d restarted caches were used", len(sent), len(restarted))
	}
	for h, work := range sent {
		if limit := s.CacheSlowStart.OverloadFactor * 0.3 * served / 3; work > limit {
			t.Errorf("sent %.2f s of sending time to the restarted cache %d, want at most %.2f", work, h, limit)
		}
	}
}

func TestSlowStartBudgetAfterRemovals(t *testing.T) {
	r := startRouter(t, testSettings())
	r.router.load.peakServed = 6
	q := &request{}
	rate := func() float64 {
		restarted := testEndpoints()[1]
		restarted.StartedAt = r.now
		r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{restarted}})
		budget, _ := r.router.slowStartBudget(r.router.endpoints.byID[restarted.Host], q)
		return budget.rate
	}
	before := rate()
	r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
		{Host: 101, Zone: "west", Kind: "cache", Readiness: Gone},
		{Host: 102, Zone: "west", Kind: "cache", Readiness: Gone},
	}})
	r.handle(TimerFired{Timer{Kind: TimerUpkeep}})
	r.router.load.peakServed = 6
	if after := rate(); len(r.router.endpoints.caches) != 1 || after > before {
		t.Errorf("%d caches remain: budget of %.2f s per second for a restarted one, %.2f before the others were removed",
			len(r.router.endpoints.caches), after, before)
	}
}

func TestKnownMissCountsFullyAtParentInSlowStart(t *testing.T) {
	spent := func(lookup bool) float64 {
		r := startRouter(t, testSettings())
		for _, h := range []HostID{500, 501} {
			r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{
				{Host: h, Zone: "hub", Kind: "parent", Readiness: Ready, StartedAt: r.now - 19*time.Second},
			}})
		}
		r.router.estimates.missShare = 0.1
		r.router.load.peakServed = 100
		r.now += 500 * ms
		if lookup {
			r.router.limits.fills = concurrencyLimit{limit: float64(time.Hour)}
		}
		a := r.onlyAttempt(r.request("a", 1))
		if lookup {
			a = r.onlyAttempt(r.endAttempt("a", a, 0, Miss, CacheStatusNone))
		}
		p := r.router.endpoints.byID[a.Source]
		full := p.slowStart.tokens
		r.router.spendSlowStart(p, r.router.requests["a"], -1)
		one := p.slowStart.tokens - full
		r.router.hasSlowStartCapacity(p, r.router.requests["a"])
		budget, _ := r.router.slowStartBudget(p, r.router.requests["a"])
		return (budget.rate*budget.rule.Window.Seconds()*slowStartBurst - full) / one
	}
	if got := spent(false); got < 0.14 || got > 0.16 {
		t.Errorf("an attempt that may be a hit spent %.2f of the cost of a fill, want the planned miss share, 0.15", got)
	}
	if got := spent(true); got < 0.99 || got > 1.01 {
		t.Errorf("a fill after a known miss spent %.2f of its cost, want 1", got)
	}
}

// Guards against budgets that are derived from the small load that one of many directors has served.
// Together the directors must use the budget of a host without exceeding it.
func TestDirectorsDivideNominalCapacity(t *testing.T) {
	for _, n := range []int{1, 8, 80} {
		s := testSettings()
		s.WeightMode = WeightModeNominal
		s.Directors = n
		s.DirectorsByZone = []int{0, n}
		for _, parent := range []bool{false, true} {
			rule := s.CacheSlowStart
			if parent {
				rule = s.ParentSlowStart
			}
			total := 0.0
			spent := 0.0
			for i := range n {
				r := &testRouter{t: t, router: NewRouter(s, uint64(i)), now: time.Hour}
				r.router.Start(r.now)
				list := testEndpoints()
				for j := range list {
					list[j].Weight = 6
				}
				r.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: list})
				q := &request{sendTime: 250 * ms}
				r.router.estimates.meanSend[0] = 0.25
				h := r.router.endpoints.caches[0]
				if parent {
					h = r.router.endpoints.parents[0]
				}
				h.StartedAt = r.now
				budget, ok := r.router.slowStartBudget(h, q)
				if !ok {
					t.Fatal("the host is not in slow start")
				}
				total += budget.rate
				if r.router.hasSlowStartCapacity(h, q) { // right after the restart
					spent += q.sendTime.Seconds()
				}
			}
			if want := slowStartSafety * rule.OverloadFactor * rule.InitialShare * 6; total < 0.99*want || total > 1.01*want {
				t.Errorf("%d directors, parent %v: sum of the budgets is %v, want %v", n, parent, total, want)
			}
			if most := rule.OverloadFactor * rule.InitialShare * 6 * rule.Window.Seconds(); n > 1 && spent > most {
				t.Errorf("%d directors, parent %v: %v s of sending time at once, want at most %v", n, parent, spent, most)
			}
		}
	}
}

// All directors learn of a restart at the same time. Guards against all of them sending their first
// attempt at the same time.
func TestInitialTokensAreSpreadOverDirectors(t *testing.T) {
	s := testSettings()
	s.WeightMode = WeightModeNominal
	s.Directors = 80
	s.DirectorsByZone = []int{0, 8}
	ready := 0
	for i := range s.Directors {
		r := &testRouter{t: t, router: NewRouter(s, uint64(i)), now: time.Hour}
		r.router.Start(r.now)
		r.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints()})
		again := Endpoint{Host: 500, Zone: "hub", Kind: "parent", Readiness: Ready, Weight: 6, StartedAt: r.now}
		r.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{again}})
		r.router.estimates.meanSend[0] = 0.25
		q := &request{sendTime: 250 * ms}
		r.router.hasSlowStartCapacity(r.router.endpoints.byID[500], q)
		r.router.now += 4 * time.Second // refills a third of the cost of an attempt
		ready += int(indicator(r.router.hasSlowStartCapacity(r.router.endpoints.byID[500], q)))
	}
	if ready < 12 || ready > 45 {
		t.Errorf("4 s after the update %d of 80 directors may send, want 12 to 45", ready)
	}
}

// Guards against each director using the complete budget if the settings do not specify how many
// directors serve the zone.
func TestUnknownDirectorsInZoneCountsAll(t *testing.T) {
	for _, x := range []struct {
		all    int
		byZone []int
		want   float64
	}{{80, nil, 80}, {80, []int{0}, 80}, {80, []int{0, 0}, 80}, {80, []int{0, 8}, 8}, {0, nil, 1}} {
		s := testSettings()
		s.Directors = x.all
		s.DirectorsByZone = x.byZone
		if got := startRouter(t, s).router.directorsInZone; got != x.want {
			t.Errorf("%+v: got %v directors in the zone", x, got)
		}
	}
}
