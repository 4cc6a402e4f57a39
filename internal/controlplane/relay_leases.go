package controlplane

import (
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// relayLease returns the time for which a relay may serve after a request that was answered.
func (s *Server) relayLease() time.Duration {
	if group := s.settings.Replicas.Lease; s.settings.Replicas.Self != "" {
		return min(relaysession.Lease, group) // the group counts no lease for longer
	}
	return relaysession.Lease
}

// relayLeases is the leader's record of the leases that sessions of relays have, with the revision that each acknowledged. In a
// group, the group owns the record beside the leases of the replicas, and begins it anew when this replica begins to lead. A
// control plane without a group always leads and owns the record itself; mu guards it.
type relayLeases struct {
	server *Server

	mu     sync.Mutex
	lessor *replica.Lessor // of a control plane without a group
}

func newRelayLeases(s *Server) *relayLeases {
	lessor := replica.NewLessor(replica.Lease{Length: s.relayLease(), Drift: discovery.ClockDrift})
	lessor.SetLeader(true, replicas.Now())
	return &relayLeases{server: s, lessor: lessor}
}

// give records a lease before it is sent to the relay.
func (l *relayLeases) give(session uint64, acknowledged int64) {
	if l.server.group != nil {
		l.server.group.GrantSession(session, acknowledged)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lessor.Grant(session, acknowledged, replicas.Now())
}

// acknowledged returns, without a group, the lowest revision that all watchers have acknowledged, given that of the server's own.
// Those of a relay that fell silent count as notified after within.
func (l *relayLeases) acknowledged(own int64, within time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lessor.Acknowledged(own, replicas.Now(), within)
}

// acknowledgedRevision returns the revision up to which every director has all events, those behind relays included. It is 0 for a
// moment after a change of the leader, while there may be directors that are not known.
func (s *Server) acknowledgedRevision() int64 {
	own := s.watchedRevision()
	within := time.Duration(s.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
	if s.settings.Relays && within > 0 && !s.directors.settled() {
		return 0
	}
	if s.group != nil {
		return own
	}
	return s.relayLeases.acknowledged(own, within)
}
