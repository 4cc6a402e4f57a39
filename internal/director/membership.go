package director

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// shrinkDelay is the time for which the membership must stay smaller before limits are divided by the smaller number.
const shrinkDelay = 10 * time.Second

// membershipClient announces the director to the control plane with each poll of the event stream and applies changes of the
// membership.
type membershipClient struct {
	prog            *Program
	self            discovery.Director
	appliedRevision int64             // revision of the last applied membership event
	locations       map[string]string // of all members, by director ID
	peerCounts      decision.PeerCounts
	shrinkTimer     transport.Timer
	leaving         bool

	lastRenewal  time.Duration // when the last answered poll was sent, on the boot clock
	maxStaleness time.Duration // 0: unlimited
	staleLogged  bool          // the director is stale, and that was logged

	quota  *quotaClient
	claims *claimsService  // nil: idempotency claims are disabled
	health *healthReporter // nil: health reports are disabled
}

func newMembershipClient(p *Program, c config.Config) (*membershipClient, error) {
	m := &membershipClient{
		prog:         p,
		locations:    map[string]string{},
		maxStaleness: c.Membership.MaxStaleness,
		peerCounts:   configuredPeers(c),
		self: discovery.Director{
			Name:        c.Name,
			Incarnation: c.Membership.Incarnation,
			Location:    c.Settings.Zone,
			Machine:     c.Membership.Machine,
			Site:        c.Membership.Site,
			Version:     c.Membership.Version,
		},
	}
	m.quota = newQuotaClient(p, m.self.ID())
	if c.Membership.Health {
		m.health = newHealthReporter(p, m.self.ID())
	}
	if c.Claims == nil {
		return m, nil
	}
	claims, err := newClaimsService(p, c, m.self)
	if err != nil {
		return nil, err
	}
	m.claims = claims
	m.self = claims.self
	return m, nil
}

// configuredPeers returns the configured numbers of directors, which apply until the membership is known.
func configuredPeers(c config.Config) decision.PeerCounts {
	total := max(1, c.Settings.Directors)
	counts := decision.PeerCounts{InZone: total, Total: total}
	if i := slices.Index(c.Settings.Zones, c.Settings.Zone); i >= 0 && i < len(c.Settings.DirectorsByZone) {
		counts.InZone = c.Settings.DirectorsByZone[i]
	}
	return counts
}

// setHooks sets the hooks that depend on the membership.
func (m *membershipClient) setHooks(hooks *routing.Hooks) {
	hooks.QuotaExpired = m.quota.shareExpired
	if m.maxStaleness > 0 {
		hooks.IsStale = m.isStale
	}
	if m.claims != nil {
		hooks.Claims = m.claims
	}
}

// announcement returns the announcement to send with a poll, encoded as JSON.
func (m *membershipClient) announcement() []byte {
	a := discovery.Announcement{
		Director:           m.self,
		MembershipRevision: m.appliedRevision,
		Leaving:            m.leaving,
		Config:             m.prog.config.Fingerprint,
	}
	if m.claims != nil {
		a.ReadyShards = m.claims.node.ReadyShards()
	}
	if !m.leaving {
		m.quota.updateDemands()
	}
	a.QuotaRenewal = m.quota.renewal()
	if m.health != nil {
		a.HealthReport = m.health.report(bootTime())
	}
	return mustMarshal(a)
}

// mustMarshal returns the JSON encoding of a message. It panics if the message cannot be encoded, which does not happen for
// messages of strings and numbers.
func mustMarshal(message any) []byte {
	b, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return b
}

// handleResponse processes the response to a poll that was sent at requestedAt on the boot clock. The response renews the
// membership lease, which starts at requestedAt.
func (m *membershipClient) handleResponse(response discovery.WatchResponse, requestedAt time.Duration) {
	m.lastRenewal = max(m.lastRenewal, requestedAt)
	if m.claims != nil && !m.leaving {
		m.claims.node.SetLeaseEnd(requestedAt + discovery.MembershipLease)
	}
	if len(response.QuotaGrant) > 0 {
		m.quota.applyGrant(response.QuotaGrant)
	}
	if len(response.AggregatedHealth) > 0 && m.health != nil {
		m.health.applyAggregate(response.AggregatedHealth, requestedAt)
	}
}

// applyChange applies a change of the membership.
func (m *membershipClient) applyChange(revision int64, change *discovery.Membership) {
	m.appliedRevision = max(m.appliedRevision, revision)
	if change.Snapshot {
		clear(m.locations)
	}
	for _, id := range change.Left {
		delete(m.locations, id)
	}
	for _, d := range change.Joined {
		m.locations[d.ID()] = d.Location
	}
	if len(change.Joined)+len(change.Left) > 0 || change.Snapshot {
		m.updatePeerCounts()
	}
	if m.claims != nil {
		m.claims.applyMembership(change)
	}
}

// updatePeerCounts sets the number of directors among which the decision module divides limits. An increase takes effect at
// once, a decrease only after shrinkDelay: a director that left may merely have lost its connection, and when the whole fleet
// starts, members join one by one.
func (m *membershipClient) updatePeerCounts() {
	present := decision.PeerCounts{Total: len(m.locations)}
	for _, location := range m.locations {
		if location == m.self.Location {
			present.InZone++
		}
	}
	m.setPeerCounts(decision.PeerCounts{
		InZone: max(present.InZone, m.peerCounts.InZone),
		Total:  max(present.Total, m.peerCounts.Total),
	})
	m.shrinkTimer.Stop()
	if present == m.peerCounts {
		return
	}
	m.shrinkTimer.Fire = func() { m.setPeerCounts(present) }
	m.prog.loop.Set(&m.shrinkTimer, m.prog.loop.Now()+shrinkDelay)
}

func (m *membershipClient) setPeerCounts(counts decision.PeerCounts) {
	if counts != m.peerCounts {
		m.peerCounts = counts
		m.prog.director.SetPeerCounts(counts)
	}
}

// isStale reports whether the director's events are older than the staleness limit, because the process was paused, the
// network is partitioned, or the control plane is down. A stale director starts no attempts.
func (m *membershipClient) isStale() bool {
	age := bootTime() - m.lastRenewal
	stale := age > m.maxStaleness
	if stale != m.staleLogged {
		m.staleLogged = stale
		if stale {
			slog.Error("director.stale", "age_ms", age.Milliseconds(), "limit_ms", m.maxStaleness.Milliseconds(),
				"after", m.prog.watch.appliedRevision)
		} else {
			slog.Info("director.fresh", "after", m.prog.watch.appliedRevision)
		}
	}
	return stale
}

// leave releases the director's quotas and stops holding claims.
func (m *membershipClient) leave() {
	m.leaving = true
	m.quota.leave()
	if m.claims != nil {
		m.claims.node.SetLeaseEnd(0)
	}
}
