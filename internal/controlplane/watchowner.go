package controlplane

import (
	"log/slog"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

const maxWatchers = 8192

// watchOwner is the control plane as its watch server sees it.
type watchOwner struct{ server *Server }

func newWatchServer(b *Server, log *eventlog.Log) (*watch.Server, error) {
	set := watch.Settings{Listen: b.set.Listen, Allowed: b.set.Watchers, MaxWatchers: maxWatchers}
	return watch.New(b.loop, set, watchOwner{b}, log, b.store.Fleet().Rules().NotifiedWithinMS)
}

// hasLease tells whether the process may have watchers: a replica may under its lease alone, for it may be cut off from the
// others and not know of it.
func (b *Server) hasLease() bool { return b.group == nil || b.group.HasLease() }

// watchedRevision is the revision up to which every director has all events, those that watch other replicas included.
func (b *Server) watchedRevision() int64 {
	if b.group != nil {
		return b.group.Acknowledged()
	}
	return b.watches.Acknowledged()
}

// HasLease implements watch.Owner.
func (o watchOwner) HasLease() bool { return o.server.hasLease() }

// Request implements watch.Owner.
func (o watchOwner) Request(a discovery.Announcement, acknowledged int64) bool {
	o.server.membership.observe(a, acknowledged)
	return true
}

// Granted implements watch.Owner.
func (o watchOwner) Granted(directorID string) *quota.Grant {
	return o.server.membership.takeGrant(directorID)
}

// Health implements watch.Owner.
func (o watchOwner) Health(directorID string) *health.AggregatedHealth {
	return o.server.membership.aggregatedHealth(directorID)
}

// AcknowledgedChanged implements watch.Owner.
func (o watchOwner) AcknowledgedChanged() { o.server.executor.wake() }

// ClockMS implements watch.Owner.
func (o watchOwner) ClockMS() int64 { return o.server.clock() }

// Failed implements watch.Owner.
func (o watchOwner) Failed(err error) {
	slog.Error("board.history_broken", "err", err)
	o.server.Stop()
}
