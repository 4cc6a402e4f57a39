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

// Measurements run by command alone: STAIRVANE_MEASURE=1 go test -run TestMeasure -v ./internal/controlplane/replicas. Every process is the
// built program; all stores are on one disk.
func measuring(t *testing.T) {
	if os.Getenv("STAIRVANE_MEASURE") == "" {
		t.Skip("a measurement, by command: STAIRVANE_MEASURE=1")
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// writeFor has writers purge as fast as they are answered for a time, each over a connection of its own.
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

// alone starts a board that is no copy.
func alone(t *testing.T) (address string) {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "alone.scm")
	check(t, os.WriteFile(path, []byte("(board (listen 127.0.0.1:0) (store "+filepath.Join(folder, "board.db")+") (write (tcp 127.0.0.1:0)))\n"), 0o600))
	p, err := testharness.Start("alone", program, []string{"board", path}, nil)
	check(t, err)
	t.Cleanup(p.Kill)
	serves, _, err := p.Event("board.serves", 0, patience)
	check(t, err)
	address, _ = serves["write"].(string)
	return address
}

func TestMeasureWrites(t *testing.T) {
	measuring(t)
	base := map[int][]float64{}
	for round := range 3 {
		for _, copies := range []int{0, 1, 3, 5} {
			for _, writers := range []int{1, 64} {
				address := ""
				var s *testharness.Cluster
				if copies == 0 {
					address = alone(t)
				} else {
					s = group(t, copies, 0)
					address = s.Leader(patience).Write.Addr()
				}
				perSecond, p50, p99 := writeFor(t, address, writers, 3*time.Second)
				what := "alone"
				if copies == 0 {
					base[writers] = append(base[writers], perSecond)
				} else {
					what = fmt.Sprintf("%d copies", copies)
					s.Close()
				}
				t.Logf("round %d: %s, %2d writers: %.2f of alone, %.0f/s, p50 %v, p99 %v", round, what, writers, perSecond/base[writers][round], perSecond, p50, p99)
			}
		}
	}
}

// The hole is the time from a fault of the leader to the first write that is accepted afterwards.
func TestMeasureHoles(t *testing.T) {
	measuring(t)
	for _, kind := range []string{"killed", "paused", "cut off", "disk full", "disk broken"} {
		if only := os.Getenv(kindVar); only != "" && only != kind {
			continue
		}
		s := group(t, 3, 0)
		clients := map[string]*api.Client{} // one for each copy: each opens a connection of its own
		for _, b := range s.Replicas {
			c, err := api.NewClient(b.Write.Addr(), "measure", api.Credentials{})
			check(t, err)
			clients[b.Write.Addr()] = c
		}
		var holes []time.Duration
		for n := range fromEnv("STAIRVANE_TIMES", 50) {
			l := s.Leader(patience)
			var others []string
			for _, b := range s.Replicas {
				if b != l || kind == "disk full" || kind == "disk broken" {
					others = append(others, b.Write.Addr())
				}
			}
			if kind == "disk full" {
				check(t, l.LimitFiles(4096))
			}
			begin, mended := time.Now(), make(chan error, 1)
			switch kind {
			case "disk broken":
				go func() {
					_, err := l.FailDisk(syscall.EIO, false, 1500*time.Millisecond)
					mended <- err
				}()
				time.Sleep(20 * time.Millisecond) // all its threads are held before the first write comes
				begin = time.Now()
			case "killed":
				l.Kill()
			case "paused":
				l.Signal(syscall.SIGSTOP)
			case "cut off":
				l.Cut(false, false)
			}
			for i := 0; ; i++ {
				c := clients[others[i%len(others)]]
				if _, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n*1000+i+1)}); err == nil {
					break
				}
				time.Sleep(2 * time.Millisecond)
			}
			holes = append(holes, time.Since(begin))
			switch kind {
			case "killed":
				check(t, l.Start())
			case "paused":
				l.Signal(syscall.SIGCONT)
			case "cut off":
				l.Cut(true, true)
			case "disk full":
				check(t, l.LimitFiles(-1))
			case "disk broken":
				check(t, <-mended)
			}
			check(t, s.Whole(patience))
		}
		t.Logf("leader %s: %d times, hole p50 %v, p90 %v, max %v", kind, len(holes), quantile(holes, 0.5), quantile(holes, 0.9), holes[len(holes)-1])
		s.Close()
	}
}

// follow follows a copy's bulletin as a director does, and tells when it had each event.
func follow(t *testing.T, address string, had func(no int64, at time.Time)) (stop func()) {
	conn, err := net.Dial("tcp", address)
	check(t, err)
	go func() {
		var in []byte
		buf, last := make([]byte, 64<<10), int64(0)
		for {
			if _, err := conn.Write(discovery.AppendRequest(nil, address, last, 1000, nil)); err != nil {
				return
			}
			for {
				r, used, _, err := discovery.ParseResponse(in)
				if err != nil {
					t.Error(err)
					return
				}
				if used == 0 {
					n, err := conn.Read(buf)
					if err != nil {
						return
					}
					in = append(in, buf[:n]...)
					continue
				}
				news, err := discovery.Decode(r.Body)
				if err != nil {
					t.Error(err)
					return
				}
				in = in[:copy(in, in[used:])]
				for last < news.LastRevision {
					last++
					had(last, time.Now())
				}
				break
			}
		}
	}()
	return func() { conn.Close() }
}

