package controlplane

import (
	"encoding/json"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// quotaSettings returns the settings of the quota allocator. They must match those of directors and relays.
func quotaSettings(relays bool) quota.Settings {
	settings := relaysession.QuotaSettings
	if !relays {
		settings.NodeLease = 0 // there are no nodes whose leases a new allocator must wait for
	}
	return settings
}

// quotaService owns the quota allocator while this replica is the leader, and the renewals and grants of the directors that watch this
// replica. mu guards all of it.
//
// When this replica becomes the leader, it creates a new allocator, which grants nothing until the grants of the earlier leader have
// expired. When it stops being the leader, the allocator is dropped, and renewals are queued for the next message to the new leader.
type quotaService struct {
	hasLease func() bool // reports whether this replica's lease to serve watches is in force

	mu        sync.Mutex
	allocator *quota.Allocator         // nil if this replica is not the leader
	renewals  map[string]quota.Renewal // queued for the leader, by director
	grants    map[string]quota.Grant   // to be sent with the next answer, by director
}

func newQuotaService(hasLease func() bool) *quotaService {
	return &quotaService{hasLease: hasLease, renewals: map[string]quota.Renewal{}, grants: map[string]quota.Grant{}}
}

func (s *quotaService) startLeading(a *quota.Allocator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator = a
}

func (s *quotaService) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator = nil
}

// renew handles the renewal in a director's announcement. Malformed renewals are ignored. Without the watch lease the renewal is queued
// instead of granted, because another replica may have become the leader and granted quotas.
func (s *quotaService) renew(a discovery.Announcement, now time.Duration) {
	var r quota.Renewal
	if len(a.QuotaRenewal) == 0 || json.Unmarshal(a.QuotaRenewal, &r) != nil || r.Holder != a.ID() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals[r.Holder] = r
	if s.allocator != nil && s.hasLease() {
		s.grants[r.Holder] = s.allocator.Renew(r, now)
		delete(s.renewals, r.Holder)
	}
}

// popGrant removes and returns the pending grant of a director, or returns nil if there is none.
func (s *quotaService) popGrant(id string) *quota.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.grants[id]
	if !found {
		return nil
	}
	delete(s.grants, id)
	return &g
}

// drainRenewals returns the renewals queued for the leader and empties the queue.
func (s *quotaService) drainRenewals() []quota.Renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []quota.Renewal
	for id, r := range s.renewals {
		all = append(all, r)
		delete(s.renewals, id)
	}
	return all
}

// grantRenewals returns the grants for renewals, by holder. The error is store.ErrNotLeader if this replica is not the leader.
func (s *quotaService) grantRenewals(renewals []quota.Renewal, now time.Duration) (map[string]quota.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return nil, store.ErrNotLeader
	}
	grants := map[string]quota.Grant{}
	for _, r := range renewals {
		grants[r.Holder] = s.allocator.Renew(r, now)
	}
	return grants, nil
}

// renewRelay returns the grant for the renewal in a relay's request, or nil if the request has no valid one. The error is
// store.ErrNotLeader if this replica is not the leader.
func (s *quotaService) renewRelay(r relaysession.Request, now time.Duration) (*quota.Grant, error) {
	if r.Quota == nil || r.Quota.Holder != r.Relay.ID() {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return nil, store.ErrNotLeader
	}
	g := s.allocator.Renew(*r.Quota, now)
	return &g, nil
}

// addGrants stores the leader's grants for directors that watch this replica.
func (s *quotaService) addGrants(grants map[string]quota.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range grants {
		s.grants[id] = g
	}
}

// allocations returns the quota allocations in force, or nil if this replica is not the leader.
func (s *quotaService) allocations(now time.Duration) []quota.Allocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return nil
	}
	return s.allocator.Allocations(now)
}

// removeExpired removes the limits that no holder holds or requests any more.
func (s *quotaService) removeExpired(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator != nil {
		s.allocator.Sweep(now)
	}
}
