package fleet

// Role is what a host does.
type Role string

// Roles. The origin is the central store: constraints do not count with its death, and it needs no warm-up.
const (
	Cache  Role = "cache"
	Parent Role = "hub" // a parent cache, from which caches are filled
	Origin Role = "origin"
)

// State is a host's state as directors are sent it.
type State string

// States of a host, in the words of the discovery protocol.
const (
	InService   State = "in_service"
	Terminating State = "terminating" // draining
	Terminated  State = "terminated"  // removed
)

// HostSpec is a host as an operator declares it.
type HostSpec struct {
	Name    string  `json:"name"`
	Role    Role    `json:"role"`
	Address string  `json:"address"`
	Site    string  `json:"site"`
	Class   string  `json:"class"`
	Block   int     `json:"block"`
	Share   float64 `json:"share"`             // capacity
	Running bool    `json:"running,omitempty"` // it ran, warm, before it was added; without meaning later
}

// NeedsWarmUp tells whether a host that is put in service warms up at first.
func (h HostSpec) NeedsWarmUp() bool { return h.Role != Origin && !h.Running }

// Host is a host in the fleet.
type Host struct {
	HostSpec
	State   State   `json:"state"`
	Serving float64 `json:"serving"` // share that directors are sent; less than Share while a host that warms up enters
	BornMS  int64   `json:"born_ms"` // when it was put in service; 0: it was there from the start, warm
}

// Location is a site with caches: what must stay in service, what its clients ask for, and where its misses are filled from.
type Location struct {
	Name    string   `json:"name"`
	Floor   float64  `json:"floor"`   // share of warm caches that must stay in service
	Load    float64  `json:"load"`    // share that its clients ask for
	Sources []string `json:"sources"` // names of parents and origins
}
