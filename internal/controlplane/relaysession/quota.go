package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/quota"
)

// QuotaSettings is how quotas are divided in a tree: by the leader among relays and the directors that watch replicas, and by each
// relay among its own directors. Directors must use the same lease and drift, see internal/director. Without an answer of the
// leader, a relay grants quotas for somewhat more than half a second.
var QuotaSettings = quota.Settings{
	Lease:        400 * time.Millisecond,
	Drift:        0.02,
	Reserve:      0.2,
	FallbackFade: 20 * time.Second,
	Floor:        0.2,
	MinChange:    0.05,
	NodeLease:    time.Second,
}
