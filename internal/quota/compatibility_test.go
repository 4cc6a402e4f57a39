package quota

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards what directors, relays and the leader send each other: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[Renewal](t, "renewal")
	golden.JSON[Grant](t, "grant")
	golden.JSON[Allocation](t, "allocation")
}
