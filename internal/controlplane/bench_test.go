package controlplane

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
)

// BenchmarkCommit measures the durable changes per second of 64 writers, with batches of changes that share a sync and with one sync
// per change.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{256, 1} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			s, err := store.Open(filepath.Join(b.TempDir(), "s"), store.Options{Batch: batch})
			check(b, err)
			defer func() { check(b, s.Close()) }()
			b.SetParallelism(64 / runtime.GOMAXPROCS(0))
			b.ResetTimer()
			var n atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := storePurge(s, n.Add(1)); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// BenchmarkAcknowledged measures the time from a commit (when Do returns) until every watcher has requested the events after it. All
// watchers run in this process and connect over loopback.
func BenchmarkAcknowledged(b *testing.B) {
	for _, watchers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			set := settingsIn(b.TempDir())
			server, _ := start(b, set)
			addr, err := server.Addr()
			check(b, err)
			var acks atomic.Int64
			for range watchers {
				conn, err := net.Dial("tcp", addr.String())
				check(b, err)
				defer func() { _ = conn.Close() }() // the server may have closed it
				go watchInLoop(conn, &acks)
			}
			waitUntil(b, "all watchers are connected", func() bool { return server.watches.Count() == watchers })
			took := make([]time.Duration, 0, b.N)
			goroutines := runtime.NumGoroutine()
			b.ResetTimer()
			for i := range b.N {
				check(b, storePurge(server.store, int64(i)))
				from := time.Now()
				last := server.store.Fleet().Revision
				for server.acknowledgedRevision() < last {
					time.Sleep(20 * time.Microsecond)
				}
				took = append(took, time.Since(from))
			}
			b.StopTimer()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(goroutines-watchers), "own-goroutines")
		})
	}
}

// watchInLoop requests the next events as soon as it has received an answer.
func watchInLoop(conn net.Conn, acks *atomic.Int64) {
	in := bufio.NewReader(conn)
	after := int64(0)
	for {
		if _, err := fmt.Fprintf(conn, "GET /bulletins?after=%d&patience=5000 HTTP/1.1\r\nHost: x\r\n\r\n", after); err != nil {
			return
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return
		}
		if _, err := fmt.Sscanf(string(body), `{"no":%d,`, &after); err != nil {
			return
		}
		acks.Add(1)
	}
}

// BenchmarkRecovery opens a store of 1,000,000 events whose writer was killed (-9), with a snapshot near the end and without any. It
// takes minutes and therefore runs only if STAIRVANE_LONG is set.
func BenchmarkRecovery(b *testing.B) {
	if os.Getenv("STAIRVANE_LONG") == "" {
		b.Skip("set STAIRVANE_LONG=1")
	}
	for _, every := range []int{2 * recoveryEvents, 100_000} {
		b.Run(fmt.Sprintf("snapshot-every=%d", every), func(b *testing.B) {
			folder := b.TempDir()
			cmd := exec.Command(os.Args[0], "-test.run=^$")
			cmd.Env = append(os.Environ(), childMode+"=fill", childFolder+"="+folder, childKillPoint+"="+strconv.Itoa(every))
			var exit *exec.ExitError
			if err := cmd.Run(); !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				b.Fatal(err)
			}
			path := filepath.Join(folder, "s")
			info, err := os.Stat(path)
			check(b, err)
			b.ResetTimer()
			for range b.N {
				s, err := store.Open(path, store.Options{SnapshotEvery: every, KeepEvents: 10_000})
				check(b, err)
				b.StopTimer()
				if s.Fleet().Revision != recoveryEvents {
					b.Fatal(s.Fleet().Revision)
				}
				check(b, s.Close())
				b.StartTimer()
			}
			b.ReportMetric(float64(info.Size())/(1<<20), "file-MB")
		})
	}
}

const recoveryEvents = 1_000_000

// fillStoreAndDie is a child process that writes the events of BenchmarkRecovery and kills itself.
func fillStoreAndDie(folder string, every int) int {
	s, err := store.Open(filepath.Join(folder, "s"), store.Options{NoSync: true, SnapshotEvery: every, KeepEvents: 10_000, Batch: 1024})
	if err != nil {
		return 1
	}
	var n atomic.Int64
	var wg sync.WaitGroup
	for range 1024 {
		wg.Go(func() {
			for i := n.Add(1); i <= recoveryEvents; i = n.Add(1) {
				if s.Do(func(t *store.Tx) error {
					e := fleet.Event{Who: "bench", Host: &fleet.Host{
						State: fleet.InService, Serving: float64(i),
						HostSpec: fleet.HostSpec{
							Name:    fmt.Sprintf("c-%d", i%10_000),
							Address: fmt.Sprintf("10.0.0.0:%d", i%10_000),
							Role:    fleet.Cache,
							Share:   4,
						},
					}}
					_, err := t.Append(e)
					return err
				}) != nil {
					os.Exit(1)
				}
			}
		})
	}
	wg.Wait()
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// BenchmarkApply applies a plan of about 10,000 steps without waits. Each step takes two durable transactions.
func BenchmarkApply(b *testing.B) {
	_, c := start(b, settingsIn(b.TempDir()))
	rules := rulesWithoutWaits()
	rules.MaxParallelSteps = 64
	origin := fleet.HostSpec{Name: "store", Role: fleet.Origin, Address: "s:1", Site: "hub", Class: "origin", Share: 1e6}
	desired := fleet.DesiredState{Rules: rules, Hosts: []fleet.HostSpec{origin}}
	for i := range 10_000 {
		site := fmt.Sprintf("d-%03d", i/20)
		if i%20 == 0 {
			desired.Locations = append(desired.Locations, fleet.Location{Name: site, Floor: 8, Load: 8, Sources: []string{"store"}})
		}
		desired.Hosts = append(desired.Hosts, fleet.HostSpec{
			Name:    fmt.Sprintf("c-%05d", i),
			Role:    fleet.Cache,
			Address: fmt.Sprintf("%d:1", i),
			Site:    site,
			Class:   "k",
			Share:   4,
			Running: true,
		})
	}
	file := planTo(b, c, desired)
	b.ResetTimer()
	for range b.N {
		a, err := c.Submit(file)
		check(b, err)
		for {
			all, err := c.Applies()
			check(b, err)
			if now := all[a.ID-1]; now.Status != "running" {
				check(b, notDone(mustApply(b, c, a.ID)))
				b.ReportMetric(float64(now.Steps), "steps")
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func mustApply(b *testing.B, c *api.Client, id int64) api.Apply {
	a, err := c.Apply(id)
	check(b, err)
	return a
}
