package plan

import (
	"slices"

	"stairvane.org/stairvane/internal/fleet"
)

// change is a step that is not placed yet.
type change struct {
	Step
	key   string    // of the thing that it changes
	needs []*change // must be done before it may begin
	done  bool
	frees []*change // those that need it
	waits int       // needs that are not done
	urge  int       // changes with less go first
	fresh bool      // the box was added by this plan
}

// The order in which changes are tried: what gives room goes before what takes it, and what others wait for before what
// nobody waits for.
const (
	urgeLocate = iota
	urgeRaise
	urgeAdd
	urgeWiden
	urgeRemove
	urgeNarrow
	urgeUnblock // a drain that an add waits for
	urgeLower
	urgeDrain
	urgeForget
)

// differ collects the changes that make a wish of a world.
type differ struct {
	world   fleet.ObservedState
	wish    fleet.DesiredState
	changes []*change
	removes map[string]*change // by box
	adds    map[string]*change
	addsAt  map[string][]*change // of caches, by location
	nodes   *groups
}

func (d *differ) put(c *change) *change {
	c.key = c.Thing()
	d.changes = append(d.changes, c)
	return c
}

func (d *differ) run() {
	d.removes, d.adds, d.addsAt = map[string]*change{}, map[string]*change{}, map[string][]*change{}
	wished := map[string]*fleet.HostSpec{}
	for i := range d.wish.Hosts {
		wished[d.wish.Hosts[i].Name] = &d.wish.Hosts[i]
	}
	for m := range d.world.Hosts() {
		d.leave(m, wished[m.Name])
	}
	for i := range d.wish.Hosts {
		d.enter(&d.wish.Hosts[i])
	}
	d.locations()
}

// home is the group node of a box: its location, or itself where it serves several.
func home(b *fleet.HostSpec) string {
	if b.Role == fleet.Cache {
		return fleet.LocationKey(b.Site)
	}
	return fleet.HostKey(b.Name)
}

// leave drains and removes a box that is not wished, or not as it is.
func (d *differ) leave(m *fleet.Host, want *fleet.HostSpec) {
	if want != nil && m.State == fleet.InService && sameBox(m.HostSpec, *want) {
		return
	}
	d.nodes.join(home(&m.HostSpec), home(&m.HostSpec))
	var before *change
	gone := *m
	if m.State == fleet.InService {
		draining := *m
		draining.State = fleet.Terminating
		before = d.put(&change{Step: Step{Kind: Drain, Wait: Drained, Before: m, Host: &draining}, urge: urgeDrain})
		gone = draining
	}
	was := gone
	gone.State = fleet.Terminated
	remove := d.put(&change{Step: Step{Kind: Remove, Wait: Notified, Before: &was, Host: &gone}, urge: urgeRemove})
	if before != nil {
		remove.needs = append(remove.needs, before)
	}
	d.removes[m.Name] = remove
}

