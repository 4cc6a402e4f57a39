package fleet

import (
	"errors"
	"fmt"

	"github.com/benbjohnson/immutable"
)

// Dump is a fleet in the form in which it is stored and sent.
type Dump struct {
	Revision         int64           `json:"revision"`
	EndpointRevision int64           `json:"roster_no"`
	Rules            *Rules          `json:"rules,omitempty"`
	Hosts            []*Host         `json:"members"`
	Locations        []*Location     `json:"locations"`
	Purges           []PurgeMark     `json:"purges"`
	Membership       *MembershipDump `json:"roll,omitempty"`
}

// Dump lists all that a fleet has. The values are shared with the fleet and must not be changed.
func (f Fleet) Dump() Dump {
	d := Dump{
		Revision:         f.Revision,
		EndpointRevision: f.EndpointRevision,
		Rules:            f.rules,
		Purges:           f.PurgesAfter(0),
		Membership:       f.Membership(),
	}
	for host := range f.Hosts() {
		d.Hosts = append(d.Hosts, host)
	}
	for location := range f.Locations() {
		d.Locations = append(d.Locations, location)
	}
	return d
}

// Restore makes a fleet from a dump, or tells why the dump is none of a fleet.
func Restore(d Dump) (Fleet, error) {
	f := Fleet{Revision: d.Revision, EndpointRevision: d.EndpointRevision, rules: d.Rules}
	for _, host := range d.Hosts {
		if err := f.restoreHost(host); err != nil {
			return Fleet{}, err
		}
	}
	if len(d.Locations) > 0 {
		f.locations = &locationMap{}
	}
	for _, location := range d.Locations {
		if location == nil {
			return Fleet{}, errors.New("fleet: a dump with a location that is not there")
		}
		f.locations = f.locations.Set(location.Name, location)
	}
	if len(d.Purges) > 0 {
		f.purgeMarks = immutable.NewList(d.Purges...)
	}
	return f, f.restoreMembership(d.Membership)
}

// restoreHost adds a host in any state. The check of an event that adds one allows only InService.
func (f *Fleet) restoreHost(h *Host) error {
	if h == nil || h.State == Terminated {
		return errors.New("fleet: a dump with a box that is not there")
	}
	if f.Host(h.Name) != nil {
		return fmt.Errorf("fleet: a dump with box %s twice", h.Name)
	}
	if err := f.checkHost(&Host{HostSpec: h.HostSpec, State: InService}); err != nil {
		return err
	}
	f.setHost(h)
	return nil
}
