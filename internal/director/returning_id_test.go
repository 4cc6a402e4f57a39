package director

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// unsafeSettings has a class whose requests must not run twice, beside the usual one.
var unsafeSettings = strings.Replace(strings.NewReplacer(
	`"GoodFor":[0]`, `"GoodFor":[0,0]`, `"OlderBy":[0]`, `"OlderBy":[0,0]`, `"PassOn":[false]`, `"PassOn":[false,true]`,
	`"MultiPart":[true]`, `"MultiPart":[true,false]`).Replace(testSettings),
	`"Group":"all"}]`, `"Group":"all"},{"Name":"orders","Aim":600,"AimStretch":2,"Deadline":6000,"Worth":2,"Effect":"unsafe"}]`, 1)

// countAll counts the requests that arrive on a cache's connections, until the test ends.
func countAll(cache *scriptedCache) *atomic.Int64 { return countRequests(cache, "") }

// countRequests counts the requests with an ID, or all if it is empty, that arrive on a cache's connections, until the test ends.
func countRequests(cache *scriptedCache, id string) (count *atomic.Int64) {
	count = &atomic.Int64{}
	go func() {
		for {
			conn, err := cache.listener.Accept()
			if err != nil {
				return
			}
			p := newScriptedConn(cache.t, conn)
			p.commands = make(chan []string, 4096)
			go p.serve()
			go func() {
				for cmd := range p.commands {
					if cmd[0] == "do" && (id == "" || cmd[1] == id) {
						count.Add(1)
					}
				}
			}()
		}
	}()
	return count
}

// waitCount waits until a counter reaches a value.
func waitCount(t *testing.T, count *atomic.Int64, want int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); count.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d, want %d", count.Load(), want)
		}
	}
}

// busyCore returns the index of the core that has a request in flight.
func (g *testGroup) busyCore() int {
	g.t.Helper()
	for _, c := range g.group.cores {
		busy := make(chan bool)
		c.prog.Post(func() { busy <- c.prog.director.InFlight() > 0 })
		if <-busy {
			return c.index
		}
	}
	g.t.Fatal("no core has a request in flight")
	return 0
}

// attempts returns the number of attempts that a core has sent.
func (g *testGroup) attempts(c *core) int64 {
	n := make(chan int64)
	c.prog.Post(func() { n <- c.prog.director.Counters.Attempts })
	return <-n
}

// Guards against an ID that runs a second time because it comes back on another core, which does not know of the first run.
func TestIDThatReturnsOnAnotherCoreDoesNotRunAgain(t *testing.T) {
	for _, class := range []string{"clips", "orders"} {
		t.Run(class, func(t *testing.T) {
			silent := newScriptedCache(t)
			sent := countRequests(silent, requestA)
			g := newTestGroupWith(t, 4, 1, unsafeSettings)
			g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s,%s]}}]}`,
				silent.host("s-9", "in_service"), strings.Replace(silent.host("s-8", "in_service"), `"std"`, `"origin"`, 1))
			g.waitAllApplied(2)
			connect := func(budget time.Duration) *scriptedConn {
				conn, err := net.Dial("tcp", g.addr)
				must(t, err)
				p := newScriptedConn(t, conn)
				p.write(p.submitText(requestA, objectA, budget, "method", class, "mem", "9000"))
				return p
			}
			first := connect(5 * time.Second)
			waitCount(t, sent, 1)
			owner := g.busyCore()
			must(t, first.conn.Close())
			time.Sleep(50 * time.Millisecond) // the director notices it
			for range 12 {                    // most of them on other cores
				r := connect(300 * time.Millisecond).reply()
				if isRejected := r.result == 1 && class == "clips"; r.result != 2 && !isRejected {
					t.Errorf("%+v", r)
				}
			}
			if n := sent.Load(); class == "orders" && n > 1 { // on its own core, a safe class may be sent again
				t.Errorf("the request was sent %d times", n)
			}
			for _, c := range g.group.cores {
				if n := g.attempts(c); c.index != owner && n > 0 {
					t.Errorf("core %d sent it %d times", c.index, n)
				}
			}
		})
	}
}

// Guards against an ID that runs a second time because many other requests were cancelled since its client left.
func TestIDThatReturnsAfterManyCancelsDoesNotRunAgain(t *testing.T) {
	silent := newScriptedCache(t)
	sent := countRequests(silent, requestA)
	d := newTestDirectorWith(t, unsafeSettings, silent.host("s-9", "in_service"),
		strings.Replace(silent.host("s-8", "in_service"), `"std"`, `"origin"`, 1))
	first := d.client()
	first.submit(requestA, objectA, "method", "orders")
	waitCount(t, sent, 1)
	must(t, first.conn.Close())
	flood := d.client()
	const rounds, perRound = 200, 30
	for round := range rounds {
		var submits, cancels strings.Builder
		for i := range perRound {
			submits.WriteString(flood.submitText(fmt.Sprintf("%016x", 0x10000+round*perRound+i), objectB, 5*time.Second, "mem", "9000"))
			cancels.WriteString(flood.call(4, "revoke", "\x08\x00\x01"+be32(int(flood.seq))))
		}
		flood.write(submits.String())
		flood.heartbeat()
		flood.write(cancels.String())
		flood.heartbeat()
	}
	d.onLoop(func() {
		if n := d.program.director.Counters.Cancelled; n < 4500 {
			t.Errorf("%d requests were cancelled", n)
		}
	})
	second := d.client()
	second.submit(requestA, objectA, "method", "orders")
	if r := second.reply(); r.result != 2 {
		t.Errorf("%+v", r)
	}
	if n := sent.Load(); n > 1 {
		t.Errorf("the request was sent %d times", n)
	}
}
