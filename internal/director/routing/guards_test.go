package routing

import (
	"errors"
	"slices"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// script is a dialer whose links do what a story says.
type script struct{ links []*wire }

type wire struct {
	ev      LinkEvents
	address string
	stuck   bool // the system takes nothing more
	jams    bool // the next order gets stuck half way
	orders  []Order
	undone  []string
	pinged  []string
	closed  bool
}

func (s *script) Dial(address string, _ time.Duration, ev LinkEvents) (Link, error) {
	w := &wire{ev: ev, address: address}
	s.links = append(s.links, w)
	return w, nil
}

func (w *wire) Send(o *Order) {
	w.orders = append(w.orders, *o)
	w.stuck = w.stuck || w.jams
}
func (w *wire) Cancel(id string) { w.undone = append(w.undone, id) }
func (w *wire) Ping(tag string)  { w.pinged = append(w.pinged, tag) }
func (w *wire) Drained() bool    { return !w.stuck }
func (w *wire) Close()           { w.closed = true }

// caller notes the final answers.
type caller struct{ got []string }

func (c *caller) Serve(r *Request, body []byte)      { c.got = append(c.got, r.ID+" served "+string(body)) }
func (c *caller) ServeSame(r *Request)               { c.got = append(c.got, r.ID+" same") }
func (c *caller) Refuse(r *Request, _ time.Duration) { c.got = append(c.got, r.ID+" refused") }
func (c *caller) Fail(r *Request)                    { c.got = append(c.got, r.ID+" failed") }
func (c *caller) want(t *testing.T, answers ...string) {
	t.Helper()
	if !slices.Equal(c.got, answers) {
		t.Fatalf("answers %q, want %q", c.got, answers)
	}
}

func line(name string, state decision.Readiness) Member {
	return Member{Name: name, Address: name, Endpoint: decision.Endpoint{Zone: "west", Kind: "cache", Readiness: state, Weight: 1}}
}

func scripted(t *testing.T, change func(*Limits), hosts ...string) (*Director, *script, *caller) {
	loop, err := transport.NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{
		Streams: 32, LinksPerHost: 4, IdleAfter: time.Hour, DialTimeout: time.Hour, SilentAfter: time.Hour,
		MaxAttempts: 8, LongestAnswer: 6 * time.Second, PurgeDone: 6 * time.Second,
	}
	change(&limits)
	s := &script{}
	d := New(loop, decision.Settings{
		Zone: "west", Zones: []string{"west"}, Kinds: []string{"cache", "origin"}, ParentKind: -1, OriginKind: 1,
		FlowKBPerS: 5000, JoinsFills: true, Cancel: true, CacheStatusMode: decision.CacheStatusModeHits, MaxAttempts: 8,
		Classes: []decision.Class{{Name: "clips", LatencyObjective: time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: decision.Idempotent}},
	}, 1, limits, s)
	d.Start()
	var list []Member
	for _, name := range hosts {
		list = append(list, line(name, decision.Ready))
	}
	d.UpdateHosts(1, true, list)
	return d, s, &caller{}
}

func ask(c *caller, id string) *Request {
	return &Request{ID: id, Class: "clips", Object: 7, Group: 3, SizeKB: 100, Budget: 6 * time.Second, Caller: c}
}

func none(*Limits) {}

// An attempt that waits for its connection was decided on before; what has been told since binds all the same.
func TestWaitingAttemptIsNotSentToADrainingHost(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r1"))
	d.UpdateHosts(2, false, []Member{line("a", decision.Draining)})
	s.links[0].ev.Up()
	if len(s.links[0].orders) != 0 {
		t.Fatal("sent to a host that drains")
	}
	c.want(t, "r1 refused")
}

func TestWaitingAttemptIsNotSentWithAnAgeCapFromBeforeAPurge(t *testing.T) {
	d, s, c := scripted(t, none, "a", "b")
	d.Submit(ask(c, "r1"))
	d.PurgeGroup(3, d.loop.Now()-time.Second)
	s.links[0].ev.Up()
	for _, l := range s.links {
		for _, o := range l.orders {
			if o.MaxAge == 0 {
				t.Fatal("sent with the cap from before the purge")
			}
		}
	}
	if len(s.links) != 2 {
		t.Fatalf("%d links: the request was not decided on anew", len(s.links))
	}
}

// A keyed request may be sent again only while a repeat is dropped; waiting for a connection may outlast that.
func TestWaitingRepeatIsNotSentAfterItsWindow(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.classes["clips"] = class{resendWithin: time.Nanosecond}
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	s.links[0].ev.Down(errors.New("reset")) // it may have run; the module decides to repeat it
	if len(s.links) != 2 {
		t.Fatalf("%d links", len(s.links))
	}
	s.links[1].ev.Up()
	if n := len(s.links[1].orders); n != 0 {
		t.Fatalf("%d repeats sent", n)
	}
}

// A purge too new to bind must not hide an older one that does.
func TestEveryPurgeIsHeld(t *testing.T) {
	p := newPurges()
	q := &request{Request: &Request{Group: 3}}
	p.groups[3] = []purge{{issued: 10, told: 20}, {issued: 30, told: 40}}
	if !p.bind(q, 10, 25) || p.bind(q, 11, 25) || !p.bind(q, 11, 50) {
		t.Error("purges do not bind one by one")
	}
	p.forget(30)
	if p.bind(q, 9, 25) || len(p.groups[3]) != 1 {
		t.Error("old purge kept")
	}
}

// What had come whole to a cache may have run when the link is lost; what had not, never ran.
func TestLostLinkTellsWhatMayHaveRun(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	s.links[0].stuck = true
	d.Submit(ask(c, "r2"))
	if n := len(s.links[0].orders); n != 1 {
		t.Fatalf("%d orders on a link that takes no bytes", n)
	}
	s.links[1].jams = true
	s.links[1].ev.Up() // r2 is written in part
	s.links[0].ev.Down(errors.New("reset"))
	if d.Counts.Reset != 1 {
		t.Errorf("%d resets, want 1", d.Counts.Reset)
	}
	s.links[1].ev.Down(errors.New("reset"))
	if d.Counts.Reset != 1 || d.Counts.NoCon != 1 {
		t.Errorf("%d resets and %d that never ran, want 1 and 1", d.Counts.Reset, d.Counts.NoCon)
	}
}

// The successor of an undone attempt never takes the same link: an answer that crossed the undo would pass for its own.
func TestSuccessorTakesAnotherLink(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	a := d.known["r1"].attempts[0]
	d.expire(a) // its own time-out; the client still waits
	if !slices.Equal(s.links[0].undone, []string{"r1"}) {
		t.Fatal("given up without undo")
	}
	q := &request{Request: ask(c, "r1"), spoiled: []*link{a.link}}
	if l := a.host.pick(q); l != nil {
		t.Error("the link of the undone attempt is picked again")
	}
	s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("late")})
	if d.Counts.LateReplies != 1 || d.Counts.Served != 0 {
		t.Errorf("the late answer was used: %+v", d.Counts)
	}
}

