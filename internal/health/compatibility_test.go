package health

import (
	"testing"

	"stairvane.org/stairvane/internal/tools/golden"
)

// TestLandedForms guards what directors and the control plane send each other: an older version must read it.
func TestLandedForms(t *testing.T) {
	golden.JSON[Report](t, "report")
	golden.JSON[AggregatedHealth](t, "aggregated-health")
	golden.JSON[CacheStatus](t, "cache")
	golden.JSON[ReporterLocation](t, "place")
}
