package membership

import (
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

const ms = time.Millisecond

// harness is a tracker, and the fleet that its changes are applied to.
type harness struct {
	t       testing.TB
	tracker *Tracker
	f       fleet.Fleet
	now     time.Duration
	written int
}

func newHarness(t testing.TB) *harness {
	return &harness{t: t, tracker: New(Settings{Lease: 400 * ms, Drift: 0.02, Gather: 100 * ms}), now: time.Hour}
}

func (h *harness) heartbeat(name, inc string, leaving bool) {
	d := fleet.Director{Name: name, Incarnation: inc}
	h.tracker.RecordHeartbeat(Heartbeat{ID: d.ID(), Director: &d, Leaving: leaving, At: h.now})
}

// writeChange applies the next change of the members, if there is one.
func (h *harness) writeChange() *fleet.MembershipChange {
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

// Directors that start together join with a few events. One that is silent is gone once its lease is over by any clock, and not
// before; one that says that it leaves is gone at once.
func TestChangesAreGatheredAndExpiryFollowsLease(t *testing.T) {
	h := newHarness(t)
	for i := range 300 {
		h.heartbeat(fmt.Sprint("d", i), "1", false)
		h.now += ms
		h.writeChange()
	}
	h.now += 100 * ms
	h.writeChange()
	if n := h.f.Membership(); len(n.Directors) != 300 || h.written > 5 {
		t.Fatalf("%d directors in %d events", len(n.Directors), h.written)
	}
	for i := range 300 {
		h.heartbeat(fmt.Sprint("d", i), "1", false)
	}
	for range 20 { // all but the first go on
		h.now += 20 * ms
		for i := 1; i < 300; i++ {
			h.heartbeat(fmt.Sprint("d", i), "1", false)
		}
	}
	if c := h.writeChange(); c != nil {
		t.Fatalf("gone within its lease: %+v", c)
	}
	h.now += 120 * ms
	for i := 1; i < 300; i++ {
		h.heartbeat(fmt.Sprint("d", i), "1", i == 7)
	}
	if c := h.writeChange(); c == nil || len(c.Left) != 2 || c.Left[0] != "d0/1" || c.Left[1] != "d7/1" {
		t.Fatalf("%+v", c)
	}
}

// A second process under a name does not become a member while the first is one: the first may hold claims.
func TestTwoProcessesUnderOneName(t *testing.T) {
	h := newHarness(t)
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.writeChange()
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.heartbeat("d", "2", false)
	if c := h.writeChange(); c != nil {
		t.Fatalf("%+v", c)
	}
	for range 30 {
		h.now += 20 * ms
		h.heartbeat("d", "2", false)
	}
	c := h.writeChange()
	if c == nil || len(c.Left) != 1 || c.Left[0] != "d/1" || len(c.Joined) != 1 || c.Joined[0].ID() != "d/2" {
		t.Fatalf("%+v", c)
	}
}

// A change of the leader alone does not make members leave: the new leader gives each a full lease.
func TestBeginKeepsMembersForOneLease(t *testing.T) {
	h := newHarness(t)
	h.now += 200 * ms
	h.heartbeat("d", "1", false)
	h.writeChange()
	h.now += time.Hour
	h.tracker = New(h.tracker.set)
	h.tracker.Reset(h.f, h.now)
	h.now += 300 * ms
	if c := h.writeChange(); c != nil {
		t.Fatalf("%+v", c)
	}
	h.now += 200 * ms
	if c := h.writeChange(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
}
