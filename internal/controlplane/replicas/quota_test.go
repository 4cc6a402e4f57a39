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

// attemptsPerWindow counts a cache's requests in each window of time since a moment.
func attemptsPerWindow(cache *fakes.Cache, since time.Time, window time.Duration, windows int) []int {
	counts := make([]int, windows)
	for _, attempt := range cache.Attempts() {
		if n := int(attempt.At.Sub(since) / window); !attempt.At.Before(since) && n < windows {
			counts[n]++
		}
	}
	return counts
}

// fullestWindow returns the requests in the window of 3 s that came nearest to what a cache which
// is warming up can bear, and that bound. A cache bears 4 times the requests that its share allows,
// of which it has 0.17 at its first request and all 16 s later, and 3 standard deviations and 3
// more by chance.
func fullestWindow(cache *fakes.Cache, share float64, work time.Duration) (requests int, bound float64) {
	const window = 3 * time.Second
	attempts := cache.Attempts()
	highestRatio := -1.0
	for i, attempt := range attempts {
		warm := min(1, attempt.At.Sub(attempts[0].At).Seconds()/16)
		mean := 4 * (0.17 + 0.83*warm) * share * window.Seconds() / work.Seconds()
		bears := mean + 3*math.Sqrt(mean) + 3
		inWindow := 0
		for _, later := range attempts[i:] {
			if later.At.Sub(attempt.At) < window {
				inWindow++
			}
		}
		if ratio := float64(inWindow) / bears; ratio > highestRatio {
			highestRatio = ratio
			requests = inWindow
			bound = bears
		}
	}
	return requests, bound
}

// checkFullestWindow checks that a cache which is warming up was never sent more than it can bear,
// and that it was sent requests.
func checkFullestWindow(t *testing.T, cache *fakes.Cache) {
	t.Helper()
	requests, bound := fullestWindow(cache, 4, 200*time.Millisecond)
	t.Logf("the fullest window of 3 s had %d requests, the cache fails at more than %.0f", requests, bound)
	if requests < 10 || float64(requests) > bound {
		t.Errorf("a window of 3 s had %d requests, at %.0f the cache fails", requests, bound)
	}
}

// withWarmingCache returns a desired state with one more cache, which begins with 0.17 of its share
// and has all of it 16 s later.
func withWarmingCache(desired fleet.DesiredState, cache *fakes.Cache) fleet.DesiredState {
	desired.Rules.Cache.WarmUpMS = 16000
	desired.Hosts = append(slices.Clone(desired.Hosts), cacheSpec(3, cache.Addr(), false))
	desired.Normalize()
	return desired
}

// requestClips requests random objects with a pause between two until it is stopped.
func requestClips(c *fakes.Client, pause time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			object := rand.Uint64N(200)
			if c.SendRequest("clips", 1+object, 5*time.Second, "group", fmt.Sprint(object), "mem", "1000") != nil {
				return
			}
		}
	}
}

// unevenPause is the pause of a director's client: the first director gets most of the load.
func unevenPause(director int) time.Duration {
	if director == 0 {
		return 2 * time.Millisecond
	}
	return 200 * time.Millisecond
}

// Guards the division of a quota by demand. A cache that is warming up is added under a load of
// which one director of six has nine tenths, by processes. That director gets what the others leave
// of the cache's capacity. Never is the cache sent more than it can bear, though a director is
// paused and another is killed.
func TestQuotaOfAWarmingCacheFollowsDemand(t *testing.T) {
	seed := uint64(fromEnv(seedVar, 1))
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
		load.Go(func() { requestClips(c, unevenPause(i), stop) })
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
	t.Logf("requests at the warming cache, second by second: %v", attemptsPerWindow(caches[3], begin, time.Second, 8))
	checkFullestWindow(t, caches[3])
}

// checkAllocations checks that six directors have allocations which add up to at most all of the
// quota, and that the busy director d-0 has much of it.
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
	t.Logf("%d allocations add up to %.2f; the busy director has %.2f of it", len(allocations), sum, busy)
	if len(allocations) != 6 || sum > 1 || busy < 0.4 {
		t.Errorf("allocations: %+v", allocations)
	}
}
