package relayserver

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// watchOwner implements watch.Owner for a relay. Its methods are called on the loop, except ClockMS, which may be called from any
// goroutine.
type watchOwner struct{ relay *Server }

// MayServe implements watch.Owner.
func (o watchOwner) MayServe() bool { return o.relay.hasLease() }

// History implements watch.Owner.
func (o watchOwner) History() string { return o.relay.history }

// RecordAnnouncement implements watch.Owner.
func (o watchOwner) RecordAnnouncement(a discovery.Announcement, acknowledged int64) bool {
	r := o.relay
	if !r.session.RecordWatchRequest(a, acknowledged, replicas.Now()) {
		return false
	}
	if r.session.Pending() {
		r.upstream.requestSoon()
	}
	return true
}

// PopQuotaGrant implements watch.Owner.
func (o watchOwner) PopQuotaGrant(directorID string) *quota.Grant {
	return o.relay.session.PopGrant(directorID)
}

// Health implements watch.Owner.
func (o watchOwner) Health(directorID string) *health.AggregatedHealth {
	return o.relay.session.Health(directorID, replicas.Now())
}

// AcknowledgedChanged implements watch.Owner. It does nothing: the next request reports the revision to the leader.
func (o watchOwner) AcknowledgedChanged() {}

// ClockMS implements watch.Owner.
func (o watchOwner) ClockMS() int64 { return time.Now().UnixMilli() }

// Failed implements watch.Owner.
func (o watchOwner) Failed(err error) { o.relay.fail(err) }
