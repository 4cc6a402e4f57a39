package relaysession

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the messages between relays and the leader, which must stay readable for older versions.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[Request](t, "request")
	golden.JSON[Answer](t, "answer")
}
