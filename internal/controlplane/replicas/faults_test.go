package replicas_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Environment variables that configure the tests with faults.
const (
	faultsVar   = "STAIRVANE_FAULTS" // number of faults
	replicasVar = "STAIRVANE_COPIES" // number of replicas
	seedVar     = "STAIRVANE_SEED"
	kindVar     = "STAIRVANE_KIND" // restricts the test to faults of this kind
)

// TestFaults injects a schedule of faults, drawn from a logged seed, into the replicas: they are
// killed, paused, cut off in both directions or in one, and slowed, their connections are broken,
// and their disks are full, lost or restored from an old state. The replicas and six directors are
// separate processes. During the faults, clients send purges, reads and requests, and an apply drains
// a cache. The calls must be linearizable, no accepted write may be lost or duplicated, all replicas
// must have the same event log, each request must get exactly one final response, and the drained
// cache must get no attempt after the apply is done.
func TestFaults(t *testing.T) {
	replicas := envInt(replicasVar, 3)
	faults := envInt(faultsVar, 4) // a short schedule for CI; longer ones are started manually
	seed := uint64(envInt(seedVar, 3))
	t.Logf("%s=%d %s=%d %s=%d", seedVar, seed, faultsVar, faults, replicasVar, replicas)
	rng := rand.New(rand.NewPCG(seed, 1))
	schedule := drawSchedule(rng, faults, replicas)

	cluster := startGroup(t, replicas, 0)
	caches := startCaches(t, 5)
	before, after := desiredStates(caches)
	awaitApply(t, cluster, submitPlan(t, cluster, before))
	load := startLoadedFleet(t, cluster, 6, "", 200, 10*time.Millisecond)
	calls := startCalls(t, cluster, 4, seed)
	nem := &nemesis{t: t, cluster: cluster, rng: rng}
	var id int64
	for i, f := range schedule {
		if i == len(schedule)/2 {
			id = submitPlan(t, cluster, after)
		}
		nem.inject(f)
	}
	awaitApply(t, cluster, id)
	done := time.Now()
	time.Sleep(700 * time.Millisecond)
	calls.stopClients()
	sum := load.stopLoad()
	t.Logf("requests: %+v", sum)
	if sum.Duplicated+sum.Lost+sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("not every request got exactly one successful response: %+v", sum)
	}
	for _, attempt := range caches[1].Attempts() {
		if late := attempt.At.Sub(done); late > 0 {
			t.Errorf("the drained cache got an attempt %v after the apply was done", late)
			break
		}
	}
	calls.checkLinearizable(t)
	calls.checkEventLogs(t, cluster)
}
