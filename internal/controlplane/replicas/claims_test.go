package replicas_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// depots are two locations with two caches each, and what they are filled from.
type depots struct {
	boxes map[string][]*fakes.Cache // by location
}

func startDepots(t *testing.T, s *testharness.Cluster) *depots {
	t.Helper()
	d := &depots{boxes: map[string][]*fakes.Cache{}}
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS, rules.Parent.WarmUpMS = 0, 0
	w := fleet.DesiredState{Rules: rules}
	box := func(role fleet.Role, name, site, class string, share float64) {
		c, err := fakes.NewCache("127.0.0.1:0")
		check(t, err)
		t.Cleanup(c.Close)
		d.boxes[site] = append(d.boxes[site], c)
		w.Hosts = append(w.Hosts, fleet.HostSpec{Name: name, Role: role, Address: c.Addr(), Site: site, Class: class, Share: share, Running: role == fleet.Cache})
	}
	box(fleet.Origin, "store", "hub", "origin", 40)
	for _, site := range []string{"west", "east"} {
		for i := range 2 {
			box(fleet.Cache, fmt.Sprintf("%s-%d", site, i), site, "std", 4)
		}
		w.Locations = append(w.Locations, fleet.Location{Name: site, Floor: 1, Load: 1, Sources: []string{"store"}})
	}
	w.Normalize()
	applied(t, s, carryOut(t, s, w))
	return d
}

// twice counts the tokens that ran in both locations within their window, as the stand-ins have noted.
// For each of them it says when, so that a failing seed tells more than that it fails.
func (d *depots) twice(window time.Duration) (tokens, both int, which []string) {
	at := map[string]map[string]time.Time{}
	for _, site := range []string{"west", "east"} {
		for _, b := range d.boxes[site] {
			for _, o := range b.Attempts() {
				if o.Token == "" {
					continue
				}
				if at[o.Token] == nil {
					at[o.Token] = map[string]time.Time{}
				}
				if first, is := at[o.Token][site]; !is || o.At.Before(first) {
					at[o.Token][site] = o.At
				}
			}
		}
	}
	for token, sites := range at {
		if w, e := sites["west"], sites["east"]; !w.IsZero() && !e.IsZero() && w.Sub(e).Abs() < window {
			both++
			which = append(which, fmt.Sprintf("%s west %s, east %v later", token, w.Format("15:04:05.000"), e.Sub(w)))
		}
	}
	return len(at), both, which
}

