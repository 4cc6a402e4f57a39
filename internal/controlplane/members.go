package controlplane

import (
	"math/rand/v2"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

const (
	// minMembershipInterval is the minimum interval between two events that change the members.
	minMembershipInterval = 150 * time.Millisecond
	// describeInterval is the interval after which a replica sends the leader the full description of a director again.
	describeInterval = 2 * time.Second
	// watcherExpiry is how long after its last request a replica keeps reporting a director to the leader.
	watcherExpiry = 10 * discovery.MembershipLease
)

// memberService owns the state of directors and of relay sessions: the tracker, which decides which directors are members, and the
// directors that watch this replica. mu guards all of it.
//
// Every replica passes heartbeats to its tracker, but only the leader's decisions are used. When this replica becomes the leader, the
// tracker is reset to the members in the event log, and relays are asked for all of their directors. When it stops being the leader,
// the tracker is kept but its decisions are ignored.
type memberService struct {
	mu       sync.Mutex
	isLeader bool
	tracker  *membership.Tracker
	watchers map[string]*watchingDirector // by ID
}

// watchingDirector is a director that watches this replica.
type watchingDirector struct {
	fleet.Director
	lastSeen        time.Duration // time of its last watch request
	appliedRevision int64         // last revision that it has applied
	config          string
	leaving         bool
	lastDescribed   time.Duration // when its description was last sent to the leader; 0 to send it with the next report
}

// memberLookup gives read access to the directors and relay sessions known to the tracker.
type memberLookup interface {
	LastContact(id string) (at time.Duration, known bool)
	ServedByRelay(id string) bool
	HasRelaySession(id string) bool
}

func newMemberService(replicaLease, relayLease time.Duration) *memberService {
	return &memberService{
		watchers: map[string]*watchingDirector{},
		tracker: membership.New(membership.Settings{
			// A partitioned replica keeps answering directors until its own lease expires, and their leases start at its last answer.
			Lease:         discovery.MembershipLease + replicaLease,
			Drift:         discovery.ClockDrift,
			BatchTime:     minMembershipInterval,
			DirectorLease: discovery.MembershipLease,
			RelayLease:    relayLease,
		}),
	}
}

func (s *memberService) startLeading(f fleet.Fleet, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Reset(f, now)
	s.isLeader = true
}

func (s *memberService) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeader = false
}

// recordAnnouncement records a watch request of a director that watches this replica.
func (s *memberService) recordAnnouncement(a discovery.Announcement, appliedRevision int64, now time.Duration) {
	d := fleet.Director(a.Director)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchers[d.ID()]
	if w == nil {
		w = &watchingDirector{}
		s.watchers[d.ID()] = w
	}
	if w.Director != d || w.leaving != a.Leaving {
		w.lastDescribed = 0
	}
	w.Director = d
	w.lastSeen = now
	w.leaving = a.Leaving
	w.appliedRevision = appliedRevision
	w.config = a.Config
	s.tracker.RecordHeartbeat(membership.Heartbeat{
		ID:       d.ID(),
		Director: &d,
		Leaving:  a.Leaving,
		At:       now,
		Applied:  appliedRevision,
		Config:   a.Config,
	})
}

// heartbeats returns the heartbeats of the directors that watch this replica, for the leader. It removes directors that have been
// silent for longer than watcherExpiry.
func (s *memberService) heartbeats(now time.Duration) []api.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []api.Heartbeat
	for id, w := range s.watchers {
		age := now - w.lastSeen
		if age > watcherExpiry {
			delete(s.watchers, id)
			continue
		}
		h := api.Heartbeat{ID: id, AgeMS: age.Milliseconds(), Leaving: w.leaving, AppliedRevision: w.appliedRevision}
		if w.lastDescribed == 0 || now-w.lastDescribed > describeInterval {
			d := w.Director
			h.Director = &d
			h.Config = w.config
			w.lastDescribed = now
		}
		all = append(all, h)
	}
	return all
}

