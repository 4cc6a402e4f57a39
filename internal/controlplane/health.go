package controlplane

import (
	"encoding/json"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// maxQueuedReports bounds the health reports that wait for the leader; further ones are dropped.
const maxQueuedReports = 1024

// healthService owns what directors report of caches' health: the reports that wait for the leader, the aggregation while this
// replica leads, and which directors were notified of the result. mu guards all of it.
//
// When this replica begins to lead, it gets an empty aggregator of a new epoch. When it ceases to lead, the aggregator is
// dropped. The last result stays with the notifier until a leader's answer replaces it.
type healthService struct {
	publish func() // answers directors that wait, and send health reports, at once

	mu         sync.Mutex
	reports    []api.HealthReport // for the leader
	aggregator *health.Aggregator // nil: this replica does not lead
	notifier   *health.Notifier
}

func newHealthService(publish func()) *healthService {
	return &healthService{publish: publish, notifier: health.NewNotifier()}
}

func (s *healthService) lead(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aggregator = health.NewAggregator(health.DefaultSettings, epoch)
}

func (s *healthService) cease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aggregator = nil
}

// takeReport takes the health report in a director's announcement.
func (s *healthService) takeReport(a discovery.Announcement, now time.Duration) {
	var r health.Report
	if len(a.HealthReport) == 0 || json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() {
		return
	}
	place := health.ReporterLocation{Machine: a.Machine, Location: a.Location}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.aggregator != nil:
		s.aggregator.Apply(r, place, now)
		s.notify(s.aggregator.Aggregated(now), now)
	case len(s.reports) < maxQueuedReports:
		s.reports = append(s.reports, api.HealthReport{Report: r, ReporterLocation: place})
	}
}

// takeReports takes, at the leader, the reports that another replica has queued.
func (s *healthService) takeReports(reports []api.HealthReport, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return
	}
	for _, r := range reports {
		s.aggregator.Apply(r.Report, r.ReporterLocation, now)
	}
	s.notify(s.aggregator.Aggregated(now), now)
}

// takeRelayReports takes, at the leader, the reports in a relay's request. It returns the aggregated health if the relay lacks it or
// there is any to renew; else nil.
func (s *healthService) takeRelayReports(r relaysession.Request, now time.Duration) *health.AggregatedHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return nil
	}
	for _, report := range r.Reports {
		s.aggregator.Apply(report.Report, report.ReporterLocation, now)
	}
	h := s.aggregator.Aggregated(now)
	if len(r.Reports) > 0 {
		s.notify(h, now)
	}
	if len(h.Caches) == 0 && r.HealthEpoch == h.Epoch && r.HealthSeq == h.Seq {
		return nil
	}
	return &h
}

// takeQueuedReports returns the reports that wait for the leader, once.
func (s *healthService) takeQueuedReports() []api.HealthReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports
	s.reports = nil
	return reports
}

// aggregated returns the aggregated health; nil if this replica does not lead.
func (s *healthService) aggregated(now time.Duration) *health.AggregatedHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return nil
	}
	h := s.aggregator.Aggregated(now)
	return &h
}

// takeAggregated takes the aggregated health from the leader.
func (s *healthService) takeAggregated(h health.AggregatedHealth, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(h, now)
}

// notify has waiting directors answered at once if the aggregated health has changed. The caller holds mu.
func (s *healthService) notify(h health.AggregatedHealth, now time.Duration) {
	if s.notifier.Apply(h, now) {
		s.publish()
	}
}

// notification returns what a director is to be notified of; nil if nothing is new to it.
func (s *healthService) notification(id string, now time.Duration) *health.AggregatedHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator != nil {
		_ = s.notifier.Apply(s.aggregator.Aggregated(now), now) // the caller answers a director already
	}
	h, isNew := s.notifier.ResultFor(id, now)
	if !isNew {
		return nil
	}
	return &h
}

// caches returns what is known of all caches; nil if this replica does not lead.
func (s *healthService) caches(now time.Duration) []health.CacheStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return nil
	}
	return s.aggregator.Caches(now)
}

// sweep forgets reports that count no more.
func (s *healthService) sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator != nil {
		s.aggregator.Sweep(now)
	}
}
