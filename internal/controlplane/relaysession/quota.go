package relaysession

import (
	"time"

	"stairvane.org/stairvane/internal/quota"
)

// nodeLease is the lease of the quota shares that the leader grants to relays. Without answers from the leader, a relay continues
// to grant quota for somewhat more than half a second.
const nodeLease = time.Second

// QuotaSettings are the settings for dividing quotas in a tree: the leader divides them among the relays and the directors that
// watch replicas, and each relay divides its share among its own directors.
var QuotaSettings = withNodeLease(quota.DirectorSettings)

func withNodeLease(settings quota.Settings) quota.Settings {
	settings.NodeLease = nodeLease
	return settings
}
