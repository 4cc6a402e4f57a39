// Package acknowledged computes the revision up to which all watchers of one process have received every event. A watcher has one
// connection, and by requesting the events after a revision it acknowledges all events up to that revision. Watchers have no names
// here: one that reconnects is recognized by its address. The package does no I/O; the caller passes in the time.
package acknowledged

import (
	"net/netip"
	"slices"
)

// Tracker tracks the connected watchers and those that disconnected recently. It is not safe for concurrent use.
type Tracker struct {
	notifiedWithinMS int64
	watchers         map[int64]*watcher
	departed         []departure
}

// watcher is a connected watcher.
type watcher struct {
	addr         netip.Addr
	acknowledged int64
	requested    bool // whether it has sent a request; until then it is ignored
}

// departure is a watcher that disconnected and lacks events, or may lack later ones. Within notifiedWithinMS it either
// reconnects elsewhere or, by its own clock, stops using its state.
type departure struct {
	addr         netip.Addr
	acknowledged int64
	leftMS       int64
}

// New returns a tracker. Events that a watcher lacked when it disconnected count as acknowledged after notifiedWithinMS milliseconds.
func New(notifiedWithinMS int64) *Tracker {
	return &Tracker{notifiedWithinMS: notifiedWithinMS, watchers: map[int64]*watcher{}}
}

// SetNotifiedWithin sets the time, in milliseconds, after which events that a watcher lacked when it disconnected count as
// acknowledged.
func (t *Tracker) SetNotifiedWithin(notifiedWithinMS int64) { t.notifiedWithinMS = notifiedWithinMS }

// Join adds a connection under an ID chosen by the caller.
func (t *Tracker) Join(id int64, addr netip.Addr) { t.watchers[id] = &watcher{addr: addr} }

// Ack records that a watcher has all events up to a revision. On a watcher's first call, a departed watcher from the same address that
// had acknowledged no later revision counts as reconnected.
func (t *Tracker) Ack(id, revision int64) {
	w := t.watchers[id]
	if w == nil {
		return
	}
	if !w.requested {
		t.removeReturned(w.addr, revision)
	}
	w.requested = true
	w.acknowledged = max(w.acknowledged, revision)
}

// removeReturned removes one departure from an address that had acknowledged no revision after the given one.
func (t *Tracker) removeReturned(addr netip.Addr, revision int64) {
	i := slices.IndexFunc(t.departed, func(d departure) bool { return d.addr == addr && d.acknowledged <= revision })
	if i >= 0 {
		t.departed = slices.Delete(t.departed, i, i+1)
	}
}

// Leave records that a connection has ended. last is the revision of the last event; nowMS is the time in milliseconds.
func (t *Tracker) Leave(id, last, nowMS int64) {
	w := t.watchers[id]
	delete(t.watchers, id)
	if w != nil && w.requested && w.acknowledged <= last {
		t.departed = append(t.departed, departure{addr: w.addr, acknowledged: w.acknowledged, leftMS: nowMS})
	}
}

// Len returns the number of connected watchers that have sent a request.
func (t *Tracker) Len() int {
	n := 0
	for _, w := range t.watchers {
		if w.requested {
			n++
		}
	}
	return n
}

// AcknowledgedUpTo returns the revision up to which all watchers have acknowledged the events, at most last. nowMS is the time in
// milliseconds.
func (t *Tracker) AcknowledgedUpTo(last, nowMS int64) int64 {
	t.departed = slices.DeleteFunc(t.departed, func(d departure) bool { return nowMS >= d.leftMS+t.notifiedWithinMS })
	for _, d := range t.departed {
		last = min(last, d.acknowledged)
	}
	for _, w := range t.watchers {
		if w.requested {
			last = min(last, w.acknowledged)
		}
	}
	return last
}
