package fleet

import (
	"fmt"
	"slices"
)

// ValidationError is one thing that makes a desired state impossible, whatever the fleet is.
type ValidationError struct {
	Thing   string // HostKey or LocationKey
	Key     string // of the operator's file; empty: the thing as such
	Message string
}

// Validate gives all that is wrong with a desired state; empty if nothing is.
func (d DesiredState) Validate() []ValidationError {
	v := validator{
		hosts:     map[string]HostSpec{},
		addresses: map[string]string{},
		locations: map[string]bool{},
		shares:    map[string]float64{},
		greatest:  map[string]HostSpec{},
	}
	for _, h := range d.Hosts {
		v.checkHost(h)
	}
	for _, l := range d.Locations {
		v.checkLocation(l)
	}
	for _, h := range d.Hosts {
		if h.Role == Cache && !v.locations[h.Site] {
			v.add(HostKey(h.Name), "", "its location %s is not declared", h.Site)
		}
	}
	return v.errors
}

// validator collects what is wrong with a desired state.
type validator struct {
	hosts     map[string]HostSpec
	addresses map[string]string   // host names by address
	locations map[string]bool     // those that are declared
	shares    map[string]float64  // of all caches, by location
	greatest  map[string]HostSpec // cache, by location
	errors    []ValidationError
}

func (v *validator) add(thing, key, format string, args ...any) {
	v.errors = append(v.errors, ValidationError{Thing: thing, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkHost(h HostSpec) {
	thing := HostKey(h.Name)
	if _, declared := v.hosts[h.Name]; declared {
		v.add(thing, "", "declared twice")
		return
	}
	v.hosts[h.Name] = h
	if other, taken := v.addresses[h.Address]; taken {
		v.add(thing, "at", "address %s is that of %s", h.Address, other)
	}
	v.addresses[h.Address] = h.Name
	if h.Role != Cache {
		return
	}
	v.shares[h.Site] += h.Share
	if h.Share > v.greatest[h.Site].Share {
		v.greatest[h.Site] = h
	}
}

func (v *validator) checkLocation(l Location) {
	thing := LocationKey(l.Name)
	if v.locations[l.Name] {
		v.add(thing, "", "declared twice")
		return
	}
	v.locations[l.Name] = true
	greatest := v.greatest[l.Name]
	if left := v.shares[l.Name] - greatest.Share; l.Floor > 0 && less(left, l.Floor) {
		name := greatest.Name
		if name == "" {
			name = "its box"
		}
		v.add(thing, "floor", "floor %.4g can't be kept: with %s dying %.4g of %.4g is left; add boxes or lower the floor",
			l.Floor, name, left, v.shares[l.Name])
	}
	usable := 0
	for i, source := range l.Sources {
		if v.checkSource(thing, source, l.Sources[:i]) {
			usable++
		}
	}
	if v.shares[l.Name] > 0 && usable == 0 {
		v.add(thing, "sources", "no source: its caches could not be filled")
	}
}

// checkSource tells whether a location can be filled from a source. earlier are the sources that are named before it.
func (v *validator) checkSource(thing, source string, earlier []string) (usable bool) {
	host, declared := v.hosts[source]
	switch {
	case slices.Contains(earlier, source):
		v.add(thing, "sources", "source %s is named twice", source)
	case !declared:
		v.add(thing, "sources", "source %s is no box of this file", source)
	case host.Role == Cache:
		v.add(thing, "sources", "source %s is a cache; fills come from hubs and the origin", source)
	default:
		return true
	}
	return false
}
