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

// startFleetWithParents starts replicas, two caches that fetch from four parent caches, and directors
// of one location under a low load each.
func startFleetWithParents(
	t *testing.T, directors int, pause time.Duration, forms string,
) (cluster *testharness.Cluster, caches []*fakes.Cache, f *loadedFleet) {
	t.Helper()
	cluster = startGroup(t, 3, 0)
	cluster.Parents = true
	hosts := startCaches(t, 7)
	rules := fleet.DefaultRules()
	rules.Cache.WarmUpMS = 0
	rules.Parent.WarmUpMS = 0
	locations := []fleet.Location{{Name: "west", Floor: 1, Load: 1, Sources: []string{"store"}}}
	desired := fleet.DesiredState{Rules: rules, Locations: locations}
	for i, fake := range hosts {
		var host fleet.HostSpec
		switch {
		case i == 6:
			host = fleet.HostSpec{Name: "store", Role: fleet.Origin, Site: "hub", Class: "origin", Share: 40}
		case i >= 4:
			host = fleet.HostSpec{Name: fmt.Sprintf("c-%d", i), Role: fleet.Cache, Site: "west", Class: "std", Share: 8, Running: true}
			caches = append(caches, fake)
		default:
			host = fleet.HostSpec{Name: fmt.Sprintf("hub-%d", i), Role: fleet.Parent, Site: "hub", Class: "parent", Share: 8, Running: true}
		}
		host.Address = fake.Addr()
		desired.Hosts = append(desired.Hosts, host)
	}
	desired.Normalize()
	awaitApply(t, cluster, submitPlan(t, cluster, desired))
	for _, c := range caches {
		c.SetFillResults(map[string]float64{})
	}
	return cluster, caches, startLoadedFleet(t, cluster, directors, forms, 100_000, pause)
}

// corruptedFills returns the number of rejected fills since a time, in total and for each second.
func corruptedFills(caches []*fakes.Cache, since time.Time, seconds int) (sum int, each []int) {
	each = make([]int, seconds)
	for _, c := range caches {
		for _, at := range c.RejectedFills() {
			if n := int(at.Sub(since) / time.Second); !at.Before(since) && n < seconds {
				each[n]++
				sum++
			}
		}
	}
	return sum, each
}

// TestHealthReportsLimitFillsFromAFaultyParentCache guards the exchange of health reports between
// directors. Two thirds of the fills from one of four parent caches are rejected. Eight directors
// under a low load each detect that either by themselves or by the reports of all directors. With
// reports, far fewer fills may be rejected until all directors avoid the parent cache. Once the
// parent cache is healthy it must get requests again, even though a replica was killed and a
// director was paused.
func TestHealthReportsLimitFillsFromAFaultyParentCache(t *testing.T) {
	seconds := envInt("STAIRVANE_SECONDS", 6)
	sums := map[string]int{}
	for _, forms := range []string{"", "(signals)"} {
		cluster, caches, f := startFleetWithParents(t, 8, 125*time.Millisecond, forms)
		time.Sleep(2 * time.Second)
		faulty := map[string]float64{"hub-1": 0.67}
		begin := time.Now()
		for _, c := range caches {
			c.SetFillResults(faulty)
		}
		time.Sleep(time.Duration(seconds) * time.Second)
		sum, each := corruptedFills(caches, begin, seconds)
		sums[forms] = sum
		t.Logf("%q: %d fills rejected, second by second %v", forms, sum, each)
		for _, d := range f.directors { // with health reports, each must be notified during the test; without them, none
			if isNotified := d.CountEvents("health.suspected") > 0; isNotified != (forms != "") {
				t.Errorf("%q: %s was notified of a suspected cache: %v", forms, d.Name, isNotified)
			}
		}
		if forms != "" {
			out, err := exec.Command(fleetBinary, "signals", "hub-1", "--board", cluster.Addresses()).CombinedOutput()
			if err != nil || !strings.Contains(string(out), "d-0/") {
				t.Errorf("%v\n%s", err, out)
			}
			t.Logf("%s", out)
			var resumed sync.WaitGroup
			follower := cluster.Replicas[0]
			if follower == cluster.Leader(waitTimeout) {
				follower = cluster.Replicas[1]
			}
			follower.Kill()
			f.directors[3].Signal(syscall.SIGSTOP)
			resumed.Go(func() {
				time.Sleep(time.Second)
				f.directors[3].Signal(syscall.SIGCONT)
			})
			for _, c := range caches {
				c.SetFillResults(map[string]float64{})
			}
			healthySince := time.Now()
			time.Sleep(10 * time.Second)
			resumed.Wait()
			fills := 0
			for _, c := range caches {
				for _, attempt := range c.Attempts() {
					if attempt.Source == "hub-1" && attempt.At.Sub(healthySince) > 8*time.Second {
						fills++
					}
				}
			}
			if fills == 0 {
				t.Error("the parent cache is healthy but gets no requests")
			}
			t.Logf("healthy again: %d fills in 2 s", fills)
		}
		tally := f.stopLoad()
		t.Logf("%q: %+v", forms, tally)
		if tally.Lost+tally.Duplicated > 0 || tally.Served < tally.Sent*9/10 {
			t.Errorf("%q: %+v", forms, tally)
		}
		cluster.Close()
	}
	with, without := sums["(signals)"], sums[""]
	if without < 10 || with > without || os.Getenv("STAIRVANE_SECONDS") != "" && 3*with > 2*without {
		t.Errorf("%d fills rejected with health reports, %d without", with, without)
	}
}
