// Package relay is the core of a relay's session with the leader of the control plane. A relay serves watches to some
// hundred directors and speaks for all of them with one request about every 50 ms: who has joined, left or is lost, the
// lowest revision that all have acknowledged, the sum of their quota demands, and their health reports. The package does no
// I/O; times come in as arguments.
package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

// Path is where the leader takes requests, on its write side.
const Path = "/v1/relays/lease"

// Bounds of a session and of its messages.
const (
	// Lease is for how long a relay may serve after a request that was answered with it, by its own clock from before the
	// request. The answer may name a shorter one.
	Lease = 200 * time.Millisecond

	MaxDirectors     = membership.MaxSessionDirectors
	MaxChanges       = membership.MaxUpdateChanges
	MaxStale         = membership.MaxUpdateStale
	MaxReports       = 256  // health reports in one request
	MaxQueuedReports = 1024 // health reports that wait; further ones are dropped
	MaxEvents        = 2000 // events in one answer

	// StaleAfter is for how long a director must lack an event to be named.
	StaleAfter = time.Second
)

// Request is what a relay sends to the leader.
type Request struct {
	membership.Update
	Revision int64 `json:"revision"` // the last event that the relay has
	// HealthEpoch and OpinionsSeq name the opinions of caches that the relay has.
	HealthEpoch int64          `json:"opinions_epoch,omitempty"`
	HealthSeq   uint64         `json:"opinions_seq,omitempty"`
	Quota       *quota.Renewal `json:"quota,omitempty"`    // its holder is the relay's ID
	ReadyShards []int64        `json:"complete,omitempty"` // slot and epoch, in turn, of which all homes have everything
	Reports     []Report       `json:"reports,omitempty"`
}

// Report is a health report of a director, and where the director is.
type Report struct {
	health.Report
	health.Place
}

// Answer is the leader's answer. Events follow on the request's revision; a Snapshot stands in for all of them.
type Answer struct {
	Sequence uint64 `json:"sequence"` // of the request
	NeedFull bool   `json:"need_full,omitempty"`
	// Registration is to be in the requests from now on.
	Registration uint64 `json:"registration"`
	// LeaseMS is the lease in milliseconds, counted from before the request. It is 0 while the relay lacks more events than
	// one answer holds: it then takes these and asks again at once.
	LeaseMS          int64                    `json:"lease_ms"`
	Revision         int64                    `json:"revision"` // the leader's last event
	Grant            *quota.Grant             `json:"grant,omitempty"`
	AggregatedHealth *health.AggregatedHealth `json:"opinions,omitempty"`
	Events           []fleet.Event            `json:"events,omitempty"`
	Snapshot         *fleet.Dump              `json:"snapshot,omitempty"`
}
