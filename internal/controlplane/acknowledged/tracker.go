// Package acknowledged finds the revision up to which all watchers of one process have every event. A watcher acknowledges, over its one
// connection, all events up to the revision that it requests more after. Watchers have no names here: one that comes back is recognized
// by its address. The package does no I/O; time is passed in.
package acknowledged

import (
	"net/netip"
	"slices"
)

// Tracker knows the watchers that are connected and those that left lately. It is not safe for concurrent use.
type Tracker struct {
	notifiedWithinMS int64
	watchers         map[int64]*watcher
	departed         []departure
}

// watcher is one that is connected.
type watcher struct {
	addr         netip.Addr
	acknowledged int64
	requested    bool // it has made a request; before that it does not count
}

// departure is a watcher that left and lacked events, or may lack those that come. It connects elsewhere, or stops using what it has
// by its own clock.
type departure struct {
	addr         netip.Addr
	acknowledged int64
	leftMS       int64
}

// New makes a tracker. Events that a watcher lacked when it left count as acknowledged after notifiedWithinMS milliseconds.
func New(notifiedWithinMS int64) *Tracker {
	return &Tracker{notifiedWithinMS: notifiedWithinMS, watchers: map[int64]*watcher{}}
}

// SetNotifiedWithin sets the milliseconds after which events that a watcher lacked when it left count as acknowledged.
func (t *Tracker) SetNotifiedWithin(notifiedWithinMS int64) { t.notifiedWithinMS = notifiedWithinMS }

// Join adds a connection under an ID of the caller's.
func (t *Tracker) Join(id int64, addr netip.Addr) { t.watchers[id] = &watcher{addr: addr} }

// Ack records that a watcher has all events up to a revision. With the first one, a watcher from the same address that left with no
// more is taken to be back.
func (t *Tracker) Ack(id, revision int64) {
	w := t.watchers[id]
	if w == nil {
		return
	}
	if !w.requested {
		t.returned(w.addr, revision)
	}
	w.requested = true
	w.acknowledged = max(w.acknowledged, revision)
}

// returned forgets one departure from an address with no more than a revision.
func (t *Tracker) returned(addr netip.Addr, revision int64) {
	i := slices.IndexFunc(t.departed, func(d departure) bool { return d.addr == addr && d.acknowledged <= revision })
	if i >= 0 {
		t.departed = slices.Delete(t.departed, i, i+1)
	}
}

// Leave records that a connection has ended, at a time in milliseconds. last is the revision of the last event that there is.
func (t *Tracker) Leave(id, last, nowMS int64) {
	w := t.watchers[id]
	delete(t.watchers, id)
	if w != nil && w.requested && w.acknowledged <= last {
		t.departed = append(t.departed, departure{addr: w.addr, acknowledged: w.acknowledged, leftMS: nowMS})
	}
}

// Len is how many watchers are connected and have made a request.
func (t *Tracker) Len() int {
	n := 0
	for _, w := range t.watchers {
		if w.requested {
			n++
		}
	}
	return n
}

// AcknowledgedUpTo is the revision up to which all watchers have every event, at most last.
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
