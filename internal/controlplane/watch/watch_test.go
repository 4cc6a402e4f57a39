package watch

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/watch/watchtest"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

// testTimeout bounds each wait of a test, in a slow run too.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testOwner is an owner whose lease and capacity a test sets.
type testOwner struct {
	t          *testing.T
	server     *Server
	loop       *transport.Loop
	fleet      fleet.Fleet
	leaseLost  atomic.Bool
	atCapacity atomic.Bool
	requests   chan int64 // acknowledged revisions, as requests come
}

func (p *testOwner) MayServe() bool { return !p.leaseLost.Load() }
func (p *testOwner) RecordAnnouncement(_ discovery.Announcement, acknowledged int64) bool {
	p.requests <- acknowledged
	return !p.atCapacity.Load()
}
func (p *testOwner) TakeQuotaGrant(string) *quota.Grant     { return nil }
func (p *testOwner) Health(string) *health.AggregatedHealth { return nil }
func (p *testOwner) AcknowledgedChanged()                   {}
func (p *testOwner) ClockMS() int64                         { return time.Now().UnixMilli() }
func (p *testOwner) Failed(err error)                       { p.t.Error(err) }

// serve starts a server on a loop of its own.
func serve(t *testing.T, set Settings) *testOwner {
	p := &testOwner{t: t, requests: make(chan int64, 1000)}
	var err error
	p.loop, err = transport.NewLoop()
	check(t, err)
	log, err := eventlog.New(1, nil, p.fleet, 100)
	check(t, err)
	set.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	set.MaxWatchers = 100
	p.server, err = New(p.loop, set, p, log, 0)
	check(t, err)
	p.server.CheckLease()
	ended := make(chan error, 1)
	go func() { ended <- p.loop.Run() }()
	t.Cleanup(func() {
		p.loop.Post(p.loop.Stop)
		check(t, <-ended)
	})
	return p
}

// publishPurges publishes so many purges, one at a time.
func (p *testOwner) publishPurges(count int) {
	done := make(chan struct{})
	p.loop.Post(func() {
		defer close(done)
		for range count {
			group := 1
			e := fleet.Event{No: p.fleet.Revision + 1, Who: "test", Purge: &fleet.Purge{Group: &group, IssuedMS: 1}}
			var err error
			if p.fleet, err = p.fleet.Apply(e); err != nil {
				p.t.Error(err)
			}
			p.server.Publish([]fleet.Event{e}, p.fleet)
		}
	})
	<-done
}

// director is a client whose requests must be sent and answered.
type director struct {
	*watchtest.Client
	t *testing.T
}

func (p *testOwner) director(name string) director {
	addr, err := p.server.Addr()
	check(p.t, err)
	c, err := watchtest.Dial(addr, name, testTimeout)
	check(p.t, err)
	p.t.Cleanup(c.Close)
	return director{c, p.t}
}

// request asks for the events after the last one and waits until the server has the request.
func (p *testOwner) request(d director, wait time.Duration) {
	p.t.Helper()
	check(p.t, d.SendRequest(wait))
	<-p.requests
}

// answer reads an answer: its status and how many events it has.
func (d director) answer() (status, events int) {
	d.t.Helper()
	status, response, err := d.ReadAnswer()
	check(d.t, err)
	return status, len(response.Events)
}

// Events that follow an answer closely come in one answer. An event after a quiet time is answered at once.
func TestGatherBatchesEventsInARow(t *testing.T) {
	const gather = time.Second
	p := serve(t, Settings{Gather: gather})
	d := p.director("d")
	p.publishPurges(1)
	p.request(d, testTimeout)
	if _, n := d.answer(); n == 0 {
		t.Fatal("the first request was not answered with the events that there are")
	}
	answered := time.Now()
	p.request(d, testTimeout)
	p.publishPurges(3)
	p.publishPurges(2)
	if _, n := d.answer(); n != 5 {
		t.Errorf("%d events in the answer that follows an answer: 5 came", n)
	}
	if took := time.Since(answered); took < gather*9/10 {
		t.Errorf("answered again after %v, gathering for %v", took, gather)
	}
	p.request(d, gather+gather/4) // a time without events
	if _, n := d.answer(); n != 0 {
		t.Fatalf("%d events, none came", n)
	}
	p.request(d, testTimeout)
	came := time.Now()
	p.publishPurges(1)
	if _, n := d.answer(); n != 1 {
		t.Errorf("%d events in the answer, 1 came", n)
	}
	if took := time.Since(came); took > gather/2 {
		t.Errorf("an event after a quiet time was answered after %v", took)
	}
}

