package director

import (
	"strconv"
	"strings"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/protocol/simulator"
)

// loadAliases maps alternative names of load values that caches may use to the names in the settings.
var loadAliases = map[string]string{
	"inflight":   "busy_reqs",
	"queue":      "pending",
	"util":       "cpu_share",
	"latency_ms": "svc_ms",
	"qps":        "served_ps",
	"eps":        "failed_ps",
}

// loadNames maps names of load values in responses to names in the settings.
type loadNames map[string]string

// loadNamesOf returns the loadNames for the load values listed in the settings. Both names of a value are accepted: otherwise
// the values of caches that use the other name would be ignored, and an overloaded cache would look idle.
func loadNamesOf(settings []string) loadNames {
	names := loadNames{}
	for _, name := range settings {
		names[name] = name
	}
	for alias, name := range loadAliases {
		if _, wanted := names[name]; wanted {
			names[alias] = name
		}
	}
	return names
}

// parse parses semicolon-separated name:value pairs. It returns nil if the settings list no load values. A load report is only
// a hint, so malformed and unknown values are ignored.
func (n loadNames) parse(s string) *decision.LoadReport {
	if len(n) == 0 {
		return nil
	}
	report := &decision.LoadReport{}
	for pair := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(pair, ":")
		setting, wanted := n[name]
		if !wanted {
			continue
		}
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			simulator.SetLoad(report, setting, x)
		}
	}
	return report
}
