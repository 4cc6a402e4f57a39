package watch

import (
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// Owner is the process that serves watches. Its methods are called on the loop, except those that say otherwise, and must not
// block.
type Owner interface {
	// MayServe reports whether the process may currently serve watchers.
	MayServe() bool
	// History names the event log, see discovery.WatchResponse. It is empty if that is unknown.
	History() string
	// RecordAnnouncement records a director's announcement and the revision that its request acknowledges. It returns false if the
	// process has no capacity for the director, whose request is then rejected.
	RecordAnnouncement(announcement discovery.Announcement, acknowledged int64) bool
	// PopQuotaGrant removes and returns the pending quota grant for a director; nil if there is none.
	PopQuotaGrant(directorID string) *quota.Grant
	// Health returns the aggregated health of caches to send to a director now; nil if the director already has the latest result.
	Health(directorID string) *health.AggregatedHealth
	// AcknowledgedChanged is called when the result of Server.Acknowledged may have increased.
	AcknowledgedChanged()
	// ClockMS returns the time in milliseconds since the Unix epoch. It may be called from any goroutine.
	ClockMS() int64
	// Failed reports an internal error after which no watch can be served.
	Failed(err error)
}
