package replica

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// run plays a seed: most messages are delivered, in any order, and replicas die at any point.
func run(replicas int, seed uint64, steps int, disabledPersist string) (fault string, accepted int, trace []string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(replicas)
	c.disabledPersist = disabledPersist
	for range steps {
		var choice int
		if n := len(c.inFlight); n > 0 && rng.IntN(10) < 8 {
			choice = 2 * rng.IntN(n)
			if rng.IntN(12) == 0 {
				choice++
			}
		} else {
			kind := []int{0, 0, 1, 1, 1, 1, 1, 2, 3, 4}[rng.IntN(10)]
			choice = 2*len(c.inFlight) + choicesOfReplica*rng.IntN(len(c.replicas)) + kind
		}
		trace = append(trace, c.do(choice))
		if fault := c.check(); fault != "" {
			return fault, len(c.accepted), trace
		}
	}
	return "", len(c.accepted), trace
}

func fromEnv(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// Random orders of delivery, loss, death at each point of persisting, and restart, from printed
// seeds. STAIRVANE_SEEDS sets how many.
func TestDriversAgreeInAnyOrder(t *testing.T) {
	first := uint64(fromEnv("STAIRVANE_SEED", 1))
	n := fromEnv("STAIRVANE_SEEDS", 300)
	t.Logf("seeds from %d on", first)
	accepted := 0
	for i := range n {
		replicas := []int{3, 3, 2, 5}[i%4]
		fault, acceptedInRun, trace := run(replicas, first+uint64(i), 250, "")
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

// Every list of STAIRVANE_DEPTH choices, for two replicas and for three, from the moment at which
// the first one campaigns.
func TestDriversAgreeInEveryOrder(t *testing.T) {
	depth := fromEnv("STAIRVANE_DEPTH", 3)
	for _, replicas := range []int{2, 3} {
		runs := 0
		var walk func(path []int)
		walk = func(path []int) {
			c := newCluster(replicas)
			c.replicas[0].driver.Campaign()
			c.settle(c.replicas[0])
			for range 5 * replicas { // until the first leader is there
				if len(c.inFlight) > 0 {
					c.do(0)
				}
			}
			c.do(2*len(c.inFlight) + 1) // a batch is under way
			for _, choice := range path {
				c.do(choice)
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

// Guards the tests above: without what a driver asks to persist, some seed must fail.
func TestAgreementNeedsPersistence(t *testing.T) {
	for _, disabled := range []string{"vote", "entries"} {
		found := false
		for seed := uint64(1); seed <= 3000 && !found; seed++ {
			if fault, _, _ := run(3, seed, 250, disabled); fault != "" {
				t.Logf("without persisting the %s seed %d fails: %s", disabled, seed, fault)
				found = true
			}
		}
		if !found {
			t.Errorf("nothing fails without persisting the %s", disabled)
		}
	}
}
