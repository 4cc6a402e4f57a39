package bulletin

import (
	"testing"

	"stairvane.org/stairvane/internal/golden"
)

// TestLandedForms guards the event stream and what directors say of themselves: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[WatchResponse](t, "feed")
	golden.JSON[Announcement](t, "announcement")
}
