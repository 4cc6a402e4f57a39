package api

import (
	"testing"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the encoding of the write side's answers and of the reports that replicas send to the leader, which an older
// version must be able to decode.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[Error](t, "error")
	golden.JSON[State](t, "state")
	golden.JSON[History](t, "history")
	golden.JSON[Apply](t, "apply")
	golden.JSON[Accepted](t, "accepted")
	golden.JSON[Purged](t, "purged")
	golden.JSON[Heartbeats](t, "heartbeats")
	golden.JSON[LeaseAnswer](t, "lease-answer")
	golden.JSON[Members](t, "members")
	golden.JSON[GroupStatus](t, "replicas")
	golden.JSON[ReplicaChange](t, "replicas-order")
	golden.JSON[adoption.Event](t, "adoption")
}
