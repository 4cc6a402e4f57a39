package simulator

import "stairvane.org/stairvane/internal/decision"

// Names of the load values that the settings and answers may carry; others have no meaning to the
// decision module.
const (
	loadCPUShare = "cpu_share"
	loadLinkUse  = "x1"
)

// SetLoad sets the value of a load report that goes by the settings' name. Values of other names
// are dropped.
func SetLoad(report *decision.LoadReport, name string, value float64) {
	switch name {
	case loadCPUShare:
		report.CPUShare = value
	case loadLinkUse:
		report.LinkUse, report.HasLinkUse = value, true
	}
}
