package health

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestGoldenEncoding guards the wire format between directors and the control plane, which must stay readable for older versions.
func TestGoldenEncoding(t *testing.T) {
	golden.JSON[Report](t, "report")
	golden.JSON[AggregatedHealth](t, "aggregated-health")
	golden.JSON[CacheStatus](t, "cache")
	golden.JSON[ReporterLocation](t, "place")
}
