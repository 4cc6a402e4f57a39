package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/quota"
)

// nodeLease is the lease of the shares that the leader grants to relays. Without an answer of the leader, a relay grants quotas for
// somewhat more than half a second.
const nodeLease = time.Second

// QuotaSettings is how quotas are divided in a tree: by the leader among relays and the directors that watch replicas, and by each
// relay among its own directors.
var QuotaSettings = withNodeLease(quota.DirectorSettings)

func withNodeLease(settings quota.Settings) quota.Settings {
	settings.NodeLease = nodeLease
	return settings
}
