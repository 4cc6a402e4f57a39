package director

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// Guards against a lost or duplicate answer, or a late drain, on several cores while one of them is stalled.
func TestCoresAnswerOnceAndDrainInTime(t *testing.T) {
	for _, cores := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			g := newTestGroup(t, cores, 4)
			got := make(chan fakes.Tally, 1)
			go func() { got <- g.load(24, 300, 80*time.Millisecond) }()
			for end := time.Now().Add(testTimeout); len(g.caches[0].Attempts()) < 100; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("no load")
				}
			}
			last := g.group.cores[cores-1].prog
			stalled := make(chan struct{})
			stall := 300 * time.Millisecond
			if cores > 1 { // longer than the grace period: requests that arrived before the event are read before it
				stall = 800 * time.Millisecond
			}
			last.Post(func() { close(stalled); time.Sleep(stall) })
			<-stalled
			time.Sleep(100 * time.Millisecond)
			g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":false,"hosts":[%s]}}]}`,
				g.host(0, "terminating"))
			published := time.Now()
			sum := <-got
			t.Logf("%+v", sum)
			if sum.Sent != 24*300 || sum.Served+sum.Rejected+sum.Failed != sum.Sent ||
				sum.Duplicated+sum.Lost > 0 || sum.Served < sum.Sent/2 {
				t.Errorf("%+v", sum)
			}
			latest := time.Duration(0)
			busy := 0
			for _, attempt := range g.caches[0].Attempts() {
				latest = max(latest, attempt.At.Sub(published))
			}
			if latest > 500*time.Millisecond {
				t.Errorf("sent %v after the event", latest)
			}
			t.Logf("last attempt at the drained cache %v after the event", latest)
			counts := make(chan int64, cores)
			g.group.onAllCores(func(p *Program) { counts <- p.director.Counters.Accepted })
			for range cores {
				if <-counts > 0 {
					busy++
				}
			}
			if busy < cores {
				t.Errorf("%d of %d cores accepted requests", busy, cores)
			}
		})
	}
}

// Guards against one ID having attempts in flight on two cores.
func TestIDIsInFlightOnOneCoreOnly(t *testing.T) {
	silent := newScriptedCache(t) // the test answers
	g := newTestGroup(t, 4, 1)
	g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s]}}]}`, silent.host("s-9", "in_service"))
	g.waitAllApplied(2)
	var peers []*scriptedConn
	for range 16 {
		conn, err := net.Dial("tcp", g.addr)
		must(t, err)
		p := newScriptedConn(t, conn)
		p.submit(requestA, objectA)
		peers = append(peers, p)
	}
	upstream := silent.accept()
	id, _ := upstream.request()
	failed := make(chan reply, len(peers))
	for _, p := range peers {
		go func() { failed <- p.reply() }()
	}
	for range len(peers) - 1 {
		if r := <-failed; r.result != 2 {
			t.Errorf("%+v", r)
		}
	}
	upstream.answer(id, "OK", "n=local", "a")
	if r := <-failed; r.result != 0 || r.body != "a" {
		t.Errorf("%+v", r)
	}
	select {
	case w := <-upstream.commands:
		t.Errorf("a second request: %v", w)
	default:
	}
}

// Guards against spending a separate slow start budget on each core for a cache that is warming up.
func TestCoresShareOneSlowStartBudget(t *testing.T) {
	const (
		window = time.Second
		send   = 2 * time.Millisecond // sending time of a request: its size divided by the rate of a transfer
	)
	nominal := strings.NewReplacer(`"Zone":"west"`, `"Zone":"west","Weights":"nominal"`, `"Fall":3000`, `"Fall":1000`).Replace(testSettings)
	g := newTestGroupWith(t, 4, 2, nominal)
	got := make(chan fakes.Tally, 1)
	go func() { got <- g.load(24, 112, 480*time.Millisecond) }()
	for end := time.Now().Add(testTimeout); len(g.caches[0].Attempts())+len(g.caches[1].Attempts()) < 200; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no load")
		}
	}
	started := time.Now()
	line := func(i int, share float64, startedAtMS int64) string {
		return fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"west","class":"std","health":"in_service","share":%g,"born_ms":%d}`,
			i, g.caches[i].Addr(), share, startedAtMS)
	}
	g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":false,"hosts":[%s,%s]}}]}`,
		line(0, 0.25, 0), line(1, 1, started.UnixMilli()))
	sum := <-got
	if sum.Served+sum.Rejected+sum.Failed != sum.Sent || sum.Duplicated+sum.Lost > 0 || sum.Served < sum.Sent/2 {
		t.Errorf("%+v", sum)
	}
	var at []time.Duration // times of the attempts at the cache that is warming up, since its start
	for _, attempt := range g.caches[1].Attempts() {
		if since := attempt.At.Sub(started); since > 50*time.Millisecond { // the event has reached all cores by then
			at = append(at, since)
		}
	}
	slices.Sort(at)
	worst := 0.0
	for first, i := 0, 0; i < len(at); i++ {
		for at[first] <= at[i]-window {
			first++
		}
		share := 0.17 + 0.83*at[first].Seconds()/16 // at the start of the window, when its capacity is lowest
		worst = max(worst, float64(i-first+1)*send.Seconds()/(4*share*window.Seconds()))
	}
	t.Logf("%d attempts at the cache that is warming up, at worst %.2f of its budget", len(at), worst)
	if worst > 1 || worst < 0.1 {
		t.Errorf("%.2f of the budget of a window: above 1 the cache is overloaded, below 0.1 the test has too little load", worst)
	}
}

// Guards against each core using the whole of a limit that directors share.
func TestCoresCountAsDirectors(t *testing.T) {
	c := config.Config{}
	c.Settings.Directors = 3
	c.Settings.DirectorsByZone = []int{0, 2}
	part := divideLimits(c, 4).Settings
	if part.Directors != 12 || !slices.Equal(part.DirectorsByZone, []int{0, 8}) {
		t.Errorf("%d directors, by zone %v", part.Directors, part.DirectorsByZone)
	}
	if c.Settings.DirectorsByZone[1] != 2 {
		t.Error("the configuration shared by the cores was modified")
	}
}
