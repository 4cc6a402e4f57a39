package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// collectLocations collects the changes that declare, change and remove locations.
func (d *differ) collectLocations() {
	desired := map[string]bool{}
	for _, want := range d.desired.Locations {
		desired[want.Name] = true
		current := d.state.Location(want.Name)
		if current != nil && current.Floor == want.Floor && current.Load == want.Load && slices.Equal(current.Sources, want.Sources) {
			continue
		}
		d.groups.add(fleet.LocationKey(want.Name))
		if current == nil {
			d.declareLocation(want)
		} else {
			d.changeLocation(current, want)
		}
	}
	for current := range d.state.Locations() {
		if !desired[current.Name] {
			d.removeLocation(current)
		}
	}
}

// newLocateChange returns the change that declares a location, or changes its floor and load. before is nil for a new location.
func newLocateChange(before, after *fleet.Location) *change {
	return &change{Step: Step{Kind: Locate, Wait: Notified, WasAt: before, Location: after}, priority: priorityLocate}
}

// withoutLoad returns the location without floor and load: declared, but not open yet.
func withoutLoad(l fleet.Location) *fleet.Location {
	l.Floor = 0
	l.Load = 0
	return &l
}

// declareLocation adds the changes that declare a new location. Its floor and load are set after all its caches have warmed up, since no
// client is sent there before.
func (d *differ) declareLocation(want fleet.Location) {
	closed := withoutLoad(want)
	declare := d.addChange(newLocateChange(nil, closed))
	open := newLocateChange(closed, &want)
	open.dependencies = append(open.dependencies, declare)
	for _, add := range d.addsAt[want.Name] {
		add.dependencies = append(add.dependencies, declare)
		open.dependencies = append(open.dependencies, add)
	}
	if want.Floor != 0 || want.Load != 0 {
		d.addChange(open)
	}
}

// removeLocation adds the changes that remove a location after its caches have been removed.
func (d *differ) removeLocation(current *fleet.Location) {
	d.groups.add(fleet.LocationKey(current.Name))
	closed := withoutLoad(*current)
	forget := &change{Step: Step{Kind: Forget, Wait: Notified, WasAt: closed, Location: closed}, priority: priorityForget}
	if current.Floor != 0 || current.Load != 0 {
		forget.dependencies = append(forget.dependencies, d.addChange(newLocateChange(current, closed)))
	}
	for host := range d.state.HostsInSite(current.Name) {
		if remove := d.removes[host.Name]; remove != nil && host.Role == fleet.Cache {
			forget.dependencies = append(forget.dependencies, remove)
		}
	}
	d.addChange(forget)
}

// changeLocation adds the changes of a location, at most three. The floor and load change first. Then new sources are added to its list,
// after their hosts were added, and finally old sources are removed from it, before their hosts are removed.
func (d *differ) changeLocation(current *fleet.Location, want fleet.Location) {
	chain := &locationChain{differ: d, last: current}
	if current.Floor != want.Floor || current.Load != want.Load {
		chain.addChange(Locate, priorityLocate, func(l *fleet.Location) {
			l.Floor = want.Floor
			l.Load = want.Load
		})
	}
	union := slices.Clone(want.Sources)
	for _, source := range current.Sources {
		if !slices.Contains(union, source) {
			union = append(union, source)
		}
	}
	if len(union) > len(current.Sources) {
		widen := chain.addChange(Widen, priorityWiden, func(l *fleet.Location) { l.Sources = union })
		widen.dependencies = append(d.addsOfSources(union, current.Sources), widen.dependencies...)
	}
	if !slices.Equal(chain.last.Sources, want.Sources) {
		chain.addChange(Narrow, priorityNarrow, func(l *fleet.Location) { l.Sources = want.Sources })
	}
}

// addsOfSources returns the changes that add the hosts of sources, except of those in present.
func (d *differ) addsOfSources(sources, present []string) (adds []*change) {
	for _, source := range sources {
		if add := d.adds[source]; add != nil && !slices.Contains(present, source) {
			adds = append(adds, add)
		}
	}
	return adds
}

// locationChain adds changes of one location, each of which depends on the previous one.
type locationChain struct {
	differ   *differ
	last     *fleet.Location // the location after the changes so far
	previous *change
}

func (c *locationChain) addChange(kind Kind, priority int, modify func(*fleet.Location)) *change {
	next := *c.last
	modify(&next)
	added := c.differ.addChange(&change{Step: Step{Kind: kind, Wait: Notified, WasAt: c.last, Location: &next}, priority: priority})
	if c.previous != nil {
		added.dependencies = append(added.dependencies, c.previous)
	}
	c.previous = added
	c.last = &next
	return added
}
