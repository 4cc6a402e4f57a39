package controlplane

import (
	"log/slog"
	"strconv"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

const maxWatchers = 8192 // maximum number of concurrent director connections

// watchOwner implements watch.Owner for the server.
type watchOwner struct{ server *Server }

func newWatchServer(s *Server, log *eventlog.Log) (*watch.Server, error) {
	set := watch.Settings{Listen: s.settings.Listen, Allowed: s.settings.Watchers, MaxWatchers: maxWatchers}
	return watch.New(s.loop, set, watchOwner{s}, log, s.store.Fleet().Rules().NotifiedWithinMS)
}

// hasLease reports whether the process may serve watchers. A replica may do so only while it holds its lease, because it may be
// partitioned from the other replicas without knowing it.
func (s *Server) hasLease() bool { return s.group == nil || s.group.HasLease() }

// watchedRevision returns the revision up to which every director has received all events, including directors that watch other
// replicas. In a standalone process it excludes directors behind relays; see acknowledgedRevision.
func (s *Server) watchedRevision() int64 {
	if s.group != nil {
		return s.group.Acknowledged()
	}
	return s.watches.Acknowledged()
}

// MayServe implements watch.Owner.
func (o watchOwner) MayServe() bool { return o.server.hasLease() }

// History implements watch.Owner.
func (o watchOwner) History() string { return o.server.history() }

// history names the event log: by the group of replicas that keeps it, or else by the file. A log that was begun anew, or that replicas
// go on with after a recovery, has another name.
func (s *Server) history() string {
	identity, _ := s.store.Identity()
	switch {
	case identity.Group != 0:
		return "group-" + strconv.FormatUint(identity.Group, 16)
	case identity.Disk != 0: // it waits to be admitted
		return ""
	}
	return s.fileHistory
}

// RecordAnnouncement implements watch.Owner. It always admits the director, because maxWatchers already limits the number of watchers.
func (o watchOwner) RecordAnnouncement(announcement discovery.Announcement, acknowledged int64) bool {
	o.server.directors.recordAnnouncement(announcement, acknowledged)
	return true
}

// PopQuotaGrant implements watch.Owner.
func (o watchOwner) PopQuotaGrant(directorID string) *quota.Grant {
	return o.server.directors.popGrant(directorID)
}

// Health implements watch.Owner.
func (o watchOwner) Health(directorID string) *health.AggregatedHealth {
	return o.server.directors.aggregatedHealth(directorID)
}

// AcknowledgedChanged implements watch.Owner. It wakes the executor, because a step of an apply may be waiting for the change.
func (o watchOwner) AcknowledgedChanged() { o.server.executor.wake() }

// ClockMS implements watch.Owner.
func (o watchOwner) ClockMS() int64 { return o.server.clock() }

// Failed implements watch.Owner.
func (o watchOwner) Failed(err error) {
	slog.Error("eventlog.invalid", "err", err)
	o.server.Stop()
}
