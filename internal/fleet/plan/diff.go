package plan

import (
	"stairvane.org/stairvane/internal/fleet"
)

// differ collects the changes that lead from the observed state to the desired state.
type differ struct {
	state   fleet.ObservedState
	desired fleet.DesiredState
	changes []*change
	removes map[string]*change   // by host name
	adds    map[string]*change   // by host name
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

// collectChanges collects all changes: removals first, since adds may depend on them, and locations last, since they may depend on both.
func (d *differ) collectChanges() {
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

// addChange sets the key of a change and appends it to the collected changes.
func (d *differ) addChange(c *change) *change {
	c.key = c.Target()
	d.changes = append(d.changes, c)
	return c
}

// differsInShareOnly reports whether a change of the share is enough to turn one host into the other. It ignores Running.
func differsInShareOnly(a, b fleet.HostSpec) bool {
	a.Share, b.Share = 0, 0
	a.Running, b.Running = false, false
	return a == b
}

// removeHost adds the changes that drain and remove a host. A host that is already draining is only removed.
func (d *differ) removeHost(host *fleet.Host) {
	d.groups.add(groupKey(&host.HostSpec))
	var drain *change
	last := *host
	if host.State == fleet.InService {
		draining := *host
		draining.State = fleet.Terminating
		drain = d.addChange(&change{Step: Step{Kind: Drain, Wait: Drained, Before: host, Host: &draining}, priority: priorityDrain})
		last = draining
	}
	removed := last
	removed.State = fleet.Terminated
	remove := d.addChange(&change{Step: Step{Kind: Remove, Wait: Notified, Before: &last, Host: &removed}, priority: priorityRemove})
	if drain != nil {
		remove.dependencies = append(remove.dependencies, drain)
	}
	d.removes[host.Name] = remove
}

// addHost adds the change that puts a host in service. It depends on the removal of any host that has its name or address.
func (d *differ) addHost(spec *fleet.HostSpec) {
	d.groups.add(groupKey(spec))
	host := &fleet.Host{HostSpec: *spec, State: fleet.InService, Serving: spec.Share}
	add := d.addChange(&change{Step: Step{Kind: Add, Wait: Warm, Host: host}, priority: priorityAdd})
	if !spec.NeedsWarmUp() {
		add.Wait = Notified
	}
	d.adds[spec.Name] = add
	if spec.Role == fleet.Cache {
		d.addsAt[spec.Site] = append(d.addsAt[spec.Site], add)
	}
	if remove := d.removes[spec.Name]; remove != nil {
		d.orderAddAfterRemove(add, remove)
	}
	if other := d.state.HostAt(spec.Address); other != nil && other.Name != spec.Name && d.removes[other.Name] != nil {
		d.orderAddAfterRemove(add, d.removes[other.Name])
	}
}

// orderAddAfterRemove makes an add depend on the removal of the host that has its name or address.
func (d *differ) orderAddAfterRemove(add, remove *change) {
	add.dependencies = append(add.dependencies, remove)
	for _, drain := range remove.dependencies {
		drain.priority = priorityUnblock
	}
	d.groups.join(groupKey(&add.Host.HostSpec), groupKey(&remove.Host.HostSpec))
}

// changeShare adds the change that raises or lowers the share of a host.
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
	d.addChange(c)
}
