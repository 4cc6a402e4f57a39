package director

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/transport"
)

// testDirector is a director whose clients, caches and control plane are scripted by the test.
type testDirector struct {
	t         *testing.T
	program   *Program
	exited    chan error
	polls     chan string // the revision of each poll
	responses chan string // bodies of the responses; empty: the connection is closed
}

// blockLoop blocks the director's loop until release is called. Everything that peers send in between is handled in one round,
// after the function passed to release has run.
func (d *testDirector) blockLoop() (release func(first func())) {
	d.t.Helper()
	blocked, proceed := make(chan struct{}), make(chan func(), 1)
	d.program.Post(func() {
		close(blocked)
		if first := <-proceed; first != nil {
			first()
		}
	})
	<-blocked
	var once sync.Once
	d.t.Cleanup(func() { once.Do(func() { proceed <- nil }) })
	return func(first func()) { once.Do(func() { proceed <- first }) }
}

// onLoop runs f on the director's loop and waits for it.
func (d *testDirector) onLoop(f func()) {
	d.t.Helper()
	done := make(chan struct{})
	d.program.Post(func() { f(); close(done) })
	<-done
}

// waitRound waits for the end of a round of the loop that started after the call.
func (d *testDirector) waitRound() {
	d.t.Helper()
	done := make(chan struct{})
	timer := &transport.Timer{Fire: func() { close(done) }}
	d.program.Post(func() { d.program.loop.Set(timer, d.program.loop.Now()+2*transport.Tick) })
	<-done
}

// wantNothingSentBefore submits a marker request, answers it, and checks that the cache gets only pings and cancels before it.
func (d *testDirector) wantNothingSentBefore(upstream *scriptedConn, marker string) {
	d.t.Helper()
	other := d.client()
	other.submit(marker, objectB)
	for {
		c := upstream.command()
		if c[0] != "do" {
			continue
		}
		if c[1] != marker {
			d.t.Fatalf("%s was sent to the cache", c[1])
		}
		upstream.answer(marker, "OK", "n=local", "m")
		other.want(1, 0, "m")
		return
	}
}

// serveFirstRequest serves the first request of a client over an upstream connection that stays open.
func (d *testDirector) serveFirstRequest(c *scriptedCache) (client, upstream *scriptedConn) {
	d.t.Helper()
	client = d.client()
	client.submit("00000000000000ff", objectB)
	upstream = c.accept()
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "w")
	client.want(1, 0, "w")
	return client, upstream
}

// shutdownWithoutDrainTime starts a shutdown and skips drainAcceptTime.
func (d *testDirector) shutdownWithoutDrainTime() {
	d.program.Shutdown()
	d.program.shutdownStep()
}

// fillQueue sends answers to a client that does not read, until its further calls are shed. others is the number of other requests
// in flight.
func (d *testDirector) fillQueue(client, upstream *scriptedConn, others int) {
	d.t.Helper()
	body := strings.Repeat("x", 240_000)
	queued := 0
	for i := 0; queued <= maxClientQueue; i++ { // more than the socket buffers hold
		if i == 100 {
			d.t.Fatalf("%d bytes are queued after %d answers", queued, i)
		}
		id := fmt.Sprintf("%016x", 0xb000+i)
		client.submit(id, objectA)
		upstream.request()
		upstream.answer(id, "OK", "n=local", body)
		for inFlight := true; inFlight; { // until the answer was written
			d.onLoop(func() {
				inFlight = d.program.director.InFlight() > others
				for f := range d.program.frontend.clients {
					queued = max(queued, f.conn.Queued())
				}
			})
		}
	}
}

func newTestDirector(t *testing.T, hosts ...string) *testDirector {
	return newTestDirectorWith(t, testSettings, hosts...)
}

func newTestDirectorWith(t *testing.T, settings string, hosts ...string) *testDirector {
	d := &testDirector{t: t, polls: make(chan string, 64), responses: make(chan string, 8)}
	stop := make(chan struct{})
	controlPlane := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		d.polls <- r.URL.Query().Get("after")
		select {
		case text := <-d.responses:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(rw, text) // the director polls again if it is lost
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); controlPlane.Close() })
	d.start(settings, controlPlane.Listener.Addr().String(), 1024, hosts...)
	d.wantPoll("1")
	return d
}

// start starts the director with the given endpoints, or without an endpoint list if there are none.
func (d *testDirector) start(settings, controlPlane string, sockets int, hosts ...string) {
	d.t.Helper()
	t := d.t
	known := `{"no":0,"items":[]}`
	if len(hosts) > 0 {
		known = `{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}}]}`
	}
	d.exited = make(chan error, 1)
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bulletin": controlPlane,
		"limits":   map[string]any{"memory_mb": 192, "sockets": sockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	must(t, err)
	c, err := config.Parse(text, "", "")
	must(t, err)
	d.program, err = New(c)
	must(t, err)
	go func() { d.exited <- d.program.Run() }()
	t.Cleanup(func() {
		d.program.Post(d.program.loop.Stop)
		must(t, <-d.exited)
	})
}

func (d *testDirector) wantPoll(after string) {
	d.t.Helper()
	select {
	case got := <-d.polls:
		if got != after {
			d.t.Fatalf("polled after revision %s, want %s", got, after)
		}
	case <-time.After(testTimeout):
		d.t.Fatal("no poll arrived")
	}
}

// publish answers the open poll with an event and waits until the director polls again.
func (d *testDirector) publish(number int, event string) {
	d.t.Helper()
	d.responses <- fmt.Sprintf(`{"no":%d,"items":[{"no":%d,%s}]}`, number, number, event)
	d.wantPoll(strconv.Itoa(number))
}

func (d *testDirector) client() *scriptedConn {
	d.t.Helper()
	addr := make(chan netip.AddrPort, 1)
	d.program.Post(func() {
		a, _ := d.program.Addr()
		addr <- a
	})
	conn, err := net.Dial("tcp", (<-addr).String())
	must(d.t, err)
	return newScriptedConn(d.t, conn)
}

const testSettings = `{"Areas":["hub","west"],"Zone":"west","Models":["std","parent","origin"],"Balancers":1,"SlotNo":0,
"FamilyInfo":{"ParentKind":-1,"SourceKind":2,"CountByZone":[0,1],"OneFlowKbPerS":5000,"Tells":"hit","Joins":true,
 "Siblings":"off","NoticeTime":0,"PurgeDone":6000,"GoodFor":[0],"OlderBy":[0],"PassOn":[false],"MultiPart":[true]},
"Grades":[{"Name":"clips","Aim":600,"AimStretch":2,"Deadline":6000,"Worth":2,"Effect":"safe","Group":"all"}],
"Limits":{"Cancel":true,"ConnIdle":15000,"DialTimeout":400,"MaxAttempts":8,"MaxRetryAfter":2000,"MostHeld":20000,
 "Multiplex":32,"RetryAfter":true},
"Report":{"How":"inline","Fields":["cpu_share","busy_reqs"]},
"Rules":{"DrainGrace":500,"GraceToAnswer":8,"Cold":16000,"ColdFrom":0.17,"Fall":3000,"TipMultiple":4}}`

// wantServedBy checks that a request is served by a cache.
func (d *testDirector) wantServedBy(c *scriptedCache) {
	d.t.Helper()
	client := d.client()
	client.submit(requestA, objectA)
	upstream := c.accept()
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "x")
	client.want(1, 0, "x")
}