// Two connections are read in any order, so the successor of an undone attempt waits until the undo has been read:
// both would be out otherwise. A link that answers no ping is closed, which gives the attempt up as well.
func TestSuccessorWaitsUntilTheUndoIsRead(t *testing.T) {
	for _, answers := range []bool{true, false} {
		d, s, c := scripted(t, none, "a")
		d.Submit(ask(c, "r1"))
		old := s.links[0]
		old.ev.Up()
		d.Submit(ask(c, "r2"))
		old.ev.Reply([]byte("r2"), &Reply{Status: decision.OK}) // it answers others, so the module asks it again
		d.abort(decision.CancelAttempt{Request: "r1"})
		if len(old.undone) != 1 || len(old.pinged) != 1 || len(s.links) != 1 {
			t.Fatalf("undone %q, pinged %q, %d links", old.undone, old.pinged, len(s.links))
		}
		if answers {
			old.ev.Pong([]byte(old.pinged[0]))
		} else {
			old.ev.(*link).dead()
		}
		if old.closed == answers || len(s.links) != 2 {
			t.Fatalf("answers %t: closed %t, %d links", answers, old.closed, len(s.links))
		}
		s.links[1].ev.Up()
		if len(s.links[1].orders) != 1 {
			t.Error("the successor was not sent")
		}
	}
}

