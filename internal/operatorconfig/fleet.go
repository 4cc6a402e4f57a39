package operatorconfig

import (
	"fmt"
	"math"
	"net/netip"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/sexpr"
)

// ReadFile gets a file's text; os.ReadFile is one.
type ReadFile func(name string) ([]byte, error)

const (
	maxIncludes = 1000
	maxShare    = 1e9
	longest     = 24 * time.Hour
)

// box is a declared box, or a template: what it says, and where.
type box struct {
	node               *sexpr.Node
	key                string
	name, like         string
	site, class, pool  string
	at                 netip.AddrPort
	share              float64
	block              int
	role               fleet.Role
	hasShare, hasBlock bool
	running            bool
	broken             bool // its template is not known: what it lacks is no fault of its own
}

type location struct {
	node  *sexpr.Node
	key   string
	pools []string
	load  float64
	fleet.Location
}

type fleetReader struct {
	decoder
	read      ReadFile
	included  map[string]bool
	wish      fleet.DesiredState
	pools     map[string]*bart.Lite
	templates map[string]*box
	boxes     []*box
	locations []*location
}

// ReadFleet reads the file of the wished fleet, and what it includes.
func ReadFleet(name string, read ReadFile) (fleet.DesiredState, sexpr.Faults) {
	r := &fleetReader{read: read, included: map[string]bool{}, pools: map[string]*bart.Lite{}, templates: map[string]*box{}}
	r.wish.Rules = fleet.DefaultRules()
	r.file(nil, name)
	r.resolve()
	slices.SortStableFunc(r.faults, func(a, b sexpr.Fault) int {
		if a.File != b.File {
			return strings.Compare(a.File, b.File)
		}
		return a.Line - b.Line
	})
	r.wish.Normalize()
	return r.wish, r.faults
}

// file reads one file; from is the include that names it.
func (r *fleetReader) file(from *sexpr.Node, name string) {
	at := from
	if at == nil {
		at = &sexpr.Node{}
		at.Pos.Filename, at.Pos.Line, at.Pos.Column = name, 1, 1
	}
	switch {
	case r.included[filepath.Clean(name)]:
		r.fault(at, "include", "%s is included twice", name)
		return
	case len(r.included) == maxIncludes:
		r.fault(at, "include", "more than %d files", maxIncludes)
		return
	}
	r.included[filepath.Clean(name)] = true
	text, err := r.read(name)
	if err != nil {
		r.fault(at, "", "can't be read: %v", err)
		return
	}
	tree, faults := sexpr.Parse(name, string(text))
	r.faults = append(r.faults, faults...)
	var items []*sexpr.Node
	for _, n := range tree.Items {
		if n.Comment == nil {
			items = append(items, n)
		}
	}
	r.forms(nil, "", items, []form{
		{name: "include", many: true, read: r.include},
		{name: "rules", read: r.rules},
		{name: "pool", many: true, read: r.pool},
		{name: "template", many: true, read: r.template},
		{name: "origin", many: true, read: r.source(fleet.Origin)},
		{name: "hub", many: true, read: r.source(fleet.Parent)},
		{name: "location", many: true, read: r.location},
	})
}

func (r *fleetReader) include(n *sexpr.Node, args []*sexpr.Node, key string) {
	a := r.one(n, args, key)
	if a == nil {
		return
	}
	if name, ok := r.word(a, key); ok {
		if !path.IsAbs(name) {
			name = filepath.Join(filepath.Dir(n.Pos.Filename), name)
		}
		r.file(a, name)
	}
}

func (r *fleetReader) rules(n *sexpr.Node, args []*sexpr.Node, key string) {
	u := &r.wish.Rules
	cold := func(c *fleet.SlowStart) func(*sexpr.Node, []*sexpr.Node, string) {
		return func(n *sexpr.Node, args []*sexpr.Node, key string) {
			r.forms(n, key+".", args, []form{
				{name: "start", read: r.number(&c.InitialShare, 0.001, 1)},
				{name: "warm", read: r.milliseconds(&c.WarmUpMS, 0, longest)},
				{name: "fall", read: r.number(&c.OverloadFactor, 0.1, 1000)},
			})
		}
	}
	r.forms(n, key+".", args, []form{
		{name: "cold", read: cold(&u.Cache)},
		{name: "cold-hub", read: cold(&u.Parent)},
		{name: "miss", read: r.number(&u.MissShare, 0, 1)},
		{name: "cold-most", read: r.number(&u.MaxWarmingShare, 0, 1)},
		{name: "width", read: r.integer(&u.MaxParallelSteps, 1, 1000)},
		{name: "on-trouble", read: r.choice(&u.OnFault, fleet.Pause, fleet.Revert)},
		{name: "drain-settle", read: r.milliseconds(&u.DrainSettleMS, 0, longest)},
		{name: "told-within", read: r.milliseconds(&u.NotifiedWithinMS, 0, longest)},
		{name: "give-up", read: r.milliseconds(&u.StepTimeoutMS, time.Second, longest)},
	})
}

