package replicas_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// skipUnlessMeasuring skips a measurement unless STAIRVANE_MEASURE is set: STAIRVANE_MEASURE=1 go
// test -run TestMeasure -v ./internal/controlplane/replicas. Each process runs the built program; all
// stores are on the same disk.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("STAIRVANE_MEASURE") == "" {
		t.Skip("a measurement, run only with STAIRVANE_MEASURE=1")
	}
}

// quantile sorts durations in place and returns their q-quantile.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// writeFor runs writers that purge as fast as they get responses, each over its own connection. It
// returns the rate and the latency quantiles of the purges.
func writeFor(t *testing.T, addresses string, writers int, length time.Duration) (perSecond float64, p50, p99 time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for w := range writers {
		c, err := api.NewClient(addresses, "measure", api.Credentials{})
		check(t, err)
		wg.Go(func() {
			var own []time.Duration
			for n := 0; time.Since(begin) < length; n++ {
				at := time.Now()
				if _, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%08x%08x", w+1, n)}); err != nil {
					t.Error(err)
					return
				}
				own = append(own, time.Since(at))
			}
			mu.Lock()
			all = append(all, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	return float64(len(all)) / length.Seconds(), quantile(all, 0.5), quantile(all, 0.99)
}

// startSingle starts a control plane without replicas.
func startSingle(t *testing.T) (address string) {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "alone.scm")
	settings := "(board (listen 127.0.0.1:0) (store " + filepath.Join(folder, "board.db") + ") (write (tcp 127.0.0.1:0)))\n"
	check(t, os.WriteFile(path, []byte(settings), 0o600))
	p, err := testharness.Start("alone", fleetBinary, []string{"board", path}, nil)
	check(t, err)
	t.Cleanup(p.Kill)
	serves, _, err := p.Event("controlplane.started", 0, waitTimeout)
	check(t, err)
	address, _ = serves["write"].(string)
	return address
}

// TestMeasureWrites measures the durable writes per second of 1, 3 and 5 replicas, relative to
// those of a control plane without replicas.
func TestMeasureWrites(t *testing.T) {
	skipUnlessMeasuring(t)
	single := map[int][]float64{} // writes per second without replicas, by number of writers and round
	for round := range 3 {
		for _, replicas := range []int{0, 1, 3, 5} {
			for _, writers := range []int{1, 64} {
				perSecond, p50, p99 := measureWrites(t, replicas, writers)
				if replicas == 0 {
					single[writers] = append(single[writers], perSecond)
				}
				t.Logf("round %d: %d replicas, %2d writers: %.2f of the rate without replicas, %.0f/s, p50 %v, p99 %v",
					round, replicas, writers, perSecond/single[writers][round], perSecond, p50, p99)
			}
		}
	}
}

func measureWrites(t *testing.T, replicas, writers int) (perSecond float64, p50, p99 time.Duration) {
	t.Helper()
	const length = 3 * time.Second
	if replicas == 0 {
		return writeFor(t, startSingle(t), writers, length)
	}
	cluster := startGroup(t, replicas, 0)
	defer cluster.Close()
	return writeFor(t, cluster.Leader(waitTimeout).Write.Addr(), writers, length)
}

// TestMeasureUnavailability measures the time from a fault of the leader to the next accepted
// write.
func TestMeasureUnavailability(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, kind := range []string{"killed", "paused", "cut off", "disk full", "disk broken"} {
		if only := os.Getenv(kindVar); only != "" && only != kind {
			continue
		}
		cluster := startGroup(t, 3, 0)
		clients := map[string]*api.Client{} // one for each replica, with its own connection
		for _, r := range cluster.Replicas {
			c, err := api.NewClient(r.Write.Addr(), "measure", api.Credentials{})
			check(t, err)
			clients[r.Write.Addr()] = c
		}
		var outages []time.Duration
		for n := range envInt("STAIRVANE_TIMES", 50) {
			leader := cluster.Leader(waitTimeout)
			var others []string
			for _, r := range cluster.Replicas {
				if r != leader || kind == "disk full" || kind == "disk broken" {
					others = append(others, r.Write.Addr())
				}
			}
			if kind == "disk full" {
				check(t, leader.LimitFiles(4096))
			}
			begin := time.Now()
			repaired := make(chan error, 1)
			switch kind {
			case "disk broken":
				go func() {
					_, err := leader.FailDisk(syscall.EIO, false, 1500*time.Millisecond)
					repaired <- err
				}()
				time.Sleep(20 * time.Millisecond) // until FailDisk has stopped all threads of the process, before the first write
				begin = time.Now()
			case "killed":
				leader.Kill()
			case "paused":
				leader.Signal(syscall.SIGSTOP)
			case "cut off":
				leader.Cut(false, false)
			}
			for i := 0; ; i++ {
				c := clients[others[i%len(others)]]
				if _, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n*1000+i+1)}); err == nil {
					break
				}
				time.Sleep(2 * time.Millisecond)
			}
			outages = append(outages, time.Since(begin))
			switch kind {
			case "killed":
				check(t, leader.Start())
			case "paused":
				leader.Signal(syscall.SIGCONT)
			case "cut off":
				leader.Cut(true, true)
			case "disk full":
				check(t, leader.LimitFiles(-1))
			case "disk broken":
				check(t, <-repaired)
			}
			check(t, cluster.AwaitComplete(waitTimeout))
		}
		t.Logf("leader %s: %d times, no writes accepted for p50 %v, p90 %v, max %v",
			kind, len(outages), quantile(outages, 0.5), quantile(outages, 0.9), outages[len(outages)-1])
		cluster.Close()
	}
}

