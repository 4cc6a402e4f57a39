package routing

import (
	"log/slog"
	"maps"
	"slices"

	"stairvane.org/stairvane/internal/decision"
)

// endpointList is an endpoint list as received: a snapshot, or a delta that has only the changed entries.
type endpointList struct {
	version   int64
	snapshot  bool
	endpoints []Endpoint
}

// listAnomaly is an irregularity in an endpoint list, with its log event.
type listAnomaly struct {
	level slog.Level
	event string
	attrs []any
}

// validate returns the entries to apply and the anomalies to log. It has no side effects. If a host is listed more than once,
// its last entry is accepted. From a delta older than lastVersion only drains are accepted: a host that is gone must not
// reappear, but a drain must be applied however late it arrives. A snapshot is always accepted, even an empty one.
// readyAddresses contains the addresses of the ready hosts by name.
func (l endpointList) validate(lastVersion int64, readyAddresses map[string]string) (accepted []Endpoint, anomalies []listAnomaly) {
	if l.snapshot && len(l.endpoints) == 0 {
		anomalies = append(anomalies, listAnomaly{slog.LevelError, "endpoints.empty", []any{"in_service", len(readyAddresses)}})
	}
	endpoints := l.endpoints
	if !l.snapshot && l.version < lastVersion {
		anomalies = append(anomalies, listAnomaly{slog.LevelWarn, "endpoints.out_of_order", []any{"after", lastVersion}})
		isReady := func(e Endpoint) bool { return e.Readiness == decision.Ready }
		endpoints = slices.DeleteFunc(slices.Clone(endpoints), isReady)
	}
	lastEntry := map[string]int{} // index by name
	for i, e := range endpoints {
		if _, repeated := lastEntry[e.Name]; repeated {
			anomalies = append(anomalies, listAnomaly{slog.LevelWarn, "endpoints.host_repeated", []any{"host", e.Name}})
		}
		lastEntry[e.Name] = i
	}
	nameAt := l.unchangedByAddress(lastEntry, readyAddresses)
	for i, e := range endpoints {
		if lastEntry[e.Name] != i {
			continue
		}
		accepted = append(accepted, e)
		if e.Readiness != decision.Ready {
			continue
		}
		if other, shared := nameAt[e.Address]; shared {
			attrs := []any{"addr", e.Address, "host", e.Name, "other", other}
			anomalies = append(anomalies, listAnomaly{slog.LevelWarn, "endpoints.address_shared", attrs})
		}
		nameAt[e.Address] = e.Name
	}
	return accepted, anomalies
}

// unchangedByAddress returns, by address, the names of the ready hosts that the list does not change.
func (l endpointList) unchangedByAddress(listed map[string]int, readyAddresses map[string]string) map[string]string {
	names := map[string]string{}
	if l.snapshot {
		return names
	}
	for _, name := range slices.Sorted(maps.Keys(readyAddresses)) {
		if _, changed := listed[name]; !changed {
			names[readyAddresses[name]] = name
		}
	}
	return names
}
