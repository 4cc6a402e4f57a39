package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// Path is the path of the leader's write side that takes requests.
const Path = "/v1/relays/lease"

// Bounds of a session and of its messages.
const (
	// Lease is the time for which a relay may serve after a request that was answered with a lease, by its own clock from
	// before the request. The answer may name a shorter one.
	Lease = 200 * time.Millisecond

	MaxDirectors     = membership.MaxSessionDirectors
	MaxChanges       = membership.MaxUpdateChanges
	MaxStale         = membership.MaxUpdateStale
	MaxReports       = 256  // health reports in one request
	MaxQueuedReports = 1024 // health reports that wait for a request; further ones are dropped
	MaxEvents        = 2000 // events in one answer

	// StaleAfter is the time for which a director must have lacked an event to count as stale.
	StaleAfter = time.Second
)

// Request is what a relay sends to the leader.
type Request struct {
	membership.Update
	Revision int64 `json:"revision"` // the last event that the relay has
	// HealthEpoch and HealthSeq name the aggregated health that the relay has.
	HealthEpoch int64          `json:"opinions_epoch,omitempty"`
	HealthSeq   uint64         `json:"opinions_seq,omitempty"`
	Quota       *quota.Renewal `json:"quota,omitempty"`    // its holder is the relay's ID
	ReadyShards []int64        `json:"complete,omitempty"` // pairs of shard and epoch
	Reports     []Report       `json:"reports,omitempty"`
}

// Report is a health report of a director and the director's place.
type Report struct {
	health.Report
	health.ReporterLocation
}

// Answer is the leader's answer. Events follow on the request's revision; a Snapshot replaces all events up to its own.
type Answer struct {
	Sequence uint64 `json:"sequence"` // of the request
	NeedFull bool   `json:"need_full,omitempty"`
	// Registration is to be sent with the next requests.
	Registration uint64 `json:"registration"`
	// LeaseMS is the lease in milliseconds, counted from before the request. It is 0 while the relay lacks more events than
	// one answer holds: the relay then applies these and sends the next request at once.
	LeaseMS          int64                    `json:"lease_ms"`
	Revision         int64                    `json:"revision"` // the leader's last event
	Grant            *quota.Grant             `json:"grant,omitempty"`
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
	Events           []fleet.Event            `json:"events,omitempty"`
	Snapshot         *fleet.Dump              `json:"snapshot,omitempty"`
}