// watch watches a replica as a director does, and calls received with the number of each event.
func watch(t *testing.T, address string, received func(no int64, at time.Time)) (stop func()) {
	conn, err := net.Dial("tcp", address)
	check(t, err)
	go func() {
		var in []byte
		buffer := make([]byte, 64<<10)
		last := int64(0)
		for {
			if _, err := conn.Write(discovery.AppendRequest(nil, address, last, 1000, nil)); err != nil {
				return
			}
			for {
				response, used, _, err := discovery.ParseResponse(in)
				if err != nil {
					t.Error(err)
					return
				}
				if used == 0 {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					in = append(in, buffer[:n]...)
					continue
				}
				events, err := discovery.Decode(response.Body)
				if err != nil {
					t.Error(err)
					return
				}
				in = in[:copy(in, in[used:])]
				for last < events.LastRevision {
					last++
					received(last, time.Now())
				}
				break
			}
		}
	}()
	return func() { _ = conn.Close() } // ends the watch
}

// TestMeasureNotification measures the time from the acknowledgment of an event until each of 100
// watchers, distributed over three replicas, has received it.
func TestMeasureNotification(t *testing.T) {
	skipUnlessMeasuring(t)
	cluster := startGroup(t, 3, 0)
	const watchers, rounds = 100, 200
	type receipt struct {
		no int64
		at time.Time
	}
	receipts := make(chan receipt, watchers*rounds*2)
	for i := range watchers {
		defer watch(t, cluster.Replicas[i%3].Watch.Addr(), func(no int64, at time.Time) { receipts <- receipt{no, at} })()
	}
	time.Sleep(time.Second)
	c, err := api.NewClient(cluster.Leader(waitTimeout).Write.Addr(), "measure", api.Credentials{})
	check(t, err)
	var each, last []time.Duration
	for n := range rounds {
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n+1)})
		check(t, err)
		accepted := time.Now()
		latest := time.Duration(0)
		for received := 0; received < watchers; {
			select {
			case r := <-receipts:
				if r.no != p.Revision {
					continue
				}
				took := max(0, r.at.Sub(accepted))
				received++
				each = append(each, took)
				latest = max(latest, took)
			case <-time.After(waitTimeout):
				t.Fatalf("event %d reached %d of %d watchers", p.Revision, received, watchers)
			}
		}
		last = append(last, latest)
	}
	t.Logf("%d events to %d watchers of 3 replicas: each watcher p50 %v, p99 %v; the last watcher p50 %v, p99 %v, max %v",
		rounds, watchers, quantile(each, 0.5), quantile(each, 0.99), quantile(last, 0.5), quantile(last, 0.99), last[len(last)-1])
}

