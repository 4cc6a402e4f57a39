package main

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

func testSlowStartBudget(t *testing.T, directors int) {
	const (
		warmUp   = 5 * time.Second
		window   = time.Second
		from     = 0.2
		multiple = 4.0
		work     = 0.02 // s of sending time: 10 KB at 500 KB/s
		weight   = 1.0
	)
	var caches []*fakes.Cache
	for range 2 {
		c, err := fakes.NewCache("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		caches = append(caches, c)
	}
	d := newFakeControlPlane(endpointList(1, true, endpoint("s-2", caches[1].Addr(), "in_service", weight, 0)))
	address := serveControlPlane(t, "127.0.0.1:0", d)
	c := quickstartConfig(t, address, 256)
	settings := c["settings"].(map[string]any)
	settings["Balancers"] = directors
	family := settings["FamilyInfo"].(map[string]any)
	family["CountByZone"] = []int{0, directors}
	family["OneFlowKbPerS"] = 500
	rules := settings["Rules"].(map[string]any)
	rules["Cold"] = warmUp.Milliseconds()
	rules["ColdFrom"] = from
	rules["Fall"] = window.Milliseconds()
	rules["TipMultiple"] = multiple
	addrs := make([]string, directors)
	procs := make([]*directorProcess, directors)
	var mu sync.Mutex
	start := func(i int) {
		p := startDirector(t, c, 0)
		addr := p.waitServing()
		mu.Lock()
		defer mu.Unlock()
		procs[i] = p
		addrs[i] = addr
	}
	var launched sync.WaitGroup
	directorBinary(t)
	for i := range directors {
		launched.Go(func() { start(i) })
	}
	launched.Wait()
	if t.Failed() {
		return
	}
	startedAt := time.Now()
	d.publish(endpointList(2, false, endpoint("s-1", caches[0].Addr(), "in_service", weight, startedAt.UnixMilli())))
	var load sync.WaitGroup
	for i := range directors {
		load.Go(func() {
			perSecond := 80 / directors
			if i%5 == 0 { // a fifth of them get 240 requests/s in total, half of them for the cache that is warming up
				perSecond = 240 / ((directors + 4) / 5)
			}
			for until := startedAt.Add(warmUp); time.Now().Before(until); {
				mu.Lock()
				addr := addrs[i]
				mu.Unlock()
				_, _ = fakes.Load(addr, perSecond, min(time.Until(until), 500*time.Millisecond)) // fails while a director is down
			}
		})
	}
	kills := (directors + 3) / 4
	for i := range kills {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i+1) * warmUp * 3 / 4 / time.Duration(kills))))
		_ = procs[4*i].cmd.Process.Kill()
		if err := <-procs[4*i].exited; err == nil {
			t.Error("a killed director exited without an error")
		}
		start(4 * i)
	}
	load.Wait()
	attempts := caches[0].Attempts()
	used := 0.0
	windows := 0
	for w := time.Duration(0); w+window <= warmUp; w += 20 * time.Millisecond {
		n := 0.0
		for _, attempt := range attempts {
			if age := attempt.At.Sub(startedAt); age >= w && age < w+window {
				n++
			}
		}
		share := from + (1-from)*(w+window/2).Seconds()/warmUp.Seconds()
		budget := multiple * share * weight * window.Seconds() / work
		used += n / budget
		windows++
		if bound := budget + 2*math.Sqrt(budget) + 2; n > bound {
			t.Fatalf("%v after its start the cache got %.0f attempts in %v; its budget is %.1f, and the bound with tolerance %.1f",
				w, n, window, budget, bound)
		}
	}
	t.Logf("%d attempts at the cache that is warming up, %d at the other; %.2f of its budget was used",
		len(attempts), len(caches[1].Attempts()), used/float64(windows))
	if len(attempts) == 0 {
		t.Error("no attempt at the cache that is warming up")
	}
}

// Guards against overloading a cache that is warming up with the combined load of directors that do not communicate. A fifth of
// them get most of the demand, and a quarter are killed and restarted during the test.
func TestSlowStartBudgetOfManyProcesses(t *testing.T) {
	for _, directors := range []int{1, 4, 20, 30} {
		t.Run(fmt.Sprint(directors), func(t *testing.T) {
			t.Parallel()
			testSlowStartBudget(t, directors)
		})
	}
}
