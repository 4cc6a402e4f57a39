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

// testTimeout limits each wait of a test. It allows for slow runs.
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

// testOwner is an Owner whose lease and capacity are set by the test.
type testOwner struct {
	t          *testing.T
	server     *Server
	loop       *transport.Loop
	fleet      fleet.Fleet
	leaseLost  atomic.Bool
	atCapacity atomic.Bool
	requests   chan int64 // acknowledged revisions in the order of the requests
}

func (p *testOwner) MayServe() bool { return !p.leaseLost.Load() }
func (p *testOwner) RecordAnnouncement(_ discovery.Announcement, acknowledged int64) bool {
	p.requests <- acknowledged
	return !p.atCapacity.Load()
}
func (p *testOwner) PopQuotaGrant(string) *quota.Grant      { return nil }
func (p *testOwner) Health(string) *health.AggregatedHealth { return nil }
func (p *testOwner) AcknowledgedChanged()                   {}
func (p *testOwner) History() string                        { return "" }
func (p *testOwner) ClockMS() int64                         { return time.Now().UnixMilli() }
func (p *testOwner) Failed(err error)                       { p.t.Error(err) }

// startServer starts a server on its own loop.
func startServer(t *testing.T, settings Settings) *testOwner {
	p := &testOwner{t: t, requests: make(chan int64, 1000)}
	var err error
	p.loop, err = transport.NewLoop()
	check(t, err)
	log, err := eventlog.New(1, nil, p.fleet, 100)
	check(t, err)
	settings.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	settings.MaxWatchers = 100
	p.server, err = New(p.loop, settings, p, log, 0)
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

// publishPurges publishes count purges, one at a time.
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

// director is a client whose requests must succeed: a transport error fails the test.
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

// request sends a request for the events after the last one and waits until the server has received it.
func (p *testOwner) request(d director, wait time.Duration) {
	p.t.Helper()
	check(p.t, d.SendRequest(wait))
	<-p.requests
}

// answer reads an answer and returns its status and number of events.
func (d director) answer() (status, events int) {
	d.t.Helper()
	status, response, err := d.ReadAnswer()
	check(d.t, err)
	return status, len(response.Events)
}

// TestGatherBatchesEventsInARow checks that events that occur shortly after an answer are sent in one answer, and that an event
// after a quiet period is answered immediately.
func TestGatherBatchesEventsInARow(t *testing.T) {
	const gather = time.Second
	p := startServer(t, Settings{BatchTime: gather})
	d := p.director("d")
	p.publishPurges(1)
	p.request(d, testTimeout)
	if _, n := d.answer(); n == 0 {
		t.Fatal("the answer to the first request has no events, want the existing event")
	}
	answered := time.Now()
	p.request(d, testTimeout)
	p.publishPurges(3)
	p.publishPurges(2)
	if _, n := d.answer(); n != 5 {
		t.Errorf("got %d events in the second answer, want 5", n)
	}
	if took := time.Since(answered); took < gather*9/10 {
		t.Errorf("second answer after %v, want at least 90 %% of %v", took, gather)
	}
	p.request(d, gather+gather/4) // a wait without events
	if _, n := d.answer(); n != 0 {
		t.Fatalf("got %d events, want none", n)
	}
	p.request(d, testTimeout)
	came := time.Now()
	p.publishPurges(1)
	if _, n := d.answer(); n != 1 {
		t.Errorf("got %d events in the answer, want 1", n)
	}
	if took := time.Since(came); took > gather/2 {
		t.Errorf("an event after a quiet period was answered after %v", took)
	}
}

// TestBatchTimeDoesNotExtendTheWait checks that Settings.BatchTime does not extend a wait beyond the time that the client requested.
func TestBatchTimeDoesNotExtendTheWait(t *testing.T) {
	const gather = 5 * time.Second
	p := startServer(t, Settings{BatchTime: gather})
	d := p.director("d")
	p.publishPurges(1)
	p.request(d, testTimeout)
	d.answer()
	p.request(d, 100*time.Millisecond)
	p.publishPurges(1)
	began := time.Now()
	if _, n := d.answer(); n != 1 {
		t.Errorf("got %d events at the end of the wait, want 1", n)
	}
	if took := time.Since(began); took > gather/2 {
		t.Errorf("the wait of 100 ms took %v", took)
	}
}

func TestWatchersAreClosedWithoutLease(t *testing.T) {
	p := startServer(t, Settings{})
	d := p.director("d")
	p.request(d, testTimeout)
	p.leaseLost.Store(true)
	if _, _, err := d.ReadAnswer(); err == nil {
		t.Error("a watcher was answered without a lease")
	}
	newWatcher := p.director("late")
	check(t, newWatcher.SendRequest(0))
	if status, _ := newWatcher.answer(); status != 503 {
		t.Errorf("a new watcher got status %d, want 503", status)
	}
}

func TestDirectorBeyondCapacityIsRejected(t *testing.T) {
	p := startServer(t, Settings{})
	p.atCapacity.Store(true)
	d := p.director("d")
	p.request(d, testTimeout)
	if status, _ := d.answer(); status != 503 {
		t.Errorf("got status %d, want 503", status)
	}
}

func TestDrainSpreadsClosures(t *testing.T) {
	const over, watchers = time.Second, 20
	p := startServer(t, Settings{})
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

// TestRejectionAnswersTheRequest checks that a client that is not admitted is answered only once its request is complete: an HTTP
// client that receives a response before it has sent a request treats the connection as broken.
func TestRejectionAnswersTheRequest(t *testing.T) {
	p := startServer(t, Settings{})
	p.leaseLost.Store(true)
	addr, err := p.server.Addr()
	check(t, err)
	early, err := net.Dial("tcp", addr.String())
	check(t, err)
	defer func() { _ = early.Close() }() // the server may have closed it
	_, err = early.Write([]byte("GET /bulletins?after=0 HT"))
	check(t, err)
	later, err := watchtest.Dial(addr, "later", testTimeout) // its answer shows that the server has read the earlier data
	check(t, err)
	defer later.Close()
	if status, _, err := later.Poll(0); status != 503 || err != nil {
		t.Errorf("status %d, error %v", status, err)
	}
	check(t, early.SetReadDeadline(time.Now().Add(time.Millisecond)))
	if n, err := early.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Errorf("got %d bytes before the request was complete, error %v", n, err)
	}
	check(t, early.SetDeadline(time.Now().Add(testTimeout)))
	_, err = early.Write([]byte("TP/1.1\r\n\r\n"))
	check(t, err)
	answer := make([]byte, 12)
	if _, err = io.ReadFull(early, answer); string(answer) != "HTTP/1.1 503" {
		t.Errorf("got %q, error %v", answer, err)
	}
}

// Guards against a director with events of another event log that learns so only at the end of its wait.
func TestDirectorThatIsAheadIsAnsweredAtOnce(t *testing.T) {
	const wait = 5 * time.Second
	p := startServer(t, Settings{})
	p.publishPurges(2)
	d := p.director("d")
	d.Revision = 9
	begin := time.Now()
	p.request(d, wait)
	d.answer()
	if took := time.Since(begin); took > wait/2 {
		t.Errorf("the first answer took %v", took)
	}
	p.request(d, 100*time.Millisecond)
	begin = time.Now()
	d.answer()
	if took := time.Since(begin); took < 50*time.Millisecond {
		t.Errorf("the second answer took only %v, so that the director would ask without a pause", took)
	}
}
