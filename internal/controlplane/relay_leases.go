package controlplane

import (
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// relayLease returns the duration of the lease that an answered request grants to a relay.
func (s *Server) relayLease() time.Duration {
	if group := s.settings.Replicas.Lease; s.settings.Replicas.Self != "" {
		return min(relaysession.Lease, group) // the group records no lease for longer than its own
	}
	return relaysession.Lease
}

// relayLeases is the leader's record of the leases of relay sessions, with the revision that each session has acknowledged. In a group,
// replicas.Group owns the record together with the leases of the replicas, and resets it when this replica becomes the leader. A
// standalone control plane is always the leader and owns the record itself; mu guards it.
type relayLeases struct {
	server *Server

	mu     sync.Mutex
	lessor *replica.Lessor // used only by a standalone control plane
}

func newRelayLeases(s *Server) *relayLeases {
	lessor := replica.NewLessor(replica.Lease{Length: s.relayLease(), Drift: discovery.ClockDrift})
	lessor.SetLeader(true, replicas.Now())
	return &relayLeases{server: s, lessor: lessor}
}

// grant records a lease. It must be called before the lease is sent to the relay.
func (l *relayLeases) grant(session uint64, acknowledged int64) {
	if l.server.group != nil {
		l.server.group.GrantSession(session, acknowledged)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Grant(session, acknowledged, replicas.Now())
}

// acknowledged returns the lowest revision that all watchers of a standalone control plane have acknowledged. own is the revision
// acknowledged by the watchers of the server itself. Watchers of a relay whose lease has expired count as having acknowledged
// all events after a further notifiedWithin.
func (l *relayLeases) acknowledged(own int64, notifiedWithin time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.Acknowledged(own, replicas.Now(), notifiedWithin)
}

// acknowledgedRevision returns the revision up to which every director has received all events, including the directors behind relays.
// It is 0 for a short time after a change of leader, while some directors may still be unknown.
func (s *Server) acknowledgedRevision() int64 {
	own := s.watchedRevision()
	notifiedWithin := time.Duration(s.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
	if s.settings.Relays && notifiedWithin > 0 && !s.directors.earlierLeasesExpired() {
		return 0
	}
	if s.group != nil {
		return own
	}
	return s.relayLeases.acknowledged(own, notifiedWithin)
}
