package observe

import (
	"iter"
	"maps"
	"slices"
	"strconv"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings are the parameters of a Monitor.
type Settings struct {
	PingIntervalMS int64 // time between two pings of a host, in milliseconds
	TimeoutMS      int64 // time in which a host must answer a ping, in milliseconds
	Misses         int   // consecutive missed answers after which a host counts as unreachable
}

// Action is an instruction to the caller: connect to a host, closing any older connection, or send a ping over the existing connection.
type Action struct {
	Host    string
	Address string // to connect to; empty: ping
	Tag     string // identifies the ping; the answer repeats it
}

// Monitor observes hosts. It is not safe for concurrent use.
type Monitor struct {
	settings       Settings
	hosts          map[string]*host
	lastPingNumber int64 // number of the last ping, from which its tag is made
}

// host is the state of one observed host.
type host struct {
	name        string
	address     string
	observation fleet.Observation
	connected   bool
	connecting  bool
	tag         string // of the unanswered ping; empty: no ping is pending
	sentMS      int64  // when that ping was sent
	nextMS      int64  // when to send the next ping or connect again
	misses      int    // consecutive missed answers
	wasUp       bool   // a ping was answered since the host was declared

	// These fields distinguish a restart from a lost connection. If only the process has ended, its machine refuses connections. If the
	// machine has ended too, the host does not answer, and the old connection does not survive the restart. If the next connection
	// succeeds immediately after one was lost, the network has interrupted it and the process has not restarted.
	lost    bool // the last connection was lost
	refused bool // a connection was refused since then: the process has ended
	silent  bool // the host was unreachable since then: its machine may have ended
}

// New returns a monitor without hosts.
func New(s Settings) *Monitor { return &Monitor{settings: s, hosts: map[string]*host{}} }

// AddHost adds a host to the monitor, with the reachability Unknown. It does nothing for a host that is already observed at this address,
// unless replaced is set: the host was put in service again.
func (m *Monitor) AddHost(name, address string, replaced bool, nowMS int64) {
	if h := m.hosts[name]; h != nil && h.address == address && !replaced {
		return
	}
	m.hosts[name] = &host{
		name:        name,
		address:     address,
		observation: fleet.Observation{Reachability: fleet.Unknown, SinceMS: nowMS},
		nextMS:      nowMS,
	}
}

// RemoveHost removes a host from the monitor.
func (m *Monitor) RemoveHost(name string) { delete(m.hosts, name) }

// HasHost reports whether a host is observed at an address.
func (m *Monitor) HasHost(name, address string) bool {
	h := m.hosts[name]
	return h != nil && h.address == address
}

// Observations yields the observations of all hosts by name, in no particular order.
func (m *Monitor) Observations() iter.Seq2[string, fleet.Observation] {
	return func(yield func(string, fleet.Observation) bool) {
		for name, h := range m.hosts {
			if !yield(name, h.observation) {
				return
			}
		}
	}
}

// Observation returns the observation of a host; its reachability is Unknown for a host that is not observed.
func (m *Monitor) Observation(name string) fleet.Observation {
	if h := m.hosts[name]; h != nil {
		return h.observation
	}
	return fleet.Observation{Reachability: fleet.Unknown}
}

// Connected records that a connection was established. It returns the first ping.
func (m *Monitor) Connected(name string, nowMS int64) []Action {
	h := m.hosts[name]
	if h == nil {
		return nil
	}
	h.connecting = false
	h.connected = true
	return []Action{m.pingAction(h, nowMS)}
}

// Disconnected records that a connection was lost or could not be established. refused means that the machine refused the connection
// since no process listens at the address.
func (m *Monitor) Disconnected(name string, refused bool, nowMS int64) {
	h := m.hosts[name]
	if h == nil {
		return
	}
	if h.connected {
		h.lost = true
		h.nextMS = nowMS // immediately: the result distinguishes a process that has ended from an interrupted connection
	} else {
		h.refused = h.refused || refused
		m.countMiss(h, nowMS)
		h.nextMS = nowMS + min(m.settings.PingIntervalMS, m.settings.TimeoutMS)
	}
	h.connected = false
	h.connecting = false
	h.tag = ""
}

// Pong records the answer to a ping. It reports whether the observation has changed. Answers to other than the pending ping are ignored.
func (m *Monitor) Pong(name, tag string, nowMS int64) bool {
	h := m.hosts[name]
	if h == nil || h.tag != tag {
		return false
	}
	before := h.observation
	if h.wasUp && h.lost && (h.refused || h.silent) {
		h.observation.RestartedMS = nowMS
	}
	h.tag = ""
	h.misses = 0
	h.lost = false
	h.refused = false
	h.silent = false
	h.wasUp = true
	h.setReachability(fleet.Up, nowMS)
	return h.observation != before
}

// Tick returns the actions that are due at nowMS and counts pings that have timed out. The connection of an unresponsive host is kept open:
// if the host answers over it later, it has not restarted.
func (m *Monitor) Tick(nowMS int64) (actions []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		h := m.hosts[name]
		// The caller reports the result of an attempt to connect by Connected or Disconnected, so there is no timeout here.
		if h.tag != "" && nowMS >= h.sentMS+m.settings.TimeoutMS {
			m.countMiss(h, nowMS)
			h.tag = ""
			h.nextMS = min(h.nextMS, nowMS)
		}
		switch {
		case h.tag != "" || h.connecting || nowMS < h.nextMS:
		case h.connected:
			actions = append(actions, m.pingAction(h, nowMS))
		default:
			actions = append(actions, m.connectAction(h, nowMS))
		}
	}
	return actions
}

func (m *Monitor) connectAction(h *host, nowMS int64) Action {
	h.connecting = true
	h.nextMS = nowMS + m.settings.PingIntervalMS
	return Action{Host: h.name, Address: h.address}
}

func (m *Monitor) pingAction(h *host, nowMS int64) Action {
	m.lastPingNumber++
	h.tag = "o" + strconv.FormatInt(m.lastPingNumber, 36)
	h.sentMS = nowMS
	h.nextMS = nowMS + m.settings.PingIntervalMS
	return Action{Host: h.name, Tag: h.tag}
}

// countMiss counts a missed answer, and marks the host as unreachable after the configured number of misses.
func (m *Monitor) countMiss(h *host, nowMS int64) {
	h.misses++
	if h.misses >= m.settings.Misses {
		h.silent = true
		h.setReachability(fleet.Unreachable, nowMS)
	}
}

func (h *host) setReachability(s fleet.Reachability, nowMS int64) {
	if h.observation.Reachability != s {
		h.observation.Reachability = s
		h.observation.SinceMS = nowMS
	}
}
