package plan

import (
	"stairvane.org/stairvane/internal/fleet"
)

// differ collects the changes that lead from a state to a desired one.
type differ struct {
	state   fleet.ObservedState
	desired fleet.DesiredState
	changes []*change
	removes map[string]*change   // by host
	adds    map[string]*change   // by host
	addsAt  map[string][]*change // of caches, by location
	groups  *groups
}

func newDiffer(state fleet.ObservedState, desired fleet.DesiredState) *differ {
	return &differ{
		state:   state,
		desired: desired,
		removes: map[string]*change{},
		adds:    map[string]*change{},
		addsAt:  map[string][]*change{},
		groups:  newGroups(),
	}
}

// collect finds all changes. Removals come first, for adds may need them; locations come last, for they may need both.
func (d *differ) collect() {
	desired := map[string]*fleet.HostSpec{}
	for i := range d.desired.Hosts {
		desired[d.desired.Hosts[i].Name] = &d.desired.Hosts[i]
	}
	for host := range d.state.Hosts() {
		want := desired[host.Name]
		if want == nil || host.State != fleet.InService || !differsInShareOnly(host.HostSpec, *want) {
			d.removeHost(host)
		}
	}
	for i := range d.desired.Hosts {
		want := &d.desired.Hosts[i]
		if host := d.state.Host(want.Name); host != nil && d.removes[want.Name] == nil {
			d.changeShare(host, want)
		} else {
			d.addHost(want)
		}
	}
	d.collectLocations()
}

// put adds a change to the collected ones.
func (d *differ) put(c *change) *change {
	c.key = c.Thing()
	d.changes = append(d.changes, c)
	return c
}

// differsInShareOnly tells whether a host can become another by a change of its share.
func differsInShareOnly(a, b fleet.HostSpec) bool {
	a.Share, b.Share = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// removeHost drains a host and removes it.
func (d *differ) removeHost(host *fleet.Host) {
	d.groups.add(groupKey(&host.HostSpec))
	var drain *change
	last := *host
	if host.State == fleet.InService {
		draining := *host
		draining.State = fleet.Terminating
		drain = d.put(&change{Step: Step{Kind: Drain, Wait: Drained, Before: host, Host: &draining}, priority: priorityDrain})
		last = draining
	}
	removed := last
	removed.State = fleet.Terminated
	remove := d.put(&change{Step: Step{Kind: Remove, Wait: Notified, Before: &last, Host: &removed}, priority: priorityRemove})
	if drain != nil {
		remove.needs = append(remove.needs, drain)
	}
	d.removes[host.Name] = remove
}

// addHost puts a host in service. Its name and its address must be free first.
func (d *differ) addHost(spec *fleet.HostSpec) {
	d.groups.add(groupKey(spec))
	host := &fleet.Host{HostSpec: *spec, State: fleet.InService, Serving: spec.Share}
	add := d.put(&change{Step: Step{Kind: Add, Wait: Warm, Host: host}, priority: priorityAdd})
	if !spec.NeedsWarmUp() {
		add.Wait = Notified
	}
	d.adds[spec.Name] = add
	if spec.Role == fleet.Cache {
		d.addsAt[spec.Site] = append(d.addsAt[spec.Site], add)
	}
	if remove := d.removes[spec.Name]; remove != nil {
		d.addAfterRemove(add, remove)
	}
	if other := d.state.HostAt(spec.Address); other != nil && other.Name != spec.Name && d.removes[other.Name] != nil {
		d.addAfterRemove(add, d.removes[other.Name])
	}
}

// addAfterRemove has an add wait for the removal of the host that has its name or address.
func (d *differ) addAfterRemove(add, remove *change) {
	add.needs = append(add.needs, remove)
	for _, drain := range remove.needs {
		drain.priority = priorityUnblock
	}
	d.groups.join(groupKey(&add.Host.HostSpec), groupKey(&remove.Host.HostSpec))
}

// changeShare raises or lowers the share of a host.
func (d *differ) changeShare(host *fleet.Host, want *fleet.HostSpec) {
	if host.Share == want.Share && host.Serving == want.Share {
		return
	}
	d.groups.add(groupKey(want))
	after := *host
	after.Share = want.Share
	after.Serving = want.Share
	c := &change{Step: Step{Kind: Raise, Wait: Notified, Before: host, Host: &after}, priority: priorityRaise}
	if want.Share < host.Serving {
		c.Kind = Lower
		c.priority = priorityLower
	}
	d.put(c)
}
