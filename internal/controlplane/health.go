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

// maxQueuedReports is the maximum number of health reports queued for the leader. Further reports are dropped.
const maxQueuedReports = 1024

// healthService owns the directors' reports on the health of caches: the reports queued for the leader, the aggregator while this
// replica is the leader, and the notifier, which tracks the directors that were notified of the result. mu guards all of it.
//
// When this replica becomes the leader, it creates an empty aggregator with a new epoch. When it stops being the leader, the aggregator
// is dropped. The notifier keeps the last result until an answer of the new leader replaces it.
type healthService struct {
	publish func() // immediately answers the waiting directors that send health reports

	mu         sync.Mutex
	reports    []api.HealthReport // queued for the leader
	aggregator *health.Aggregator // nil if this replica is not the leader
	notifier   *health.Notifier
}

func newHealthService(publish func()) *healthService {
	return &healthService{publish: publish, notifier: health.NewNotifier()}
}

func (s *healthService) startLeading(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aggregator = health.NewAggregator(health.DefaultSettings, epoch)
}

func (s *healthService) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aggregator = nil
}

// addReport adds the health report in a director's announcement to the aggregator, or queues it for the leader. Malformed reports are
// ignored.
func (s *healthService) addReport(a discovery.Announcement, now time.Duration) {
	var r health.Report
	if len(a.HealthReport) == 0 || json.Unmarshal(a.HealthReport, &r) != nil || r.Holder != a.ID() {
		return
	}
	location := health.ReporterLocation{Machine: a.Machine, Location: a.Location}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.aggregator != nil:
		s.aggregator.Apply(r, location, now)
		s.publishIfChanged(s.aggregator.Aggregated(now), now)
	case len(s.reports) < maxQueuedReports:
		s.reports = append(s.reports, api.HealthReport{Report: r, ReporterLocation: location})
	}
}

// addForwardedReports adds the reports that another replica has queued to the aggregator. It does nothing if this replica is not the
// leader.
func (s *healthService) addForwardedReports(reports []api.HealthReport, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return
	}
	for _, r := range reports {
		s.aggregator.Apply(r.Report, r.ReporterLocation, now)
	}
	s.publishIfChanged(s.aggregator.Aggregated(now), now)
}

// addRelayReports adds the reports in a relay's request to the aggregator. It returns the aggregated health if the relay lacks it or if
// it contains caches, whose entries must be renewed. Otherwise, and if this replica is not the leader, it returns nil.
func (s *healthService) addRelayReports(r relaysession.Request, now time.Duration) *health.AggregatedHealth {
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
		s.publishIfChanged(h, now)
	}
	if len(h.Caches) == 0 && r.HealthEpoch == h.Epoch && r.HealthSeq == h.Seq {
		return nil
	}
	return &h
}

// drainReports returns the reports queued for the leader and empties the queue.
func (s *healthService) drainReports() []api.HealthReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports
	s.reports = nil
	return reports
}

// aggregated returns the aggregated health, or nil if this replica is not the leader.
func (s *healthService) aggregated(now time.Duration) *health.AggregatedHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return nil
	}
	h := s.aggregator.Aggregated(now)
	return &h
}

// setAggregated stores the aggregated health received from the leader.
func (s *healthService) setAggregated(h health.AggregatedHealth, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishIfChanged(h, now)
}

// publishIfChanged passes the aggregated health to the notifier and, if it has changed, immediately answers waiting directors. The
// caller must hold mu.
func (s *healthService) publishIfChanged(h health.AggregatedHealth, now time.Duration) {
	if s.notifier.Apply(h, now) {
		s.publish()
	}
}

// nextNotification returns the aggregated health for a director, or nil if there is nothing new for it.
func (s *healthService) nextNotification(id string, now time.Duration) *health.AggregatedHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator != nil {
		_ = s.notifier.Apply(s.aggregator.Aggregated(now), now) // no publish: the caller is already answering a director
	}
	h, isNew := s.notifier.ResultFor(id, now)
	if !isNew {
		return nil
	}
	return &h
}

// cacheStatuses returns the known health of all caches, or nil if this replica is not the leader.
func (s *healthService) cacheStatuses(now time.Duration) []health.CacheStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator == nil {
		return nil
	}
	return s.aggregator.Caches(now)
}

// removeExpired removes expired reports from the aggregator.
func (s *healthService) removeExpired(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aggregator != nil {
		s.aggregator.Sweep(now)
	}
}
