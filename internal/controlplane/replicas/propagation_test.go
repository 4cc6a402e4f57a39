package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// TestEventsReachAllWhileAReplicaIsCutOff guards against events that reach directors late because
// the directors watch a replica that is cut off. According to the directors' logs, a purge must
// reach all of them within 300 ms. According to the cache's record, a drained cache must get no
// attempt after 500 ms. With a much longer lease the events must be late, which shows that the
// test can detect the fault.
func TestEventsReachAllWhileAReplicaIsCutOff(t *testing.T) {
	seed := uint64(envInt(seedVar, 1))
	t.Logf("%s=%d", seedVar, seed)
	for _, lease := range []string{"", "(lease 3s)"} {
		rng := rand.New(rand.NewPCG(seed, 5))
		cluster, err := testharness.NewCluster(fleetBinary, t.TempDir(), 3, 0)
		check(t, err)
		cluster.ExtraForms = lease
		t.Cleanup(cluster.Close)
		check(t, cluster.Bootstrap(waitTimeout))
		caches := startCaches(t, 5)
		now, next := desiredStates(caches)
		awaitApply(t, cluster, submitPlan(t, cluster, now))
		f := startLoadedFleet(t, cluster, 6, "", 200, 10*time.Millisecond)
		c, err := cluster.Client()
		check(t, err)
		rounds := envInt("STAIRVANE_TIMES", 6)
		if lease != "" {
			rounds = 1
		}
		var worst time.Duration
		for n := range rounds {
			cut := cluster.Replicas[rng.IntN(3)]
			directions := [][2]bool{{false, false}, {false, true}, {true, false}}[rng.IntN(3)]
			cut.Cut(directions[0], directions[1])
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			begin := time.Now()
			p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n+1)})
			check(t, err)
			accepted := time.Now()
			latest := time.Duration(0)
			for _, d := range f.directors {
				for at := 0; ; {
					event, next, err := d.Event("purge.applied", at, waitTimeout)
					check(t, err)
					if at = next; int64(event["no"].(float64)) == p.Revision {
						when, err := time.Parse(time.RFC3339Nano, event["time"].(string))
						check(t, err)
						latest = max(latest, when.Sub(accepted))
						break
					}
				}
			}
			worst = max(worst, latest)
			t.Logf("lease %q: %s cut off (outgoing %v, incoming %v): purge accepted after %v, applied by the last director %v later",
				lease, cut.Name, directions[0], directions[1], accepted.Sub(begin), latest)
			cut.Cut(true, true)
			check(t, cluster.AwaitComplete(waitTimeout))
		}
		if lease == "" && worst > within(300*time.Millisecond) || lease != "" && worst < within(300*time.Millisecond) {
			t.Errorf("lease %q: the last director applied a purge %v after it was accepted", lease, worst)
		}
		if lease != "" {
			cluster.Close()
			continue
		}
		follower := cluster.Replicas[0]
		if follower == cluster.Leader(waitTimeout) {
			follower = cluster.Replicas[1]
		}
		follower.Cut(false, false)
		submitPlan(t, cluster, next)
		var drained time.Time
		for end := time.Now().Add(waitTimeout); drained.IsZero() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			state, err := c.State()
			check(t, err)
			for _, host := range state.Fleet.Hosts {
				if host.Name == "c-1" && host.State == fleet.Terminating {
					drained = time.Now()
				}
			}
		}
		time.Sleep(1500 * time.Millisecond)
		sum := f.stopLoad()
		t.Logf("requests: %+v", sum)
		if drained.IsZero() || sum.Duplicated+sum.Lost+sum.Failed > 0 || sum.Served == 0 {
			t.Errorf("drained at %v; not every request got exactly one successful response: %+v", drained, sum)
		}
		before := 0
		last := time.Duration(-1)
		for _, attempt := range caches[1].Attempts() {
			if attempt.At.Before(drained) {
				before++
			}
			last = max(last, attempt.At.Sub(drained))
		}
		t.Logf("the drained cache had %d attempts before, the last %v after the drain", before, last)
		if before == 0 || last > within(500*time.Millisecond) {
			t.Errorf("%d attempts before the drain, the last %v after it", before, last)
		}
		cluster.Close()
	}
}