// Gathering does not make a wait longer than the caller has asked for.
func TestGatherDoesNotExtendTheWait(t *testing.T) {
	const gather = 5 * time.Second
	p := serve(t, Settings{Gather: gather})
	d := p.director("d")
	p.publishPurges(1)
	p.request(d, testTimeout)
	d.answer()
	p.request(d, 100*time.Millisecond)
	p.publishPurges(1)
	began := time.Now()
	if _, n := d.answer(); n != 1 {
		t.Errorf("%d events at the end of the wait, 1 had come", n)
	}
	if took := time.Since(began); took > gather/2 {
		t.Errorf("the wait of 100 ms took %v", took)
	}
}

func TestWatchersAreClosedWithoutLease(t *testing.T) {
	p := serve(t, Settings{})
	d := p.director("d")
	p.request(d, testTimeout)
	p.leaseLost.Store(true)
	if _, _, err := d.ReadAnswer(); err == nil {
		t.Error("a watcher was answered without a lease")
	}
	late := p.director("late")
	check(t, late.SendRequest(0))
	if status, _ := late.answer(); status != 503 {
		t.Errorf("a new watcher got %d", status)
	}
}

func TestDirectorBeyondCapacityIsRejected(t *testing.T) {
	p := serve(t, Settings{})
	p.atCapacity.Store(true)
	d := p.director("d")
	p.request(d, testTimeout)
	if status, _ := d.answer(); status != 503 {
		t.Errorf("it got %d", status)
	}
}

func TestDrainSpreadsClosures(t *testing.T) {
	const over, watchers = time.Second, 20
	p := serve(t, Settings{})
	ends := make(chan time.Duration, watchers)
	var all []director
	for i := range watchers {
		d := p.director(fmt.Sprint("d", i))
		p.request(d, testTimeout)
		all = append(all, d)
	}
	addr, err := p.server.Addr()
	check(t, err)
	began, done := time.Now(), make(chan struct{})
	for _, d := range all {
		go func() {
			_, _, _ = d.ReadAnswer()
			ends <- time.Since(began)
		}()
	}
	p.loop.Post(func() { p.server.Drain(over, func() { close(done) }) })
	early := 0
	for range watchers {
		if <-ends < over/2 {
			early++
		}
	}
	<-done
	if early > watchers*3/4 {
		t.Errorf("%d of %d watchers were closed in the first half of %v", early, watchers, over)
	}
	if _, err = net.Dial("tcp", addr.String()); err == nil {
		t.Error("a draining server accepts connections")
	}
}

// A caller that is not admitted is answered once its request is complete, and not before: an HTTP client that is answered before it
// has sent a request takes the connection for broken.
func TestRejectionAnswersTheRequest(t *testing.T) {
	p := serve(t, Settings{})
	p.leaseLost.Store(true)
	addr, err := p.server.Addr()
	check(t, err)
	early, err := net.Dial("tcp", addr.String())
	check(t, err)
	defer func() { _ = early.Close() }() // the server may have closed it
	_, err = early.Write([]byte("GET /bulletins?after=0 HT"))
	check(t, err)
	later, err := watchtest.Dial(addr, "later", testTimeout) // its answer shows that the server has read what came before
	check(t, err)
	defer later.Close()
	if status, _, err := later.Poll(0); status != 503 || err != nil {
		t.Errorf("%d, %v", status, err)
	}
	check(t, early.SetReadDeadline(time.Now().Add(time.Millisecond)))
	if n, err := early.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Errorf("%d bytes before the request, %v", n, err)
	}
	check(t, early.SetDeadline(time.Now().Add(testTimeout)))
	_, err = early.Write([]byte("TP/1.1\r\n\r\n"))
	check(t, err)
	answer := make([]byte, 12)
	if _, err = io.ReadFull(early, answer); string(answer) != "HTTP/1.1 503" {
		t.Errorf("%q, %v", answer, err)
	}
}