// A link that hangs is found out by a ping, not by its attempts' time-outs: they go on in time, as reset.
func TestHangingLinkIsProbedAndClosed(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.KeepaliveAfter, l.KeepaliveTimeout = time.Millisecond, 4*time.Millisecond }, "a")
	d.Submit(ask(c, "r1"))
	old := s.links[0]
	old.ev.Up()
	d.loop.Set(&transport.Timer{Fire: d.loop.Stop}, d.loop.Now()+50*time.Millisecond)
	if err := d.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(old.pinged) == 0 || !old.closed || d.Counts.Reset != 1 || len(s.links) != 2 {
		t.Errorf("pinged %q, closed %t, %d resets, %d links", old.pinged, old.closed, d.Counts.Reset, len(s.links))
	}
}

// The other end of a closed link needs a moment to notice: what was on it must not go on elsewhere before.
func TestLostLinkIsLeftToSettle(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.Settle = time.Millisecond }, "a")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	s.links[0].ev.Down(errors.New("unreadable"))
	if len(s.links) != 1 || d.Counts.Reset != 0 {
		t.Fatalf("%d links, %d resets before the link has settled", len(s.links), d.Counts.Reset)
	}
	d.loop.Set(&transport.Timer{Fire: d.loop.Stop}, d.loop.Now()+20*time.Millisecond)
	if err := d.loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(s.links) != 2 || d.Counts.Reset != 1 {
		t.Errorf("%d links, %d resets once it has settled", len(s.links), d.Counts.Reset)
	}
}

// An undo that can't be written leaves the attempt out: closing the link gives it up for certain.
func TestUndoOnAStuckLinkClosesIt(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	r := ask(c, "r1")
	d.Submit(r)
	s.links[0].ev.Up()
	s.links[0].stuck = true
	d.Revoke(r)
	if !s.links[0].closed {
		t.Error("still open")
	}
	c.want(t)
}

// A machine that vanishes leaves its connections open and silent. New attempts must not follow into them.
func TestSilentLinkGetsNothingNew(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.SilentAfter = time.Nanosecond }, "a")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	d.Submit(ask(c, "r2"))
	if len(s.links) != 2 || len(s.links[0].orders) != 1 {
		t.Fatalf("%d links, %d orders on the silent one", len(s.links), len(s.links[0].orders))
	}
	s.links[1].ev.Down(transport.ErrDialTimeout)
	c.want(t, "r2 refused") // never ran, and no other host is left
	s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
	c.want(t, "r2 refused", "r1 served x")
}

// The same id again, while the first is open, is owed an answer of its own.
func TestRepeatedIDGetsItsAnswer(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r1"))
	d.Submit(ask(c, "r1"))
	c.want(t, "r1 failed")
	s.links[0].ev.Up()
	s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
	c.want(t, "r1 failed", "r1 served x")
	if d.Open() != 0 || len(d.known) != 0 {
		t.Errorf("%d open, %d known", d.Open(), len(d.known))
	}
}

// Objects are placed by the host's number; hashing the name instead placed them otherwise than the simulator does.
func TestHostNumbersComeFromTheNames(t *testing.T) {
	d, _, _ := scripted(t, none, "s-00c41f7a", "depot-seven", "t-00c41f7a")
	if d.byName["s-00c41f7a"].Host != 0x00c41f7a && d.byName["t-00c41f7a"].Host != 0x00c41f7a {
		t.Error("the number that a name carries is not used")
	}
	if len(d.hosts) != 3 || d.byName["depot-seven"].Host == 0 {
		t.Errorf("%d hosts, depot-seven is %d", len(d.hosts), d.byName["depot-seven"].Host)
	}
}

// A new process behind an old name: links from before its start lead nowhere, later ones are good.
func TestRestartedHostGetsNewLinks(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r1"))
	s.links[0].ev.Up()
	s.links[0].ev.Reply([]byte("r1"), &Reply{Status: decision.OK})
	m := line("a", decision.Ready)
	m.StartedAt = d.loop.Now()
	d.UpdateHosts(2, false, []Member{m})
	if !s.links[0].closed {
		t.Error("the link to the old process is still open")
	}
	d.Submit(ask(c, "r2"))
	s.links[len(s.links)-1].ev.Up()
	if len(s.links) != 2 || len(s.links[1].orders) != 1 {
		t.Fatalf("%d links", len(s.links))
	}
	c.want(t, "r1 served ")
}
