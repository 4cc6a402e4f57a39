package controlplane

import (
	"log/slog"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

const maxWatchers = 8192 // connections of directors at one time

// watchOwner is the server as its watch server sees it. It implements watch.Owner.
type watchOwner struct{ server *Server }

func newWatchServer(s *Server, log *eventlog.Log) (*watch.Server, error) {
	set := watch.Settings{Listen: s.settings.Listen, Allowed: s.settings.Watchers, MaxWatchers: maxWatchers}
	return watch.New(s.loop, set, watchOwner{s}, log, s.store.Fleet().Rules().NotifiedWithinMS)
}

// hasLease tells whether the process may have watchers. A replica may only under its lease, for it may be cut off from the others
// and not know of it.
func (s *Server) hasLease() bool { return s.group == nil || s.group.HasLease() }

// watchedRevision is the revision up to which every director has all events, those that watch other replicas included. Directors
// behind relays are not included, see acknowledgedRevision.
func (s *Server) watchedRevision() int64 {
	if s.group != nil {
		return s.group.Acknowledged()
	}
	return s.watches.Acknowledged()
}

// MayServe implements watch.Owner.
func (o watchOwner) MayServe() bool { return o.server.hasLease() }

// RecordAnnouncement implements watch.Owner. There is always capacity for a director: the number of watchers is bounded by maxWatchers.
func (o watchOwner) RecordAnnouncement(announcement discovery.Announcement, acknowledged int64) bool {
	o.server.directors.observe(announcement, acknowledged)
	return true
}

// TakeQuotaGrant implements watch.Owner.
func (o watchOwner) TakeQuotaGrant(directorID string) *quota.Grant {
	return o.server.directors.takeGrant(directorID)
}

// Health implements watch.Owner.
func (o watchOwner) Health(directorID string) *health.AggregatedHealth {
	return o.server.directors.aggregatedHealth(directorID)
}

// AcknowledgedChanged implements watch.Owner. A step of an apply may wait for it.
func (o watchOwner) AcknowledgedChanged() { o.server.executor.wake() }

// ClockMS implements watch.Owner.
func (o watchOwner) ClockMS() int64 { return o.server.clock() }

// Failed implements watch.Owner.
func (o watchOwner) Failed(err error) {
	slog.Error("eventlog.invalid", "err", err)
	o.server.Stop()
}
