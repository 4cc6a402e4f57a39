package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// twoLocations is a fleet of two locations with two caches each, which fetch from one origin.
type twoLocations struct {
	caches map[string][]*fakes.Cache // by location
}

func startTwoLocations(t *testing.T, cluster *testharness.Cluster) *twoLocations {
	t.Helper()
	l := &twoLocations{caches: map[string][]*fakes.Cache{}}
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS = 0
	rules.Parent.WarmUpMS = 0
	desired := fleet.DesiredState{Rules: rules}
	start := func(host fleet.HostSpec) {
		cache, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(cache.Close)
		l.caches[host.Site] = append(l.caches[host.Site], cache)
		host.Address = cache.Addr()
		desired.Hosts = append(desired.Hosts, host)
	}
	start(fleet.HostSpec{Name: "store", Role: fleet.Origin, Site: "hub", Class: "origin", Share: 40})
	for _, site := range []string{"west", "east"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", site, i)
			start(fleet.HostSpec{Name: name, Role: fleet.Cache, Site: site, Class: "std", Share: 4, Running: true})
		}
		desired.Locations = append(desired.Locations, fleet.Location{Name: site, Floor: 1, Load: 1, Sources: []string{"store"}})
	}
	desired.Normalize()
	awaitApply(t, cluster, submitPlan(t, cluster, desired))
	return l
}

// executions counts the tokens of the executed orders.
type executions struct {
	tokens int
	inBoth int      // number of tokens executed in both locations within the window
	which  []string // those tokens, with both execution times
}

// executions returns the executions that the fake caches have recorded.
func (l *twoLocations) executions(window time.Duration) (e executions) {
	firstAt := map[string]map[string]time.Time{} // by token and location
	for _, site := range []string{"west", "east"} {
		for _, cache := range l.caches[site] {
			for _, attempt := range cache.Attempts() {
				if attempt.Token == "" {
					continue
				}
				if firstAt[attempt.Token] == nil {
					firstAt[attempt.Token] = map[string]time.Time{}
				}
				if first, ok := firstAt[attempt.Token][site]; !ok || attempt.At.Before(first) {
					firstAt[attempt.Token][site] = attempt.At
				}
			}
		}
	}
	e.tokens = len(firstAt)
	for token, sites := range firstAt {
		west, east := sites["west"], sites["east"]
		if !west.IsZero() && !east.IsZero() && west.Sub(east).Abs() < window {
			e.inBoth++
			e.which = append(e.which, fmt.Sprintf("%s west %s, east %v later", token, west.Format("15:04:05.000"), east.Sub(west)))
		}
	}
	return e
}

// directorLoss kills directors with orders in flight, and retries the orders with the same tokens at
// other directors.
type directorLoss struct {
	t         *testing.T
	cluster   *testharness.Cluster
	claims    string // form of the directors' claim settings; empty: no claims
	rng       *rand.Rand
	directors map[string][]*testharness.Director // by location
}

func startDirectorLoss(t *testing.T, cluster *testharness.Cluster, locations *twoLocations, claims string, rng *rand.Rand) *directorLoss {
	t.Helper()
	l := &directorLoss{t: t, cluster: cluster, claims: claims, rng: rng, directors: map[string][]*testharness.Director{}}
	for _, site := range []string{"west", "east"} {
		for n := range 3 {
			l.directors[site] = append(l.directors[site], l.startDirector(site, n))
		}
	}
	for _, site := range []string{"west", "east"} {
		for _, d := range l.directors[site] {
			l.awaitServing(d)
		}
		for _, cache := range locations.caches[site] {
			cache.SetDelay(30 * time.Millisecond)
		}
	}
	return l
}

func (l *directorLoss) startDirector(site string, n int) *testharness.Director {
	l.t.Helper()
	d, err := l.cluster.StartDirector(fmt.Sprintf("%s%d", site, n), site, l.rng.IntN(len(l.cluster.Replicas)), l.claims)
	check(l.t, err)
	l.t.Cleanup(d.Kill)
	return d
}

