// Package acknowledged tracks which events every watcher has acknowledged. Watchers have no names here: each, on its one
// connection, acknowledges all events up to the number after which it asks. It does no I/O; time comes in as an argument.
package acknowledged

import "net/netip"

// Tracker knows the followers that are connected and those that left lately. It is not safe for concurrent use.
type Tracker struct {
	withinMS  int64 // after which an event counts as told to one that left
	followers map[int64]*follower
	left      []departed
}

type follower struct {
	addr  netip.Addr
	acked int64
	asked bool
}

// departed is a follower that left without having all. If it does not come back it learns elsewhere, or counts as told
// by its own clock.
type departed struct {
	addr   netip.Addr
	acked  int64
	leftMS int64
}

// New makes a tracker. What a follower lacks that left withinMS ago counts as told.
func New(withinMS int64) *Tracker {
	return &Tracker{withinMS: withinMS, followers: map[int64]*follower{}}
}

// Within sets the time after which what a follower lacks that left counts as told.
func (t *Tracker) Within(ms int64) { t.withinMS = ms }

// Join takes in a connection, by a number of the caller's.
func (t *Tracker) Join(id int64, addr netip.Addr) { t.followers[id] = &follower{addr: addr} }

// Ack tells that a follower has all events up to a number. If it is one that left, it is back.
func (t *Tracker) Ack(id, no int64) {
	f := t.followers[id]
	if f == nil {
		return
	}
	if !f.asked {
		for i, d := range t.left {
			if d.addr == f.addr && d.acked <= no {
				t.left = append(t.left[:i], t.left[i+1:]...)
				break
			}
		}
	}
	f.asked, f.acked = true, max(f.acked, no)
}

// Leave tells that a connection ended.
func (t *Tracker) Leave(id, last, nowMS int64) {
	f := t.followers[id]
	delete(t.followers, id)
	if f != nil && f.asked && f.acked <= last {
		t.left = append(t.left, departed{f.addr, f.acked, nowMS})
	}
}

// Len is how many are connected and have asked.
func (t *Tracker) Len() (n int) {
	for _, f := range t.followers {
		if f.asked {
			n++
		}
	}
	return n
}

// Told is the number up to which all followers have every event, at most last.
func (t *Tracker) Told(last, nowMS int64) int64 {
	kept := t.left[:0]
	for _, d := range t.left {
		if nowMS < d.leftMS+t.withinMS {
			kept = append(kept, d)
			last = min(last, d.acked)
		}
	}
	t.left = kept
	for _, f := range t.followers {
		if f.asked {
			last = min(last, f.acked)
		}
	}
	return last
}
