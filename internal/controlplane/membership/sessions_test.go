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
	h.tracker = New(Settings{Lease: 600 * ms, Drift: 0.02, BatchTime: 100 * ms, DirectorLease: 400 * ms, RelayLease: 200 * ms})
	h.tracker.Reset(h.f, h.now)
	h.now += 700 * ms
	return h
}

func joinedDirector(name string) JoinedDirector {
	return JoinedDirector{Director: fleet.Director{Name: name, Incarnation: "1"}}
}

// relayClient is a relay that sends updates with correct sequences and registrations.
type relayClient struct {
	h *harness
	Update
}

func newRelayClient(h *harness, session uint64) *relayClient {
	return &relayClient{h, Update{Relay: Relay{Name: fmt.Sprint("r", session), Incarnation: "1"}, Session: session, Full: true}}
}

func (u *relayClient) send(change func(*Update)) UpdateResult {
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

func noChange(*Update) {}

// TestFullListInSeveralUpdates checks that a full list that is sent in several updates is complete only after the last of them.
// Until then, no director that the relay may serve is removed; afterwards, the directors that the list did not include are.
func TestFullListInSeveralUpdates(t *testing.T) {
	h := newRelayHarness(t)
	first, second := newRelayClient(h, 1), newRelayClient(h, 2)
	first.send(noChange)
	first.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a"), joinedDirector("b")} })
	h.applyChange()
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	second.send(noChange)
	for range 20 {
		h.now += 50 * ms
		first.send(noChange)
		second.send(func(u *Update) { u.More = true })
		if c := h.applyChange(); c != nil {
			t.Fatalf("removed before the second relay has reported its directors: %+v", c)
		}
	}
	second.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("c")} })
	for range 10 {
		h.now += 50 * ms
		first.send(noChange)
		second.send(noChange)
		h.applyChange()
	}
	if h.f.Director("a/1") != nil || h.f.Director("b/1") == nil || h.f.Director("c/1") == nil {
		t.Fatalf("%+v", h.f.Membership())
	}
	second.Full = true
	second.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("d")} })
	for range 20 {
		h.now += 50 * ms
		first.send(noChange)
		second.send(noChange)
		h.applyChange()
	}
	if h.f.Director("b/1") == nil || h.f.Director("c/1") != nil || h.f.Director("d/1") == nil {
		t.Fatalf("%+v", h.f.Membership())
	}
}

// TestLeaveThroughRelay checks that a director that leaves is removed immediately, and that a relay that it called earlier cannot
// add it again.
func TestLeaveThroughRelay(t *testing.T) {
	h := newRelayHarness(t)
	first, second := newRelayClient(h, 1), newRelayClient(h, 2)
	for _, u := range []*relayClient{first, second} {
		u.send(noChange)
		u.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a")} })
	}
	h.applyChange()
	h.now += 150 * ms
	second.send(func(u *Update) { u.Left = []string{"a/1"} })
	if c := h.applyChange(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
	h.now += 150 * ms
	first.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a")} })
	if c := h.applyChange(); c != nil {
		t.Fatalf("the director joined again: %+v", c)
	}
}

// TestInvalidUpdatesRejected checks that duplicate updates, updates that are too large, and sessions beyond the limit are
// rejected.
func TestInvalidUpdatesRejected(t *testing.T) {
	h := newRelayHarness(t)
	for i := range MaxSessions {
		newRelayClient(h, uint64(i+1)).send(noChange)
	}
	for want, u := range map[error]Update{
		ErrTooManySessions: {Session: 1000, Sequence: 1},
		ErrOldUpdate:       {Session: 1, Sequence: 1},
		ErrUpdateTooLarge:  {Session: 1, Sequence: 2, Left: make([]string, MaxUpdateChanges+1)},
	} {
		if _, err := h.tracker.Update(u, 1, h.now); !errors.Is(err, want) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
	h.now += 625 * ms
	h.applyChange()
	if n := len(h.tracker.Sessions(h.now)); n != 0 {
		t.Errorf("%d sessions after all leases have expired", n)
	}
}

// TestFullListForPreviousLeaderIgnored checks that a full list that was created for the previous leader is not applied: later
// changes were reported to that leader only.
func TestFullListForPreviousLeaderIgnored(t *testing.T) {
	h := newRelayHarness(t)
	u := newRelayClient(h, 1)
	u.send(noChange)
	late := u.Update
	late.Sequence, late.Full, late.Joined = 2, true, []JoinedDirector{joinedDirector("a")}
	h.tracker.Reset(h.f, h.now)
	h.now += 700 * ms
	if got, err := h.tracker.Update(late, 5, h.now); err != nil || !got.NeedFull || got.Registration == late.Registration {
		t.Fatalf("%+v, %v", got, err)
	}
	if c := h.applyChange(); c != nil {
		t.Fatalf("%+v", c)
	}
}

// TestDirectorLostByUnreportedRelayIsKept covers two relays that lose a director, of which the second had not reported that it
// served the director. The director may have moved from the second relay to a third after the third relay's last update, so it
// must not be removed before the third relay has reported.
func TestDirectorLostByUnreportedRelayIsKept(t *testing.T) {
	h := newRelayHarness(t)
	first, second, third := newRelayClient(h, 1), newRelayClient(h, 2), newRelayClient(h, 3)
	all := []*relayClient{first, second, third}
	for _, u := range all {
		u.send(noChange)
		u.send(noChange)
	}
	first.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a")} })
	for range 20 {
		h.now += 50 * ms
		for _, u := range all {
			u.send(noChange)
		}
		h.applyChange()
	}
	first.send(func(u *Update) { u.Lost = []string{"a/1"} })
	h.now += 50 * ms
	third.send(noChange)
	third.send(noChange) // its updates now cover the time up to this point
	h.now += 300 * ms
	second.send(func(u *Update) { u.Lost = []string{"a/1"} })
	for range 4 {
		h.now += 50 * ms
		first.send(noChange)
		second.send(noChange)
		if c := h.applyChange(); c != nil {
			t.Fatalf("removed although the third relay may serve it: %+v", c)
		}
	}
	third.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a")} })
	for range 20 {
		h.now += 50 * ms
		for _, u := range all {
			u.send(noChange)
		}
		if c := h.applyChange(); c != nil {
			t.Fatalf("%+v", c)
		}
	}
}

// TestLeaseBetweenRelaysAndReplicas checks that a director that a relay has lost is kept for the lease of a replica, because it
// may have moved to a replica that has not reported it yet. A director that returns to a replica after an hour with a relay must
// be removed after the same time as any other.
func TestLeaseBetweenRelaysAndReplicas(t *testing.T) {
	h := newRelayHarness(t)
	u := newRelayClient(h, 1)
	u.send(noChange)
	u.send(func(u *Update) { u.Joined = []JoinedDirector{joinedDirector("a"), joinedDirector("b")} })
	h.heartbeat("b", "1", false)
	for range 3600 * 20 {
		h.now += 50 * ms
		u.send(noChange)
	}
	h.applyChange()
	u.send(func(u *Update) { u.Lost = []string{"a/1", "b/1"} })
	h.heartbeat("b", "1", false)
	gone := map[string]time.Duration{}
	for since := time.Duration(0); since < time.Second; since += 4 * ms {
		u.send(noChange)
		if c := h.applyChange(); c != nil {
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
