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

// host is an endpoint together with the connections to it and the attempts that wait for a connection.
type host struct {
	Endpoint
	director             *Director
	readinessSince       time.Duration // when its current readiness reached the process
	conns                []*pooledConn
	waiting              []*attempt
	sendWaitingScheduled bool  // the host is in Director.hostsToSendWaiting
	replacedBy           *host // the host whose process has taken the address; nil: none
}

// incarnationName returns the host's name followed by "@" and its start time in Unix milliseconds, which identifies the
// process across restarts. If the start time is unknown, it returns the name alone.
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

// isDraining reports whether no new attempts may be sent to the host: it is not ready, and half of the grace period has
// passed. The second half is reserved for the time that an attempt takes to reach the host. There is no grace if another process has
// the host's address.
func (h *host) isDraining(now, grace time.Duration) bool {
	return h.isReplaced() || h.Readiness != decision.Ready && now >= h.readinessSince+grace/2
}

// UpdateEndpoints applies an endpoint list: a snapshot, or a delta with the entries that changed.
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
		d.removeUnlisted(accepted, now)
	}
	var arrivals []*host
	for _, e := range accepted {
		arrives := e.Readiness == decision.Ready && isArrival(d.byName[e.Name], e)
		update.Endpoints = append(update.Endpoints, d.applyEndpoint(e, now))
		if arrives {
			arrivals = append(arrivals, d.byName[e.Name])
		}
	}
	replaced := d.replaceOthers(arrivals, now)
	for _, h := range replaced {
		update.Endpoints = append(update.Endpoints, h.Endpoint.Endpoint)
	}
	d.handle(update)
	for _, h := range replaced {
		h.abandon()
	}
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

// removeUnlisted marks all hosts that a snapshot does not list as gone.
func (d *Director) removeUnlisted(snapshot []Endpoint, now time.Duration) {
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

// applyEndpoint updates or adds a host, and returns its endpoint for the decision module.
func (d *Director) applyEndpoint(e Endpoint, now time.Duration) decision.Endpoint {
	h := d.byName[e.Name]
	if h == nil {
		e.Host = d.assignHostID(e.Name)
		h = &host{Endpoint: e, director: d, readinessSince: now}
		d.byName[e.Name] = h
		d.hosts[e.Host] = h
	}
	e.Host = h.Host
	e = h.keepReplaced(e)
	addressChanged := h.Address != e.Address
	if addressChanged || h.StartedAt != e.StartedAt {
		h.retireConns(e.StartedAt, addressChanged)
	}
	h.setReadiness(e.Readiness, now)
	h.Endpoint = e
	return e.Endpoint
}

// assignHostID returns the ID by which the decision module knows a host. All directors must place objects on the same
// caches, so the ID depends only on the name: it is the hex number at the end of the name, as in s-00c41f7a, or else a hash
// of the name. The simulator identifies the host by the same hex number, so that both place objects identically.
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

// retireConns stops the use of connections to a process that has ended. After a change of address these are all connections;
// otherwise they are the connections that were opened before the new process started. Since the list may arrive late, later
// connections already lead to the new process.
func (h *host) retireConns(startedAt time.Duration, addressChanged bool) {
	for _, c := range slices.Clone(h.conns) {
		if addressChanged || c.connectStartedAt < startedAt {
			c.retired = true
			c.closeIfUnused()
		}
	}
}