// From the answer that an event is accepted to each of 100 followers having it, spread over three copies.
func TestMeasureTold(t *testing.T) {
	measuring(t)
	s := group(t, 3, 0)
	const followers, rounds = 100, 200
	type one struct {
		no int64
		at time.Time
	}
	came := make(chan one, followers*rounds*2)
	for i := range followers {
		defer follow(t, s.Replicas[i%3].Follow.Addr(), func(no int64, at time.Time) { came <- one{no, at} })()
	}
	time.Sleep(time.Second)
	c, err := api.NewClient(s.Leader(patience).Write.Addr(), "measure", api.Credentials{})
	check(t, err)
	var each, last []time.Duration
	for n := range rounds {
		p, err := c.Purge(fleet.Purge{Object: fmt.Sprintf("%016x", n+1)})
		check(t, err)
		accepted, latest := time.Now(), time.Duration(0)
		for got := 0; got < followers; {
			select {
			case x := <-came:
				if x.no != p.Revision {
					continue
				}
				took := max(0, x.at.Sub(accepted))
				got, each, latest = got+1, append(each, took), max(latest, took)
			case <-time.After(patience):
				t.Fatalf("event %d came to %d of %d", p.Revision, got, followers)
			}
		}
		last = append(last, latest)
	}
	t.Logf("%d events to %d followers at 3 copies: each p50 %v, p99 %v; the last of them p50 %v, p99 %v, max %v", rounds, followers, quantile(each, 0.5), quantile(each, 0.99),
		quantile(last, 0.5), quantile(last, 0.99), last[len(last)-1])
}

// A machine is lost when the history has many events; a new one takes its place while writes go on.
func TestMeasureReplacement(t *testing.T) {
	measuring(t)
	s := group(t, 3, 0)
	events := fromEnv("STAIRVANE_EVENTS", 100_000)
	c, err := s.Client()
	check(t, err)
	at := s.Leader(patience).Write.Addr()
	for done := int64(0); done < int64(events); {
		writeFor(t, at, 256, 5*time.Second)
		w, err := c.State()
		check(t, err)
		done = w.Fleet.Revision
	}
	check(t, s.Whole(patience))
	_, p50, p99 := writeFor(t, at, 8, 5*time.Second)
	t.Logf("before: p50 %v, p99 %v", p50, p99)
	var lost *testharness.Replica
	for _, b := range s.Replicas {
		if b.Write.Addr() != at {
			lost = b
		}
	}
	lost.Kill()
	check(t, os.RemoveAll(lost.Folder))
	check(t, os.MkdirAll(lost.Folder, 0o700))
	check(t, lost.Start())
	begin := time.Now()
	(&nemesis{t: t, group: s}).replace(lost)
	var whole time.Duration
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.Whole(10*time.Minute) == nil {
			whole = time.Since(begin)
		}
	}()
	_, p50, p99 = writeFor(t, at, 8, 5*time.Second)
	<-done
	t.Logf("%d events: the new disk counts after %v; meanwhile p50 %v, p99 %v", events, whole, p50, p99)
}

// What a claim adds to a keyed request, one after the other and under load, and what it costs in messages and memory.
func TestMeasureClaims(t *testing.T) {
	measuring(t)
	for round := range 3 {
		for _, claims := range []string{"", "(claims (listen 127.0.0.1:0) (unreached wait))"} {
			s := group(t, 3, 0)
			startDepots(t, s)
			var directors []*testharness.Director
			for i := range 6 {
				d, err := s.StartDirector(fmt.Sprintf("d-%d", i), []string{"west", "east"}[i%2], i%3, claims)
				check(t, err)
				directors = append(directors, d)
			}
			served := false
			for end := time.Now().Add(patience); !served && time.Now().Before(end); {
				c, err := fakes.Connect(directors[0].Addr)
				check(t, err)
				check(t, c.Ask("orders", 1, time.Second, "token", fmt.Sprint("w", time.Now().UnixNano())))
				served = c.Finish(2*time.Second).Served == 1
			}
			time.Sleep(time.Second)
			before := residentKB(directors[0].Pid())
			c, err := fakes.Connect(directors[0].Addr)
			check(t, err)
			const n = 4000
			for k := range n {
				check(t, c.Ask("orders", uint64(k), 5*time.Second, "token", fmt.Sprintf("m%dx%d", round, k)))
				time.Sleep(time.Millisecond)
			}
			tally := c.Finish(patience)
			took := c.Took()
			t.Logf("round %d, claims %q: %d served of %d, p50 %v, p99 %v, resident %d kB before, %d kB after", round, claims, tally.Served, tally.Sent,
				quantile(took, 0.5), quantile(took, 0.99), before, residentKB(directors[0].Pid()))
			for _, d := range directors {
				d.Kill()
			}
			s.Close()
		}
	}
}

func residentKB(pid int) (kb int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}
