package director

import "time"

// inTransitBytes is the number of bytes that may be unacknowledged although the client reads at once.
const inTransitBytes = 128 << 10

// delivery follows how a client takes what was written to its connection. It must be checked periodically.
type delivery struct {
	bytes      int64         // delivered at the last check, see transport.Conn.Delivered
	progressAt time.Duration // the last check that found more bytes delivered, or all of them
}

// check records the number of bytes delivered by now, and the number of those that were written and are not delivered.
func (d *delivery) check(delivered int64, undelivered int, now time.Duration) {
	if delivered != d.bytes || undelivered == 0 {
		*d = delivery{bytes: delivered, progressAt: now}
	}
}

// stalledFor returns the time for which the client has left output unread and taken nothing, as of the last check.
func (d *delivery) stalledFor(now time.Duration) time.Duration { return now - d.progressAt }
