package membership

import (
	"errors"
	"fmt"
	"testing"

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
		t.Fatalf("%+v", w.f.Roll())
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
		t.Fatalf("%+v", w.f.Roll())
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
	if c := w.look(); c == nil || len(c.Gone) != 1 {
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

// BenchmarkUpdate is what an update in steady state and a look at the membership cost the leader, with 9 relays.
func BenchmarkUpdate(b *testing.B) {
	for _, directors := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(directors), func(b *testing.B) {
			w := relayWorld(b)
			var all []*updates
			for n := range 9 {
				u := newUpdates(w, uint64(n+1))
				u.send(none)
				for i := 0; i < directors; i += 50 {
					u.send(func(u *Update) {
						for k := range 50 {
							u.Joined = append(u.Joined, described(fmt.Sprint("d", n, "-", i+k)))
						}
					})
				}
				all = append(all, u)
			}
			w.look()
			n := 0
			for b.Loop() {
				w.now += 5 * ms
				all[n%9].send(none)
				w.r.Observe(w.f.Revision, w.now)
				if c := w.r.Change(w.f, w.now); c != nil {
					b.Fatal(c)
				}
				n++
			}
		})
	}
}
