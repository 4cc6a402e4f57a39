package fleet

import (
	"fmt"

	"github.com/benbjohnson/immutable"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/blake3"
)

// canonical encodes with sorted keys and shortest forms, so that equal values have equal bytes.
var canonical = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // constant options
	}
	return m
}()

// Encode is the one encoding of a value: equal values have equal bytes.
func Encode(v any) ([]byte, error) { return canonical.Marshal(v) }

// Sum is a short name of a value: the first 16 bytes of the BLAKE3 of its encoding, in hex.
func Sum(v any) string {
	b, err := Encode(v)
	if err != nil {
		panic(fmt.Sprintf("fleet: a value without an encoding: %v", err)) // only own types come here
	}
	sum := blake3.Sum256(b)
	return fmt.Sprintf("%x", sum[:16])
}

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

// Dump lists all that a fleet holds.
func (f Fleet) Dump() Dump {
	d := Dump{Revision: f.Revision, EndpointRevision: f.EndpointRevision, Rules: f.rules, Purges: f.PurgesAfter(0), Membership: f.Membership()}
	for m := range f.Hosts() {
		d.Hosts = append(d.Hosts, m)
	}
	for l := range f.Locations() {
		d.Locations = append(d.Locations, l)
	}
	return d
}

// Restore makes a fleet of a dump.
func Restore(d Dump) (Fleet, error) {
	f := Fleet{Revision: d.Revision, EndpointRevision: d.EndpointRevision, rules: d.Rules}
	for _, m := range d.Hosts {
		if m == nil || m.State == Terminated {
			return Fleet{}, fmt.Errorf("fleet: a dump with a box that is not there")
		}
		if f.Host(m.Name) != nil {
			return Fleet{}, fmt.Errorf("fleet: a dump with box %s twice", m.Name)
		}
		if err := f.checkMember(&Host{HostSpec: m.HostSpec, State: InService}); err != nil {
			return Fleet{}, err
		}
		f.setMember(m)
	}
	if len(d.Locations) > 0 {
		f.locations = &locationMap{}
	}
	for _, l := range d.Locations {
		if l == nil {
			return Fleet{}, fmt.Errorf("fleet: a dump with a location that is not there")
		}
		f.locations = f.locations.Set(l.Name, l)
	}
	if len(d.Purges) > 0 {
		f.purgeMarks = immutable.NewList(d.Purges...)
	}
	return f, f.restoreRoll(d.Membership)
}
