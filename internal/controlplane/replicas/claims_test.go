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

// twoLocations is two locations with two caches each, and the origin that they are filled from.
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

// executions is where the orders of lost directors were executed.
type executions struct {
	tokens int
	inBoth int      // tokens that were executed in both locations within the window
	which  []string // those tokens, with the times of both
}

// executions reads what the fake caches have recorded.
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
				if first, is := firstAt[attempt.Token][site]; !is || attempt.At.Before(first) {
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

// directorLoss kills directors with orders under way, and has their clients repeat the orders with
// the same tokens elsewhere.
type directorLoss struct {
	t         *testing.T
	cluster   *testharness.Cluster
	claims    string // the directors' settings of claims; empty: without
	rng       *rand.Rand
	directors map[string][]*testharness.Director // by location
}

func startDirectorLoss(t *testing.T, cluster *testharness.Cluster, locations *twoLocations, claims string, rng *rand.Rand) *directorLoss {
	t.Helper()
	l := &directorLoss{t: t, cluster: cluster, claims: claims, rng: rng, directors: map[string][]*testharness.Director{}}
	for _, site := range []string{"west", "east"} {
		for n := range 3 {
			l.directors[site] = append(l.directors[site], l.start(site, n))
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

func (l *directorLoss) start(site string, n int) *testharness.Director {
	l.t.Helper()
	d, err := l.cluster.StartDirector(fmt.Sprintf("%s%d", site, n), site, l.rng.IntN(len(l.cluster.Replicas)), l.claims)
	check(l.t, err)
	l.t.Cleanup(d.Kill)
	return d
}

func (l *directorLoss) awaitServing(d *testharness.Director) {
	l.t.Helper()
	for end := time.Now().Add(patience); ; {
		c, err := fakes.Connect(d.Addr)
		check(l.t, err)
		check(l.t, c.SendRequest("orders", 1, time.Second, "token", fmt.Sprintf("warm%x", l.rng.Uint64())))
		if c.Finish(2*time.Second).Served == 1 {
			return
		}
		if time.Now().After(end) {
			l.t.Fatalf("%s serves no order:\n%s", d.Name, d.Log())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// lose kills a director with orders under way, and returns how the repeated orders were answered:
// first by a director of the other location, then by another one of the same location.
func (l *directorLoss) lose(n int) fakes.Tally {
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
	atOther := l.repeat(l.directors[other][l.rng.IntN(3)], orders)
	atSame := l.repeat(l.directors[site][(i+1)%3], orders)
	if l.claims != "" && atSame.Served < len(orders) {
		l.t.Logf("%d of %d are not served where they had been sent: %+v", len(orders)-atSame.Served, len(orders), atSame)
	}
	l.directors[site][i] = l.start(site, i)
	l.awaitServing(l.directors[site][i])
	return addTallies(atOther, atSame)
}

// repeat sends orders again.
func (l *directorLoss) repeat(to *testharness.Director, orders map[string]uint64) fakes.Tally {
	l.t.Helper()
	c, err := fakes.Connect(to.Addr)
	check(l.t, err)
	for token, object := range orders {
		check(l.t, c.SendRequest("orders", object, 1500*time.Millisecond, "token", token))
	}
	return c.Finish(patience)
}

// checkReusedToken checks that a token which comes with another object is rejected: it is no
// repeat.
func (l *directorLoss) checkReusedToken() {
	l.t.Helper()
	c, err := fakes.Connect(l.directors["west"][0].Addr)
	check(l.t, err)
	for object := range uint64(2) {
		check(l.t, c.SendRequest("orders", object+1, 1500*time.Millisecond, "token", "twofold"))
		time.Sleep(100 * time.Millisecond)
	}
	if tally := c.Finish(patience); tally.Served != 1 || tally.Failed != 1 {
		l.t.Errorf("one token for two objects: %+v", tally)
	}
}

// Guards against an order that is executed in two locations: a director is killed with orders under
// way, and its clients repeat them with their tokens at a director of another location. Without
// claims some orders are executed in both; with claims none is, and each request gets one final
// answer.
func TestNoOrderRunsInTwoLocations(t *testing.T) {
	seed := uint64(fromEnv(seedVar, 1))
	losses := fromEnv("STAIRVANE_LOSSES", 4)
	t.Logf("%s=%d STAIRVANE_LOSSES=%d", seedVar, seed, losses)
	for _, claims := range []string{"", "(claims (listen 127.0.0.1:0) (unreached wait))"} {
		cluster := startGroup(t, 3, 0)
		locations := startTwoLocations(t, cluster)
		loss := startDirectorLoss(t, cluster, locations, claims, rand.New(rand.NewPCG(seed, 9)))
		var answers fakes.Tally
		for n := range losses {
			answers = addTallies(answers, loss.lose(n))
		}
		if claims != "" {
			loss.checkReusedToken()
		}
		executed := locations.executions(4 * time.Second)
		t.Logf("claims %q: %d of %d tokens ran in both locations; the repeated orders: %+v",
			claims, executed.inBoth, executed.tokens, answers)
		if answers.Lost+answers.Duplicated > 0 {
			t.Errorf("claims %q: not each request got one answer: %+v", claims, answers)
		}
		if claims == "" && executed.inBoth == 0 {
			t.Error("without claims none ran in both locations: the test shows nothing")
		}
		if claims != "" && answers.Served < answers.Sent/3 {
			t.Errorf("with claims hardly any repeated order is served: %+v", answers)
		}
		if claims != "" && executed.inBoth > 0 {
			t.Errorf("%d tokens ran in two locations: %v", executed.inBoth, executed.which)
		}
		cluster.Close()
	}
}
