// Package fleet holds what the board knows: boxes, locations and rules as declared by events, what was seen of the
// boxes, the wished fleet, and the constraints that a change must keep at every moment. It is pure: no I/O, no clock;
// times are Unix milliseconds and come in as arguments. Plans are made in fleet/plan and carried out in fleet/apply.
package fleet

import (
	"fmt"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Role is what a box does.
type Role string

// Roles. The origin is the central store: it is no box that can die, start cold or lack.
const (
	Cache  Role = "cache"
	Parent Role = "hub"
	Origin Role = "origin"
)

// State is a box's state as the bulletin tells it.
type State string

// States of a box, in the words of the protocol.
const (
	InService   State = "in_service"
	Terminating State = "terminating"
	Terminated  State = "terminated"
)

// HostSpec is a box as declared. Share is its capacity in the unit of the operator's file.
type HostSpec struct {
	Name    string  `json:"name"`
	Role    Role    `json:"role"`
	Address string  `json:"address"`
	Site    string  `json:"site"`
	Class   string  `json:"class"`
	Block   int     `json:"block"`
	Share   float64 `json:"share"`
	Running bool    `json:"running,omitempty"` // it ran, warm, before it was added; of no meaning later
}

// Host is a box in the fleet. Serving is the share that directors are told: less than Share while a cold box enters.
type Host struct {
	HostSpec
	State   State   `json:"state"`
	Serving float64 `json:"serving"`
	BornMS  int64   `json:"born_ms"` // when it was put in service late; 0: it was there from the start, warm
}

// StartsCold tells whether a box that is put in service is cold at first.
func (b HostSpec) StartsCold() bool { return b.Role != Origin && !b.Running }

// Location is a depot: its caches' site, what must stay in service, what its clients ask for, and where its misses are
// filled from. Floor and Load are in units of share.
type Location struct {
	Name    string   `json:"name"`
	Floor   float64  `json:"floor"`
	Load    float64  `json:"load"`
	Sources []string `json:"sources"`
}

// Purge drops all copies of an object (16 hex digits) or of a group that are older than IssuedMS.
type Purge struct {
	Object   string `json:"object,omitempty"`
	Group    *int   `json:"group,omitempty"`
	IssuedMS int64  `json:"issued_ms"`
}

// Event is one numbered change. Exactly one of Member, Location, Rules, Purge and Roll is set; Who, Apply and Step tell whose
// change it was.
type Event struct {
	No         int64             `json:"no"`
	AtMS       int64             `json:"at_ms"`
	Who        string            `json:"who"`
	Apply      int64             `json:"apply,omitempty"`
	Step       int               `json:"step,omitempty"`
	Host       *Host             `json:"member,omitempty"`
	Location   *Location         `json:"location,omitempty"`
	Removed    bool              `json:"gone,omitempty"` // the location is given up
	Rules      *Rules            `json:"rules,omitempty"`
	Purge      *Purge            `json:"purge,omitempty"`
	Membership *MembershipChange `json:"roll,omitempty"`
}

// ChangesEndpoints tells whether directors see the event as a change of the list; purges they see as such.
func (e Event) ChangesEndpoints() bool { return e.Purge == nil }

// PurgeKeepMS is how long a purge is told again to directors that come with an old number. Every copy that a purge is
// about has gone from the caches after some seconds; this leaves room for far slower ones.
const PurgeKeepMS = 10 * 60 * 1000

// PurgeMark is a purge with the number of its event.
type PurgeMark struct {
	No int64 `json:"No"`
	Purge
}

type (
	memberMap   = immutable.SortedMap[string, *Host]
	locationMap = immutable.SortedMap[string, *Location]
)

// Fleet is the declared state after the event numbered Revision. It is a value: Apply makes a new one and leaves the
// old one as it was, sharing what is alike. The zero Fleet is empty.
type Fleet struct {
	Revision         int64
	EndpointRevision int64 // the last event that directors see as a change of the list
	rules            *Rules
	members          *memberMap
	locations        *locationMap
	bySite           *immutable.Map[string, *memberMap]
	addresses        *immutable.Map[string, string] // address: name
	purgeMarks       *immutable.List[PurgeMark]
	directors        *directorMap
	slots            *[ShardCount]Shard
}

// Rules in force.
func (f Fleet) Rules() Rules {
	if f.rules == nil {
		return DefaultRules()
	}
	return *f.rules
}

// WithRules is the fleet as it would be under other rules.
func (f Fleet) WithRules(r Rules) Fleet {
	f.rules = &r
	return f
}

// Host finds a box; nil if there is none of that name.
func (f Fleet) Host(name string) *Host { return get(f.members, name) }

// Location finds a location; nil if there is none of that name.
func (f Fleet) Location(name string) *Location { return get(f.locations, name) }

// HostAt finds the box that has an address.
func (f Fleet) HostAt(address string) *Host {
	if f.addresses == nil {
		return nil
	}
	name, _ := f.addresses.Get(address)
	return f.Host(name)
}

// Len is how many boxes there are.
func (f Fleet) Len() int {
	if f.members == nil {
		return 0
	}
	return f.members.Len()
}

// Hosts are all boxes by name.
func (f Fleet) Hosts() iter.Seq[*Host] { return values(f.members) }

// Locations are all locations by name.
func (f Fleet) Locations() iter.Seq[*Location] { return values(f.locations) }

// InSite are the boxes of one site by name.
func (f Fleet) InSite(site string) iter.Seq[*Host] {
	if f.bySite == nil {
		return values[Host](nil)
	}
	m, _ := f.bySite.Get(site)
	return values(m)
}

// PurgesAfter are the kept purges with numbers over n, in order.
func (f Fleet) PurgesAfter(n int64) []PurgeMark {
	var marks []PurgeMark
	if f.purgeMarks == nil {
		return nil
	}
	for i := f.purgeMarks.Len() - 1; i >= 0 && f.purgeMarks.Get(i).No > n; i-- {
		marks = append(marks, f.purgeMarks.Get(i))
	}
	for i, j := 0, len(marks)-1; i < j; i, j = i+1, j-1 {
		marks[i], marks[j] = marks[j], marks[i]
	}
	return marks
}

// Check tells why an event can't follow on this state; nil if it can.
func (f Fleet) Check(e Event) error {
	if e.No != f.Revision+1 {
		return fmt.Errorf("event %d can't follow event %d", e.No, f.Revision)
	}
	set := 0
	for _, is := range []bool{e.Host != nil, e.Location != nil, e.Rules != nil, e.Purge != nil, e.Membership != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("event %d changes %d things, not one", e.No, set)
	}
	switch {
	case e.Host != nil:
		return f.checkMember(e.Host)
	case e.Purge != nil:
		return e.Purge.check()
	case e.Membership != nil:
		return e.Membership.check(f)
	case e.Location != nil && e.Location.Name == "":
		return fmt.Errorf("event %d: a location without a name", e.No)
	}
	return nil
}

func (f Fleet) checkMember(m *Host) error {
	old := f.Host(m.Name)
	switch {
	case m.Name == "" || m.Address == "":
		return fmt.Errorf("box %q at %q: name and address are needed", m.Name, m.Address)
	case m.State != InService && m.State != Terminating && m.State != Terminated:
		return fmt.Errorf("box %s: unknown state %q", m.Name, m.State)
	case old == nil && m.State != InService:
		return fmt.Errorf("box %s is not in the fleet", m.Name)
	}
	if other := f.HostAt(m.Address); other != nil && other.Name != m.Name && m.State != Terminated {
		return fmt.Errorf("box %s: address %s is still that of %s", m.Name, m.Address, other.Name)
	}
	return nil
}

func (p Purge) check() error {
	if (p.Object == "") == (p.Group == nil) {
		return fmt.Errorf("a purge names either an object or a group")
	}
	if p.Object != "" && !isObject(p.Object) {
		return fmt.Errorf("object %q is not 16 hex digits", p.Object)
	}
	if p.Group != nil && (*p.Group < 0 || *p.Group > 255) {
		return fmt.Errorf("group %d is not within 0 to 255", *p.Group)
	}
	return nil
}

func isObject(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// Apply is the state after an event.
func (f Fleet) Apply(e Event) (Fleet, error) {
	if err := f.Check(e); err != nil {
		return f, err
	}
	f.Revision = e.No
	if e.ChangesEndpoints() {
		f.EndpointRevision = e.No
	}
	switch {
	case e.Host != nil:
		f.setMember(e.Host)
	case e.Location != nil:
		if f.locations == nil {
			f.locations = &locationMap{}
		}
		if e.Removed {
			f.locations = f.locations.Delete(e.Location.Name)
		} else {
			f.locations = f.locations.Set(e.Location.Name, e.Location)
		}
	case e.Rules != nil:
		f.rules = e.Rules
	case e.Purge != nil:
		f.addPurge(PurgeMark{No: e.No, Purge: *e.Purge}, e.AtMS)
	case e.Membership != nil:
		f.applyRoll(*e.Membership, e.No)
	}
	return f, nil
}

func (f *Fleet) setMember(m *Host) {
	if f.members == nil {
		f.members, f.bySite = &memberMap{}, &immutable.Map[string, *memberMap]{}
		f.addresses = &immutable.Map[string, string]{}
	}
	if old := f.Host(m.Name); old != nil {
		f.members = f.members.Delete(m.Name)
		f.addresses = f.addresses.Delete(old.Address)
		f.inSite(old.Site, func(s *memberMap) *memberMap { return s.Delete(m.Name) })
	}
	if m.State == Terminated {
		return
	}
	f.members = f.members.Set(m.Name, m)
	f.addresses = f.addresses.Set(m.Address, m.Name)
	f.inSite(m.Site, func(s *memberMap) *memberMap { return s.Set(m.Name, m) })
}

func (f *Fleet) inSite(site string, change func(*memberMap) *memberMap) {
	s, _ := f.bySite.Get(site)
	if s == nil {
		s = &memberMap{}
	}
	if s = change(s); s.Len() == 0 {
		f.bySite = f.bySite.Delete(site)
	} else {
		f.bySite = f.bySite.Set(site, s)
	}
}

func (f *Fleet) addPurge(p PurgeMark, nowMS int64) {
	if f.purgeMarks == nil {
		f.purgeMarks = immutable.NewList[PurgeMark]()
	}
	l, from := f.purgeMarks, 0
	for from < l.Len() && l.Get(from).IssuedMS < nowMS-PurgeKeepMS {
		from++
	}
	if from > 0 {
		l = l.Slice(from, l.Len())
	}
	f.purgeMarks = l.Append(p)
}

func get[V any](m *immutable.SortedMap[string, *V], name string) *V {
	if m == nil {
		return nil
	}
	v, _ := m.Get(name)
	return v
}

func values[V any](m *immutable.SortedMap[string, *V]) iter.Seq[*V] {
	return func(yield func(*V) bool) {
		if m == nil {
			return
		}
		for it := m.Iterator(); !it.Done(); {
			if _, v, _ := it.Next(); !yield(v) {
				return
			}
		}
	}
}
