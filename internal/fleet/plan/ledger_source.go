package plan

import "stairvane.org/stairvane/internal/fleet"

// sourceLedger tracks the capacity of one parent or origin.
type sourceLedger struct {
	name           string
	role           fleet.Role
	share          float64
	serving        float64 // serving share that is certain: 0 if the host does not serve, is warming up or may be drained by the wave
	isWarmingUp    bool
	warmingServing float64 // serving share that directors are sent while it warms up
}

// newSourceLedger returns the ledger of a source in its current state. A source that does not exist yet counts as a parent that does not
// serve.
func newSourceLedger(state fleet.ObservedState, name string) *sourceLedger {
	s := &sourceLedger{name: name, role: fleet.Parent}
	host := state.Host(name)
	if host == nil {
		return s
	}
	s.role = host.Role
	s.share = host.Share
	if !state.Serves(host) {
		return s
	}
	s.warmingServing = host.Serving
	s.isWarmingUp = state.IsWarmingUp(host)
	if !s.isWarmingUp {
		s.serving = host.Serving
	}
	return s
}

// reserve subtracts the capacity that a change removes.
func (s *sourceLedger) reserve(c *change) (rollback func()) {
	before := *s
	switch c.Kind {
	case Add:
		s.role = c.Host.Role
		s.share = c.Host.Share
		s.warmingServing = c.Host.Serving
		s.isWarmingUp = c.Host.NeedsWarmUp()
	case Drain:
		s.serving = 0
		s.isWarmingUp = false
	case Raise, Lower:
		if s.isWarmingUp {
			s.share = c.Host.Share
			s.warmingServing = c.Host.Serving
		} else {
			s.serving = min(s.serving, c.Host.Serving)
		}
	}
	return func() { *s = before }
}

// complete adds the capacity that a change provides, once its wave is done.
func (s *sourceLedger) complete(c *change) {
	switch c.Kind {
	case Add:
		s.isWarmingUp = false
		s.serving = c.Host.Serving
	case Raise, Lower:
		s.share = c.Host.Share
		if s.serving > 0 {
			s.serving = c.Host.Serving
		}
	}
}
