package controlplane

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

const (
	// membershipPollInterval is the interval between checks for changes that must be written.
	membershipPollInterval = 25 * time.Millisecond
)

// directorServices dispatches the messages of directors and relays to the services that own the respective state, and writes the
// membership events while this replica is the leader. It owns no state of directors itself:
//
//   - members: the known directors and the sessions of relays
//   - quotas: the quotas that the leader grants, and the grants queued for directors that watch this replica
//   - health: the health reports of directors and the health aggregated from them
//   - shards: the claim shards whose replicas are filled
//   - adoption: when each director applied each of the most recent events
//
// Each service has its own lock. A call locks one service at a time, except that expired reporters are removed from adoption under the
// lock of members. Locks are acquired in the order relayRequests, leadership, members, adoption; the locks of the group, of the relay
// leases and of the event loop come last.
type directorServices struct {
	server *Server
	stop   chan struct{} // closed by Server to end run
	ended  chan struct{} // closed when run has returned

	// leadership is write-locked while the services start or stop leading, and read-locked by calls that use several services. Such a
	// call therefore finds either all services leading or none.
	leadership sync.RWMutex
	isLeader   bool // the state that was last passed to the services; used only by the goroutine of run

	// relayRequests serializes the requests of relays. A lease is recorded with the revision that its request acknowledged. It must
	// not replace the lease of a later request of the same session, because a director that has joined in between may lack events that
	// the earlier request acknowledged.
	relayRequests sync.Mutex

	members  *memberService
	quotas   *quotaService
	health   *healthService
	shards   *shardService
	adoption *adoptionService
}

func newDirectorServices(server *Server) *directorServices {
	return &directorServices{
		server:   server,
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
		members:  newMemberService(server.settings.Replicas.Lease, server.relayLease()),
		quotas:   newQuotaService(server.hasLease),
		health:   newHealthService(func() { server.loop.Post(server.watches.PublishHealth) }),
		shards:   newShardService(),
		adoption: &adoptionService{},
	}
}

// recordAnnouncement processes the announcement in a director's watch request. It must be called before the request is answered.
func (s *directorServices) recordAnnouncement(a discovery.Announcement, applied int64) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	s.members.recordAnnouncement(a, applied, now)
	s.adoption.recordApplied(a.ID(), applied, now)
	s.shards.recordReady(a.ReadyShards)
	s.health.addReport(a, now)
	s.quotas.renew(a, now)
}

// popGrant removes and returns the pending quota grant of a director, or returns nil if there is none.
func (s *directorServices) popGrant(id string) *quota.Grant { return s.quotas.popGrant(id) }

// aggregatedHealth returns the aggregated health for a director that sends health reports, or nil if there is nothing new for it.
func (s *directorServices) aggregatedHealth(id string) *health.AggregatedHealth {
	return s.health.nextNotification(id, replicas.Now())
}

// Heartbeats returns this replica's report to the leader about the directors that watch it. It drains the queued quota renewals and
// health reports.
func (s *directorServices) Heartbeats() api.Heartbeats {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	return api.Heartbeats{
		Directors:     s.members.heartbeats(now),
		QuotaRenewals: s.quotas.drainRenewals(),
		HealthReports: s.health.drainReports(),
		ReadyShards:   s.shards.readyPairs(),
	}
}

// MergeHeartbeats processes, at the leader, another replica's report about the directors that watch it.
func (s *directorServices) MergeHeartbeats(h api.Heartbeats) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	for _, d := range h.Directors {
		heardAt := now - time.Duration(d.AgeMS)*time.Millisecond
		s.members.recordHeartbeat(d, heardAt)
		s.adoption.recordApplied(d.ID, d.AppliedRevision, heardAt)
	}
	s.health.addForwardedReports(h.HealthReports, now)
	s.shards.recordReady(h.ReadyShards)
}

// Grant answers, at the leader, the quota renewals of directors that watch other replicas. The caller must just have confirmed that
// this replica is the leader. The answer is empty if the services have not started leading yet.
func (s *directorServices) Grant(renewals []quota.Renewal) api.LeaseAnswer {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	grants, err := s.quotas.grantRenewals(renewals, now)
	if err != nil {
		return api.LeaseAnswer{}
	}
	return api.LeaseAnswer{QuotaGrants: grants, AggregatedHealth: s.health.aggregated(now)}
}

// ApplyLeaseAnswer stores, at a follower, the leader's quota grants for the directors that watch this replica, and the aggregated health
// of caches.
func (s *directorServices) ApplyLeaseAnswer(a api.LeaseAnswer) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	s.quotas.addGrants(a.QuotaGrants)
	if a.AggregatedHealth != nil {
		s.health.setAggregated(*a.AggregatedHealth, now)
	}
}

