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

// Fleet is the declared state after the event numbered Revision. It is an immutable value: Apply returns a new Fleet and leaves its
// receiver unchanged. The zero Fleet is empty.
type Fleet struct {
	Revision         int64
	EndpointRevision int64 // of the last event that counts as a new version of the endpoint list
	rules            *Rules
	hosts            *hostMap // by name
	locations        *locationMap
	bySite           *immutable.Map[string, *hostMap]
	addresses        *immutable.Map[string, string] // host names by address
	purgeMarks       *immutable.List[PurgeMark]     // in the order of their revisions
	directors        *directorMap
	shards           *[ShardCount]Shard
}

// Rules returns the rules in force: DefaultRules until an event sets others.
func (f Fleet) Rules() Rules {
	if f.rules == nil {
		return DefaultRules()
	}
	return *f.rules
}

// WithRules returns a copy of the fleet with the given rules.
func (f Fleet) WithRules(r Rules) Fleet {
	f.rules = &r
	return f
}

// Host returns the host with a name, or nil if there is none.
func (f Fleet) Host(name string) *Host { return get(f.hosts, name) }

// Location returns the location with a name, or nil if there is none.
func (f Fleet) Location(name string) *Location { return get(f.locations, name) }

// HostAt returns the host with an address, or nil if there is none.
func (f Fleet) HostAt(address string) *Host {
	if f.addresses == nil {
		return nil
	}
	name, _ := f.addresses.Get(address)
	return f.Host(name)
}

// Len returns the number of hosts.
func (f Fleet) Len() int {
	if f.hosts == nil {
		return 0
	}
	return f.hosts.Len()
}

// Hosts returns all hosts, sorted by name.
func (f Fleet) Hosts() iter.Seq[*Host] { return sortedValues(f.hosts) }

// Locations returns all locations, sorted by name.
func (f Fleet) Locations() iter.Seq[*Location] { return sortedValues(f.locations) }

// HostsInSite returns the hosts of one site, sorted by name.
func (f Fleet) HostsInSite(site string) iter.Seq[*Host] {
	if f.bySite == nil {
		return sortedValues[Host](nil)
	}
	hosts, _ := f.bySite.Get(site)
	return sortedValues(hosts)
}

// PurgesAfter returns the retained purges with revisions above the given one, in the order of their revisions.
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

// Apply returns the fleet after an event. The error is that of Check.
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

// setHost adds or replaces a host, or removes it if its state is Terminated.
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

// changeSite replaces the host map of one site by the result of change. A site without hosts is removed from the map of sites.
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

// addPurge appends a purge and removes those that have expired.
func (f *Fleet) addPurge(p PurgeMark, nowMS int64) {
	if f.purgeMarks == nil {
		f.purgeMarks = immutable.NewList[PurgeMark]()
	}
	marks := f.purgeMarks
	expired := 0
	for expired < marks.Len() && marks.Get(expired).IssuedMS < nowMS-PurgeRetentionMS {
		expired++
	}
	if expired > 0 {
		marks = marks.Slice(expired, marks.Len())
	}
	f.purgeMarks = marks.Append(p)
}

// get returns a value from a map that may be nil.
func get[V any](m *immutable.SortedMap[string, *V], name string) *V {
	if m == nil {
		return nil
	}
	v, _ := m.Get(name)
	return v
}

// sortedValues returns the values of a map that may be nil, sorted by key.
func sortedValues[V any](m *immutable.SortedMap[string, *V]) iter.Seq[*V] {
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
