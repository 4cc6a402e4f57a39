package director

import (
	"strconv"
	"strings"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/protocol/simulator"
)

// loadAliases are other names of load values that caches may use instead of the settings' names.
var loadAliases = map[string]string{
	"inflight":   "busy_reqs",
	"queue":      "pending",
	"util":       "cpu_share",
	"latency_ms": "svc_ms",
	"qps":        "served_ps",
	"eps":        "failed_ps",
}

// loadNames maps the names of load values in responses to those of the settings.
type loadNames map[string]string

// loadNamesOf maps the names for the load values that the settings name. Both names of a value are accepted: with one
// alone the values of caches that use the other would be missed, and an overloaded cache be taken for an idle one.
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

// parse reads name:value pairs with semicolons between, or gives nil where the settings name no load values. A load report
// is only a hint: what is malformed or unknown is left out.
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
