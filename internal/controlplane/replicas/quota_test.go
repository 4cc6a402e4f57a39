package replicas_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// attemptsPerWindow returns the number of attempts at a cache in each of the consecutive windows that
// start at since.
func attemptsPerWindow(cache *fakes.Cache, since time.Time, window time.Duration, windows int) []int {
	counts := make([]int, windows)
	for _, attempt := range cache.Attempts() {
		if n := int(attempt.At.Sub(since) / window); !attempt.At.Before(since) && n < windows {
			counts[n]++
		}
	}
	return counts
}

// fullestWindow returns the number of attempts in the window of 3 s with the highest ratio of
// attempts to the capacity of a cache that is warming up, and that capacity. The capacity is 4 times
// the attempts that the cache's share allows. The cache has 0.17 of its share at its first attempt and
// all of it 16 s later. 3 standard deviations and another 3 attempts allow for random variation.
func fullestWindow(cache *fakes.Cache, share float64, work time.Duration) (attemptsInWindow int, capacity float64) {
	const window = 3 * time.Second
	attempts := cache.Attempts()
	highestRatio := -1.0
	for i, attempt := range attempts {
		warm := min(1, attempt.At.Sub(attempts[0].At).Seconds()/16)
		mean := 4 * (0.17 + 0.83*warm) * share * window.Seconds() / work.Seconds()
		capacityInWindow := mean + 3*math.Sqrt(mean) + 3
		inWindow := 0
		for _, later := range attempts[i:] {
			if later.At.Sub(attempt.At) < window {
				inWindow++
			}
		}
		if ratio := float64(inWindow) / capacityInWindow; ratio > highestRatio {
			highestRatio = ratio
			attemptsInWindow = inWindow
			capacity = capacityInWindow
		}
	}
	return attemptsInWindow, capacity
}

// checkFullestWindow checks that a cache that is warming up was never sent more attempts than its
// capacity, and that it was sent attempts at all.
func checkFullestWindow(t *testing.T, cache *fakes.Cache) {
	t.Helper()
	attempts, capacity := fullestWindow(cache, 4, 200*time.Millisecond)
	t.Logf("the fullest window of 3 s had %d attempts; the capacity is %.0f", attempts, capacity)
	if attempts < 10 || float64(attempts) > capacity {
		t.Errorf("a window of 3 s had %d attempts at a capacity of %.0f", attempts, capacity)
	}
}

// withWarmingCache returns a desired state with an additional cache, which starts with 0.17 of its
// share and has all of it 16 s later.
func withWarmingCache(desired fleet.DesiredState, cache *fakes.Cache) fleet.DesiredState {
	desired.Rules.Cache.WarmUpMS = 16000
	desired.Hosts = append(slices.Clone(desired.Hosts), cacheSpec(3, cache.Addr(), false))
	desired.Normalize()
	return desired
}

// requestObjects requests random objects, with a pause before each, until stop is closed.
func requestObjects(c *fakes.Client, pause time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			object := rand.Uint64N(200)
			if c.SendRequest("clips", 1+object, 5*time.Second, "mem", "1000") != nil {
				return
			}
		}
	}
}

// unevenPause returns the pause between requests of a director's client. The first director gets most
// of the load.
func unevenPause(director int) time.Duration {
	if director == 0 {
		return 2 * time.Millisecond
	}
	return 200 * time.Millisecond
}

// TestQuotaOfAWarmingCacheFollowsDemand guards the division of a quota by demand, between
// processes. A cache that is warming up is added while one of six directors has nine tenths of the
// load. That director must get the part of the cache's capacity that the others don't use. The
// cache must never be sent more than its capacity, even though one director is paused and another
// is killed.
func TestQuotaOfAWarmingCacheFollowsDemand(t *testing.T) {
	seed := uint64(envInt(seedVar, 1))
	t.Logf("%s=%d", seedVar, seed)
	cluster := startGroup(t, 3, 0)
	caches := startCaches(t, 5)
	before, _ := desiredStates(caches)
	awaitApply(t, cluster, submitPlan(t, cluster, before))
	rng := rand.New(rand.NewPCG(seed, 11))
	stop := make(chan struct{})
	var load sync.WaitGroup
	var directors []*testharness.Director
	var clients []*fakes.Client
	for i := range 6 {
		d, err := cluster.StartDirector(fmt.Sprintf("d-%d", i), "west", i%3, "")
		check(t, err)
		t.Cleanup(d.Kill)
		directors = append(directors, d)
		awaitServing(t, d)
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		clients = append(clients, c)
		load.Go(func() { requestObjects(c, unevenPause(i), stop) })
	}
	time.Sleep(time.Second)
	c, err := cluster.Client()
	check(t, err)
	members, err := c.Members()
	check(t, err)
	if len(members.Directors) != 6 {
		t.Fatalf("%d directors are members", len(members.Directors))
	}
	begin := time.Now()
	submitPlan(t, cluster, withWarmingCache(before, caches[3]))
	time.Sleep(4 * time.Second)
	checkAllocations(t, c)
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
	t.Logf("attempts at the warming cache per second: %v", attemptsPerWindow(caches[3], begin, time.Second, 8))
	checkFullestWindow(t, caches[3])
}

// checkAllocations checks that six directors have allocations whose sum does not exceed the quota,
// and that the busy director d-0 has a large part of it.
func checkAllocations(t *testing.T, c *api.Client) {
	t.Helper()
	allocations, err := c.Quotas()
	check(t, err)
	sum := 0.0
	busy := 0.0
	for _, a := range allocations {
		sum += a.Fraction
		if a.Holder[:3] == "d-0" {
			busy = a.Fraction
		}
	}
	t.Logf("%d allocations add up to %.2f; the busy director has %.2f", len(allocations), sum, busy)
	if len(allocations) != 6 || sum > 1 || busy < 0.4 {
		t.Errorf("allocations: %+v", allocations)
	}
}
