package fleet

import (
	"iter"
	"slices"

	"github.com/benbjohnson/immutable"
)

type (
	hostMap     = immutable.SortedMap[string, *Host]
	locationMap = immutable.SortedMap[string, *Location]
)

// Fleet is the declared state after the event numbered Revision. It is an immutable value: Apply makes a new one and leaves the old one as
// it was. The zero Fleet is empty.
type Fleet struct {
	Revision         int64
	EndpointRevision int64 // of the last event that directors see as a change of the endpoint list
	rules            *Rules
	hosts            *hostMap // by name
	locations        *locationMap
	bySite           *immutable.Map[string, *hostMap]
	addresses        *immutable.Map[string, string] // host names by address
	purgeMarks       *immutable.List[PurgeMark]     // in the order of their revisions
	directors        *directorMap
	shards           *[ShardCount]Shard
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

// Host finds a host; nil if there is none of that name.
func (f Fleet) Host(name string) *Host { return get(f.hosts, name) }

// Location finds a location; nil if there is none of that name.
func (f Fleet) Location(name string) *Location { return get(f.locations, name) }

// HostAt finds the host that has an address; nil if there is none.
func (f Fleet) HostAt(address string) *Host {
	if f.addresses == nil {
		return nil
	}
	name, _ := f.addresses.Get(address)
	return f.Host(name)
}

// Len is how many hosts there are.
func (f Fleet) Len() int {
	if f.hosts == nil {
		return 0
	}
	return f.hosts.Len()
}

// Hosts are all hosts by name.
func (f Fleet) Hosts() iter.Seq[*Host] { return values(f.hosts) }

// Locations are all locations by name.
func (f Fleet) Locations() iter.Seq[*Location] { return values(f.locations) }

// HostsInSite are the hosts of one site by name.
func (f Fleet) HostsInSite(site string) iter.Seq[*Host] {
	if f.bySite == nil {
		return values[Host](nil)
	}
	hosts, _ := f.bySite.Get(site)
	return values(hosts)
}

// PurgesAfter are the purges that are still sent and have revisions above one, in order.
func (f Fleet) PurgesAfter(revision int64) []PurgeMark {
	if f.purgeMarks == nil {
		return nil
	}
	var marks []PurgeMark
	for i := f.purgeMarks.Len() - 1; i >= 0 && f.purgeMarks.Get(i).No > revision; i-- {
		marks = append(marks, f.purgeMarks.Get(i))
	}
	slices.Reverse(marks)
	return marks
}

// Apply is the state after an event. The error is that of Check.
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
		f.setHost(e.Host)
	case e.Location != nil:
		f.setLocation(e.Location, e.Removed)
	case e.Rules != nil:
		f.rules = e.Rules
	case e.Purge != nil:
		f.addPurge(PurgeMark{No: e.No, Purge: *e.Purge}, e.AtMS)
	case e.Membership != nil:
		f.applyMembership(*e.Membership, e.No)
	}
	return f, nil
}

// setHost adds or replaces a host, or removes it if it is terminated.
func (f *Fleet) setHost(h *Host) {
	if f.hosts == nil {
		f.hosts = &hostMap{}
		f.bySite = &immutable.Map[string, *hostMap]{}
		f.addresses = &immutable.Map[string, string]{}
	}
	if old := f.Host(h.Name); old != nil {
		f.hosts = f.hosts.Delete(h.Name)
		f.addresses = f.addresses.Delete(old.Address)
		f.changeSite(old.Site, func(hosts *hostMap) *hostMap { return hosts.Delete(h.Name) })
	}
	if h.State == Terminated {
		return
	}
	f.hosts = f.hosts.Set(h.Name, h)
	f.addresses = f.addresses.Set(h.Address, h.Name)
	f.changeSite(h.Site, func(hosts *hostMap) *hostMap { return hosts.Set(h.Name, h) })
}

// changeSite changes the hosts of one site. A site without hosts is not in the map.
func (f *Fleet) changeSite(site string, change func(*hostMap) *hostMap) {
	hosts, _ := f.bySite.Get(site)
	if hosts == nil {
		hosts = &hostMap{}
	}
	hosts = change(hosts)
	if hosts.Len() == 0 {
		f.bySite = f.bySite.Delete(site)
		return
	}
	f.bySite = f.bySite.Set(site, hosts)
}

func (f *Fleet) setLocation(l *Location, removed bool) {
	if f.locations == nil {
		f.locations = &locationMap{}
	}
	if removed {
		f.locations = f.locations.Delete(l.Name)
		return
	}
	f.locations = f.locations.Set(l.Name, l)
}

// addPurge adds a purge and drops those that are no longer sent.
func (f *Fleet) addPurge(p PurgeMark, nowMS int64) {
	if f.purgeMarks == nil {
		f.purgeMarks = immutable.NewList[PurgeMark]()
	}
	marks := f.purgeMarks
	expired := 0
	for expired < marks.Len() && marks.Get(expired).IssuedMS < nowMS-PurgeKeepMS {
		expired++
	}
	if expired > 0 {
		marks = marks.Slice(expired, marks.Len())
	}
	f.purgeMarks = marks.Append(p)
}

// get finds a value in a map that may be nil.
func get[V any](m *immutable.SortedMap[string, *V], name string) *V {
	if m == nil {
		return nil
	}
	v, _ := m.Get(name)
	return v
}

// values are those of a map that may be nil, by key.
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
