package replicas_test

import (
	"testing"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the format of the JSON bodies that replicas send to each other, which other
// versions must be able to read.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[replicas.Hello](t, "hello")
	golden.JSON[replicas.HelloResponse](t, "greeting")
	golden.JSON[replicas.LeaseRequest](t, "lease-request")
}
