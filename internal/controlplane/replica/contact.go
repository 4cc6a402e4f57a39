package replica

import "time"

// ContactTracker counts how long a leader has received nothing from each other disk, in ticks of
// the leader's own loop. Ticks that the loop missed, as while its own disk stalled, are not made up
// for: the leader sent no heartbeat meanwhile, and what others sent waits unread, so that their
// silence proves nothing. It is not safe for concurrent use.
type ContactTracker struct {
	tick        time.Duration
	now         time.Duration // sum of the ticks so far
	lastContact map[uint64]time.Duration
}

// NewContactTracker makes a tracker for a loop with a time from one tick to the next.
func NewContactTracker(tick time.Duration) *ContactTracker {
	return &ContactTracker{tick: tick, lastContact: map[uint64]time.Duration{}}
}

// Tick lets one tick pass.
func (t *ContactTracker) Tick() { t.now += t.tick }

// Received records that something came from a disk.
func (t *ContactTracker) Received(disk uint64) { t.lastContact[disk] = t.now }

// Reset forgets all contacts. A new leader calls it: followers send each other next to nothing, so
// that their silence towards it before its election proves nothing.
func (t *ContactTracker) Reset() { clear(t.lastContact) }

// Silence returns how long nothing came from a disk. For a disk without a contact it counts from
// the first call.
func (t *ContactTracker) Silence(disk uint64) time.Duration {
	at, known := t.lastContact[disk]
	if !known {
		at = t.now
		t.lastContact[disk] = at
	}
	return t.now - at
}
