package membership

import (
	"fmt"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

const ms = time.Millisecond

// world is a roll and the history that it is told in.
type world struct {
	t    testing.TB
	r    *Tracker
	f    fleet.Fleet
	now  time.Duration
	told int
}

func newWorld(t testing.TB) *world {
	return &world{t: t, r: New(Settings{Lease: 400 * ms, Drift: 0.02, Gather: 100 * ms}), now: time.Hour}
}

func (w *world) hear(name, inc string, leaving bool) {
	d := fleet.Director{Name: name, Incarnation: inc}
	w.r.RecordHeartbeat(Heartbeat{ID: d.ID(), Director: &d, Leaving: leaving, At: w.now})
}

// look makes what there is to tell an event.
func (w *world) look() *fleet.MembershipChange {
	w.t.Helper()
	c := w.r.Change(w.f, w.now)
	if c == nil {
		return nil
	}
	f, err := w.f.Apply(fleet.Event{No: w.f.Revision + 1, Membership: c})
	if err != nil {
		w.t.Fatal(err)
	}
	w.f = f
	w.r.MarkAnnounced(w.now)
	w.told++
	return c
}

// A fleet that starts together is a few events; one who is silent for longer than its lease and its drift is gone, and not
// before; one that leaves in order is gone at once.
func TestRollIsGatheredAndLeavesAfterTheLease(t *testing.T) {
	w := newWorld(t)
	for i := range 300 {
		w.hear(fmt.Sprint("d", i), "1", false)
		w.now += ms
		w.look()
	}
	w.now += 100 * ms
	w.look()
	if n := w.f.Membership(); len(n.Directors) != 300 || w.told > 5 {
		t.Fatalf("%d directors in %d events", len(n.Directors), w.told)
	}
	for i := range 300 {
		w.hear(fmt.Sprint("d", i), "1", false)
	}
	for range 20 { // all but one go on
		w.now += 20 * ms
		for i := 1; i < 300; i++ {
			w.hear(fmt.Sprint("d", i), "1", false)
		}
	}
	if c := w.look(); c != nil {
		t.Fatalf("gone within its lease: %+v", c)
	}
	w.now += 120 * ms
	for i := 1; i < 300; i++ {
		w.hear(fmt.Sprint("d", i), "1", i == 7)
	}
	if c := w.look(); c == nil || len(c.Left) != 2 || c.Left[0] != "d0/1" || c.Left[1] != "d7/1" {
		t.Fatalf("%+v", c)
	}
}

// A second process under a name is not on the roll while the first is: its claims are the first one's.
func TestTwoUnderOneName(t *testing.T) {
	w := newWorld(t)
	w.now += 200 * ms
	w.hear("d", "1", false)
	w.look()
	w.now += 200 * ms
	w.hear("d", "1", false)
	w.hear("d", "2", false)
	if c := w.look(); c != nil {
		t.Fatalf("%+v", c)
	}
	for range 30 {
		w.now += 20 * ms
		w.hear("d", "2", false)
	}
	c := w.look()
	if c == nil || len(c.Left) != 1 || c.Left[0] != "d/1" || len(c.Joined) != 1 || c.Joined[0].ID() != "d/2" {
		t.Fatalf("%+v", c)
	}
}

// Who takes the roll over counts all as heard of: nobody is gone for the change of who counts.
func TestTakingOverEndsNobody(t *testing.T) {
	w := newWorld(t)
	w.now += 200 * ms
	w.hear("d", "1", false)
	w.look()
	w.now += time.Hour
	w.r = New(w.r.set)
	w.r.Begin(w.f, w.now)
	w.now += 300 * ms
	if c := w.look(); c != nil {
		t.Fatalf("%+v", c)
	}
	w.now += 200 * ms
	if c := w.look(); c == nil || len(c.Left) != 1 {
		t.Fatalf("%+v", c)
	}
}
