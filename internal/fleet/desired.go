package fleet

import (
	"cmp"
	"slices"
)

// DesiredState is the fleet that an operator wants. Hosts and locations are sorted by name after Normalize.
type DesiredState struct {
	Rules     Rules      `json:"rules"`
	Locations []Location `json:"locations"`
	Hosts     []HostSpec `json:"boxes"`
}

// Normalize sorts the hosts and locations by name, so that equal desired states have equal checksums.
func (d *DesiredState) Normalize() {
	slices.SortFunc(d.Locations, func(a, b Location) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Hosts, func(a, b HostSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// DesiredState returns the desired state that corresponds to the declared fleet. It omits hosts that are draining.
func (f Fleet) DesiredState() DesiredState {
	d := DesiredState{Rules: f.Rules()}
	for host := range f.Hosts() {
		if host.State == InService {
			d.Hosts = append(d.Hosts, host.HostSpec)
		}
	}
	for location := range f.Locations() {
		d.Locations = append(d.Locations, *location)
	}
	return d
}
