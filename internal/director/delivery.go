package director

import "time"

// inTransitBytes is the number of bytes that may be unacknowledged although the client reads at once.
const inTransitBytes = 128 << 10

// delivery follows how a client takes what was written to its connection.
type delivery struct {
	bytes      int64         // delivered when it was last checked, see transport.Conn.Delivered
	progressAt time.Duration // when a check last found that more bytes had been delivered
}

// restart begins to follow the client anew, after a time in which it had nothing to read.
func (d *delivery) restart(delivered int64, now time.Duration) {
	*d = delivery{bytes: delivered, progressAt: now}
}

// check records the number of bytes delivered by now.
func (d *delivery) check(delivered int64, now time.Duration) {
	if delivered != d.bytes {
		d.restart(delivered, now)
	}
}

// stalledFor returns the time for which the client has taken nothing, as of the last check.
func (d *delivery) stalledFor(now time.Duration) time.Duration { return now - d.progressAt }
