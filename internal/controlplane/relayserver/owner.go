package relayserver

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// owner is the relay as its watch server sees it.
type owner struct{ relay *Server }

// HasLease implements watch.Owner.
func (o owner) HasLease() bool { return o.relay.hasLease() }

// Request implements watch.Owner.
func (o owner) Request(a discovery.Announcement, acknowledged int64) bool {
	r := o.relay
	if !r.session.Observe(a, acknowledged, replicas.Now()) {
		return false
	}
	if r.session.Pending() {
		r.upstream.hurry()
	}
	return true
}

// Granted implements watch.Owner.
func (o owner) Granted(directorID string) *quota.Grant { return o.relay.session.TakeGrant(directorID) }

// Health implements watch.Owner.
func (o owner) Health(directorID string) *health.AggregatedHealth {
	return o.relay.session.Health(directorID, replicas.Now())
}

// AcknowledgedChanged implements watch.Owner. The next request says it to the leader.
func (o owner) AcknowledgedChanged() {}

// ClockMS implements watch.Owner.
func (o owner) ClockMS() int64 { return time.Now().UnixMilli() }

// Failed implements watch.Owner.
func (o owner) Failed(err error) { o.relay.failed(err) }
