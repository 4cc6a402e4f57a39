package routing

import (
	"log/slog"
	"maps"
	"slices"

	"stairvane.org/stairvane/internal/decision"
)

// oddity is what is odd in a list: its event in the log, and what the event tells.
type oddity struct {
	level slog.Level
	event string
	more  []any
}

// follow decides what of a list is followed; it logs and changes nothing. The last of several lines for one host counts.
// Of changes older than the last version only the drains do: a box that left must not come back by them, and a drain must
// be kept however late it comes. A complete list always counts, even an empty one. inService has the addresses of the
// hosts in service so far, by name.
func follow(version, last int64, whole bool, members []Member, inService map[string]string) (take []Member, odd []oddity) {
	if whole && len(members) == 0 {
		odd = append(odd, oddity{slog.LevelError, "list.empty", []any{"in_service", len(inService)}})
	}
	if !whole && version < last {
		odd = append(odd, oddity{slog.LevelWarn, "list.out_of_order", []any{"after", last}})
		members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Readiness == decision.Ready })
	}
	lines := map[string]int{}
	for i, m := range members {
		if _, again := lines[m.Name]; again {
			odd = append(odd, oddity{slog.LevelWarn, "list.host_repeated", []any{"host", m.Name}})
		}
		lines[m.Name] = i
	}
	at := map[string]string{} // names in service by address
	if !whole {
		for _, name := range slices.Sorted(maps.Keys(inService)) {
			if _, listed := lines[name]; !listed {
				at[inService[name]] = name
			}
		}
	}
	for i, m := range members {
		if lines[m.Name] != i {
			continue
		}
		take = append(take, m)
		if m.Readiness != decision.Ready {
			continue
		}
		if other, shared := at[m.Address]; shared {
			odd = append(odd, oddity{slog.LevelWarn, "list.address_shared", []any{"addr", m.Address, "host", m.Name, "other", other}})
		}
		at[m.Address] = m.Name
	}
	return take, odd
}
