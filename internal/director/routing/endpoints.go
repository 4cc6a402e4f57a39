package routing

import (
	"context"
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// host is an endpoint of the endpoint list, with the connections to it and the attempts that wait for one.
type host struct {
	Endpoint
	director          *Director
	readinessSince    time.Duration // when the current readiness reached the process
	conns             []*pooledConn
	waiting           []*attempt
	dispatchScheduled bool // sendWaiting runs at the end of the round
}

// incarnationName returns a name that identifies the process behind the host: the host's name, and the process's start time if
// it is known.
func (h *host) incarnationName() string {
	if h.StartedAt <= 0 {
		return h.Name
	}
	return h.Name + "@" + strconv.FormatInt(h.StartedAt.Milliseconds(), 10)
}

func (h *host) setReadiness(r decision.Readiness, now time.Duration) {
	if h.Readiness != r {
		h.Readiness = r
		h.readinessSince = now
	}
}

// isDraining reports whether the host must get no new attempts. Half of the grace period is reserved for the network delay to
// the host.
func (h *host) isDraining(now, grace time.Duration) bool {
	return h.Readiness != decision.Ready && now >= h.readinessSince+grace/2
}

// UpdateEndpoints applies an endpoint list: a snapshot, or a delta that has only the changed entries.
func (d *Director) UpdateEndpoints(version int64, snapshot bool, endpoints []Endpoint) {
	now := d.notificationTime()
	d.Counters.EndpointUpdates++
	list := endpointList{version: version, snapshot: snapshot, endpoints: endpoints}
	accepted, anomalies := list.validate(d.listVersion, d.readyAddresses())
	for _, a := range anomalies {
		slog.Log(context.Background(), a.level, a.event, append([]any{"version", version}, a.attrs...)...)
	}
	if snapshot || version > d.listVersion {
		d.listVersion = version
	}
	update := decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: version}
	if snapshot {
		update.Kind = decision.UpdateSnapshot
		d.markUnlistedGone(accepted, now)
	}
	for _, e := range accepted {
		update.Endpoints = append(update.Endpoints, d.applyEndpoint(e, now))
	}
	d.handleEvent(update)
}

// readyAddresses returns the addresses of the ready hosts by name.
func (d *Director) readyAddresses() map[string]string {
	addresses := map[string]string{}
	for name, h := range d.byName {
		if h.Readiness == decision.Ready {
			addresses[name] = h.Address
		}
	}
	return addresses
}

// markUnlistedGone marks the hosts that a snapshot does not contain as gone.
func (d *Director) markUnlistedGone(snapshot []Endpoint, now time.Duration) {
	listed := map[string]bool{}
	for _, e := range snapshot {
		listed[e.Name] = true
	}
	for name, h := range d.byName {
		if !listed[name] {
			h.setReadiness(decision.Gone, now)
		}
	}
}

// applyEndpoint adds or updates a host and returns the endpoint to pass to the module.
func (d *Director) applyEndpoint(e Endpoint, now time.Duration) decision.Endpoint {
	h := d.byName[e.Name]
	if h == nil {
		e.Host = d.assignHostID(e.Name)
		h = &host{Endpoint: e, director: d, readinessSince: now}
		d.byName[e.Name] = h
		d.hosts[e.Host] = h
	}
	e.Host = h.Host
	moved := h.Address != e.Address
	if moved || h.StartedAt != e.StartedAt {
		h.retireConns(e.StartedAt, moved)
	}
	h.setReadiness(e.Readiness, now)
	h.Endpoint = e
	return e.Endpoint
}

// assignHostID returns the number that identifies a host in the module. All directors must place objects on the same caches,
// so the number depends only on the name: it is the hex number that ends the name, as in s-00c41f7a, or else a hash of the
// name. The simulator identifies the host by the same hex number, so both place objects alike.
func (d *Director) assignHostID(name string) decision.HostID {
	if _, digits, found := strings.Cut(name, "-"); found && len(digits) == 8 {
		if n, err := strconv.ParseUint(digits, 16, 32); err == nil && d.hosts[decision.HostID(n)] == nil {
			return decision.HostID(n)
		}
	}
	for salt := 0; ; salt++ {
		id := hashHostName(name, salt)
		other := d.hosts[id]
		if other == nil {
			return id
		}
		slog.Warn("host.id_collided", "host", name, "other", other.Name, "number", id)
	}
}

func hashHostName(name string, salt int) decision.HostID {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // a hash returns no error
	if salt > 0 {
		_, _ = sum.Write([]byte(strconv.Itoa(salt)))
	}
	return decision.HostID(sum.Sum32())
}

// retireConns retires the connections to a process that has ended: all connections after a change of address, otherwise
// those older than the new process. The endpoint list may arrive late, so younger connections already lead to the new
// process.
func (h *host) retireConns(started time.Duration, moved bool) {
	for _, c := range slices.Clone(h.conns) {
		if moved || c.connectStartedAt < started {
			c.retired = true
			c.closeIfIdle()
		}
	}
}
