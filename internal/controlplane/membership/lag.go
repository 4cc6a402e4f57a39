package membership

import "time"

// Lag measures for how long a reader has been missing a particular event. The measurement restarts once the reader has that event,
// so a reader that constantly follows a growing log at a short distance does not accumulate lag. The zero value is a reader that is
// not behind.
type Lag struct {
	missingRevision int64         // the revision that the reader is waiting for
	behindSince     time.Duration // when the reader was first seen to lack missingRevision
	behind          bool
}

// Observe updates the lag with the revision that the reader has acknowledged and the last revision of the log. It returns for how
// long the reader has been behind.
func (l *Lag) Observe(acknowledged, last int64, now time.Duration) time.Duration {
	switch {
	case acknowledged >= last:
		l.behind = false
		return 0
	case !l.behind || acknowledged >= l.missingRevision:
		l.behind = true
		l.missingRevision = last
		l.behindSince = now
		return 0
	}
	return now - l.behindSince
}
