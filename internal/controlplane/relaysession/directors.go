package relaysession

import (
	"cmp"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// changeKind is what has become of a director.
type changeKind int

const (
	left changeKind = iota
	lost
	joined
)

// change is what the leader has not confirmed of a director yet.
type change struct {
	kind changeKind
	sent uint64 // the last request with it; 0: none
}

// director is one that is in lease with the relay.
type director struct {
	fleet.Director
	config       string
	called       time.Duration // when it called last
	acknowledged int64
	lag          membership.Lag
	grant        *quota.Grant // for the next answer to it
}

// take takes a call in; it tells whether the leader must be sent the director's description.
func (d *director) take(a discovery.Announcement, acknowledged int64, now time.Duration) (changed bool) {
	described := fleet.Director(a.Director)
	changed = d.Director != described || d.config != a.Config
	d.Director, d.config, d.called = described, a.Config, now
	d.acknowledged = max(d.acknowledged, acknowledged)
	return changed
}

// Member is a director in lease with the relay, for the operator.
type Member struct {
	fleet.Director
	Config       string        `json:"config,omitempty"`
	Called       time.Duration `json:"called_ns"` // since its last call
	Acknowledged int64         `json:"acknowledged"`
}

// Members lists the directors in lease with the relay, by ID.
func (s *Session) Members(now time.Duration) []Member {
	members := make([]Member, 0, len(s.directors))
	for _, d := range s.directors {
		members = append(members, Member{
			Director:     d.Director,
			Config:       d.config,
			Called:       now - d.called,
			Acknowledged: d.acknowledged,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID(), b.ID()) })
	return members
}

// Len is how many directors are in lease with the relay.
func (s *Session) Len() int { return len(s.directors) }

// Pending tells whether a director has joined or left, or a report of trouble waits, so that a request is to be made at once.
func (s *Session) Pending() bool {
	for _, c := range s.changes {
		if c.sent == 0 {
			return true
		}
	}
	for _, r := range s.reports {
		for _, e := range r.Caches {
			if e.Failures > 0 {
				return true
			}
		}
	}
	return false
}