func (l *directorLoss) awaitServing(d *testharness.Director) {
	l.t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		c, err := fakes.Connect(d.Addr)
		check(l.t, err)
		check(l.t, c.SendRequest("orders", 1, time.Second, "token", fmt.Sprintf("warm%x", l.rng.Uint64())))
		if c.Finish(2*time.Second).Served == 1 {
			return
		}
		if time.Now().After(end) {
			l.t.Fatalf("%s serves no orders:\n%s", d.Name, d.Log())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// killDirector kills a director with orders in flight, and retries the orders, first at a director of
// the other location, then at another director of the same location. It returns the tally of the
// retries.
func (l *directorLoss) killDirector(n int) fakes.Tally {
	l.t.Helper()
	site, other := "west", "east"
	if l.rng.IntN(2) == 0 {
		site, other = other, site
	}
	i := l.rng.IntN(3)
	lost := l.directors[site][i]
	c, err := fakes.Connect(lost.Addr)
	check(l.t, err)
	orders := map[string]uint64{} // object by token
	for k := range 8 {
		token := fmt.Sprintf("t%dx%dx%x", n, k, l.rng.Uint32())
		orders[token] = l.rng.Uint64()
		if c.SendRequest("orders", orders[token], 5*time.Second, "token", token) != nil {
			break
		}
		time.Sleep(time.Duration(l.rng.IntN(4)) * time.Millisecond)
	}
	lost.Kill()
	c.Finish(time.Second)
	atOther := l.retryOrders(l.directors[other][l.rng.IntN(3)], orders)
	atSame := l.retryOrders(l.directors[site][(i+1)%3], orders)
	if l.claims != "" && atSame.Served < len(orders) {
		l.t.Logf("%d of %d orders were not served by a retry in the original location: %+v", len(orders)-atSame.Served, len(orders), atSame)
	}
	l.directors[site][i] = l.startDirector(site, i)
	l.awaitServing(l.directors[site][i])
	return addTallies(atOther, atSame)
}

// retryOrders sends orders again, with the same tokens.
func (l *directorLoss) retryOrders(to *testharness.Director, orders map[string]uint64) fakes.Tally {
	l.t.Helper()
	c, err := fakes.Connect(to.Addr)
	check(l.t, err)
	for token, object := range orders {
		check(l.t, c.SendRequest("orders", object, 1500*time.Millisecond, "token", token))
	}
	return c.Finish(waitTimeout)
}

// checkReusedToken checks that a request with a used token and another object is rejected, because it
// is not a retry.
func (l *directorLoss) checkReusedToken() {
	l.t.Helper()
	c, err := fakes.Connect(l.directors["west"][0].Addr)
	check(l.t, err)
	for object := range uint64(2) {
		check(l.t, c.SendRequest("orders", object+1, 1500*time.Millisecond, "token", "twofold"))
		time.Sleep(100 * time.Millisecond)
	}
	if tally := c.Finish(waitTimeout); tally.Served != 1 || tally.Failed != 1 {
		l.t.Errorf("one token for two objects: %+v", tally)
	}
}

// TestNoOrderRunsInTwoLocations guards against an order that is executed in two locations: a
// director is killed with orders in flight, and its clients retry them with the same tokens at a
// director of another location. Without claims, some orders are executed in both locations. With
// claims, none may be, and each request must get one final response.
func TestNoOrderRunsInTwoLocations(t *testing.T) {
	seed := uint64(envInt(seedVar, 1))
	losses := envInt("STAIRVANE_LOSSES", 4)
	t.Logf("%s=%d STAIRVANE_LOSSES=%d", seedVar, seed, losses)
	for _, claims := range []string{"", "(claims (listen 127.0.0.1:0) (unreached wait))"} {
		cluster := startGroup(t, 3, 0)
		locations := startTwoLocations(t, cluster)
		loss := startDirectorLoss(t, cluster, locations, claims, rand.New(rand.NewPCG(seed, 9)))
		var answers fakes.Tally
		for n := range losses {
			answers = addTallies(answers, loss.killDirector(n))
		}
		if claims != "" {
			loss.checkReusedToken()
		}
		executed := locations.executions(4 * time.Second)
		t.Logf("claims %q: %d of %d tokens were executed in both locations; the retries: %+v",
			claims, executed.inBoth, executed.tokens, answers)
		if answers.Lost+answers.Duplicated > 0 {
			t.Errorf("claims %q: not every request got exactly one response: %+v", claims, answers)
		}
		if claims == "" && executed.inBoth == 0 {
			t.Error("without claims no order was executed in both locations: the test can't detect the fault")
		}
		if claims != "" && answers.Served < answers.Sent/3 {
			t.Errorf("with claims too few retries were served: %+v", answers)
		}
		if claims != "" && executed.inBoth > 0 {
			t.Errorf("%d tokens were executed in both locations: %v", executed.inBoth, executed.which)
		}
		cluster.Close()
	}
}
