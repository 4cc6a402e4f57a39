package discovery

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards the event stream and what directors say of themselves: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[WatchResponse](t, "feed")
	golden.JSON[Announcement](t, "announcement")
}
