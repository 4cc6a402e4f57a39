package operatorconfig

import (
	"math"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/sexpr"
)

// hostForm holds the values of the form of a host or a template.
type hostForm struct {
	node     *sexpr.Node
	key      string
	name     string
	role     fleet.Role // only of a host
	address  netip.AddrPort
	template string // the template to inherit from; empty: none, or already inherited
	site     string
	class    string
	pool     string
	share    float64
	hasShare bool
	block    int
	hasBlock bool
	running  bool
	// hasUnknownTemplate reports whether the template is unknown. Missing properties are then not reported separately.
	hasUnknownTemplate bool
}

// locationForm holds the values of the form of a location.
type locationForm struct {
	node  *sexpr.Node
	key   string
	pools []string
	fleet.Location
}

const maxNameLength = 64

// isValidName reports whether a string consists of 1 to 64 letters, digits, dots, dashes and underscores.
func isValidName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= maxNameLength
}

// readName reads the name that follows the keyword of a form, and returns it with the remaining arguments.
func (r *fleetReader) readName(n *sexpr.Node, args []*sexpr.Node, key string) (name string, rest []*sexpr.Node, ok bool) {
	if len(args) == 0 {
		r.report(n, key, "a name is required after %s", key)
		return "", nil, false
	}
	name, ok = args[0].Text()
	if !ok || !isValidName(name) {
		r.report(args[0], key, "a name of 1 to %d letters, digits, dots, dashes and underscores is required after %s", maxNameLength, key)
		return "", nil, false
	}
	return name, args[1:], true
}

// readPool reads a pool: the networks that contain the addresses of its hosts.
func (r *fleetReader) readPool(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.readName(n, args, key)
	if !ok {
		return
	}
	if r.pools[name] != nil {
		r.report(n, key+" "+name, "declared twice")
		return
	}
	var table *bart.Lite
	r.networks(&table)(n, rest, key+" "+name)
	r.pools[name] = table
}

// readBody reads the forms inside a host or a template. more are the forms that only one of the two has.
func (r *fleetReader) readBody(h *hostForm, args []*sexpr.Node, more ...form) {
	share := r.number(&h.share, 0.001, maxShare)
	block := r.integer(&h.block, 0, maxBlock)
	r.forms(h.node, h.key+".", args, append([]form{
		{name: "like", read: r.text(&h.template)},
		{name: "class", read: r.text(&h.class)},
		{name: "site", read: r.text(&h.site)},
		{name: "pool", read: r.text(&h.pool)},
		{name: "share", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			h.hasShare = true
			share(n, args, key)
		}},
		{name: "running", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			h.running = true
			if len(args) > 0 {
				r.report(n, key, "it takes no value: it declares that the host is running and warmed up before it is added")
			}
		}},
		{name: "block", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			h.hasBlock = true
			block(n, args, key)
		}},
	}, more...))
}

func (r *fleetReader) readTemplate(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.readName(n, args, key)
	if !ok {
		return
	}
	t := &hostForm{node: n, key: key + " " + name, name: name}
	r.readBody(t, rest)
	if r.templates[name] != nil {
		r.report(n, t.key, "declared twice; first on line %d", r.templates[name].node.Pos.Line)
		return
	}
	r.templates[name] = t
}

// readHost reads a host and appends it. It returns nil if the host has no valid name.
func (r *fleetReader) readHost(role fleet.Role, n *sexpr.Node, args []*sexpr.Node, key string) *hostForm {
	word := key[strings.LastIndexByte(key, '.')+1:]
	name, rest, ok := r.readName(n, args, word)
	if !ok {
		return nil
	}
	h := &hostForm{node: n, key: key + " " + name, name: name, role: role}
	r.readBody(h, rest, form{name: "at", required: true, read: r.address(&h.address)})
	r.hosts = append(r.hosts, h)
	return h
}

// source returns a reader of a parent cache or an origin.
func (r *fleetReader) source(role fleet.Role) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) { r.readHost(role, n, args, key) }
}

func (r *fleetReader) readLocation(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.readName(n, args, key)
	if !ok {
		return
	}
	l := &locationForm{node: n, key: key + " " + name}
	l.Name = name
	l.Load = math.NaN() // marks the load as not given
	var caches []*hostForm
	r.forms(n, l.key+".", rest, []form{
		{name: "floor", read: r.number(&l.Floor, 0, maxShare)},
		{name: "load", read: r.number(&l.Load, 0, maxShare)},
		{name: "sources", read: r.words(&l.Sources)},
		{name: "pool", repeatable: true, read: r.words(&l.pools)},
		{name: "cache", repeatable: true, read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			if cache := r.readHost(fleet.Cache, n, args, key); cache != nil {
				caches = append(caches, cache)
			}
		}},
	})
	if math.IsNaN(l.Load) {
		l.Load = l.Floor
	}
	for _, cache := range caches {
		if cache.site != "" && cache.site != name {
			r.report(cache.node, cache.key+".site", "the site of a cache must be its location, %s", name)
		}
		cache.site = name
	}
	r.locations = append(r.locations, l)
}
