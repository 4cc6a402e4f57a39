package membership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

func relayWorld(t testing.TB) *world {
	w := newWorld(t)
	w.r = New(Settings{Lease: 600 * ms, Drift: 0.02, Gather: 100 * ms, Director: 400 * ms, Session: 200 * ms})
	w.r.Begin(w.f, w.now)
	w.now += 700 * ms
	return w
}

func described(name string) JoinedDirector {
	return JoinedDirector{Director: fleet.Director{Name: name, Incarnation: "1"}}
}

// updates is a relay that answers for its directors with correct sequences and registrations.
type updates struct {
	w *world
	Update
}

func newUpdates(w *world, session uint64) *updates {
	return &updates{w, Update{Relay: Relay{Name: fmt.Sprint("r", session), Incarnation: "1"}, Session: session, Full: true}}
}

func (u *updates) send(change func(*Update)) Registered {
	u.w.t.Helper()
	sent := u.Update
	sent.Sequence++
	change(&sent)
	got, err := u.w.r.Update(sent, 1000*u.Session+sent.Sequence, u.w.now)
	if err != nil {
		u.w.t.Fatal(err)
	}
	u.Sequence, u.Answered, u.Registration, u.Full = sent.Sequence, sent.Sequence, got.Registration, got.NeedFull
	return got
}

func none(*Update) {}

// A list that comes in several updates is whole only with its last one: until then nobody is gone that the relay may serve, and
// then those are that it did not name.
func TestListInSeveralUpdates(t *testing.T) {
	w := relayWorld(t)
	first, second := newUpdates(w, 1), newUpdates(w, 2)
	first.send(none)
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a"), described("b")} })
	w.look()
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	second.send(none)
	for range 20 {
		w.now += 50 * ms
		first.send(none)
		second.send(func(u *Update) { u.More = true })
		if c := w.look(); c != nil {
			t.Fatalf("gone before the second relay has named its directors: %+v", c)
		}
	}
	second.send(func(u *Update) { u.Joined = []JoinedDirector{described("c")} })
	for range 10 {
		w.now += 50 * ms
		first.send(none)
		second.send(none)
		w.look()
	}
	if w.f.Director("a/1") != nil || w.f.Director("b/1") == nil || w.f.Director("c/1") == nil {
		t.Fatalf("%+v", w.f.Membership())
	}
	second.Full = true
	second.send(func(u *Update) { u.Joined = []JoinedDirector{described("d")} })
	for range 20 {
		w.now += 50 * ms
		first.send(none)
		second.send(none)
		w.look()
	}
	if w.f.Director("b/1") == nil || w.f.Director("c/1") != nil || w.f.Director("d/1") == nil {
		t.Fatalf("%+v", w.f.Membership())
	}
}

// One that leaves is gone at once, and a relay that it called before does not bring it back.
func TestLeavingThroughRelays(t *testing.T) {
	w := relayWorld(t)
	first, second := newUpdates(w, 1), newUpdates(w, 2)
	for _, u := range []*updates{first, second} {
		u.send(none)
		u.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	}
	w.look()
	w.now += 150 * ms
	second.send(func(u *Update) { u.Left = []string{"a/1"} })
	if c := w.look(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
	w.now += 150 * ms
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	if c := w.look(); c != nil {
		t.Fatalf("it is back: %+v", c)
	}
}

// Updates are refused that come again or are too large, and sessions beyond the bound.
func TestUpdatesRefused(t *testing.T) {
	w := relayWorld(t)
	for i := range MaxSessions {
		newUpdates(w, uint64(i+1)).send(none)
	}
	for want, u := range map[error]Update{
		ErrTooManySessions: {Session: 1000, Sequence: 1},
		ErrOldUpdate:       {Session: 1, Sequence: 1},
		ErrUpdateTooLarge:  {Session: 1, Sequence: 2, Left: make([]string, MaxUpdateChanges+1)},
	} {
		if _, err := w.r.Update(u, 1, w.now); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	w.now += 625 * ms
	w.look()
	if n := len(w.r.Sessions(w.now)); n != 0 {
		t.Errorf("%d sessions after all leases are over", n)
	}
}

// A list that was made for another leader comes late: it is not taken, for what has changed since was said to that one alone.
func TestListForAnotherLeader(t *testing.T) {
	w := relayWorld(t)
	u := newUpdates(w, 1)
	u.send(none)
	late := u.Update
	late.Sequence, late.Full, late.Joined = 2, true, []JoinedDirector{described("a")}
	w.r.Begin(w.f, w.now)
	w.now += 700 * ms
	if got, err := w.r.Update(late, 5, w.now); err != nil || !got.NeedFull || got.Registration == late.Registration {
		t.Fatalf("%+v, %v", got, err)
	}
	if c := w.look(); c != nil {
		t.Fatalf("%+v", c)
	}
}

// A director that two relays have lost, of which the second had not yet said that it served it, may have gone on from the second to
// a third after that had spoken last.
func TestLostByOneThatItHadNotJoined(t *testing.T) {
	w := relayWorld(t)
	first, second, third := newUpdates(w, 1), newUpdates(w, 2), newUpdates(w, 3)
	all := []*updates{first, second, third}
	for _, u := range all {
		u.send(none)
		u.send(none)
	}
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	for range 20 {
		w.now += 50 * ms
		for _, u := range all {
			u.send(none)
		}
		w.look()
	}
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	w.now += 50 * ms
	third.send(none)
	third.send(none) // its picture reaches to here
	w.now += 300 * ms
	second.send(func(u *Update) { u.Lost = []string{"a/1"} })
	for range 4 {
		w.now += 50 * ms
		first.send(none)
		second.send(none)
		if c := w.look(); c != nil {
			t.Fatalf("the third relay may have it: %+v", c)
		}
	}
	third.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	for range 20 {
		w.now += 50 * ms
		for _, u := range all {
			u.send(none)
		}
		if c := w.look(); c != nil {
			t.Fatalf("%+v", c)
		}
	}
}

// One that a relay has lost may have gone on to a replica that has not said so yet: it is given a replica's lease. One that comes back
// to a replica after an hour is gone after the same time as any.
func TestBetweenRelaysAndReplicas(t *testing.T) {
	w := relayWorld(t)
	u := newUpdates(w, 1)
	u.send(none)
	u.send(func(u *Update) { u.Joined = []JoinedDirector{described("a"), described("b")} })
	w.hear("b", "1", false)
	for range 3600 * 20 {
		w.now += 50 * ms
		u.send(none)
	}
	w.look()
	u.send(func(u *Update) { u.Lost = []string{"a/1", "b/1"} })
	w.hear("b", "1", false)
	gone := map[string]time.Duration{}
	for since := time.Duration(0); since < time.Second; since += 4 * ms {
		u.send(none)
		if c := w.look(); c != nil {
			for _, id := range c.Left {
				gone[id] = since
			}
		}
		w.now += 4 * ms
	}
	if gone["a/1"] < 208*ms || gone["a/1"] > 320*ms || gone["b/1"] < 624*ms || gone["b/1"] > 760*ms {
		t.Fatalf("%v", gone)
	}
}
