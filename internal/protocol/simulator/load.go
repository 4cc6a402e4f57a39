package simulator

import "stairvane.org/stairvane/internal/decision"

// Names of load values in settings and answers. The decision module uses no others.
const (
	loadCPUShare = "cpu_share"
	loadLinkUse  = "x1"
)

// SetLoad sets the value of a load report that has the given name in the settings. Unknown names are
// ignored.
func SetLoad(report *decision.LoadReport, name string, value float64) {
	switch name {
	case loadCPUShare:
		report.CPUShare = value
	case loadLinkUse:
		report.LinkUse, report.HasLinkUse = value, true
	}
}
