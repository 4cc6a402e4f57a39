package observe

import (
	"iter"
	"maps"
	"slices"
	"strconv"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings of a monitor.
type Settings struct {
	EveryMS   int64 // between two pings of a host, in milliseconds
	TimeoutMS int64 // in which an answer must come, in milliseconds
	Misses    int   // answers in a row that must be missing before a host counts as unreachable
}

// Action is what the caller is to do: connect to a host, closing an older connection, or ping over the one that there is.
type Action struct {
	Host    string
	Address string // to connect to; empty: ping
	Tag     string // of the ping, which the answer repeats
}

// Monitor observes hosts. It is not safe for concurrent use.
type Monitor struct {
	set      Settings
	hosts    map[string]*host
	lastPing int64 // the tags of pings count up
}

// host is what is known of one host.
type host struct {
	name        string
	address     string
	observation fleet.Observation
	connected   bool
	connecting  bool
	tag         string // of the ping without an answer; empty: there is none
	sentMS      int64  // when that ping was sent
	nextMS      int64  // when to ping or connect again
	misses      int    // in a row
	wasUp       bool   // an answer has come since the host was declared

	// A process that has ended refuses connections. If its machine has ended too the host is silent, and later does not know the old
	// connection. If the next connection succeeds at once after one was lost, the network has cut it.
	lost    bool // the last connection was lost
	refused bool // since then a connection was refused: the process has ended
	silent  bool // since then the host did not answer at all: its machine may have ended
}

// New makes a monitor that observes no host yet.
func New(s Settings) *Monitor { return &Monitor{set: s, hosts: map[string]*host{}} }

// Declare has a host observed. A host is unknown at first, and again under a new address or after it was put in service anew.
func (m *Monitor) Declare(name, address string, anew bool, nowMS int64) {
	if h := m.hosts[name]; h != nil && h.address == address && !anew {
		return
	}
	m.hosts[name] = &host{
		name:        name,
		address:     address,
		observation: fleet.Observation{Sight: fleet.Unknown, SinceMS: nowMS},
		nextMS:      nowMS,
	}
}

// Remove ends the observation of a host.
func (m *Monitor) Remove(name string) { delete(m.hosts, name) }

// Known tells whether a host is observed at this address.
func (m *Monitor) Known(name, address string) bool {
	h := m.hosts[name]
	return h != nil && h.address == address
}

// Observations are those of all hosts, by name, in no order.
func (m *Monitor) Observations() iter.Seq2[string, fleet.Observation] {
	return func(yield func(string, fleet.Observation) bool) {
		for name, h := range m.hosts {
			if !yield(name, h.observation) {
				return
			}
		}
	}
}

// Observation is that of one host.
func (m *Monitor) Observation(name string) fleet.Observation {
	if h := m.hosts[name]; h != nil {
		return h.observation
	}
	return fleet.Observation{Sight: fleet.Unknown}
}

// Connected reports that a connection has come up.
func (m *Monitor) Connected(name string, nowMS int64) []Action {
	h := m.hosts[name]
	if h == nil {
		return nil
	}
	h.connecting = false
	h.connected = true
	return []Action{m.ping(h, nowMS)}
}

// Disconnected reports that a connection has ended or did not come up. refused: the machine has answered that nobody listens.
func (m *Monitor) Disconnected(name string, refused bool, nowMS int64) {
	h := m.hosts[name]
	if h == nil {
		return
	}
	if h.connected {
		h.lost = true
		h.nextMS = nowMS // at once: whether the next one is refused tells a dead process from a cut connection
	} else {
		h.refused = h.refused || refused
		m.miss(h, nowMS)
		h.nextMS = nowMS + min(m.set.EveryMS, m.set.TimeoutMS)
	}
	h.connected = false
	h.connecting = false
	h.tag = ""
}

// Pong reports the answer to a ping. It tells whether the observation has changed.
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
	h.setSight(fleet.Up, nowMS)
	return h.observation != before
}

// Tick gives what is due at a time. The connection of a silent host is not closed: if the host answers over it, it has not restarted.
func (m *Monitor) Tick(nowMS int64) (actions []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		h := m.hosts[name]
		// The end of an attempt to connect is reported by Connected or Disconnected.
		if h.tag != "" && nowMS >= h.sentMS+m.set.TimeoutMS {
			m.miss(h, nowMS)
			h.tag = ""
			h.nextMS = min(h.nextMS, nowMS)
		}
		switch {
		case h.tag != "" || h.connecting || nowMS < h.nextMS:
		case h.connected:
			actions = append(actions, m.ping(h, nowMS))
		default:
			actions = append(actions, m.connect(h, nowMS))
		}
	}
	return actions
}

func (m *Monitor) connect(h *host, nowMS int64) Action {
	h.connecting = true
	h.nextMS = nowMS + m.set.EveryMS
	return Action{Host: h.name, Address: h.address}
}

func (m *Monitor) ping(h *host, nowMS int64) Action {
	m.lastPing++
	h.tag = "o" + strconv.FormatInt(m.lastPing, 36)
	h.sentMS = nowMS
	h.nextMS = nowMS + m.set.EveryMS
	return Action{Host: h.name, Tag: h.tag}
}

// miss counts an answer that did not come.
func (m *Monitor) miss(h *host, nowMS int64) {
	h.misses++
	if h.misses >= m.set.Misses {
		h.silent = true
		h.setSight(fleet.Unreachable, nowMS)
	}
}

func (h *host) setSight(s fleet.Sight, nowMS int64) {
	if h.observation.Sight != s {
		h.observation.Sight = s
		h.observation.SinceMS = nowMS
	}
}
