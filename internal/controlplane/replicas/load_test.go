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

// loadedFleet is directors, each with a client that sends requests without end.
type loadedFleet struct {
	directors []*testharness.Director
	clients   []*fakes.Client
	stop      chan struct{}
	load      sync.WaitGroup
}

// startLoadedFleet starts directors that watch the replicas, spread over them, waits until each
// serves, and has a client request random objects from each, with random pauses. objects is how
// many objects there are, pause the mean pause.
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

// stopLoad stops the load and adds up what the clients got.
func (f *loadedFleet) stopLoad() (sum fakes.Tally) {
	close(f.stop)
	f.load.Wait()
	for _, c := range f.clients {
		sum = addTallies(sum, c.Finish(patience))
	}
	return sum
}

// addTallies adds up the outcomes of two clients' requests.
func addTallies(a, b fakes.Tally) fakes.Tally {
	a.Sent += b.Sent
	a.Served += b.Served
	a.Rejected += b.Rejected
	a.Failed += b.Failed
	a.Duplicated += b.Duplicated
	a.Lost += b.Lost
	return a
}
