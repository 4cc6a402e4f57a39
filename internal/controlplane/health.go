package controlplane

import (
	"encoding/json"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

const mostReports = 1024 // kept for the leader: what is lost is only evidence

// healthReports is what this copy has to do with signals: evidence that is on its way to the leader, what the leader believes, and who
// was told that. It is the keeper's, under its lock.
type healthReports struct {
	reports []api.HealthReport
	merger  *health.Aggregator // while it leads
	teller  *health.Notifier
}

// spread answers the directors at once that wait here and share in what is seen of boxes, if that has changed.
func (k *membershipService) spread(o health.AggregatedHealth, now time.Duration) {
	if k.health.teller.Take(o, now) {
		k.board.loop.Post(k.board.watches.PublishHealth)
	}
}

// evidence takes in what a director has seen.
func (k *membershipService) evidence(a discovery.Announcement, now time.Duration) {
	var r health.Report
	if len(a.HealthReport) == 0 || json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() {
		return
	}
	at := health.Place{Machine: a.Machine, Location: a.Location}
	switch {
	case k.health.merger != nil:
		k.health.merger.Take(r, at, now)
		k.spread(k.health.merger.Aggregated(now), now)
	case len(k.health.reports) < mostReports:
		k.health.reports = append(k.health.reports, api.HealthReport{Report: r, Place: at})
	}
}

// aggregatedHealth are what a director that gives evidence is to be told now; nil if nothing is new.
func (k *membershipService) aggregatedHealth(id string) *health.AggregatedHealth {
	now := replicas.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	b := &k.health
	if b.merger != nil {
		_ = b.teller.Take(b.merger.Aggregated(now), now)
	}
	if o, is := b.teller.For(id, now); is {
		return &o
	}
	return nil
}

// Signals lists what is known of all boxes, where this board leads.
func (k *membershipService) Signals() []health.CacheStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.health.merger == nil {
		return nil
	}
	return k.health.merger.Caches(replicas.Now())
}
