package relayserver

import (
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/quota"
)

// newQuota divides what the leader grants a relay among its directors. id names the relay's process.
func newQuota(id string) relaysession.Quota { return quota.NewNode(id, relaysession.QuotaSettings) }