func sameBox(a, b fleet.HostSpec) bool {
	a.Share, b.Share = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// enter adds a wished box, or changes its share.
func (d *differ) enter(b *fleet.HostSpec) {
	m := d.world.Host(b.Name)
	if m != nil && d.removes[b.Name] == nil {
		d.share(m, b)
		return
	}
	d.nodes.join(home(b), home(b))
	c := d.put(&change{Step: Step{Kind: Add, Wait: Warm, Host: &fleet.Host{HostSpec: *b, State: fleet.InService, Serving: b.Share}}, urge: urgeAdd})
	if !b.NeedsWarmUp() {
		c.Wait = Notified
	}
	d.adds[b.Name] = c
	if b.Role == fleet.Cache {
		d.addsAt[b.Site] = append(d.addsAt[b.Site], c)
	}
	if r := d.removes[b.Name]; r != nil { // the same name again
		d.follow(c, r)
	}
	if other := d.world.HostAt(b.Address); other != nil && other.Name != b.Name && d.removes[other.Name] != nil {
		d.follow(c, d.removes[other.Name])
	}
}

// follow has an add wait for the removal of what has its name or address.
func (d *differ) follow(add, remove *change) {
	add.needs = append(add.needs, remove)
	for _, drain := range remove.needs {
		drain.urge = urgeUnblock
	}
	d.nodes.join(home(&add.Host.HostSpec), home(&remove.Host.HostSpec))
}

func (d *differ) share(m *fleet.Host, b *fleet.HostSpec) {
	if m.Share == b.Share && m.Serving == b.Share {
		return
	}
	d.nodes.join(home(b), home(b))
	to := *m
	to.Share, to.Serving = b.Share, b.Share
	c := &change{Step: Step{Kind: Raise, Wait: Notified, Before: m, Host: &to}, urge: urgeRaise}
	if b.Share < m.Serving {
		c.Kind, c.urge = Lower, urgeLower
	}
	d.put(c)
}

// locations declares, changes and gives up locations. What they must keep changes first; sources are widened once the
// new ones are there, and narrowed before the old ones leave.
func (d *differ) locations() {
	wished := map[string]bool{}
	for i := range d.wish.Locations {
		to := d.wish.Locations[i]
		wished[to.Name] = true
		at := d.world.Location(to.Name)
		if at != nil && at.Floor == to.Floor && at.Load == to.Load && slices.Equal(at.Sources, to.Sources) {
			continue
		}
		d.nodes.join(fleet.LocationKey(to.Name), fleet.LocationKey(to.Name))
		if at == nil {
			d.found(to)
			continue
		}
		d.relocate(at, to)
	}
	for l := range d.world.Locations() {
		if wished[l.Name] {
			continue
		}
		d.nodes.join(fleet.LocationKey(l.Name), fleet.LocationKey(l.Name))
		bare := *l
		bare.Floor, bare.Load = 0, 0
		forget := &change{Step: Step{Kind: Forget, Wait: Notified, WasAt: &bare, Location: &bare}, urge: urgeForget}
		if l.Floor != 0 || l.Load != 0 {
			forget.needs = append(forget.needs, d.put(&change{Step: Step{Kind: Locate, Wait: Notified, WasAt: l, Location: &bare}, urge: urgeLocate}))
		}
		for m := range d.world.InSite(l.Name) {
			if r := d.removes[m.Name]; r != nil && m.Role == fleet.Cache {
				forget.needs = append(forget.needs, r)
			}
		}
		d.put(forget)
	}
}

// found declares a new location. It has no load until all its boxes are warm, for no client is sent there before.
func (d *differ) found(to fleet.Location) {
	bare := to
	bare.Floor, bare.Load = 0, 0
	first := d.put(&change{Step: Step{Kind: Locate, Wait: Notified, Location: &bare}, urge: urgeLocate})
	open := &change{Step: Step{Kind: Locate, Wait: Notified, WasAt: &bare, Location: &to}, urge: urgeLocate, needs: []*change{first}}
	for _, add := range d.addsAt[to.Name] {
		add.needs = append(add.needs, first)
		open.needs = append(open.needs, add)
	}
	if to.Floor != 0 || to.Load != 0 {
		d.put(open)
	}
}

func (d *differ) relocate(at *fleet.Location, to fleet.Location) {
	was, now := at, *at
	var last *change
	step := func(kind Kind, urge int, alter func(*fleet.Location), needs ...*change) {
		alter(&now)
		next := now
		c := d.put(&change{Step: Step{Kind: kind, Wait: Notified, WasAt: was, Location: &next}, urge: urge, needs: needs})
		if last != nil {
			c.needs = append(c.needs, last)
		}
		last, was = c, &next
	}
	if at.Floor != to.Floor || at.Load != to.Load {
		step(Locate, urgeLocate, func(l *fleet.Location) { l.Floor, l.Load = to.Floor, to.Load })
	}
	wide := slices.Clone(to.Sources)
	for _, s := range at.Sources {
		if !slices.Contains(wide, s) {
			wide = append(wide, s)
		}
	}
	if len(wide) > len(at.Sources) {
		var needs []*change
		for _, s := range wide {
			if add := d.adds[s]; add != nil && !slices.Contains(at.Sources, s) {
				needs = append(needs, add)
			}
		}
		step(Widen, urgeWiden, func(l *fleet.Location) { l.Sources = wide }, needs...)
	}
	if !slices.Equal(now.Sources, to.Sources) {
		step(Narrow, urgeNarrow, func(l *fleet.Location) { l.Sources = to.Sources })
	}
}
