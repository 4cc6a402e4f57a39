package routing

import (
	"errors"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// spin runs the director's loop for a while.
func spin(t *testing.T, d *Director, length time.Duration) {
	t.Helper()
	d.loop.Set(&transport.Timer{Fire: d.loop.Stop}, d.loop.Now()+length)
	if err := d.loop.Run(); err != nil {
		t.Fatal(err)
	}
}

// An attempt is decided on in the middle of a round, and its client takes the request back later in the same one: nothing is sent,
// and nothing is dialled for it.
func TestWhatIsTakenBackInItsRoundIsNotSent(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	r := ask(c, "r1")
	d.loop.Post(func() {
		d.Submit(r)
		if len(s.links) != 0 {
			t.Error("dialled before the round is over")
		}
		d.Revoke(r)
	})
	spin(t, d, 10*time.Millisecond)
	if len(s.links) != 0 || d.Counts.Attempts != 0 || d.Open() != 0 || len(d.known) != 0 {
		t.Errorf("%d links, %+v", len(s.links), d.Counts)
	}
	c.want(t)
}

// Where attempts are never called off, the module leaves what waits for a link alone; its client's end ends it all the same.
func TestWhatWaitsIsNotSentOnceItsClientHasGone(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.module = decision.NewRouter(decision.Settings{
		Zone: "west", Zones: []string{"west"}, Kinds: []string{"cache", "origin"}, ParentKind: -1, OriginKind: 1,
		FlowKBPerS: 5000, JoinsFills: true, MaxAttempts: 8,
		Classes: []decision.Class{{Name: "clips", LatencyObjective: time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, Idempotency: decision.Idempotent}},
	}, 1)
	d.Start()
	d.UpdateHosts(2, true, []Member{line("a", decision.Ready)})
	r := ask(c, "r1")
	d.Submit(r)
	d.Revoke(r)
	if len(d.known) != 0 {
		t.Error("it waits on")
	}
	s.links[0].ev.Up()
	if len(s.links[0].orders) != 0 || len(d.known) != 0 {
		t.Errorf("%d orders, %d known", len(s.links[0].orders), len(d.known))
	}
}

// The client goes while its next attempt waits until the cancel of the last has been read: nothing begins when it has.
func TestNothingBeginsForAClientThatLeftDuringACancel(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	r := ask(c, "r1")
	d.Submit(r)
	old := s.links[0]
	old.ev.Up()
	d.Submit(ask(c, "r2"))
	old.ev.Reply([]byte("r2"), &Reply{Status: decision.OK})
	d.abort(decision.CancelAttempt{Request: "r1"}) // the module asks again, and the attempt waits for the pong
	if len(old.pinged) != 1 {
		t.Fatalf("pinged %q", old.pinged)
	}
	d.Revoke(r)
	old.ev.Pong([]byte(old.pinged[0]))
	if len(s.links) != 1 || len(old.orders) != 2 || len(d.known) != 0 {
		t.Errorf("%d links, %d orders, %d known", len(s.links), len(old.orders), len(d.known))
	}
}

// A request comes again with its id, on another connection, while the first's link settles: it starts when that is over, and never
// on the links of the first.
func TestARepeatWaitsForTheFirstToEnd(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.Settle = time.Millisecond }, "a")
	first, again := ask(c, "r1"), ask(c, "r1")
	d.Submit(first)
	s.links[0].ev.Up()
	s.links[0].ev.Down(errors.New("reset")) // the attempt ends when the link has settled
	d.loop.Post(func() {
		d.Revoke(first)
		d.Submit(again)
	})
	spin(t, d, 20*time.Millisecond)
	if len(s.links) != 2 || d.Counts.Repeats != 1 || d.Open() != 1 {
		t.Fatalf("%d links, %+v", len(s.links), d.Counts)
	}
	s.links[1].ev.Up()
	s.links[1].ev.Reply([]byte("r1"), &Reply{Status: decision.OK, Body: []byte("x")})
	c.want(t, "r1 served x")
}

// A repeat takes itself back while it waits: nothing is owed, and nothing starts.
func TestAWaitingRepeatCanBeTakenBack(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	first, again := ask(c, "r1"), ask(c, "r1")
	d.loop.Post(func() {
		d.Submit(first)
		d.Submit(again)
		d.Revoke(again)
		d.Revoke(first)
	})
	spin(t, d, 10*time.Millisecond)
	if d.Open() != 0 || len(d.known) != 0 || len(s.links) != 0 || d.Counts.Revoked != 2 {
		t.Errorf("%+v, %d open", d.Counts, d.Open())
	}
	c.want(t)
}

