package fleet

import (
	"errors"
	"fmt"

	"github.com/benbjohnson/immutable"
)

// Dump is a snapshot of a fleet in its stored and transmitted form.
type Dump struct {
	Revision         int64           `json:"revision"`
	EndpointRevision int64           `json:"roster_no"`
	Rules            *Rules          `json:"rules,omitempty"`
	Hosts            []*Host         `json:"members"`
	Locations        []*Location     `json:"locations"`
	Purges           []PurgeMark     `json:"purges"`
	Membership       *MembershipDump `json:"roll,omitempty"`
}

// Dump returns a snapshot of the fleet. Its values are shared with the fleet and must not be modified.
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

// Restore returns the fleet that a dump describes. It returns an error if the dump is invalid.
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
			return Fleet{}, errors.New("fleet: dump contains a null location")
		}
		f.locations = f.locations.Set(location.Name, location)
	}
	if len(d.Purges) > 0 {
		f.purgeMarks = immutable.NewList(d.Purges...)
	}
	return f, f.restoreMembership(d.Membership)
}

// restoreHost adds a host that is in service or terminating. It runs checkHost with the state InService, since checkHost accepts a new
// host in no other state.
func (f *Fleet) restoreHost(h *Host) error {
	if h == nil || h.State == Terminated {
		return errors.New("fleet: dump contains a null or terminated host")
	}
	if f.Host(h.Name) != nil {
		return fmt.Errorf("fleet: dump contains host %s twice", h.Name)
	}
	if err := f.checkHost(&Host{HostSpec: h.HostSpec, State: InService}); err != nil {
		return err
	}
	f.setHost(h)
	return nil
}
