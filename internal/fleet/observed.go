package fleet

// Sight is what the observer last saw of a host.
type Sight string

// Sights. A host that nobody has observed is unknown and counts as up: without an observer the declared state is all that there is.
const (
	Unknown     Sight = "unknown"
	Up          Sight = "up"
	Unreachable Sight = "unreachable"
)

// Observation is what was seen of a host.
type Observation struct {
	Sight       Sight `json:"sight"`
	SinceMS     int64 `json:"since_ms"`
	RestartedMS int64 `json:"restarted_ms,omitempty"` // when it came back as a new process; 0: it never did
}

// ObservedState is what a plan is made against: the declared fleet, what was observed of it, and when.
type ObservedState struct {
	Fleet
	Observed map[string]Observation // by host name
	NowMS    int64
}

// Serves tells whether requests are sent to the host, as far as is known.
func (s ObservedState) Serves(h *Host) bool {
	return h.State == InService && s.Observed[h.Name].Sight != Unreachable
}

// WarmAtMS is when the host will have warmed up; 0 if it needed no warm-up.
func (s ObservedState) WarmAtMS(h *Host) int64 {
	started := max(h.BornMS, s.Observed[h.Name].RestartedMS)
	if started == 0 || h.Role == Origin {
		return 0
	}
	return started + s.Rules().SlowStart(h.Role).WarmUpMS
}

// IsWarmingUp tells whether the host does not have all of its capacity yet.
func (s ObservedState) IsWarmingUp(h *Host) bool { return s.WarmAtMS(h) > s.NowMS }
