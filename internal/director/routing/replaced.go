package routing

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Only one process listens at an address. So if a host appears at the address of another, the process of the other has ended, whatever
// the list says of it: what is sent to it would reach the new process. The other counts as gone until the list gives it another address or
// a later start time.

// isArrival reports whether a list's entry for a host says that a process has started at its address. h is nil for a new host.
func isArrival(h *host, e Endpoint) bool {
	return h == nil || h.Address != e.Address || h.StartedAt < e.StartedAt
}

// replaceOthers marks the hosts whose addresses the arrivals of an update have as replaced, and returns them in the order of their names.
// Of two arrivals at one address it is unknown which came last, so both stay.
func (d *Director) replaceOthers(arrivals []*host, now time.Duration) (replaced []*host) {
	if len(arrivals) == 0 {
		return nil
	}
	at := map[string]*host{}
	for _, arrival := range arrivals {
		at[arrival.Address] = arrival
	}
	for _, name := range slices.Sorted(maps.Keys(d.byName)) {
		h := d.byName[name]
		arrival := at[h.Address]
		if arrival == nil || h.isReplaced() || slices.Contains(arrivals, h) {
			continue
		}
		slog.Warn("endpoint.replaced", "host", h.Name, "by", arrival.Name, "addr", h.Address)
		h.replacedBy = arrival
		h.setReadiness(decision.Gone, now)
		replaced = append(replaced, h)
	}
	return replaced
}

// abandon stops the use of a replaced host's connections. Attempts that wait for one have not run.
func (h *host) abandon() {
	h.retireConns(0, true)
	h.failWaitingIfUnreachable()
}

// isReplaced reports whether another host's process is at the host's address.
func (h *host) isReplaced() bool {
	by := h.replacedBy
	return by != nil && by.Address == h.Address && by.Readiness != decision.Gone
}

// keepReplaced changes the entry of a host that was replaced to gone, unless the entry says that its process has started again, or that
// it has another address, or the other host has left the address.
func (h *host) keepReplaced(e Endpoint) Endpoint {
	if isArrival(h, e) || !h.isReplaced() {
		h.replacedBy = nil
		return e
	}
	e.Readiness = decision.Gone
	return e
}
