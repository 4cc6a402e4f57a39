package fleet

import (
	"fmt"
	"slices"
)

// ValidationError is a fault in a desired state that makes it impossible from any state of the fleet.
type ValidationError struct {
	Resource string // HostKey or LocationKey
	Key      string // key in the operator's file; empty: the host or location as a whole
	Message  string
}

// Validate returns all faults of a desired state; empty if it is valid.
func (d DesiredState) Validate() []ValidationError {
	v := validator{
		hosts:     map[string]HostSpec{},
		addresses: map[string]string{},
		locations: map[string]bool{},
		shares:    map[string]float64{},
		largest:   map[string]HostSpec{},
	}
	for _, h := range d.Hosts {
		v.checkHost(h)
	}
	for _, l := range d.Locations {
		v.checkLocation(l)
	}
	for _, h := range d.Hosts {
		if h.Role == Cache && !v.locations[h.Site] {
			v.addError(HostKey(h.Name), "", "its location %s is not declared", h.Site)
		}
	}
	return v.errors
}

// validator collects the faults of a desired state.
type validator struct {
	hosts     map[string]HostSpec
	addresses map[string]string   // host names by address
	locations map[string]bool     // declared locations
	shares    map[string]float64  // sums over all caches, by location
	largest   map[string]HostSpec // cache with the largest share, by location
	errors    []ValidationError
}

func (v *validator) addError(resource, key, format string, args ...any) {
	v.errors = append(v.errors, ValidationError{Resource: resource, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkHost(h HostSpec) {
	resource := HostKey(h.Name)
	if _, declared := v.hosts[h.Name]; declared {
		v.addError(resource, "", "declared twice")
		return
	}
	v.hosts[h.Name] = h
	if other, taken := v.addresses[h.Address]; taken {
		v.addError(resource, "at", "address %s is that of %s", h.Address, other)
	}
	v.addresses[h.Address] = h.Name
	if h.Role != Cache {
		return
	}
	v.shares[h.Site] += h.Share
	if h.Share > v.largest[h.Site].Share {
		v.largest[h.Site] = h
	}
}

func (v *validator) checkLocation(l Location) {
	resource := LocationKey(l.Name)
	if v.locations[l.Name] {
		v.addError(resource, "", "declared twice")
		return
	}
	v.locations[l.Name] = true
	largest := v.largest[l.Name]
	if remaining := v.shares[l.Name] - largest.Share; l.Floor > 0 && less(remaining, l.Floor) {
		name := largest.Name
		if name == "" {
			name = "any host"
		}
		v.addError(resource, "floor", "floor %.4g can't be kept: if %s fails, %.4g of %.4g remains; add hosts or lower the floor",
			l.Floor, name, remaining, v.shares[l.Name])
	}
	usable := 0
	for i, source := range l.Sources {
		if v.checkSource(resource, source, l.Sources[:i]) {
			usable++
		}
	}
	if v.shares[l.Name] > 0 && usable == 0 {
		v.addError(resource, "sources", "no source: its caches could not be filled")
	}
}

// checkSource reports whether a location can be filled from a source. earlier lists the sources that the location names before it.
func (v *validator) checkSource(resource, source string, earlier []string) (usable bool) {
	host, declared := v.hosts[source]
	switch {
	case slices.Contains(earlier, source):
		v.addError(resource, "sources", "source %s is named twice", source)
	case !declared:
		v.addError(resource, "sources", "source %s is not declared in this file", source)
	case host.Role == Cache:
		v.addError(resource, "sources", "source %s is a cache; a source must be a parent cache or an origin", source)
	default:
		return true
	}
	return false
}
