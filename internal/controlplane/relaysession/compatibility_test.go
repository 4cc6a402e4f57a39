package relaysession

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards what relays and the leader send each other: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[Request](t, "request")
	golden.JSON[Answer](t, "answer")
}