// named reads the name that follows a form's head.
func (r *fleetReader) named(n *sexpr.Node, args []*sexpr.Node, key string) (name string, rest []*sexpr.Node, ok bool) {
	if len(args) == 0 {
		r.fault(n, key, "a name is wanted after %s", key)
		return "", nil, false
	}
	name, ok = args[0].Text()
	if !ok || !goodName(name) {
		r.fault(args[0], key, "a name of 1 to 64 letters, digits, dots, dashes and underscores is wanted after %s", key)
		return "", nil, false
	}
	return name, args[1:], true
}

func goodName(s string) bool {
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= 64
}

func (r *fleetReader) pool(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
	if !ok {
		return
	}
	if r.pools[name] != nil {
		r.fault(n, key+" "+name, "declared twice")
		return
	}
	t := &bart.Lite{}
	for _, p := range r.prefixes(rest, key+" "+name) {
		t.Insert(p)
	}
	r.pools[name] = t
}

// body reads what a box or a template says.
func (r *fleetReader) body(b *box, args []*sexpr.Node, more ...form) {
	share := r.number(&b.share, 0.001, maxShare)
	block := r.integer(&b.block, 0, 1<<30)
	r.forms(b.node, b.key+".", args, append([]form{
		{name: "like", read: r.text(&b.like)},
		{name: "class", read: r.text(&b.class)},
		{name: "site", read: r.text(&b.site)},
		{name: "pool", read: r.text(&b.pool)},
		{name: "share", read: func(n *sexpr.Node, args []*sexpr.Node, key string) { b.hasShare = true; share(n, args, key) }},
		{name: "running", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			if b.running = true; len(args) > 0 {
				r.fault(n, key, "nothing follows it: the box runs, warm, before it is added")
			}
		}},
		{name: "block", read: func(n *sexpr.Node, args []*sexpr.Node, key string) { b.hasBlock = true; block(n, args, key) }},
	}, more...))
}

func (r *fleetReader) template(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
	if !ok {
		return
	}
	b := &box{node: n, key: key + " " + name, name: name}
	r.body(b, rest)
	if r.templates[name] != nil {
		r.fault(n, b.key, "declared twice; first on line %d", r.templates[name].node.Pos.Line)
		return
	}
	r.templates[name] = b
}

func (r *fleetReader) box(role fleet.Role, n *sexpr.Node, args []*sexpr.Node, key string) *box {
	name, rest, ok := r.named(n, args, key[strings.LastIndexByte(key, '.')+1:])
	if !ok {
		return nil
	}
	b := &box{node: n, key: key + " " + name, name: name, role: role}
	r.body(b, rest, form{name: "at", need: true, read: r.address(&b.at)})
	r.boxes = append(r.boxes, b)
	return b
}

func (r *fleetReader) source(role fleet.Role) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) { r.box(role, n, args, key) }
}

func (r *fleetReader) location(n *sexpr.Node, args []*sexpr.Node, key string) {
	name, rest, ok := r.named(n, args, key)
	if !ok {
		return
	}
	l := &location{node: n, key: key + " " + name, load: math.NaN()}
	l.Name = name
	var caches []*box
	r.forms(n, l.key+".", rest, []form{
		{name: "floor", read: r.number(&l.Floor, 0, maxShare)},
		{name: "load", read: r.number(&l.load, 0, maxShare)},
		{name: "sources", read: r.words(&l.Sources)},
		{name: "pool", many: true, read: r.words(&l.pools)},
		{name: "cache", many: true, read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			if b := r.box(fleet.Cache, n, args, key); b != nil {
				caches = append(caches, b)
			}
		}},
	})
	if l.Load = l.load; math.IsNaN(l.load) { // clients ask for what must stay in service, as far as anybody says
		l.Load = l.Floor
	}
	for _, b := range caches {
		if b.site != "" && b.site != name {
			r.fault(b.node, b.key+".site", "a cache's site is its location, %s", name)
		}
		b.site = name
	}
	r.locations = append(r.locations, l)
}

