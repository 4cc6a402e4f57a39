package operatorconfig

import (
	"math"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/sexpr"
)

// hostForm is the form of a host, or of a template.
type hostForm struct {
	node     *sexpr.Node
	key      string
	name     string
	role     fleet.Role // of a host
	address  netip.AddrPort
	template string // that it inherits from; empty: none, or inherited already
	site     string
	class    string
	pool     string
	share    float64
	hasShare bool
	block    int
	hasBlock bool
	running  bool
	// hasUnknownTemplate tells that the template is not known. What the host lacks is then no error of its own.
	hasUnknownTemplate bool
}

// locationForm is the form of a location.
type locationForm struct {
	node  *sexpr.Node
	key   string
	pools []string
	fleet.Location
}

const maxNameLength = 64

// isValidName tells whether a text is 1 to 64 letters, digits, dots, dashes and underscores.
func isValidName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= maxNameLength
}

// named reads the name that follows the first word of a form.
func (r *fleetReader) named(n *sexpr.Node, args []*sexpr.Node, key string) (name string, rest []*sexpr.Node, ok bool) {
	if len(args) == 0 {
		r.report(n, key, "a name is wanted after %s", key)
		return "", nil, false
	}
	name, ok = args[0].Text()
	if !ok || !isValidName(name) {
		r.report(args[0], key, "a name of 1 to %d letters, digits, dots, dashes and underscores is wanted after %s", maxNameLength, key)
		return "", nil, false
	}
	return name, args[1:], true
}

// pool reads the networks in which hosts must have their addresses.
func (r *fleetReader) pool(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
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

// body reads what a host or a template says. more are forms that only one of both has.
func (r *fleetReader) body(h *hostForm, args []*sexpr.Node, more ...form) {
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
				r.report(n, key, "nothing follows it: the box runs, warm, before it is added")
			}
		}},
		{name: "block", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			h.hasBlock = true
			block(n, args, key)
		}},
	}, more...))
}

func (r *fleetReader) template(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
	if !ok {
		return
	}
	t := &hostForm{node: n, key: key + " " + name, name: name}
	r.body(t, rest)
	if r.templates[name] != nil {
		r.report(n, t.key, "declared twice; first on line %d", r.templates[name].node.Pos.Line)
		return
	}
	r.templates[name] = t
}

// host reads a host; nil if it has no valid name.
func (r *fleetReader) host(role fleet.Role, n *sexpr.Node, args []*sexpr.Node, key string) *hostForm {
	word := key[strings.LastIndexByte(key, '.')+1:]
	name, rest, ok := r.named(n, args, word)
	if !ok {
		return nil
	}
	h := &hostForm{node: n, key: key + " " + name, name: name, role: role}
	r.body(h, rest, form{name: "at", need: true, read: r.address(&h.address)})
	r.hosts = append(r.hosts, h)
	return h
}

// source reads a parent or an origin.
func (r *fleetReader) source(role fleet.Role) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) { r.host(role, n, args, key) }
}

func (r *fleetReader) location(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
	if !ok {
		return
	}
	l := &locationForm{node: n, key: key + " " + name}
	l.Name = name
	l.Load = math.NaN() // not given
	var caches []*hostForm
	r.forms(n, l.key+".", rest, []form{
		{name: "floor", read: r.number(&l.Floor, 0, maxShare)},
		{name: "load", read: r.number(&l.Load, 0, maxShare)},
		{name: "sources", read: r.words(&l.Sources)},
		{name: "pool", many: true, read: r.words(&l.pools)},
		{name: "cache", many: true, read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			if cache := r.host(fleet.Cache, n, args, key); cache != nil {
				caches = append(caches, cache)
			}
		}},
	})
	if math.IsNaN(l.Load) {
		l.Load = l.Floor
	}
	for _, cache := range caches {
		if cache.site != "" && cache.site != name {
			r.report(cache.node, cache.key+".site", "a cache's site is its location, %s", name)
		}
		cache.site = name
	}
	r.locations = append(r.locations, l)
}