// lose has clients ask a director for orders, kills it in the middle, and has the clients come again with the same tokens at a
// director of the other location, so often.
func lose(t *testing.T, s *testharness.Cluster, d *depots, claims string, losses int, rng *rand.Rand) (tokens, both int, which []string, answers fakes.Tally) {
	t.Helper()
	directors := map[string][]*testharness.Director{}
	begin := func(site string, n int) *testharness.Director {
		dir, err := s.StartDirector(fmt.Sprintf("%s%d", site, n), site, rng.IntN(len(s.Replicas)), claims)
		check(t, err)
		t.Cleanup(dir.Kill)
		return dir
	}
	served := func(dir *testharness.Director) {
		for end := time.Now().Add(patience); ; {
			c, err := fakes.Connect(dir.Addr)
			check(t, err)
			check(t, c.Ask("orders", 1, time.Second, "token", fmt.Sprintf("warm%x", rng.Uint64())))
			if c.Finish(2*time.Second).Served == 1 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s serves no order:\n%s", dir.Name, dir.Log())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, site := range []string{"west", "east"} {
		for n := range 3 {
			directors[site] = append(directors[site], begin(site, n))
		}
	}
	for _, site := range []string{"west", "east"} {
		for _, dir := range directors[site] {
			served(dir)
		}
		for _, b := range d.boxes[site] {
			b.Slow(30 * time.Millisecond)
		}
	}
	for n := range losses {
		site, other := "west", "east"
		if rng.IntN(2) == 0 {
			site, other = other, site
		}
		i := rng.IntN(3)
		lost := directors[site][i]
		c, err := fakes.Connect(lost.Addr)
		check(t, err)
		asked := map[string]uint64{} // object by token
		for k := range 8 {
			token := fmt.Sprintf("t%dx%dx%x", n, k, rng.Uint32())
			asked[token] = rng.Uint64()
			if c.Ask("orders", asked[token], 5*time.Second, "token", token) != nil {
				break
			}
			time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
		}
		lost.Kill()
		c.Finish(time.Second)
		// They come to a director of the other location first, then to another one of the same.
		again, err := fakes.Connect(directors[other][rng.IntN(3)].Addr)
		check(t, err)
		for token, object := range asked {
			check(t, again.Ask("orders", object, 1500*time.Millisecond, "token", token))
		}
		one := again.Finish(patience)
		again, err = fakes.Connect(directors[site][(i+1)%3].Addr)
		check(t, err)
		for token, object := range asked {
			check(t, again.Ask("orders", object, 1500*time.Millisecond, "token", token))
		}
		home := again.Finish(patience)
		if one.Served += home.Served; claims != "" && home.Served < len(asked) {
			t.Logf("%d of %d are not served where they had been sent: %+v", len(asked)-home.Served, len(asked), home)
		}
		one.Sent, one.Refused, one.Failed, one.Lost, one.Doubled = one.Sent+home.Sent, one.Refused+home.Refused, one.Failed+home.Failed, one.Lost+home.Lost, one.Doubled+home.Doubled
		answers.Sent, answers.Served, answers.Refused, answers.Failed = answers.Sent+one.Sent, answers.Served+one.Served, answers.Refused+one.Refused, answers.Failed+one.Failed
		answers.Lost, answers.Doubled = answers.Lost+one.Lost, answers.Doubled+one.Doubled
		directors[site][i] = begin(site, i)
		served(directors[site][i])
	}
	if claims != "" { // a token that comes with another object is no repeat
		c, err := fakes.Connect(directors["west"][0].Addr)
		check(t, err)
		for object := range uint64(2) {
			check(t, c.Ask("orders", object+1, 1500*time.Millisecond, "token", "twofold"))
			time.Sleep(100 * time.Millisecond)
		}
		if one := c.Finish(patience); one.Served != 1 || one.Failed != 1 {
			t.Errorf("one token for two objects: %+v", one)
		}
	}
	tokens, both, which = d.twice(4 * time.Second)
	return tokens, both, which, answers
}

// A director is killed with orders on their way; its clients come again, with their tokens, at a director of another location.
// Without claims some orders run in both; with claims none does, and each request gets one final answer.
func TestNoOrderRunsInTwoLocations(t *testing.T) {
	seed := uint64(fromEnv(seedVar, 1))
	losses := fromEnv("STAIRVANE_LOSSES", 4)
	t.Logf("%s=%d STAIRVANE_LOSSES=%d", seedVar, seed, losses)
	for _, claims := range []string{"", "(claims (listen 127.0.0.1:0) (unreached wait))"} {
		s := group(t, 3, 0)
		tokens, both, which, answers := lose(t, s, startDepots(t, s), claims, losses, rand.New(rand.NewPCG(seed, 9)))
		t.Logf("claims %q: %d of %d tokens ran in both locations; those who came again: %+v", claims, both, tokens, answers)
		if answers.Lost+answers.Doubled > 0 {
			t.Errorf("claims %q: not each request got one answer: %+v", claims, answers)
		}
		if claims == "" && both == 0 {
			t.Error("without claims none ran in both locations: the test shows nothing")
		}
		if claims != "" && answers.Served < answers.Sent/3 {
			t.Errorf("with claims hardly any are served that come again: %+v", answers)
		}
		if claims != "" && both > 0 {
			t.Errorf("%d tokens ran in two groups of caches: %v", both, which)
		}
		s.Close()
	}
}

// carried counts what came to a box in each window since a moment, in requests.
func carried(b *fakes.Cache, since time.Time, window time.Duration, windows int) []int {
	all := make([]int, windows)
	for _, o := range b.Attempts() {
		if n := int(o.At.Sub(since) / window); !o.At.Before(since) && n < windows {
			all[n]++
		}
	}
	return all
}

// coldest looks at each window of 3 s of a cold box by the rule itself: it bears 4 times what a box of its share can do, of which it
// has 0.17 at its first request and all 16 s later, with 3 roots of that and 3 more by chance. It gives the window that came
// nearest to that.
func coldest(b *fakes.Cache, share float64, work time.Duration) (got int, may float64) {
	orders := b.Attempts()
	near := -1.0
	for i, o := range orders {
		age := min(1, o.At.Sub(orders[0].At).Seconds()/16)
		n := 4 * (0.17 + 0.83*age) * share * 3 / work.Seconds()
		bears, in := n+3*math.Sqrt(n)+3, 0
		for _, p := range orders[i:] {
			if p.At.Sub(o.At) < 3*time.Second {
				in++
			}
		}
		if float64(in)/bears > near {
			near, got, may = float64(in)/bears, in, bears
		}
	}
	return got, may
}

// A cold box is added under a load of which one director of six has nine tenths, by processes. By turns it gets what it may
// have, for the one director uses what the others leave; by even parts most of it stays unused. Never is it sent more than
// what was planned for all together, though a director is paused and another is killed.
func TestTurnsShareAColdBoxByDemand(t *testing.T) {
	seed := uint64(fromEnv(seedVar, 1))
	t.Logf("%s=%d", seedVar, seed)
	s := group(t, 3, 0)
	boxes := startBoxes(t, 5)
	now, _ := depot(boxes)
	applied(t, s, carryOut(t, s, now))
	rng := rand.New(rand.NewPCG(seed, 11))
	stop := make(chan struct{})
	var load sync.WaitGroup
	var directors []*testharness.Director
	var clients []*fakes.Client
	for i := range 6 {
		d, err := s.StartDirector(fmt.Sprintf("d-%d", i), "west", i%3, "")
		check(t, err)
		t.Cleanup(d.Kill)
		directors = append(directors, d)
		served(t, d)
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		clients = append(clients, c)
		every := 200 * time.Millisecond
		if i == 0 {
			every = 2 * time.Millisecond
		}
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(every):
					object := rand.Uint64N(200)
					if c.Ask("clips", 1+object, 5*time.Second, "group", fmt.Sprint(object), "mem", "1000") != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(time.Second)
	c, err := s.Client()
	check(t, err)
	r, err := c.Members()
	check(t, err)
	if len(r.Directors) != 6 {
		t.Fatalf("%d directors are on the roll", len(r.Directors))
	}
	// The box enters cold: 0.17 of its share of 4, all of it after 16 s.
	next := now
	next.Rules.Cache.WarmUpMS = 16000
	next.Hosts = append(append([]fleet.HostSpec(nil), now.Hosts...), fleet.HostSpec{Name: "c-3", Role: fleet.Cache, Address: boxes[3].Addr(), Site: "west", Class: "std", Share: 4})
	next.Normalize()
	begin := time.Now()
	carryOut(t, s, next)
	time.Sleep(4 * time.Second)
	held, err := c.Quotas()
	check(t, err)
	sum, first := 0.0, 0.0
	for _, h := range held {
		sum += h.Part
		if h.Holder[:3] == "d-0" {
			first = h.Part
		}
	}
	t.Logf("%d parts add up to %.2f; the busy director has %.2f of it", len(held), sum, first)
	if len(held) != 6 || sum > 1 || first < 0.4 {
		t.Errorf("parts: %+v", held)
	}
	victim := 1 + rng.IntN(4)
	directors[victim].Signal(syscall.SIGSTOP)
	directors[victim+1].Kill()
	time.Sleep(2 * time.Second)
	directors[victim].Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	close(stop)
	load.Wait()
	for _, c := range clients {
		c.Finish(2 * time.Second)
	}
	t.Logf("requests at the cold box, second by second: %v", carried(boxes[3], begin, time.Second, 8))
	got, may := coldest(boxes[3], 4, 200*time.Millisecond)
	t.Logf("its fullest window of 3 s had %d requests, it falls at more than %.0f", got, may)
	if got < 10 || float64(got) > may {
		t.Errorf("a window of 3 s had %d requests, at %.0f the box falls", got, may)
	}
}
