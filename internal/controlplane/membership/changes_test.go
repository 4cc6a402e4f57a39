package membership

import (
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

const ms = time.Millisecond

// harness combines a tracker with the fleet to which its changes are applied.
type harness struct {
	t       testing.TB
	tracker *Tracker
	f       fleet.Fleet
	now     time.Duration
	written int
}

func newHarness(t testing.TB) *harness {
	return &harness{t: t, tracker: New(Settings{Lease: 400 * ms, Drift: 0.02, BatchTime: 100 * ms}), now: time.Hour}
}

func (h *harness) heartbeat(name, inc string, leaving bool) {
	d := fleet.Director{Name: name, Incarnation: inc}
	h.tracker.RecordHeartbeat(Heartbeat{ID: d.ID(), Director: &d, Leaving: leaving, At: h.now})
}

// applyChange applies the next change of the members, if there is one, and returns it.
func (h *harness) applyChange() *fleet.MembershipChange {
	h.t.Helper()
	c := h.tracker.NextChange(h.f, h.now)
	if c == nil {
		return nil
	}
	f, err := h.f.Apply(fleet.Event{No: h.f.Revision + 1, Membership: c})
	if err != nil {
		h.t.Fatal(err)
	}
	h.f = f
	h.tracker.MarkWritten(h.now)
	h.written++
	return c
}

// TestChangesAreGatheredAndExpiryFollowsLease checks that directors that start together join with a few events, that a silent
// director is removed once its lease has expired by any clock and not before, and that a director that announces that it is
// leaving is removed immediately.
func TestChangesAreGatheredAndExpiryFollowsLease(t *testing.T) {
	h := newHarness(t)
	for i := range 300 {
		h.heartbeat(fmt.Sprint("d", i), "1", false)
		h.now += ms
		h.applyChange()
	}
	h.now += 100 * ms
	h.applyChange()
	if n := h.f.Membership(); len(n.Directors) != 300 || h.written > 5 {
		t.Fatalf("%d directors in %d events", len(n.Directors), h.written)
	}
	for i := range 300 {
		h.heartbeat(fmt.Sprint("d", i), "1", false)
	}
	for range 20 { // all but the first continue to call
		h.now += 20 * ms
		for i := 1; i < 300; i++ {
			h.heartbeat(fmt.Sprint("d", i), "1", false)
		}
	}
	if c := h.applyChange(); c != nil {
		t.Fatalf("removed within its lease: %+v", c)
	}
	h.now += 120 * ms
	for i := 1; i < 300; i++ {
		h.heartbeat(fmt.Sprint("d", i), "1", i == 7)
	}
	if c := h.applyChange(); c == nil || len(c.Left) != 2 || c.Left[0] != "d0/1" || c.Left[1] != "d7/1" {
		t.Fatalf("%+v", c)
	}
}

// TestSecondProcessUnderOneNameWaits checks that a second process with the same name does not become a member while the first is
// one: the first may hold claims.
func TestSecondProcessUnderOneNameWaits(t *testing.T) {
	h := newHarness(t)
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.applyChange()
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.heartbeat("d", "2", false)
	if c := h.applyChange(); c != nil {
		t.Fatalf("%+v", c)
	}
	for range 30 {
		h.now += 20 * ms
		h.heartbeat("d", "2", false)
	}
	c := h.applyChange()
	if c == nil || len(c.Left) != 1 || c.Left[0] != "d/1" || len(c.Joined) != 1 || c.Joined[0].ID() != "d/2" {
		t.Fatalf("%+v", c)
	}
}

// TestResetKeepsMembersForOneLease checks that a change of leader does not remove members by itself: the new leader gives each of
// them a full lease.
func TestResetKeepsMembersForOneLease(t *testing.T) {
	h := newHarness(t)
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.applyChange()
	h.now += time.Hour
	h.tracker = New(h.tracker.settings)
	h.tracker.Reset(h.f, h.now)
	h.now += 300 * ms
	if c := h.applyChange(); c != nil {
		t.Fatalf("%+v", c)
	}
	h.now += 200 * ms
	if c := h.applyChange(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
}
