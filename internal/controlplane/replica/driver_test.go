package replica

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// runSeed simulates a cluster with choices drawn from a seed. Most messages are delivered, in any
// order, and replicas crash at any point.
func runSeed(replicas int, seed uint64, steps int, skippedPersist string) (fault string, accepted int, trace []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(replicas)
	c.skippedPersist = skippedPersist
	for range steps {
		var choice int
		if n := len(c.inFlight); n > 0 && rng.IntN(10) < 8 {
			choice = 2 * rng.IntN(n)
			if rng.IntN(12) == 0 {
				choice++
			}
		} else {
			kind := []int{0, 0, 1, 1, 1, 1, 1, 2, 3, 4}[rng.IntN(10)]
			choice = 2*len(c.inFlight) + choicesPerReplica*rng.IntN(len(c.replicas)) + kind
		}
		trace = append(trace, c.perform(choice))
		if fault := c.check(); fault != "" {
			return fault, len(c.accepted), trace
		}
	}
	return "", len(c.accepted), trace
}

func intFromEnv(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// Checks the invariants of the cluster under random orders of delivery, message loss, crashes before
// and after persisting, and restarts. The first seed is logged; STAIRVANE_SEED sets it, and
// STAIRVANE_SEEDS sets the number of seeds.
func TestDriversAgreeInRandomOrders(t *testing.T) {
	first := uint64(intFromEnv("STAIRVANE_SEED", 1))
	n := intFromEnv("STAIRVANE_SEEDS", 300)
	t.Logf("seeds from %d on", first)
	accepted := 0
	for i := range n {
		replicas := []int{3, 3, 2, 5}[i%4]
		fault, acceptedInRun, trace := runSeed(replicas, first+uint64(i), 250, "")
		accepted += acceptedInRun
		if fault != "" {
			t.Fatalf("seed %d, %d replicas: %s\n%v", first+uint64(i), replicas, fault, trace)
		}
	}
	if accepted < n {
		t.Errorf("only %d batches were accepted in %d runs", accepted, n)
	}
	t.Logf("%d batches were accepted in %d runs", accepted, n)
}

// Checks the invariants of the cluster after every sequence of up to STAIRVANE_DEPTH choices, with
// two and with three replicas, starting once the first replica has campaigned and proposed a batch.
func TestDriversAgreeInAllOrders(t *testing.T) {
	depth := intFromEnv("STAIRVANE_DEPTH", 3)
	for _, replicas := range []int{2, 3} {
		runs := 0
		var walk func(path []int)
		walk = func(path []int) {
			c := newCluster(replicas)
			c.replicas[0].driver.Campaign()
			c.processAllReady(c.replicas[0])
			for range 5 * replicas { // until the first leader is elected
				if len(c.inFlight) > 0 {
					c.perform(0)
				}
			}
			c.perform(2*len(c.inFlight) + 1) // a batch is in flight
			for _, choice := range path {
				c.perform(choice)
			}
			runs++
			if fault := c.check(); fault != "" {
				t.Fatalf("%d replicas, choices %v: %s", replicas, path, fault)
			}
			if len(path) == depth {
				return
			}
			for choice := range c.choices() {
				walk(append(path[:len(path):len(path)], choice))
			}
		}
		walk(nil)
		t.Logf("%d replicas: %d states", replicas, runs)
	}
}

// Guards the tests above: if votes or entries are not persisted, some seed must fail.
func TestSimulationDetectsSkippedPersistence(t *testing.T) {
	for _, disabled := range []string{"vote", "entries"} {
		found := false
		for seed := uint64(1); seed <= 3000 && !found; seed++ {
			if fault, _, _ := runSeed(3, seed, 250, disabled); fault != "" {
				t.Logf("without persisting the %s seed %d fails: %s", disabled, seed, fault)
				found = true
			}
		}
		if !found {
			t.Errorf("nothing fails without persisting the %s", disabled)
		}
	}
}
