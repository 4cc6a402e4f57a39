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
	// membershipGather is the time from one event that changes the members to the next, at least.
	membershipGather = 150 * time.Millisecond
	// describeInterval is the time after which a replica describes a director to the leader again.
	describeInterval = 2 * time.Second
	// watcherExpiry is the time after its last call for which a replica reports a director to the leader.
	watcherExpiry = 10 * discovery.MembershipLease
)

// memberService owns what is known of directors and of relays' sessions: the tracker that decides who is a member, and the
// directors that watch this replica. mu guards all of it.
//
// The tracker is fed at each replica, but only the leader's decides. When this replica begins to lead, the tracker begins anew
// with the members of the event log, and relays are asked for all of their directors. When it ceases to lead, the tracker stays
// and its decisions are not used.
type memberService struct {
	mu       sync.Mutex
	isLeader bool
	tracker  *membership.Tracker
	watchers map[string]*watchingDirector // by ID
}

// watchingDirector is a director that watches this replica.
type watchingDirector struct {
	fleet.Director
	called    time.Duration // when it called last
	applied   int64         // the last revision that it has applied
	config    string
	leaving   bool
	described time.Duration // when the leader was sent its description; 0: it is to be sent at once
}

// memberLookup answers which directors and relays are known.
type memberLookup interface {
	LastContact(id string) (at time.Duration, known bool)
	ServedByRelay(id string) bool
	HasRelaySession(id string) bool
}

func newMemberService(replicaLease, relayLease time.Duration) *memberService {
	return &memberService{
		watchers: map[string]*watchingDirector{},
		tracker: membership.New(membership.Settings{
			// A replica that is cut off goes on answering directors until its own lease ends; their leases count from then.
			Lease:         discovery.MembershipLease + replicaLease,
			Drift:         discovery.ClockDrift,
			Gather:        membershipGather,
			DirectorLease: discovery.MembershipLease,
			RelayLease:    relayLease,
		}),
	}
}

func (s *memberService) lead(f fleet.Fleet, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Reset(f, now)
	s.isLeader = true
}

func (s *memberService) cease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeader = false
}

// observe takes a watch request of a director.
func (s *memberService) observe(a discovery.Announcement, applied int64, now time.Duration) {
	d := fleet.Director(a.Director)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchers[d.ID()]
	if w == nil {
		w = &watchingDirector{}
		s.watchers[d.ID()] = w
	}
	if w.Director != d || w.leaving != a.Leaving {
		w.described = 0
	}
	w.Director = d
	w.called = now
	w.leaving = a.Leaving
	w.applied = applied
	w.config = a.Config
	s.tracker.RecordHeartbeat(membership.Heartbeat{
		ID:       d.ID(),
		Director: &d,
		Leaving:  a.Leaving,
		At:       now,
		Applied:  applied,
		Config:   a.Config,
	})
}

// heartbeats returns what the leader is to know of the directors that watch this replica, and forgets those that are silent.
func (s *memberService) heartbeats(now time.Duration) []api.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []api.Heartbeat
	for id, w := range s.watchers {
		age := now - w.called
		if age > watcherExpiry {
			delete(s.watchers, id)
			continue
		}
		h := api.Heartbeat{ID: id, AgeMS: age.Milliseconds(), Leaving: w.leaving, AppliedRevision: w.applied}
		if w.described == 0 || now-w.described > describeInterval {
			d := w.Director
			h.Director = &d
			h.Config = w.config
			w.described = now
		}
		all = append(all, h)
	}
	return all
}

// recordHeartbeat takes, at the leader, that another replica was called by a director at a moment.
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

// updateRelay takes an update of a relay's session. The error is store.ErrNotLeader or one of membership.Tracker.Update.
func (s *memberService) updateRelay(u membership.Update, now time.Duration) (membership.UpdateResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeader {
		return membership.UpdateResult{}, store.ErrNotLeader
	}
	return s.tracker.Update(u, rand.Uint64(), now)
}

// change returns how the members in f are to be changed now; nil if not at all.
func (s *memberService) change(f fleet.Fleet, now time.Duration) *fleet.MembershipChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.tracker.NextChange(f, now)
	s.tracker.Observe(f.Revision, now)
	return c
}

// markAnnounced records that a change was written.
func (s *memberService) markAnnounced(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.MarkWritten(now)
}

// settled reports whether this replica leads and all leases are over that an earlier leader may have given.
func (s *memberService) settled(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeader && s.tracker.Settled(now)
}

// withTracker runs f under the lock of the service. f must not keep the lookup.
func (s *memberService) withTracker(f func(memberLookup)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.tracker)
}

// status lists the members, the directors that were lost lately and the sessions of relays.
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

// countShards returns how many claim shards each director is the primary of, and how many are being moved.
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

// relayStatuses lists the sessions of relays for the operator.
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
