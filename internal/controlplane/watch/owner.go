package watch

import (
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// Owner is the process that serves watches. Its methods are called on the loop, except those that say otherwise, and must not block.
type Owner interface {
	// MayServe tells whether the process may have watchers at this moment.
	MayServe() bool
	// RecordAnnouncement records a director's announcement and the revision that its request acknowledges. It returns false if the
	// process has no capacity for the director, whose request is then rejected.
	RecordAnnouncement(announcement discovery.Announcement, acknowledged int64) bool
	// TakeQuotaGrant takes the quota grant for a director, which is given once; nil if there is none.
	TakeQuotaGrant(directorID string) *quota.Grant
	// Health is the aggregated health of caches that a director is to be sent now; nil if nothing in it is new to the director.
	Health(directorID string) *health.AggregatedHealth
	// AcknowledgedChanged is called when Server.Acknowledged may have risen.
	AcknowledgedChanged()
	// ClockMS is the time in milliseconds since the Unix epoch. It is called from any goroutine.
	ClockMS() int64
	// Failed reports a fault of the program after which no watch can be served.
	Failed(err error)
}
