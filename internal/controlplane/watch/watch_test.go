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

const patience = 20 * time.Second

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

// process is an owner whose lease and room a test sets.
type process struct {
	t        *testing.T
	server   *Server
	loop     *transport.Loop
	fleet    fleet.Fleet
	lost     atomic.Bool
	full     atomic.Bool
	requests chan int64 // acknowledged revisions, as calls come
}

func (p *process) HasLease() bool { return !p.lost.Load() }
func (p *process) Request(_ discovery.Announcement, acknowledged int64) bool {
	p.requests <- acknowledged
	return !p.full.Load()
}
func (p *process) Granted(string) *quota.Grant            { return nil }
func (p *process) Health(string) *health.AggregatedHealth { return nil }
func (p *process) AcknowledgedChanged()                   {}
func (p *process) ClockMS() int64                         { return time.Now().UnixMilli() }
func (p *process) Failed(err error)                       { p.t.Error(err) }

// serve starts a server on a loop of its own.
func serve(t *testing.T, set Settings) *process {
	p := &process{t: t, requests: make(chan int64, 1000)}
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

// purge publishes so many purges as single events.
func (p *process) purge(count int) {
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

// director is a client whose calls must be made and answered.
type director struct {
	*watchtest.Client
	t *testing.T
}

func (p *process) director(name string) director {
	addr, err := p.server.Addr()
	check(p.t, err)
	c, err := watchtest.Dial(addr, name, patience)
	check(p.t, err)
	p.t.Cleanup(c.Close)
	return director{c, p.t}
}

// call asks for what comes after the last event and waits until the server has the call.
func (p *process) call(d director, wait time.Duration) {
	p.t.Helper()
	check(p.t, d.Ask(wait))
	<-p.requests
}

// answer reads an answer: its status and how many events it has.
func (d director) answer() (status, events int) {
	d.t.Helper()
	status, feed, err := d.Answer()
	check(d.t, err)
	return status, len(feed.Events)
}

func TestGatherAnswersEventsInARowTogetherAndOthersAtOnce(t *testing.T) {
	const gather = time.Second
	p := serve(t, Settings{Gather: gather})
	d := p.director("d")
	p.purge(1)
	p.call(d, patience)
	if _, n := d.answer(); n == 0 {
		t.Fatal("the first call was not answered with what there is")
	}
	answered := time.Now()
	p.call(d, patience)
	p.purge(3)
	p.purge(2)
	if _, n := d.answer(); n != 5 {
		t.Errorf("%d events in the answer that follows an answer: 5 came", n)
	}
	if took := time.Since(answered); took < gather*9/10 {
		t.Errorf("answered again after %v, gathering for %v", took, gather)
	}
	p.call(d, gather+gather/4) // a quiet time
	if _, n := d.answer(); n != 0 {
		t.Fatalf("%d events out of nothing", n)
	}
	p.call(d, patience)
	came := time.Now()
	p.purge(1)
	if _, n := d.answer(); n != 1 {
		t.Errorf("%d events in the answer, 1 came", n)
	}
	if took := time.Since(came); took > gather/2 {
		t.Errorf("an event after a quiet time was answered after %v", took)
	}
}

// A wait is not made longer than the caller said by what is gathered.
func TestGatherKeepsTheCallersPatience(t *testing.T) {
	const gather = 5 * time.Second
	p := serve(t, Settings{Gather: gather})
	d := p.director("d")
	p.purge(1)
	p.call(d, patience)
	d.answer()
	p.call(d, 100*time.Millisecond)
	p.purge(1)
	began := time.Now()
	if _, n := d.answer(); n != 1 {
		t.Errorf("%d events at the end of the wait, 1 had come", n)
	}
	if took := time.Since(began); took > gather/2 {
		t.Errorf("the wait of 100 ms took %v", took)
	}
}

func TestWithoutALeaseWatchersAreClosedAndRefused(t *testing.T) {
	p := serve(t, Settings{})
	d := p.director("d")
	p.call(d, patience)
	p.lost.Store(true)
	if _, _, err := d.Answer(); err == nil {
		t.Error("a watcher was answered without a lease")
	}
	late := p.director("late")
	check(t, late.Ask(0))
	if status, _ := late.answer(); status != 503 {
		t.Errorf("a new watcher got %d", status)
	}
}

func TestADirectorForWhomThereIsNoRoomIsRefused(t *testing.T) {
	p := serve(t, Settings{})
	p.full.Store(true)
	d := p.director("d")
	p.call(d, patience)
	if status, _ := d.answer(); status != 503 {
		t.Errorf("it got %d", status)
	}
}

func TestDrainSpreadsTheEndsOfWatches(t *testing.T) {
	const over, watchers = time.Second, 20
	p := serve(t, Settings{})
	ends := make(chan time.Duration, watchers)
	var all []director
	for i := range watchers {
		d := p.director(fmt.Sprint("d", i))
		p.call(d, patience)
		all = append(all, d)
	}
	addr, err := p.server.Addr()
	check(t, err)
	began, done := time.Now(), make(chan struct{})
	for _, d := range all {
		go func() {
			_, _, _ = d.Answer()
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
		t.Error("a server that drains takes connections")
	}
}

// A caller that is not admitted is answered once its call is whole, not before: an HTTP client that is answered before it has
// asked takes the connection for broken.
func TestARefusalAnswersACall(t *testing.T) {
	p := serve(t, Settings{})
	p.lost.Store(true)
	addr, err := p.server.Addr()
	check(t, err)
	early, err := net.Dial("tcp", addr.String())
	check(t, err)
	defer early.Close()
	_, err = early.Write([]byte("GET /bulletins?after=0 HT"))
	check(t, err)
	later, err := watchtest.Dial(addr, "later", patience) // its answer shows that the server has read what came before
	check(t, err)
	defer later.Close()
	if status, _, err := later.Poll(0); status != 503 || err != nil {
		t.Errorf("%d, %v", status, err)
	}
	check(t, early.SetReadDeadline(time.Now().Add(time.Millisecond)))
	if n, err := early.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Errorf("%d bytes before the call, %v", n, err)
	}
	check(t, early.SetDeadline(time.Now().Add(patience)))
	_, err = early.Write([]byte("TP/1.1\r\n\r\n"))
	check(t, err)
	answer := make([]byte, 12)
	if _, err = io.ReadFull(early, answer); string(answer) != "HTTP/1.1 503" {
		t.Errorf("%q, %v", answer, err)
	}
}