// inherit fills in what a box or a template leaves to the template that it names.
func (r *fleetReader) inherit(b *box, depth int) {
	if b.like == "" {
		return
	}
	t := r.templates[b.like]
	if t == nil {
		names := make([]string, 0, len(r.templates))
		for name := range r.templates {
			names = append(names, name)
		}
		slices.Sort(names)
		r.unknown(b.node, b.key+".like", "template", b.like, names)
		b.like, b.broken = "", true
		return
	}
	if depth > len(r.templates) {
		r.fault(b.node, b.key+".like", "template %s is like itself", b.like)
		b.like, t.like = "", ""
		return
	}
	r.inherit(t, depth+1)
	b.like, b.broken = "", t.broken
	if b.class == "" {
		b.class = t.class
	}
	if b.site == "" {
		b.site = t.site
	}
	if b.pool == "" {
		b.pool = t.pool
	}
	b.running = b.running || t.running
	if !b.hasShare {
		b.share, b.hasShare = t.share, t.hasShare
	}
	if !b.hasBlock {
		b.block, b.hasBlock = t.block, t.hasBlock
	}
}

// resolve makes the wish of what all files say together.
func (r *fleetReader) resolve() {
	places := map[string]*sexpr.Node{}
	keys := map[string]string{}
	declared := map[string]*location{}
	for _, l := range r.locations {
		places[fleet.LocationKey(l.Name)], keys[fleet.LocationKey(l.Name)] = l.node, l.key
		declared[l.Name] = l
		r.wish.Locations = append(r.wish.Locations, l.Location)
		for _, p := range l.pools {
			r.knownPool(l.node, l.key+".pool", p)
		}
	}
	for _, b := range r.boxes {
		r.inherit(b, 0)
		places[fleet.HostKey(b.name)], keys[fleet.HostKey(b.name)] = b.node, b.key
		for _, missing := range []struct {
			key string
			is  bool
		}{{"class", b.class == ""}, {"site", b.site == ""}, {"share", !b.hasShare}} {
			if missing.is && !b.broken {
				r.fault(b.node, b.key+"."+missing.key, "missing, and no template gives it")
			}
		}
		pools := []string{}
		if b.pool != "" {
			if r.knownPool(b.node, b.key+".pool", b.pool) {
				pools = append(pools, b.pool)
			}
		} else if l := declared[b.site]; l != nil && b.role == fleet.Cache {
			pools = l.pools
		}
		if len(pools) > 0 && b.at.IsValid() && !slices.ContainsFunc(pools, func(p string) bool { return r.pools[p] != nil && r.pools[p].Contains(b.at.Addr().Unmap()) }) {
			r.fault(b.node, b.key+".at", "address %v is not in pool %s", b.at.Addr(), strings.Join(pools, " or "))
		}
		r.wish.Hosts = append(r.wish.Hosts, fleet.HostSpec{
			Name: b.name, Role: b.role, Address: b.at.String(), Site: b.site,
			Class: b.class, Block: b.block, Share: b.share, Running: b.running,
		})
	}
	if len(r.faults) > 0 {
		return // what follows would only tell their consequences
	}
	for _, f := range r.wish.Validate() {
		n := places[f.Thing]
		key := keys[f.Thing]
		if f.Key != "" {
			key += "." + f.Key
		}
		if n == nil {
			panic(fmt.Sprintf("opfile: a flaw of %s, which no file declares", f.Thing))
		}
		r.fault(n, key, "%s", f.Message)
	}
}

func (r *fleetReader) knownPool(n *sexpr.Node, key, name string) bool {
	if r.pools[name] != nil {
		return true
	}
	names := make([]string, 0, len(r.pools))
	for p := range r.pools {
		names = append(names, p)
	}
	slices.Sort(names)
	r.unknown(n, key, "pool", name, names)
	return false
}
