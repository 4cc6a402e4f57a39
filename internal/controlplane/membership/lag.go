package membership

import "time"

// Lag measures for how long a reader has lacked one event. A reader that is always a little behind a growing log does not count
// as behind since the first time: once it has the event that it lacked, the time begins anew. The zero value is a reader that is
// not behind.
type Lag struct {
	target int64         // the revision that it lacks
	since  time.Duration // when that was seen first
	behind bool
}

// Observe takes the revision that the reader has acknowledged and the last one of the log. It returns for how long the reader has
// been behind.
func (l *Lag) Observe(acknowledged, last int64, now time.Duration) time.Duration {
	switch {
	case acknowledged >= last:
		l.behind = false
		return 0
	case !l.behind || acknowledged >= l.target:
		l.behind = true
		l.target = last
		l.since = now
		return 0
	}
	return now - l.since
}
