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
	// membershipTick is the time between two looks for changes that are to be written.
	membershipTick = 25 * time.Millisecond
)

// directorServices passes what directors and relays say to the services that own it, and writes the membership events of the
// leader. It owns no state of directors itself:
//
//   - members: which directors there are, and the sessions of relays
//   - quotas: the quotas that the leader grants, and the grants that wait for directors here
//   - health: the health reports of directors, and what is aggregated from them
//   - shards: the claim shards whose replicas are filled
//   - adoption: when each director applied each of the last events
//
// Each of them has its own lock. A call locks one service at a time, except that adoption is swept under the lock of
// members. Locks are taken in the order relayRequests, leadership, members, adoption; those of the group, of relay leases and of
// the event loop come last.
type directorServices struct {
	server *Server
	stop   chan struct{} // closed by the owner to end run
	ended  chan struct{} // closed when run has ended

	// leadership is held for writing while the services begin or cease to lead, and for reading by calls that use several of
	// them. So a call finds all services leading, or none.
	leadership sync.RWMutex
	isLeader   bool // what the services know; only the goroutine of run uses it

	// relayRequests has relays' requests taken one at a time. The lease that a request is answered with counts with the
	// revision that the request acknowledged. It must not take the place of one that a later request of the session was given:
	// a director that has joined since may lack events that the earlier request acknowledged.
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

// observe takes what a director says of itself with a watch request. It is called before the request is answered.
func (s *directorServices) observe(a discovery.Announcement, applied int64) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	s.members.observe(a, applied, now)
	s.adoption.record(a.ID(), applied, now)
	s.shards.take(a.ReadyShards)
	s.health.takeReport(a, now)
	s.quotas.renew(a, now)
}

// takeGrant returns the quota grant for a director, once; nil if there is none.
func (s *directorServices) takeGrant(id string) *quota.Grant { return s.quotas.takeGrant(id) }

// aggregatedHealth returns what a director that sends health reports is to be notified of now; nil if nothing is new to it.
func (s *directorServices) aggregatedHealth(id string) *health.AggregatedHealth {
	return s.health.notification(id, replicas.Now())
}

// Heartbeats returns what this replica reports to the leader of the directors that watch it.
func (s *directorServices) Heartbeats() api.Heartbeats {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	return api.Heartbeats{
		Directors:     s.members.heartbeats(now),
		QuotaRenewals: s.quotas.takeRenewals(),
		HealthReports: s.health.takeQueuedReports(),
		ReadyShards:   s.shards.report(),
	}
}

// TakeHeartbeats takes, at the leader, what another replica reports of the directors that watch it.
func (s *directorServices) TakeHeartbeats(h api.Heartbeats) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	for _, d := range h.Directors {
		heardAt := now - time.Duration(d.AgeMS)*time.Millisecond
		s.members.recordHeartbeat(d, heardAt)
		s.adoption.record(d.ID, d.AppliedRevision, heardAt)
	}
	s.health.takeReports(h.HealthReports, now)
	s.shards.take(h.ReadyShards)
}

// Grant answers, at the leader, the renewals of directors that watch other replicas. It is called right after it was proven that
// this replica leads. The answer is empty if the services do not know yet that it does.
func (s *directorServices) Grant(renewals []quota.Renewal) api.LeaseAnswer {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	grants, err := s.quotas.grant(renewals, now)
	if err != nil {
		return api.LeaseAnswer{}
	}
	return api.LeaseAnswer{QuotaGrants: grants, AggregatedHealth: s.health.aggregated(now)}
}

// TakeLeaseAnswer takes, at a replica, what the leader has granted to directors that watch it, and the aggregated health of caches.
func (s *directorServices) TakeLeaseAnswer(a api.LeaseAnswer) {
	now := replicas.Now()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	s.quotas.takeGrants(a.QuotaGrants)
	if a.AggregatedHealth != nil {
		s.health.takeAggregated(*a.AggregatedHealth, now)
	}
}

// Members returns the members, as this replica knows them if it leads.
func (s *directorServices) Members() api.Members {
	return s.members.status(s.server.store.Fleet(), replicas.Now())
}

// QuotaAllocations returns the quota allocations that are in force; nil if this replica does not lead.
func (s *directorServices) QuotaAllocations() []quota.Allocation {
	return s.quotas.allocations(replicas.Now())
}

// CacheHealth returns what is known of the health of all caches; nil if this replica does not lead.
func (s *directorServices) CacheHealth() []health.CacheStatus { return s.health.caches(replicas.Now()) }

// Adoption returns when each director applied an event. The error is store.ErrNotLeader, or names the events that are recorded.
func (s *directorServices) Adoption(revision int64) (adoption.Event, error) {
	return s.adoption.event(revision, replicas.Now())
}

// committed is called with the last durable event, before any director gets the event.
func (s *directorServices) committed(last int64) { s.adoption.committed(last, replicas.Now()) }

// settled reports whether this replica leads and all leases are over that an earlier leader may have given.
func (s *directorServices) settled() bool { return s.members.settled(replicas.Now()) }

// run follows the leadership of the server and writes changes until stop is closed.
func (s *directorServices) run() {
	defer close(s.ended)
	ticker := time.NewTicker(membershipTick)
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

// writeChanges writes the changes of the members and of their claim shards, if this replica leads.
func (s *directorServices) writeChanges() error {
	isLeader := s.server.IsLeader()
	now := replicas.Now()
	f := s.server.store.Fleet()
	s.followLeadership(isLeader, f, now)
	readyShards := s.shards.pending(f)
	if !isLeader {
		return nil
	}
	w := membershipWrite{base: f, members: s.members.change(f, now), readyShards: readyShards}
	if w.isEmpty() {
		return nil
	}
	return s.write(w)
}

// followLeadership has all services begin or cease to lead at once. While they lead, it has them forget what is over.
func (s *directorServices) followLeadership(isLeader bool, f fleet.Fleet, now time.Duration) {
	switch {
	case isLeader && !s.isLeader:
		s.lead(f, now)
	case !isLeader && s.isLeader:
		s.cease()
	case isLeader:
		s.quotas.sweep(now)
		s.health.sweep(now)
		s.members.withTracker(func(t memberLookup) { s.adoption.sweep(t, now) })
	}
	s.isLeader = isLeader
}

func (s *directorServices) lead(f fleet.Fleet, now time.Duration) {
	term := s.server.term()
	settings := quotaSettings(s.server.settings.Relays)
	// What the leader before granted is over once its own lease and the lease of what it granted are.
	earlierLeaderUntil := now + s.server.settings.Replicas.Lease
	noEarlierLeader := f.Membership() == nil

	s.leadership.Lock()
	defer s.leadership.Unlock()
	s.members.lead(f, now)
	s.quotas.lead(quota.NewAllocator(settings, term, earlierLeaderUntil, noEarlierLeader))
	s.health.lead(term)
	s.adoption.lead(f.Revision)
	s.shards.setLeader(true)
}

func (s *directorServices) cease() {
	s.leadership.Lock()
	defer s.leadership.Unlock()
	s.members.cease()
	s.quotas.cease()
	s.health.cease()
	s.adoption.cease()
	s.shards.setLeader(false)
}

// write makes a change durable.
func (s *directorServices) write(w membershipWrite) error {
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
		s.members.markAnnounced(replicas.Now())
		slog.Info("membership.changed", "joined", len(w.members.Joined), "gone", w.members.Left)
	}
	return nil
}
