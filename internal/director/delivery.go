package director

import "time"

// delivery follows how a client takes what was written to its connection. The zero value is ready to use.
type delivery struct {
	bytes      int64         // delivered when it was last checked, see transport.Conn.Delivered
	progressAt time.Duration // when a check last found that more bytes had been delivered
}

// check records the number of bytes delivered by now.
func (d *delivery) check(delivered int64, now time.Duration) {
	if delivered != d.bytes || d.progressAt == 0 {
		d.bytes = delivered
		d.progressAt = now
	}
}

// stalledFor returns the time for which the client has taken nothing, as of the last check.
func (d *delivery) stalledFor(now time.Duration) time.Duration { return now - d.progressAt }
