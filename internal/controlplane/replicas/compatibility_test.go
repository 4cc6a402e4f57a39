package replicas_test

import (
	"testing"

	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards what replicas send each other: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[replicas.Hello](t, "hello")
	golden.JSON[replicas.Greeting](t, "greeting")
	golden.JSON[replicas.LeaseRequest](t, "lease-request")
}
