package replicas_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// hubFleet starts copies, two caches that are filled from four hub caches, and directors of one location that all send little.
func hubFleet(t *testing.T, directors int, every time.Duration, forms string) (s *testharness.Cluster, caches []*fakes.Cache, f *fleetUnderLoad) {
	t.Helper()
	s = group(t, 3, 0)
	s.Parents = true
	boxes := startBoxes(t, 7)
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS, rules.Parent.WarmUpMS = 0, 0
	w := fleet.DesiredState{Rules: rules, Locations: []fleet.Location{{Name: "west", Floor: 1, Load: 1, Sources: []string{"store"}}}}
	for i, b := range boxes {
		x := fleet.HostSpec{Name: fmt.Sprintf("hub-%d", i), Role: fleet.Parent, Address: b.Addr(), Site: "hub", Class: "parent", Share: 8, Running: true}
		switch {
		case i == 6:
			x.Name, x.Role, x.Class, x.Share, x.Running = "store", fleet.Origin, "origin", 40, false
		case i >= 4:
			x.Name, x.Role, x.Site, x.Class, x.Share = fmt.Sprintf("c-%d", i), fleet.Cache, "west", "std", 8
			caches = append(caches, b)
		}
		w.Hosts = append(w.Hosts, x)
	}
	w.Normalize()
	applied(t, s, carryOut(t, s, w))
	for _, c := range caches {
		c.Fill(map[string]float64{})
	}
	return s, caches, startFleet(t, s, directors, forms, 100_000, every)
}

// spoilt counts the fills that were turned away from a moment on, second by second.
func spoilt(caches []*fakes.Cache, since time.Time, seconds int) (sum int, each []int) {
	each = make([]int, seconds)
	for _, c := range caches {
		for _, at := range c.Corrupted() {
			if n := int(at.Sub(since) / time.Second); !at.Before(since) && n < seconds {
				each[n]++
				sum++
			}
		}
	}
	return sum, each
}

// One of four hub caches turns two thirds of the fills away. Eight directors of some requests a second learn it each alone, or by
// what all see: then far fewer requests are spoilt until all avoid it. A copy is killed and a director paused meanwhile. Once the
// hub is well it has its part again.
func TestSignalsSpareABadHub(t *testing.T) {
	seconds := fromEnv("STAIRVANE_SECONDS", 6)
	sums := map[string]int{}
	for _, forms := range []string{"", "(signals)"} {
		s, caches, f := hubFleet(t, 8, 125*time.Millisecond, forms)
		time.Sleep(2 * time.Second)
		bad := map[string]float64{"hub-1": 0.67}
		begin := time.Now()
		for _, c := range caches {
			c.Fill(bad)
		}
		time.Sleep(time.Duration(seconds) * time.Second)
		sum, each := spoilt(caches, begin, seconds)
		sums[forms] = sum
		t.Logf("%q: %d fills turned away, second by second %v", forms, sum, each)
		for _, d := range f.directors { // each was told, in the time that the test has, and none without the form
			if told := d.Count("signals.doubted") > 0; told != (forms != "") {
				t.Errorf("%q: that %s was told of a doubt is %v", forms, d.Name, told)
			}
		}
		if forms != "" {
			out, err := exec.Command(program, "signals", "hub-1", "--board", s.Addresses()).CombinedOutput()
			if err != nil || !strings.Contains(string(out), "d-0/") {
				t.Errorf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
			var wg sync.WaitGroup
			follower := s.Replicas[0]
			if follower == s.Leader(patience) {
				follower = s.Replicas[1]
			}
			follower.Kill()
			f.directors[3].Signal(syscall.SIGSTOP)
			wg.Go(func() { time.Sleep(time.Second); f.directors[3].Signal(syscall.SIGCONT) })
			for _, c := range caches {
				c.Fill(map[string]float64{})
			}
			well := time.Now()
			time.Sleep(10 * time.Second)
			wg.Wait()
			n := 0
			for _, c := range caches {
				for _, o := range c.Attempts() {
					if o.Source == "hub-1" && o.At.Sub(well) > 8*time.Second {
						n++
					}
				}
			}
			if n == 0 {
				t.Error("the hub cache is well and gets nothing")
			}
			t.Logf("well again: %d fills in 2 s", n)
		}
		tally := f.end()
		t.Logf("%q: %+v", forms, tally)
		if tally.Lost+tally.Doubled > 0 || tally.Served < tally.Sent*9/10 {
			t.Errorf("%q: %+v", forms, tally)
		}
		s.Close()
	}
	if sums[""] < 10 || sums["(signals)"] > sums[""] || os.Getenv("STAIRVANE_SECONDS") != "" && 3*sums["(signals)"] > 2*sums[""] {
		t.Errorf("%d fills turned away with signals, %d without", sums["(signals)"], sums[""])
	}
}