// Members returns the members of the fleet. Only the leader has complete information about them.
func (s *directorServices) Members() api.Members {
	return s.members.status(s.server.store.Fleet(), replicas.Now())
}

// QuotaAllocations returns the quota allocations in force, or nil if this replica is not the leader.
func (s *directorServices) QuotaAllocations() []quota.Allocation {
	return s.quotas.allocations(replicas.Now())
}

// CacheHealth returns the known health of all caches, or nil if this replica is not the leader.
func (s *directorServices) CacheHealth() []health.CacheStatus {
	return s.health.cacheStatuses(replicas.Now())
}

// Adoption returns when each director applied the event at a revision. The error is store.ErrNotLeader, or states which events are
// recorded.
func (s *directorServices) Adoption(revision int64) (adoption.Event, error) {
	return s.adoption.event(revision, replicas.Now())
}

// eventsCommitted records that all events up to last are durable. It must be called before any director receives them.
func (s *directorServices) eventsCommitted(last int64) {
	s.adoption.eventsCommitted(last, replicas.Now())
}

// earlierLeasesExpired reports whether this replica is the leader and every lease that an earlier leader may have granted has expired.
func (s *directorServices) earlierLeasesExpired() bool {
	return s.members.earlierLeasesExpired(replicas.Now())
}

// run tracks the leadership of the server and writes pending changes until stop is closed.
func (s *directorServices) run() {
	defer close(s.ended)
	ticker := time.NewTicker(membershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		if err := s.writeChanges(); err != nil && !errors.Is(err, store.ErrNotLeader) && !errors.Is(err, store.ErrOutcomeUnknown) {
			slog.Warn("membership.write_failed", "err", err)
		}
	}
}

// writeChanges writes the pending changes of the members and of the claim shards if this replica is the leader.
func (s *directorServices) writeChanges() error {
	isLeader := s.server.IsLeader()
	now := replicas.Now()
	f := s.server.store.Fleet()
	s.syncLeadership(isLeader, f, now)
	readyShards := s.shards.pendingChanges(f)
	if !isLeader {
		return nil
	}
	w := membershipWrite{base: f, members: s.members.nextChange(f, now), readyShards: readyShards}
	if w.isEmpty() {
		return nil
	}
	return s.writeMembership(w)
}

// syncLeadership starts or stops leading in all services together. While this replica remains the leader, it removes expired state from
// them.
func (s *directorServices) syncLeadership(isLeader bool, f fleet.Fleet, now time.Duration) {
	switch {
	case isLeader && !s.isLeader:
		s.startLeading(f, now)
	case !isLeader && s.isLeader:
		s.stopLeading()
	case isLeader:
		s.quotas.removeExpired(now)
		s.health.removeExpired(now)
		s.members.withTracker(func(t memberLookup) { s.adoption.removeExpired(t, now) })
	}
	s.isLeader = isLeader
}

func (s *directorServices) startLeading(f fleet.Fleet, now time.Duration) {
	term := s.server.term()
	settings := quotaSettings(s.server.settings.Relays)
	// The grants of the earlier leader expire once both its own lease and the leases of the grants have expired.
	earlierLeaderUntil := now + s.server.settings.Replicas.Lease
	noEarlierLeader := f.Membership() == nil

	s.leadership.Lock()
	defer s.leadership.Unlock()
	s.members.startLeading(f, now)
	s.quotas.startLeading(quota.NewAllocator(settings, term, earlierLeaderUntil, noEarlierLeader))
	s.health.startLeading(term)
	s.adoption.startLeading(f.Revision)
	s.shards.setLeader(true)
}

func (s *directorServices) stopLeading() {
	s.leadership.Lock()
	defer s.leadership.Unlock()
	s.members.stopLeading()
	s.quotas.stopLeading()
	s.health.stopLeading()
	s.adoption.stopLeading()
	s.shards.setLeader(false)
}

// writeMembership commits a membership change.
func (s *directorServices) writeMembership(w membershipWrite) error {
	err := s.server.store.Do(func(t *store.Tx) error {
		change := w.change(t.Fleet(), 1+s.server.settings.ClaimReplicas)
		if change == nil {
			return nil
		}
		_, err := t.Append(fleet.Event{Who: "board", Membership: change})
		return err
	})
	if err != nil {
		return err
	}
	if w.members != nil {
		s.members.markWritten(replicas.Now())
		slog.Info("membership.changed", "joined", len(w.members.Joined), "gone", w.members.Left)
	}
	return nil
}
