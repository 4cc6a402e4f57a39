package operatorconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/sexpr"
)

// declaration is the place where a host or a location is declared.
type declaration struct {
	node *sexpr.Node
	key  string
}

// resolve builds the desired state from the forms of all files. It validates the state only if there are no errors yet, because
// validation would otherwise report their consequences.
func (r *fleetReader) resolve() {
	declared := map[string]declaration{}
	locations := map[string]*locationForm{}
	for _, l := range r.locations {
		declared[fleet.LocationKey(l.Name)] = declaration{node: l.node, key: l.key}
		locations[l.Name] = l
		r.desired.Locations = append(r.desired.Locations, l.Location)
		for _, pool := range l.pools {
			r.checkPool(l.node, l.key+".pool", pool)
		}
	}
	for _, h := range r.hosts {
		r.inherit(h, 0)
		declared[fleet.HostKey(h.name)] = declaration{node: h.node, key: h.key}
		r.checkComplete(h)
		r.checkAddress(h, locations[h.site])
		r.desired.Hosts = append(r.desired.Hosts, h.spec())
	}
	if len(r.errors) == 0 {
		r.validate(declared)
	}
}

func (h *hostForm) spec() fleet.HostSpec {
	return fleet.HostSpec{
		Name:    h.name,
		Role:    h.role,
		Address: h.address.String(),
		Site:    h.site,
		Class:   h.class,
		Block:   h.block,
		Share:   h.share,
		Running: h.running,
	}
}

// inherit sets the properties that a host or a template does not specify to those of its template. depth is the number of templates
// between it and the host, and limits the recursion if templates form a cycle.
func (r *fleetReader) inherit(h *hostForm, depth int) {
	if h.template == "" {
		return
	}
	t := r.templates[h.template]
	if t == nil {
		r.reportUnknown(h.node, h.key+".like", "template", h.template, slices.Sorted(maps.Keys(r.templates)))
		h.template = ""
		h.hasUnknownTemplate = true
		return
	}
	if depth > len(r.templates) {
		r.report(h.node, h.key+".like", "template %s inherits from itself", h.template)
		h.template = ""
		t.template = ""
		return
	}
	r.inherit(t, depth+1)
	h.template = ""
	h.hasUnknownTemplate = t.hasUnknownTemplate
	h.class = orDefault(h.class, t.class)
	h.site = orDefault(h.site, t.site)
	h.pool = orDefault(h.pool, t.pool)
	h.running = h.running || t.running
	if !h.hasShare {
		h.share = t.share
		h.hasShare = t.hasShare
	}
	if !h.hasBlock {
		h.block = t.block
		h.hasBlock = t.hasBlock
	}
}

func orDefault(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}

// checkComplete reports the required properties that neither a host nor its template specifies.
func (r *fleetReader) checkComplete(h *hostForm) {
	if h.hasUnknownTemplate {
		return
	}
	for _, property := range []struct {
		key     string
		missing bool
	}{{"class", h.class == ""}, {"site", h.site == ""}, {"share", !h.hasShare}} {
		if property.missing {
			r.report(h.node, h.key+"."+property.key, "missing, and no template specifies it")
		}
	}
}

// checkAddress reports an address that is outside the host's pool or, for a cache without a pool, outside all pools of its location.
// location may be nil.
func (r *fleetReader) checkAddress(h *hostForm, location *locationForm) {
	var pools []string
	if h.pool != "" {
		if r.checkPool(h.node, h.key+".pool", h.pool) {
			pools = []string{h.pool}
		}
	} else if location != nil && h.role == fleet.Cache {
		pools = location.pools
	}
	if len(pools) == 0 || !h.address.IsValid() {
		return
	}
	contains := func(pool string) bool {
		return r.pools[pool] != nil && r.pools[pool].Contains(h.address.Addr().Unmap())
	}
	if !slices.ContainsFunc(pools, contains) {
		r.report(h.node, h.key+".at", "address %v is not in pool %s", h.address.Addr(), strings.Join(pools, " or "))
	}
}

// checkPool reports an error if no file declares the pool, and returns whether one does.
func (r *fleetReader) checkPool(n *sexpr.Node, key, name string) (declared bool) {
	if r.pools[name] != nil {
		return true
	}
	r.reportUnknown(n, key, "pool", name, slices.Sorted(maps.Keys(r.pools)))
	return false
}

// validate reports the validation errors of the desired state at the declarations of the hosts and locations that they concern.
func (r *fleetReader) validate(declared map[string]declaration) {
	for _, invalid := range r.desired.Validate() {
		at, found := declared[invalid.Resource]
		if !found {
			panic(fmt.Sprintf("operatorconfig: a validation error of %s, which no file declares", invalid.Resource))
		}
		key := at.key
		if invalid.Key != "" {
			key += "." + invalid.Key
		}
		r.report(at.node, key, "%s", invalid.Message)
	}
}
