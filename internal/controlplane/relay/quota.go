package relay

import (
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/relay"
)

// newQuota divides what the leader grants a relay among its directors. id names the relay's process.
func newQuota(id string) relay.Quota { return quota.NewNode(id, relay.QuotaSettings) }
