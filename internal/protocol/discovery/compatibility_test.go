package discovery

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the event stream and the directors' announcements, which must stay readable for older versions.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[WatchResponse](t, "feed")
	golden.JSON[Announcement](t, "announcement")
}