// TestMeasureReplacement measures the time until a new disk has replaced a lost one when the event
// log is long, and the latency of writes during the replacement.
func TestMeasureReplacement(t *testing.T) {
	skipUnlessMeasuring(t)
	cluster := startGroup(t, 3, 0)
	events := envInt("STAIRVANE_EVENTS", 100_000)
	c, err := cluster.Client()
	check(t, err)
	address := cluster.Leader(waitTimeout).Write.Addr()
	for done := int64(0); done < int64(events); {
		writeFor(t, address, 256, 5*time.Second)
		state, err := c.State()
		check(t, err)
		done = state.Fleet.Revision
	}
	check(t, cluster.AwaitComplete(waitTimeout))
	_, p50, p99 := writeFor(t, address, 8, 5*time.Second)
	t.Logf("before: p50 %v, p99 %v", p50, p99)
	var lost *testharness.Replica
	for _, r := range cluster.Replicas {
		if r.Write.Addr() != address {
			lost = r
		}
	}
	lost.Kill()
	check(t, os.RemoveAll(lost.Folder))
	check(t, os.MkdirAll(lost.Folder, 0o700))
	check(t, lost.Start())
	begin := time.Now()
	(&nemesis{t: t, cluster: cluster}).replace(lost)
	var took time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		if cluster.AwaitComplete(10*time.Minute) == nil {
			took = time.Since(begin)
		}
	}()
	_, p50, p99 = writeFor(t, address, 8, 5*time.Second)
	<-done
	t.Logf("%d events: the new disk is a voter after %v; writes during the replacement: p50 %v, p99 %v", events, took, p50, p99)
}

// TestMeasureClaims measures what claims add to the latency of requests with an idempotency key,
// and to the memory of a director.
func TestMeasureClaims(t *testing.T) {
	skipUnlessMeasuring(t)
	for round := range 3 {
		for _, claims := range []string{"", "(claims (listen 127.0.0.1:0) (unreached wait))"} {
			cluster := startGroup(t, 3, 0)
			startTwoLocations(t, cluster)
			var directors []*testharness.Director
			for i := range 6 {
				d, err := cluster.StartDirector(fmt.Sprintf("d-%d", i), []string{"west", "east"}[i%2], i%3, claims)
				check(t, err)
				directors = append(directors, d)
			}
			served := false
			for end := time.Now().Add(waitTimeout); !served && time.Now().Before(end); {
				c, err := fakes.Connect(directors[0].Addr)
				check(t, err)
				check(t, c.SendRequest("orders", 1, time.Second, "token", fmt.Sprint("w", time.Now().UnixNano())))
				served = c.Finish(2*time.Second).Served == 1
			}
			time.Sleep(time.Second)
			before := residentKB(directors[0].Pid())
			c, err := fakes.Connect(directors[0].Addr)
			check(t, err)
			const n = 4000
			for k := range n {
				check(t, c.SendRequest("orders", uint64(k), 5*time.Second, "token", fmt.Sprintf("m%dx%d", round, k)))
				time.Sleep(time.Millisecond)
			}
			tally := c.Finish(waitTimeout)
			took := c.Latencies()
			after := residentKB(directors[0].Pid())
			t.Logf("round %d, claims %q: %d served of %d, p50 %v, p99 %v, resident %d kB before, %d kB after",
				round, claims, tally.Served, tally.Sent, quantile(took, 0.5), quantile(took, 0.99), before, after)
			for _, d := range directors {
				d.Kill()
			}
			cluster.Close()
		}
	}
}

// residentKB returns the resident memory of a process in kB.
func residentKB(pid int) (kb int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}
