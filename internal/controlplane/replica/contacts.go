package replica

import "time"

// Contacts counts for how long a leader has received nothing from each other disk, by the ticks of its own loop. Ticks that a loop
// missed while it was held up, as by its own disk, are not made up for: it sent no heartbeat meanwhile, and what others sent waits
// unread, so that their silence shows nothing. It is not safe for concurrent use.
type Contacts struct {
	tick time.Duration // from one tick to the next
	now  time.Duration // the ticks so far
	last map[uint64]time.Duration
}

// NewContacts makes the contacts of a loop with a time from one tick to the next.
func NewContacts(tick time.Duration) *Contacts {
	return &Contacts{tick: tick, last: map[uint64]time.Duration{}}
}

// Tick takes in that the loop ticks.
func (c *Contacts) Tick() { c.now += c.tick }

// Received takes in that something came from a disk.
func (c *Contacts) Received(disk uint64) { c.last[disk] = c.now }

// Lead begins anew: a follower receives next to nothing from other followers, whose silence until now shows nothing.
func (c *Contacts) Lead() { clear(c.last) }

// Silence is for how long nothing came from a disk. For one that nothing came from yet it counts from the first call.
func (c *Contacts) Silence(disk uint64) time.Duration {
	at, known := c.last[disk]
	if !known {
		at = c.now
		c.last[disk] = at
	}
	return c.now - at
}
