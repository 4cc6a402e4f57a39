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

// quotaSettings returns the settings of the allocator. They must match those of directors and relays.
func quotaSettings(relays bool) quota.Settings {
	settings := relaysession.QuotaSettings
	if !relays {
		settings.NodeLease = 0 // there are no nodes whose leases a new allocator would have to wait for
	}
	return settings
}

// quotaService owns the allocator of quotas, while this replica leads, and the renewals and grants of the directors that watch
// this replica. mu guards all of it.
//
// When this replica begins to lead, it gets a new allocator, which grants nothing until the grants of the leader before are over.
// When it ceases to lead, the allocator is dropped, and renewals wait for the next message to the new leader.
type quotaService struct {
	hasLease func() bool // reports whether this replica's lease to serve watches is in force

	mu        sync.Mutex
	allocator *quota.Allocator         // nil: this replica does not lead
	renewals  map[string]quota.Renewal // for the leader, by director
	grants    map[string]quota.Grant   // for the directors' next answers, by director
}

func newQuotaService(hasLease func() bool) *quotaService {
	return &quotaService{hasLease: hasLease, renewals: map[string]quota.Renewal{}, grants: map[string]quota.Grant{}}
}

func (s *quotaService) lead(a *quota.Allocator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator = a
}

func (s *quotaService) cease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator = nil
}

// renew takes the renewal in a director's announcement. Without a lease it is not granted here: another replica may have granted
// quotas since this one led.
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

// takeGrant returns the grant for a director, once.
func (s *quotaService) takeGrant(id string) *quota.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, found := s.grants[id]
	if !found {
		return nil
	}
	delete(s.grants, id)
	return &g
}

// takeRenewals returns the renewals that wait for the leader, once.
func (s *quotaService) takeRenewals() []quota.Renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []quota.Renewal
	for id, r := range s.renewals {
		all = append(all, r)
		delete(s.renewals, id)
	}
	return all
}

// grant answers renewals at the leader, by holder; else the error is store.ErrNotLeader.
func (s *quotaService) grant(renewals []quota.Renewal, now time.Duration) (map[string]quota.Grant, error) {
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

// renewRelay answers the renewal in a relay's request at the leader; nil if there is none. The error is store.ErrNotLeader.
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

// takeGrants takes what the leader has granted to directors that watch this replica.
func (s *quotaService) takeGrants(grants map[string]quota.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range grants {
		s.grants[id] = g
	}
}

// allocations returns what is in force; nil if this replica does not lead.
func (s *quotaService) allocations(now time.Duration) []quota.Allocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		return nil
	}
	return s.allocator.Allocations(now)
}

// sweep forgets limits that nobody holds or wants any more.
func (s *quotaService) sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator != nil {
		s.allocator.Sweep(now)
	}
}
