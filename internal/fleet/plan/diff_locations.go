package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// collectLocations declares, changes and removes locations.
func (d *differ) collectLocations() {
	desired := map[string]bool{}
	for _, want := range d.desired.Locations {
		desired[want.Name] = true
		is := d.state.Location(want.Name)
		if is != nil && is.Floor == want.Floor && is.Load == want.Load && slices.Equal(is.Sources, want.Sources) {
			continue
		}
		d.groups.add(fleet.LocationKey(want.Name))
		if is == nil {
			d.declareLocation(want)
		} else {
			d.changeLocation(is, want)
		}
	}
	for is := range d.state.Locations() {
		if !desired[is.Name] {
			d.removeLocation(is)
		}
	}
}

// locate is a change of a location's floor and load; nil before it is declared.
func locate(before, after *fleet.Location) *change {
	return &change{Step: Step{Kind: Locate, Wait: Notified, WasAt: before, Location: after}, priority: priorityLocate}
}

// withoutLoad is a location that is declared and not open.
func withoutLoad(l fleet.Location) *fleet.Location {
	l.Floor = 0
	l.Load = 0
	return &l
}

// declareLocation declares a new location. It gets its load after all its caches have warmed up, for no client is sent there before.
func (d *differ) declareLocation(want fleet.Location) {
	closed := withoutLoad(want)
	declare := d.put(locate(nil, closed))
	open := locate(closed, &want)
	open.needs = append(open.needs, declare)
	for _, add := range d.addsAt[want.Name] {
		add.needs = append(add.needs, declare)
		open.needs = append(open.needs, add)
	}
	if want.Floor != 0 || want.Load != 0 {
		d.put(open)
	}
}

// removeLocation removes a location after its caches.
func (d *differ) removeLocation(is *fleet.Location) {
	d.groups.add(fleet.LocationKey(is.Name))
	closed := withoutLoad(*is)
	forget := &change{Step: Step{Kind: Forget, Wait: Notified, WasAt: closed, Location: closed}, priority: priorityForget}
	if is.Floor != 0 || is.Load != 0 {
		forget.needs = append(forget.needs, d.put(locate(is, closed)))
	}
	for host := range d.state.HostsInSite(is.Name) {
		if remove := d.removes[host.Name]; remove != nil && host.Role == fleet.Cache {
			forget.needs = append(forget.needs, remove)
		}
	}
	d.put(forget)
}

// changeLocation changes a location in up to three steps. Its floor and load change first. Its sources are widened after the new ones were
// added, and narrowed before the old ones are removed.
func (d *differ) changeLocation(is *fleet.Location, want fleet.Location) {
	chain := &locationChain{differ: d, last: is}
	if is.Floor != want.Floor || is.Load != want.Load {
		chain.put(Locate, priorityLocate, func(l *fleet.Location) {
			l.Floor = want.Floor
			l.Load = want.Load
		})
	}
	wide := slices.Clone(want.Sources)
	for _, source := range is.Sources {
		if !slices.Contains(wide, source) {
			wide = append(wide, source)
		}
	}
	if len(wide) > len(is.Sources) {
		widen := chain.put(Widen, priorityWiden, func(l *fleet.Location) { l.Sources = wide })
		widen.needs = append(d.addsOf(wide, is.Sources), widen.needs...)
	}
	if !slices.Equal(chain.last.Sources, want.Sources) {
		chain.put(Narrow, priorityNarrow, func(l *fleet.Location) { l.Sources = want.Sources })
	}
}

// addsOf are the changes that add sources, besides those that are sources already.
func (d *differ) addsOf(sources, present []string) (adds []*change) {
	for _, source := range sources {
		if add := d.adds[source]; add != nil && !slices.Contains(present, source) {
			adds = append(adds, add)
		}
	}
	return adds
}

// locationChain puts changes of one location, each of which needs the one before.
type locationChain struct {
	differ   *differ
	last     *fleet.Location // after the changes so far
	previous *change
}

func (c *locationChain) put(kind Kind, priority int, alter func(*fleet.Location)) *change {
	next := *c.last
	alter(&next)
	added := c.differ.put(&change{Step: Step{Kind: kind, Wait: Notified, WasAt: c.last, Location: &next}, priority: priority})
	if c.previous != nil {
		added.needs = append(added.needs, c.previous)
	}
	c.previous = added
	c.last = &next
	return added
}
