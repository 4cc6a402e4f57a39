package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// loadedFleet is a group of directors, each with a client that sends requests until stopLoad.
type loadedFleet struct {
	directors []*testharness.Director
	clients   []*fakes.Client
	stop      chan struct{}
	load      sync.WaitGroup
}

// startLoadedFleet starts n directors, distributes their watches over the replicas, and waits until
// each director serves. It then starts a client for each director that requests random objects with
// random pauses. objects is the number of distinct objects, and pause is the mean pause.
func startLoadedFleet(t *testing.T, cluster *testharness.Cluster, n int, forms string, objects int, pause time.Duration) *loadedFleet {
	t.Helper()
	f := &loadedFleet{stop: make(chan struct{})}
	for i := range n {
		d, err := cluster.StartDirector(fmt.Sprintf("d-%d", i), "west", i%len(cluster.Replicas), forms)
		check(t, err)
		t.Cleanup(d.Kill)
		f.directors = append(f.directors, d)
		awaitServing(t, d)
	}
	for i, d := range f.directors {
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		f.clients = append(f.clients, c)
		rng := rand.New(rand.NewPCG(uint64(i), 21))
		f.load.Go(func() {
			for {
				select {
				case <-f.stop:
					return
				case <-time.After(time.Duration(rng.ExpFloat64() * float64(pause))):
					if c.SendRandom(objects, 5*time.Second) != nil {
						return
					}
				}
			}
		})
	}
	return f
}

// stopLoad stops the clients and returns the sum of their tallies.
func (f *loadedFleet) stopLoad() (sum fakes.Tally) {
	close(f.stop)
	f.load.Wait()
	for _, c := range f.clients {
		sum = addTallies(sum, c.Finish(waitTimeout))
	}
	return sum
}

// addTallies returns the sum of two tallies.
func addTallies(a, b fakes.Tally) fakes.Tally {
	a.Sent += b.Sent
	a.Served += b.Served
	a.Rejected += b.Rejected
	a.Failed += b.Failed
	a.Duplicated += b.Duplicated
	a.Lost += b.Lost
	return a
}
