package replicas_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The environment sets how long TestFaults is.
const (
	faultsVar   = "STAIRVANE_FAULTS" // how many faults
	replicasVar = "STAIRVANE_COPIES" // how many replicas
	seedVar     = "STAIRVANE_SEED"
	kindVar     = "STAIRVANE_KIND" // every fault is of this kind
)

// Replicas, six directors, fake caches and clients are processes of their own, and a schedule of
// faults from a printed seed goes over the replicas: killed, paused, cut off, cut off in one
// direction, slowed, connections broken, disks full, lost and restored from an old state. Meanwhile
// purges and reads go on, and an apply drains a cache. The calls must be linearizable, no accepted
// write may be lost or repeated, all replicas must have one history, each request must get one
// final answer, and the drained cache no request once the apply is done.
func TestFaults(t *testing.T) {
	replicas := fromEnv(replicasVar, 3)
	faults := fromEnv(faultsVar, 4) // one short schedule in CI; others by command
	seed := uint64(fromEnv(seedVar, 3))
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
	calls.end()
	sum := load.stopLoad()
	t.Logf("requests: %+v", sum)
	if sum.Duplicated+sum.Lost+sum.Failed > 0 || sum.Served == 0 {
		t.Errorf("requests without one good final answer: %+v", sum)
	}
	for _, attempt := range caches[1].Attempts() {
		if late := attempt.At.Sub(done); late > 0 {
			t.Errorf("an attempt came to the drained cache %v after its apply was done", late)
			break
		}
	}
	calls.checkLinearizable(t)
	calls.checkHistories(t, cluster)
}
