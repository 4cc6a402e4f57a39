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
	t       *testing.T
	program *Program
	exited  chan error
	polls   chan string // the revision of each poll
	events  chan string // bodies of the responses; empty: the connection is closed
}

// blockLoop blocks the director's loop until release is called. Everything that peers send in between is handled in one round,
// after the function passed to release has run.
func (w *testDirector) blockLoop() (release func(first func())) {
	w.t.Helper()
	holding, proceed := make(chan struct{}), make(chan func(), 1)
	w.program.Post(func() {
		close(holding)
		if first := <-proceed; first != nil {
			first()
		}
	})
	<-holding
	var once sync.Once
	w.t.Cleanup(func() { once.Do(func() { proceed <- nil }) })
	return func(first func()) { once.Do(func() { proceed <- first }) }
}

// onLoop runs f on the director's loop and waits for it.
func (w *testDirector) onLoop(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.program.Post(func() { f(); close(done) })
	<-done
}

// waitRound waits for the end of a round of the loop that started after the call.
func (w *testDirector) waitRound() {
	w.t.Helper()
	done := make(chan struct{})
	timer := &transport.Timer{Fire: func() { close(done) }}
	w.program.Post(func() { w.program.loop.Set(timer, w.program.loop.Now()+2*transport.Tick) })
	<-done
}

// wantNothingSentBefore submits a marker request, answers it, and checks that the cache gets only pings and cancels before it.
func (w *testDirector) wantNothingSentBefore(upstream *scriptedConn, marker string) {
	w.t.Helper()
	other := w.client()
	other.submit(marker, objectB)
	for {
		c := upstream.command()
		if c[0] != "do" {
			continue
		}
		if c[1] != marker {
			w.t.Fatalf("%s was sent to the cache", c[1])
		}
		upstream.answer(marker, "OK", "n=local", "m")
		other.want(1, 0, "m")
		return
	}
}

// warmUp serves the first request of a client over an upstream connection that stays open.
func (w *testDirector) warmUp(c *scriptedCache) (client, upstream *scriptedConn) {
	w.t.Helper()
	client = w.client()
	client.submit("00000000000000ff", objectB)
	upstream = c.accept()
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "w")
	client.want(1, 0, "w")
	return client, upstream
}

// finishDraining starts a shutdown and skips drainAcceptTime.
func (w *testDirector) finishDraining() {
	w.program.Shutdown()
	w.program.shutdownStep()
}

// fillQueue sends a client, which does not read, so many answers that its further calls are shed. others is the number of other
// requests in flight.
func (w *testDirector) fillQueue(client, upstream *scriptedConn, others int) {
	w.t.Helper()
	body := strings.Repeat("x", 240_000)
	queued := 0
	for i := 0; queued <= maxClientQueue; i++ { // more than the socket buffers hold
		if i == 100 {
			w.t.Fatalf("%d bytes are queued after %d answers", queued, i)
		}
		id := fmt.Sprintf("%016x", 0xb000+i)
		client.submit(id, objectA)
		upstream.request()
		upstream.answer(id, "OK", "n=local", body)
		for inFlight := true; inFlight; { // until the answer was written
			w.onLoop(func() {
				inFlight = w.program.director.InFlight() > others
				for f := range w.program.frontend.clients {
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
	w := &testDirector{t: t, polls: make(chan string, 64), events: make(chan string, 8)}
	stop := make(chan struct{})
	controlPlane := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.polls <- r.URL.Query().Get("after")
		select {
		case text := <-w.events:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(rw, text) // the director polls again if it is lost
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); controlPlane.Close() })
	w.start(settings, controlPlane.Listener.Addr().String(), 1024, hosts...)
	w.wantPoll("1")
	return w
}

// start starts the director with the given endpoints, or without an endpoint list if there are none.
func (w *testDirector) start(settings, controlPlane string, sockets int, hosts ...string) {
	w.t.Helper()
	t := w.t
	known := `{"no":0,"items":[]}`
	if len(hosts) > 0 {
		known = `{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}}]}`
	}
	w.exited = make(chan error, 1)
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bulletin": controlPlane,
		"limits":   map[string]any{"memory_mb": 192, "sockets": sockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	must(t, err)
	c, err := config.Parse(text, "", "")
	must(t, err)
	w.program, err = New(c)
	must(t, err)
	go func() { w.exited <- w.program.Run() }()
	t.Cleanup(func() {
		w.program.Post(w.program.loop.Stop)
		must(t, <-w.exited)
	})
}

func (w *testDirector) wantPoll(after string) {
	w.t.Helper()
	select {
	case got := <-w.polls:
		if got != after {
			w.t.Fatalf("polled after revision %s, want %s", got, after)
		}
	case <-time.After(testTimeout):
		w.t.Fatal("no poll arrived")
	}
}

// publish answers the open poll with an event and waits until the director polls again.
func (w *testDirector) publish(number int, event string) {
	w.t.Helper()
	w.events <- fmt.Sprintf(`{"no":%d,"items":[{"no":%d,%s}]}`, number, number, event)
	w.wantPoll(strconv.Itoa(number))
}

func (w *testDirector) client() *scriptedConn {
	w.t.Helper()
	addr := make(chan netip.AddrPort, 1)
	w.program.Post(func() {
		a, _ := w.program.Addr()
		addr <- a
	})
	conn, err := net.Dial("tcp", (<-addr).String())
	must(w.t, err)
	return newScriptedConn(w.t, conn)
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
func (w *testDirector) wantServedBy(c *scriptedCache) {
	w.t.Helper()
	client := w.client()
	client.submit(requestA, objectA)
	upstream := c.accept()
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "x")
	client.want(1, 0, "x")
}
