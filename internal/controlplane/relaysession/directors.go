package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// changeKind is the kind of a director's change. Requests list changes in the order of these values.
type changeKind int

const (
	directorLeft changeKind = iota
	directorLost
	directorJoined
)

// change is a change of a director that the leader has not confirmed yet.
type change struct {
	kind         changeKind
	sentSequence uint64 // sequence of the last request that included it; 0: none
}

// director is a director that holds a lease from the relay.
type director struct {
	fleet.Director
	config       string        // fingerprint of its configuration
	calledAt     time.Duration // time of its last call
	acknowledged int64
	lag          membership.Lag
	grant        *quota.Grant // to be sent with the next answer to it
}

// recordCall records a call and reports whether the leader must be sent the director's description.
func (d *director) recordCall(a discovery.Announcement, acknowledged int64, now time.Duration) (changed bool) {
	description := fleet.Director(a.Director)
	changed = d.Director != description || d.config != a.Config
	d.Director = description
	d.config = a.Config
	d.calledAt = now
	d.acknowledged = max(d.acknowledged, acknowledged)
	return changed
}

// DirectorCount returns the number of directors that hold a lease from the relay.
func (s *Session) DirectorCount() int { return len(s.directors) }

// Pending reports whether a request should be sent immediately, because a director has joined, left or been lost, or because a
// queued health report includes failures.
func (s *Session) Pending() bool {
	for _, c := range s.changes {
		if c.sentSequence == 0 {
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