// recordHeartbeat records, at the leader, that a director sent a request to another replica at the given time.
func (s *memberService) recordHeartbeat(h api.Heartbeat, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordHeartbeat(membership.Heartbeat{
		ID:       h.ID,
		Director: h.Director,
		Leaving:  h.Leaving,
		At:       at,
		Applied:  h.AppliedRevision,
		Config:   h.Config,
	})
}

// updateRelay applies an update to a relay's session. The error is store.ErrNotLeader or an error of membership.Tracker.Update.
func (s *memberService) updateRelay(u membership.Update, now time.Duration) (membership.UpdateResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeader {
		return membership.UpdateResult{}, store.ErrNotLeader
	}
	return s.tracker.Update(u, rand.Uint64(), now)
}

// nextChange returns the change to make to the members in f now, or nil if there is none.
func (s *memberService) nextChange(f fleet.Fleet, now time.Duration) *fleet.MembershipChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.tracker.NextChange(f, now)
	s.tracker.Observe(f.Revision, now)
	return c
}

// markWritten records that a membership change was written.
func (s *memberService) markWritten(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.MarkWritten(now)
}

// earlierLeasesExpired reports whether this replica is the leader and every lease that an earlier leader may have granted has expired.
func (s *memberService) earlierLeasesExpired(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeader && s.tracker.Settled(now)
}

// withTracker runs f while holding mu. f must not retain the lookup.
func (s *memberService) withTracker(f func(memberLookup)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.tracker)
}

// status returns the members, the recently lost directors and the relay sessions.
func (s *memberService) status(f fleet.Fleet, now time.Duration) api.Members {
	primaries, moving := countShards(f)
	out := api.Members{Revision: f.Revision, Moving: moving}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Observe(f.Revision, now)
	versions := s.tracker.Versions()
	out.Relays = relayStatuses(s.tracker.Sessions(now))
	for d := range f.Directors() {
		v := versions[d.ID()]
		m := api.MemberStatus{
			Relay:           v.Relay,
			AppliedRevision: v.Applied,
			BehindMS:        v.Behind.Milliseconds(),
			Config:          v.Config,
			Director:        *d,
			Shards:          primaries[d.ID()],
			Suspected:       s.tracker.Suspected(d.ID(), now),
		}
		if at, known := s.tracker.LastContact(d.ID()); known {
			m.LastHeardMS = (now - at).Milliseconds()
		}
		out.Directors = append(out.Directors, m)
	}
	for _, l := range s.tracker.Lost(now) {
		out.Lost = append(out.Lost, api.LostDirector{
			Director:        l.Director,
			LostMS:          (now - l.Since).Milliseconds(),
			AppliedRevision: l.Applied,
		})
	}
	return out
}

// countShards returns the number of claim shards of which each director is the primary, and the number of shards being moved.
func countShards(f fleet.Fleet) (primaries map[string]int, moving int) {
	primaries = map[string]int{}
	for i := range fleet.ShardCount {
		s := f.Shard(i)
		if len(s.PreviousReplicas) > 0 {
			moving++
		}
		if len(s.Replicas) > 0 {
			primaries[s.Replicas[0]]++
		}
	}
	return primaries, moving
}

// relayStatuses converts the relay sessions for the write side.
func relayStatuses(sessions []membership.Session) []api.RelayStatus {
	var all []api.RelayStatus
	for _, s := range sessions {
		all = append(all, api.RelayStatus{
			Relay:        s.Relay,
			Directors:    s.Directors,
			RenewedMS:    s.Renewed.Milliseconds(),
			Acknowledged: s.Acknowledged,
			Current:      s.Current,
			BehindMS:     s.Behind.Milliseconds(),
			Complete:     s.Complete,
			StaleCount:   s.StaleCount,
			Stale:        s.Stale,
		})
	}
	return all
}
