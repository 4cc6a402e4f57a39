package membership

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

func newRelayHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.tracker = New(Settings{Lease: 600 * ms, Drift: 0.02, Gather: 100 * ms, DirectorLease: 400 * ms, RelayLease: 200 * ms})
	h.tracker.Reset(h.f, h.now)
	h.now += 700 * ms
	return h
}

func described(name string) JoinedDirector {
	return JoinedDirector{Director: fleet.Director{Name: name, Incarnation: "1"}}
}

// updates is a relay that sends updates with correct sequences and registrations.
type updates struct {
	h *harness
	Update
}

func newUpdates(h *harness, session uint64) *updates {
	return &updates{h, Update{Relay: Relay{Name: fmt.Sprint("r", session), Incarnation: "1"}, Session: session, Full: true}}
}

func (u *updates) send(change func(*Update)) UpdateResult {
	u.h.t.Helper()
	sent := u.Update
	sent.Sequence++
	change(&sent)
	got, err := u.h.tracker.Update(sent, 1000*u.Session+sent.Sequence, u.h.now)
	if err != nil {
		u.h.t.Fatal(err)
	}
	u.Sequence, u.Answered, u.Registration, u.Full = sent.Sequence, sent.Sequence, got.Registration, got.NeedFull
	return got
}

func none(*Update) {}

// A full list in several updates is complete only with its last one. Until then no director is gone that the relay may serve; then
// those are that it did not name.
func TestFullListInSeveralUpdates(t *testing.T) {
	h := newRelayHarness(t)
	first, second := newUpdates(h, 1), newUpdates(h, 2)
	first.send(none)
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a"), described("b")} })
	h.writeChange()
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	second.send(none)
	for range 20 {
		h.now += 50 * ms
		first.send(none)
		second.send(func(u *Update) { u.More = true })
		if c := h.writeChange(); c != nil {
			t.Fatalf("gone before the second relay has named its directors: %+v", c)
		}
	}
	second.send(func(u *Update) { u.Joined = []JoinedDirector{described("c")} })
	for range 10 {
		h.now += 50 * ms
		first.send(none)
		second.send(none)
		h.writeChange()
	}
	if h.f.Director("a/1") != nil || h.f.Director("b/1") == nil || h.f.Director("c/1") == nil {
		t.Fatalf("%+v", h.f.Membership())
	}
	second.Full = true
	second.send(func(u *Update) { u.Joined = []JoinedDirector{described("d")} })
	for range 20 {
		h.now += 50 * ms
		first.send(none)
		second.send(none)
		h.writeChange()
	}
	if h.f.Director("b/1") == nil || h.f.Director("c/1") != nil || h.f.Director("d/1") == nil {
		t.Fatalf("%+v", h.f.Membership())
	}
}

// A director that leaves is gone at once, and a relay that it called before does not bring it back.
func TestLeaveThroughRelay(t *testing.T) {
	h := newRelayHarness(t)
	first, second := newUpdates(h, 1), newUpdates(h, 2)
	for _, u := range []*updates{first, second} {
		u.send(none)
		u.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	}
	h.writeChange()
	h.now += 150 * ms
	second.send(func(u *Update) { u.Left = []string{"a/1"} })
	if c := h.writeChange(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
	h.now += 150 * ms
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	if c := h.writeChange(); c != nil {
		t.Fatalf("it is back: %+v", c)
	}
}

// Updates that come again or are too large are rejected, and sessions beyond the bound.
func TestUpdatesRejected(t *testing.T) {
	h := newRelayHarness(t)
	for i := range MaxSessions {
		newUpdates(h, uint64(i+1)).send(none)
	}
	for want, u := range map[error]Update{
		ErrTooManySessions: {Session: 1000, Sequence: 1},
		ErrOldUpdate:       {Session: 1, Sequence: 1},
		ErrUpdateTooLarge:  {Session: 1, Sequence: 2, Left: make([]string, MaxUpdateChanges+1)},
	} {
		if _, err := h.tracker.Update(u, 1, h.now); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	h.now += 625 * ms
	h.writeChange()
	if n := len(h.tracker.Sessions(h.now)); n != 0 {
		t.Errorf("%d sessions after all leases are over", n)
	}
}

// A full list that was made for an earlier leader is not taken: the changes since were reported to that leader alone.
func TestFullListForEarlierLeader(t *testing.T) {
	h := newRelayHarness(t)
	u := newUpdates(h, 1)
	u.send(none)
	late := u.Update
	late.Sequence, late.Full, late.Joined = 2, true, []JoinedDirector{described("a")}
	h.tracker.Reset(h.f, h.now)
	h.now += 700 * ms
	if got, err := h.tracker.Update(late, 5, h.now); err != nil || !got.NeedFull || got.Registration == late.Registration {
		t.Fatalf("%+v, %v", got, err)
	}
	if c := h.writeChange(); c != nil {
		t.Fatalf("%+v", c)
	}
}

// A director lost by two relays, of which the second had not reported that it served it, may have gone on from the second to a
// third after the third's last update. It must not be gone before the third has reported.
func TestLostByRelayThatHadNotReportedIt(t *testing.T) {
	h := newRelayHarness(t)
	first, second, third := newUpdates(h, 1), newUpdates(h, 2), newUpdates(h, 3)
	all := []*updates{first, second, third}
	for _, u := range all {
		u.send(none)
		u.send(none)
	}
	first.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	for range 20 {
		h.now += 50 * ms
		for _, u := range all {
			u.send(none)
		}
		h.writeChange()
	}
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	h.now += 50 * ms
	third.send(none)
	third.send(none) // its updates cover the time up to here
	h.now += 300 * ms
	second.send(func(u *Update) { u.Lost = []string{"a/1"} })
	for range 4 {
		h.now += 50 * ms
		first.send(none)
		second.send(none)
		if c := h.writeChange(); c != nil {
			t.Fatalf("the third relay may have it: %+v", c)
		}
	}
	third.send(func(u *Update) { u.Joined = []JoinedDirector{described("a")} })
	for range 20 {
		h.now += 50 * ms
		for _, u := range all {
			u.send(none)
		}
		if c := h.writeChange(); c != nil {
			t.Fatalf("%+v", c)
		}
	}
}

// A director that a relay has lost may have gone on to a replica that has not reported it yet, so it is given the lease of a
// replica. One that comes back to a replica after an hour with a relay is gone after the same time as any.
func TestLeaseBetweenRelaysAndReplicas(t *testing.T) {
	h := newRelayHarness(t)
	u := newUpdates(h, 1)
	u.send(none)
	u.send(func(u *Update) { u.Joined = []JoinedDirector{described("a"), described("b")} })
	h.heartbeat("b", "1", false)
	for range 3600 * 20 {
		h.now += 50 * ms
		u.send(none)
	}
	h.writeChange()
	u.send(func(u *Update) { u.Lost = []string{"a/1", "b/1"} })
	h.heartbeat("b", "1", false)
	gone := map[string]time.Duration{}
	for since := time.Duration(0); since < time.Second; since += 4 * ms {
		u.send(none)
		if c := h.writeChange(); c != nil {
			for _, id := range c.Left {
				gone[id] = since
			}
		}
		h.now += 4 * ms
	}
	if gone["a/1"] < 208*ms || gone["a/1"] > 320*ms || gone["b/1"] < 624*ms || gone["b/1"] > 760*ms {
		t.Fatalf("%v", gone)
	}
}
