package fleettest

import "stairvane.org/stairvane/internal/fleet"

// shareTolerance is the difference up to which shares count as equal, because of rounding errors.
const shareTolerance = 1e-9

// Broken returns the violated constraints and the amount of each violation if the host failedHost fails; empty: no host fails. Constraints
// that hold are not in the map.
func Broken(state fleet.ObservedState, failedHost string) map[string]float64 {
	broken := map[string]float64{}
	for l := range state.Locations() {
		c := locationCheck{state: state, location: l, failedHost: failedHost, broken: broken}
		c.sumCaches()
		c.checkConstraints()
	}
	return broken
}

// locationCheck computes the violated constraints of one location if a host fails.
type locationCheck struct {
	state      fleet.ObservedState
	location   *fleet.Location
	failedHost string
	broken     map[string]float64

	caches          int
	warm            float64 // serving share of the warm caches
	serving         float64
	capacity        float64
	warming         []*fleet.Host
	warmingCapacity float64
}

func (s *locationCheck) serves(h *fleet.Host) bool {
	return s.state.Serves(h) && h.Name != s.failedHost
}

func (s *locationCheck) sumCaches() {
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

func (s *locationCheck) checkConstraints() {
	name := s.location.Name
	if s.warm < s.location.Floor {
		s.broken["floor "+name] = s.location.Floor - s.warm
	}
	if s.caches+len(s.location.Sources) > 0 && !s.hasSource() {
		s.broken["source "+name] = 1
	}
	if s.location.Load == 0 || s.warm == 0 && (s.failedHost != "" || s.caches == 1) {
		return
	}
	allowed := s.state.Rules().MaxWarmingShare * s.capacity
	if s.failedHost == "" && len(s.warming) > 1 && s.warmingCapacity > allowed+shareTolerance {
		s.broken["cold-most "+name] = s.warmingCapacity - allowed
	}
	slowStart := s.state.Rules().Cache
	for _, host := range s.warming {
		requested := s.location.Load * host.Serving / s.serving
		maxLoad := slowStart.OverloadFactor * slowStart.InitialShare * host.Share
		if requested > maxLoad+shareTolerance {
			s.broken["cold "+host.Name] = requested - maxLoad
		}
	}
}

func (s *locationCheck) hasSource() bool {
	for _, name := range s.location.Sources {
		if host := s.state.Host(name); host != nil && s.serves(host) {
			return true
		}
	}
	return false
}
