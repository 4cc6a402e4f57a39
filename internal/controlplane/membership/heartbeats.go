package membership

import (
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Heartbeat reports that a director called a replica. The call may be slightly in the past.
type Heartbeat struct {
	ID       string
	Director *fleet.Director // nil: the heartbeat does not include the description
	Leaving  bool
	At       time.Duration // when the replica received the call
	Applied  int64         // last revision that the director has applied
	Config   string        // fingerprint of the director's configuration; empty: not included
}

// RecordHeartbeat records a heartbeat. A heartbeat of an unknown director is ignored unless it includes the director's description.
func (t *Tracker) RecordHeartbeat(h Heartbeat) {
	d := t.directors[h.ID]
	if d == nil {
		if h.Director == nil || h.Leaving {
			return
		}
		d = t.add(*h.Director)
	}
	if h.Director != nil {
		t.updateDescription(d, *h.Director)
	}
	if h.Leaving {
		t.markLeaving(d)
	}
	d.applied = max(d.applied, h.Applied)
	if h.Config != "" {
		d.config = h.Config
	}
	d.recordCall(h.At)
}

// recordCall records a call to a replica and updates the smoothed interval between such calls.
func (d *director) recordCall(at time.Duration) {
	if !d.lastCallDirect {
		// Earlier calls went to relays, so the time since then is not an interval between calls to replicas.
		d.lastCallDirect = len(d.sessions) == 0
		d.callInterval = 0
		d.intervalDeviation = 0
		d.directContact = max(d.directContact, at)
		return
	}
	interval := at - d.directContact
	if interval <= 0 {
		return
	}
	d.intervalDeviation += ((interval - d.callInterval).Abs() - d.intervalDeviation) / 8
	d.callInterval += (interval - d.callInterval) / 8
	d.directContact = at
}
