package fleet

import (
	"cmp"
	"slices"
)

// DesiredState is the fleet that an operator wants: hosts and locations by name. Normalize brings it into that order.
type DesiredState struct {
	Rules     Rules      `json:"rules"`
	Locations []Location `json:"locations"`
	Hosts     []HostSpec `json:"boxes"`
}

// Normalize sorts a desired state, so that equal states have equal sums.
func (d *DesiredState) Normalize() {
	slices.SortFunc(d.Locations, func(a, b Location) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Hosts, func(a, b HostSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// DesiredState is the desired state that asks for the fleet as it is declared. Hosts that drain are not in it.
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