// What may have run for the first is the repeat's affair too: an unsafe request does not run again, nor a keyed one past its window.
func TestARepeatRunsOnlyAsItsClassAllows(t *testing.T) {
	for name, k := range map[string]struct {
		class
		sent bool
	}{
		"safe":             {class{effect: decision.Idempotent, keeps: true}, true},
		"unsafe":           {class{effect: decision.NonIdempotent}, false},
		"keyed":            {class{effect: decision.IdempotentWithKey, scope: decision.ScopeAll, resendWithin: time.Minute}, true},
		"keyed, too late":  {class{effect: decision.IdempotentWithKey, scope: decision.ScopeAll, resendWithin: time.Nanosecond}, false},
		"keyed, by a zone": {class{effect: decision.IdempotentWithKey, scope: decision.ScopeZone, resendWithin: time.Minute}, false},
	} {
		d, s, c := scripted(t, none, "a")
		d.classes["clips"] = k.class
		first := ask(c, "r1")
		d.Submit(first)
		s.links[0].ev.Up()
		d.Revoke(first)
		d.Submit(ask(c, "r1"))
		if s.links[0].pinged != nil {
			s.links[0].ev.Pong([]byte(s.links[0].pinged[0])) // the undo has been read
		}
		if sent := len(s.links) == 2; sent != k.sent {
			t.Errorf("%s: sent on %t", name, sent)
		}
		if !k.sent {
			c.want(t, "r1 failed")
		}
	}
}

// What is remembered of requests whose clients have gone is bounded, and forgotten.
func TestFormerRequestsAreForgotten(t *testing.T) {
	d, s, c := scripted(t, none, "a")
	d.Submit(ask(c, "r0"))
	s.links[0].ev.Up()
	for i := range mostFormer + 10 {
		r := ask(c, time.Duration(i).String())
		d.Submit(r)
		d.Revoke(r)
	}
	if len(d.former) != mostFormer || len(d.formerOrder) != mostFormer {
		t.Errorf("%d remembered", len(d.former))
	}
	d.tidyFormer(d.loop.Now() + d.limits.LongestAnswer)
	if len(d.former)+len(d.formerOrder) != 0 {
		t.Errorf("%d remembered for good", len(d.former))
	}
}

// A repeat that is stuck half way when its class's window ends is given up with its link: it must not come whole afterwards.
func TestAHalfWrittenRepeatEndsWithItsWindow(t *testing.T) {
	const window = 60 * time.Millisecond
	d, s, c := scripted(t, none, "a")
	d.classes["clips"] = class{effect: decision.IdempotentWithKey, scope: decision.ScopeAll, resendWithin: window}
	r := ask(c, "r1")
	r.SizeKB = 10_000 // so large that the module does not call it off meanwhile
	d.Submit(r)
	s.links[0].ev.Up()
	s.links[0].ev.Down(errors.New("reset")) // it may have run; the module repeats it
	s.links[1].jams = true
	s.links[1].ev.Up()
	if len(s.links[1].orders) != 1 || s.links[1].closed {
		t.Fatalf("%d orders, closed %t", len(s.links[1].orders), s.links[1].closed)
	}
	spin(t, d, window)
	if !s.links[1].closed {
		t.Error("it may still come whole")
	}
	for _, l := range s.links[2:] {
		if len(l.orders) > 0 {
			t.Error("repeated past the window")
		}
	}
}

// Links to all hosts together keep within their part of the descriptors: the one idle for longest makes room, none that is in use.
func TestLinksKeepWithinTheirPart(t *testing.T) {
	d, s, c := scripted(t, func(l *Limits) { l.Links = 2 }, "a", "b", "c")
	for i, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
		r := ask(c, id)
		r.Object = decision.ObjectID(i * 7919)
		d.Submit(r)
		for _, l := range s.links {
			if !l.closed {
				l.ev.(*link).Up()
			}
		}
		for _, l := range s.links {
			for _, o := range l.orders {
				if !l.closed {
					l.ev.Reply([]byte(o.ID), &Reply{Status: decision.OK})
				}
			}
		}
		open := 0
		for _, l := range s.links {
			if !l.closed {
				open++
			}
		}
		if open > 2 || d.links != open {
			t.Fatalf("%d links are open, %d counted", open, d.links)
		}
	}
	if d.Counts.Served != 6 {
		t.Errorf("%+v", d.Counts)
	}
}
