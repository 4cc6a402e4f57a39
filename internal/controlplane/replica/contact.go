package replica

import "time"

// ContactTracker measures how long a leader has received nothing from each other disk, in ticks of
// the leader's own loop. Ticks that the loop missed, for example while its own disk stalled, are
// not counted: during that time the leader sent no heartbeats and read no messages, so the silence
// of the others proves nothing. It is not safe for concurrent use.
type ContactTracker struct {
	tick        time.Duration
	now         time.Duration // total time of the ticks so far
	lastContact map[uint64]time.Duration
}

// NewContactTracker returns a tracker for a loop with the given tick interval.
func NewContactTracker(tick time.Duration) *ContactTracker {
	return &ContactTracker{tick: tick, lastContact: map[uint64]time.Duration{}}
}

// Tick advances the tracker's time by one tick interval.
func (t *ContactTracker) Tick() { t.now += t.tick }

// Received records that a message arrived from a disk.
func (t *ContactTracker) Received(disk uint64) { t.lastContact[disk] = t.now }

// Reset clears all recorded contacts. A new leader calls it: followers send each other almost no
// messages, so their silence before its election proves nothing.
func (t *ContactTracker) Reset() { clear(t.lastContact) }

// Silence returns the time since the last message from a disk. For a disk that has sent none, it
// returns the time since Silence was first called for the disk.
func (t *ContactTracker) Silence(disk uint64) time.Duration {
	at, known := t.lastContact[disk]
	if !known {
		at = t.now
		t.lastContact[disk] = at
	}
	return t.now - at
}
