package fleet

// Reachability is whether the observer could reach a host when it last tried.
type Reachability string

// Values of Reachability. A host that has not been observed is unknown and counts as up: without an observer only the declared state is
// known.
const (
	Unknown     Reachability = "unknown"
	Up          Reachability = "up"
	Unreachable Reachability = "unreachable"
)

// Observation is the observed state of a host.
type Observation struct {
	Reachability Reachability `json:"sight"`
	SinceMS      int64        `json:"since_ms"`               // when Reachability last changed
	RestartedMS  int64        `json:"restarted_ms,omitempty"` // when it was first seen after its last restart; 0: no restart was seen
}

// ObservedState is the input of a plan: the declared fleet, the observations of its hosts, and the current time.
type ObservedState struct {
	Fleet
	Observed map[string]Observation // by host name
	NowMS    int64
}

// Serves reports whether directors send requests to the host, as far as is known.
func (s ObservedState) Serves(h *Host) bool {
	return h.State == InService && s.Observed[h.Name].Reachability != Unreachable
}

// WarmAtMS returns the time at which the host has warmed up, or 0 if it needs no warm-up.
func (s ObservedState) WarmAtMS(h *Host) int64 {
	started := max(h.AddedMS, s.Observed[h.Name].RestartedMS)
	if started == 0 || h.Role == Origin {
		return 0
	}
	return started + s.Rules().SlowStart(h.Role).WarmUpMS
}

// IsWarmingUp reports whether the host has not reached its full capacity yet.
func (s ObservedState) IsWarmingUp(h *Host) bool { return s.WarmAtMS(h) > s.NowMS }
