package director

import (
	"strconv"
	"strings"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/protocol/simulator"
)

// reportNames are the other names that load values may have on the sockets; the caches use the settings' own.
var reportNames = map[string]string{
	"inflight": "busy_reqs", "queue": "pending", "util": "cpu_share", "latency_ms": "svc_ms", "qps": "served_ps",
	"eps": "failed_ps",
}

// reportMap gives the settings' names by the sockets', for the fields that the settings name. Both names are taken: with
// one alone the module would miss the values of caches that use the other, and take a strained cache for an idle one.
func reportMap(fields []string) map[string]string {
	m := map[string]string{}
	for _, f := range fields {
		m[f] = f
	}
	for socket, setting := range reportNames {
		if _, wanted := m[setting]; wanted {
			m[socket] = setting
		}
	}
	return m
}

// load reads name:value pairs set apart by semicolons. A report is only a hint: what can't be read is left out.
func (c *caches) load(s string) *decision.LoadReport {
	if len(c.report) == 0 {
		return nil
	}
	report := &decision.LoadReport{}
	for pair := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if setting, wanted := c.report[name]; wanted {
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				simulator.SetLoad(report, setting, x)
			}
		}
	}
	return report
}
