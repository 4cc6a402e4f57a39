package fleettest

import "stairvane.org/stairvane/internal/fleet"

// roundingError is what shares may differ by and count as equal.
const roundingError = 1e-9

// Broken gives by how much each constraint is broken if a host dies now; empty: none dies. Constraints that are not broken are not in
// the map.
func Broken(state fleet.ObservedState, dying string) map[string]float64 {
	broken := map[string]float64{}
	for l := range state.Locations() {
		c := site{state: state, location: l, dying: dying, broken: broken}
		c.count()
		c.check()
	}
	return broken
}

// site is what is left in a location with a host dying.
type site struct {
	state    fleet.ObservedState
	location *fleet.Location
	dying    string
	broken   map[string]float64

	caches          int
	warm            float64 // serving
	serving         float64
	capacity        float64
	warming         []*fleet.Host
	warmingCapacity float64
}

func (s *site) serves(h *fleet.Host) bool { return s.state.Serves(h) && h.Name != s.dying }

func (s *site) count() {
	for host := range s.state.HostsInSite(s.location.Name) {
		if host.Role != fleet.Cache || !s.serves(host) {
			continue
		}
		s.caches++
		s.serving += host.Serving
		s.capacity += host.Share
		if s.state.IsWarmingUp(host) {
			s.warmingCapacity += host.Share
			s.warming = append(s.warming, host)
		} else {
			s.warm += host.Serving
		}
	}
}

func (s *site) check() {
	name := s.location.Name
	if s.warm < s.location.Floor {
		s.broken["floor "+name] = s.location.Floor - s.warm
	}
	if s.caches+len(s.location.Sources) > 0 && !s.hasSource() {
		s.broken["source "+name] = 1
	}
	if s.location.Load == 0 || s.warm == 0 && (s.dying != "" || s.caches == 1) {
		return
	}
	allowed := s.state.Rules().MaxWarmingShare * s.capacity
	if s.dying == "" && len(s.warming) > 1 && s.warmingCapacity > allowed+roundingError {
		s.broken["cold-most "+name] = s.warmingCapacity - allowed
	}
	slowStart := s.state.Rules().Cache
	for _, host := range s.warming {
		asked := s.location.Load * host.Serving / s.serving
		bears := slowStart.OverloadFactor * slowStart.InitialShare * host.Share
		if asked > bears+roundingError {
			s.broken["cold "+host.Name] = asked - bears
		}
	}
}

func (s *site) hasSource() bool {
	for _, name := range s.location.Sources {
		if host := s.state.Host(name); host != nil && s.serves(host) {
			return true
		}
	}
	return false
}
