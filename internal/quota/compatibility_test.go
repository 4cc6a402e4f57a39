package quota

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the wire format between directors, relays and the leader, which must stay readable for older versions.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[Renewal](t, "renewal")
	golden.JSON[Grant](t, "grant")
	golden.JSON[Allocation](t, "allocation")
}
