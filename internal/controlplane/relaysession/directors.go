package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// changeKind is how a director has changed. Requests name the kinds in this order.
type changeKind int

const (
	left changeKind = iota
	lost
	joined
)

// change is the change of a director that the leader has not confirmed yet.
type change struct {
	kind     changeKind
	sentWith uint64 // sequence of the last request with it; 0: none
}

// director is a director in lease with the relay.
type director struct {
	fleet.Director
	config       string        // fingerprint of its configuration
	calledAt     time.Duration // of its last call
	acknowledged int64
	lag          membership.Lag
	grant        *quota.Grant // for the next answer to it
}

// update takes a call; it reports whether the leader must be sent the director's description.
func (d *director) update(a discovery.Announcement, acknowledged int64, now time.Duration) (changed bool) {
	description := fleet.Director(a.Director)
	changed = d.Director != description || d.config != a.Config
	d.Director = description
	d.config = a.Config
	d.calledAt = now
	d.acknowledged = max(d.acknowledged, acknowledged)
	return changed
}

// DirectorCount returns how many directors are in lease with the relay.
func (s *Session) DirectorCount() int { return len(s.directors) }

// Pending reports whether a request is to be sent at once: a director has joined or left, or a report of failures waits.
func (s *Session) Pending() bool {
	for _, c := range s.changes {
		if c.sentWith == 0 {
			return true
		}
	}
	for _, r := range s.reports {
		for _, o := range r.Caches {
			if o.Failures > 0 {
				return true
			}
		}
	}
	return false
}
