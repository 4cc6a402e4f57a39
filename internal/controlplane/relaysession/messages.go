package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// Path is the URL path on the leader's write side that accepts requests.
const Path = "/v1/relays/lease"

// Limits of a session and its messages.
const (
	// Lease is the time for which a relay may serve after a request that was answered with a lease. The relay measures it by its
	// own clock, starting before the request. The answer may specify a shorter lease.
	Lease = 200 * time.Millisecond

	MaxDirectors     = membership.MaxSessionDirectors
	MaxChanges       = membership.MaxUpdateChanges
	MaxStale         = membership.MaxUpdateStale
	MaxReports       = 256  // health reports in one request
	MaxQueuedReports = 1024 // health reports queued for a request; further reports are dropped
	MaxEvents        = 2000 // events in one answer

	// StaleAfter is the time after which a director that lacks an event counts as stale.
	StaleAfter = time.Second
)

// Request is what a relay sends to the leader.
type Request struct {
	membership.Update
	Revision int64 `json:"revision"` // last event that the relay has
	// HealthEpoch and HealthSeq identify the aggregated health that the relay has.
	HealthEpoch int64          `json:"opinions_epoch,omitempty"`
	HealthSeq   uint64         `json:"opinions_seq,omitempty"`
	Quota       *quota.Renewal `json:"quota,omitempty"`    // the holder is the relay's ID
	ReadyShards []int64        `json:"complete,omitempty"` // pairs of shard number and epoch
	Reports     []Report       `json:"reports,omitempty"`
}

// Report is a director's health report together with the director's location.
type Report struct {
	health.Report
	health.ReporterLocation
}

// Answer is the leader's answer to a Request. Events follow the revision in the request; a Snapshot replaces all events up to its
// own revision.
type Answer struct {
	Sequence uint64 `json:"sequence"` // of the request
	NeedFull bool   `json:"need_full,omitempty"`
	// Registration must be included in the next requests.
	Registration uint64 `json:"registration"`
	// LeaseMS is the duration of the lease in milliseconds, starting before the request. It is 0 while the relay lacks more events
	// than fit into one answer: the relay then applies these events and sends the next request immediately.
	LeaseMS          int64                    `json:"lease_ms"`
	Revision         int64                    `json:"revision"`          // revision of the leader's last event
	History          string                   `json:"history,omitempty"` // names the leader's event log, see discovery.WatchResponse
	Grant            *quota.Grant             `json:"grant,omitempty"`
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
	Events           []fleet.Event            `json:"events,omitempty"`
	Snapshot         *fleet.Dump              `json:"snapshot,omitempty"`
}
