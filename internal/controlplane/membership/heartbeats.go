package membership

import (
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Heartbeat says that a director called a replica, at a moment that may lie a little back.
type Heartbeat struct {
	ID       string
	Director *fleet.Director // nil: this heartbeat does not describe it
	Leaving  bool
	At       time.Duration
	Applied  int64  // the last revision that it has applied
	Config   string // fingerprint of its configuration; empty: not part of this heartbeat
}

// RecordHeartbeat takes a heartbeat. One of a director that is not known changes nothing unless it describes the director.
func (t *Tracker) RecordHeartbeat(h Heartbeat) {
	d := t.directors[h.ID]
	if d == nil {
		if h.Director == nil || h.Leaving {
			return
		}
		d = t.add(*h.Director)
	}
	if h.Director != nil {
		t.describe(d, *h.Director)
	}
	if h.Leaving {
		t.leave(d)
	}
	d.applied = max(d.applied, h.Applied)
	if h.Config != "" {
		d.config = h.Config
	}
	d.recordCall(h.At)
}

// recordCall records a call of a replica, and how regular the calls are.
func (d *director) recordCall(at time.Duration) {
	if !d.direct {
		// The calls before went to relays: the time since says nothing about its calls of replicas.
		d.direct = len(d.sessions) == 0
		d.callInterval = 0
		d.intervalDeviation = 0
		d.contact = max(d.contact, at)
		return
	}
	interval := at - d.contact
	if interval <= 0 {
		return
	}
	d.intervalDeviation += ((interval - d.callInterval).Abs() - d.intervalDeviation) / 8
	d.callInterval += (interval - d.callInterval) / 8
	d.contact = at
}
