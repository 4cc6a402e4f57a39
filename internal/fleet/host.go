package fleet

// Role is the function of a host in the fleet.
type Role string

// Roles. The origin is the central store: the constraints do not consider its failure, and it needs no warm-up.
const (
	Cache  Role = "cache"
	Parent Role = "hub" // a parent cache, which is a source of fills for caches
	Origin Role = "origin"
)

// State is the state of a host as it is sent to directors.
type State string

// States of a host, with the values of the discovery protocol.
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
	Running bool    `json:"running,omitempty"` // already running and warm when it is added; ignored afterwards
}

// NeedsWarmUp reports whether the host must warm up when it is put in service.
func (h HostSpec) NeedsWarmUp() bool { return h.Role != Origin && !h.Running }

// Host is a host in the fleet.
type Host struct {
	HostSpec
	State   State   `json:"state"`
	Serving float64 `json:"serving"` // share that is sent to directors; a new host may be added with less than Share
	AddedMS int64   `json:"born_ms"` // when it was put in service; 0: warm since the start of the fleet
}

// Location is a site with caches: the capacity that must stay in service, the load from its clients, and the sources of its fills.
type Location struct {
	Name    string   `json:"name"`
	Floor   float64  `json:"floor"`   // share of warm caches that must stay in service
	Load    float64  `json:"load"`    // share that its clients request
	Sources []string `json:"sources"` // names of parent caches and origins
}
