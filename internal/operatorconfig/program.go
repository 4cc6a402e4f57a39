package operatorconfig

import (
	"net/netip"
	"path/filepath"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/sexpr"
)

// ControlPlane is what the program's file says of the board.
type ControlPlane struct {
	Listen        netip.AddrPort // where directors follow the bulletin
	Store         string         // path of the store; a relative one is in the folder of the file
	Write         Write
	Watchers      *bart.Lite // who may follow; nil: loopback alone
	Observer      Observer
	SnapshotEvery int // events
	KeepEvents    int // events that are kept after a snapshot, for directors that were away
	Batch         int // changes in one transaction, at most; 1: each has its own
	Replicas      ReplicaGroup
	ClaimReplicas int  // directors, beside the one that decides, that hold a claim
	Relays        bool // relays may have sessions with it
}

// ReplicaGroup is the group that the board is a copy of. Self is empty where there is one board alone.
type ReplicaGroup struct {
	Self           string
	Replicas       []Replica
	Lease          time.Duration // for how long a copy may hold followers without a word of the leader
	Drift          float64       // by which clocks may run apart, as a share
	Tick           time.Duration // a copy without a sign of the leader for 12 to 24 of them stands for leader
	ReplaceAfter   time.Duration // after which a spare takes the place of a copy that is gone; 0: by hand alone
	RememberWrites time.Duration // for how long the outcome of a write is kept for its repeats
}

// Replica is one place of a copy. Address is where the other copies reach its write side.
type Replica struct {
	replica.Place
	Address netip.AddrPort
}

// Places are the places without their addresses.
func (c ReplicaGroup) Places() []replica.Place {
	places := make([]replica.Place, len(c.Replicas))
	for i := range c.Replicas {
		places[i] = c.Replicas[i].Place
	}
	return places
}

// Write is where changes are taken. Unix is a socket's path; otherwise TCP, and beyond loopback only with TLS.
type Write struct {
	Unix    string
	TCP     netip.AddrPort
	Writers *bart.Lite // who may call over TCP; nil: loopback alone
	TLS     *TLS
}

// TLS names files in PEM.
type TLS struct{ Certificate, Key, Clients string }

// Observer is how boxes are looked at. Every is 0 while it is switched off.
type Observer struct {
	Every, Timeout time.Duration
	Misses         int // pings in a row without an answer after which a box counts as not reachable
}

// Director is what the program's file says of the director. On one core its path is what it is without the file.
type Director struct {
	Cores    int
	Sharding string // connection: what a core accepts it decides and carries
	// Where else the bulletin is told, tried in turn when it is lost; the configuration's address is the first.
	ControlPlanes []netip.AddrPort
	// Machine and Site are what fails together with the director. With them it presents itself on the board's roll.
	Machine, Site string
	MaxStaleness  time.Duration // by which its news may be old before it begins nothing more; 0: any
	Health        bool          // it gives evidence of boxes, and is told what all see of them
	Claims        Claims
}

// Claims is how a director claims the tokens of keyed requests. Listen is not valid while it is switched off.
type Claims struct {
	Listen            netip.AddrPort
	Peers             *bart.Lite // directors that may call; nil: loopback alone
	MaxClaims         int
	UnreachablePolicy string
	PolicyByClass     map[string]string
}

// Program is what the program's file says.
type Program struct {
	ControlPlane ControlPlane
	Director     Director
	Relay        Relay
}

// ReadProgram reads the program's file.
func ReadProgram(name string, read ReadFile) (Program, sexpr.Faults) {
	d := &decoder{}
	p := Program{ControlPlane: ControlPlane{SnapshotEvery: 10_000, KeepEvents: 10_000, Batch: 256, ClaimReplicas: 2}, Director: Director{Cores: 1, Sharding: "connection"}, Relay: DefaultRelay()}
	text, err := read(name)
	if err != nil {
		return p, sexpr.Faults{{File: name, Line: 1, Col: 1, Message: "can't be read: " + err.Error()}}
	}
	tree, faults := sexpr.Parse(name, string(text))
	d.faults = faults
	top := &sexpr.Node{}
	top.Pos.Filename, top.Pos.Line, top.Pos.Column = name, 1, 1
	var items []*sexpr.Node
	for _, n := range tree.Items {
		if n.Comment == nil {
			items = append(items, n)
		}
	}
	if len(items) == 0 && len(faults) == 0 {
		d.fault(top, "", "nothing is set: (board ...), (director ...) or (relay ...) is wanted")
	}
	d.forms(top, "", items, []form{
		{name: "board", read: d.board(&p.ControlPlane, filepath.Dir(name))},
		{name: "relay", read: d.relay(&p.Relay, filepath.Dir(name))},
		{name: "director", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			d.forms(n, key+".", args, []form{
				{name: "cores", read: d.integer(&p.Director.Cores, 1, 256)},
				{name: "divide", read: d.choice(&p.Director.Sharding, "connection")},
				{name: "machine", read: d.text(&p.Director.Machine)},
				{name: "site", read: d.text(&p.Director.Site)},
				{name: "stragglers", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
					d.forms(n, key+".", args, []form{{name: "behind-most", need: true, read: d.duration(&p.Director.MaxStaleness, 200*time.Millisecond, time.Hour)}})
				}},
				{name: "signals", read: d.flag(&p.Director.Health)},
				{name: "claims", read: d.claims(&p.Director.Claims)},
				{name: "bulletins", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
					for _, a := range args {
						var addr netip.AddrPort
						if d.address(&addr)(a, []*sexpr.Node{a}, key); addr.IsValid() {
							p.Director.ControlPlanes = append(p.Director.ControlPlanes, addr)
						}
					}
				}},
			})
			if own := p.Director; (own.Machine == "") != (own.Site == "") || (own.Claims.Listen.IsValid() || own.MaxStaleness > 0 || own.Health) && own.Machine == "" {
				d.fault(n, key, "machine and site are wanted together, and with claims, signals or stragglers")
			}
		}},
	})
	return p, d.faults
}

func (d *decoder) board(b *ControlPlane, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "listen", need: true, read: d.address(&b.Listen)},
			{name: "store", need: true, read: d.path(&b.Store, folder)},
			{name: "write", need: true, read: d.write(&b.Write, folder)},
			{name: "followers", read: d.addresses(&b.Watchers)},
			{name: "observer", read: d.observer(&b.Observer)},
			{name: "snapshot-every", read: d.integer(&b.SnapshotEvery, 1, 1<<30)},
			{name: "keep", read: d.integer(&b.KeepEvents, 0, 1<<30)},
			{name: "batch", read: d.integer(&b.Batch, 1, 1<<16)},
			{name: "copies", read: d.copies(b)},
			{name: "claim-copies", read: d.integer(&b.ClaimReplicas, 1, 6)},
			{name: "relays", read: d.flag(&b.Relays)},
		})
		if b.Replicas.Self != "" && b.Write.Unix != "" {
			d.fault(n, key+".write", "the other copies call the write side: with (copies ...) it is (tcp ADDRESS)")
		}
	}
}

func (d *decoder) claims(c *Claims) func(*sexpr.Node, []*sexpr.Node, string) {
	policies := []string{"wait", "refuse", "go-on"}
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		c.MaxClaims, c.UnreachablePolicy, c.PolicyByClass = 1_000_000, "refuse", map[string]string{}
		d.forms(n, key+".", args, []form{
			{name: "listen", need: true, read: d.address(&c.Listen)},
			{name: "peers", read: d.addresses(&c.Peers)},
			{name: "most", read: d.integer(&c.MaxClaims, 1, 2_000_000)},
			{name: "unreached", read: d.choice(&c.UnreachablePolicy, policies...)},
			{name: "class", many: true, read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
				if len(args) != 2 {
					d.fault(n, key, "a class and what is done are wanted, as in (class orders wait)")
					return
				}
				class, ok := d.word(args[0], key)
				policy := ""
				d.choice(&policy, policies...)(n, args[1:], key)
				if ok && policy != "" {
					c.PolicyByClass[class] = policy
				}
			}},
		})
	}
}

// flag is a form that is there or not.
func (d *decoder) flag(to *bool) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if *to = true; len(args) > 0 {
			d.fault(n, key, "it takes no value")
		}
	}
}

func (d *decoder) path(to *string, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var s string
		if d.text(&s)(n, args, key); s == "" {
			return
		}
		if *to = s; !filepath.IsAbs(s) {
			*to = filepath.Join(folder, s)
		}
	}
}

func (d *decoder) addresses(to **bart.Lite) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		t := &bart.Lite{}
		for _, p := range d.prefixes(args, key) {
			t.Insert(p)
		}
		*to = t
	}
}

func (d *decoder) write(w *Write, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var tls *TLS
		d.forms(n, key+".", args, []form{
			{name: "unix", read: d.path(&w.Unix, folder)},
			{name: "tcp", read: d.address(&w.TCP)},
			{name: "writers", read: d.addresses(&w.Writers)},
			{name: "tls", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
				tls = &TLS{}
				d.forms(n, key+".", args, []form{
					{name: "certificate", need: true, read: d.path(&tls.Certificate, folder)},
					{name: "key", need: true, read: d.path(&tls.Key, folder)},
					{name: "clients", need: true, read: d.path(&tls.Clients, folder)},
				})
			}},
		})
		w.TLS = tls
		switch {
		case (w.Unix == "") == !w.TCP.IsValid():
			d.fault(n, key, "either (unix PATH) or (tcp ADDRESS) is wanted")
		case w.Unix != "" && tls != nil:
			d.fault(n, key+".tls", "a Unix socket needs no TLS")
		case w.TCP.IsValid() && !w.TCP.Addr().IsLoopback() && tls == nil:
			d.fault(n, key+".tcp", "%v is not loopback: changes are taken there only over TLS with client certificates; give (tls ...)", w.TCP)
		}
	}
}

func (d *decoder) observer(o *Observer) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		o.Timeout, o.Misses = 250*time.Millisecond, 3
		d.forms(n, key+".", args, []form{
			{name: "every", need: true, read: d.duration(&o.Every, 50*time.Millisecond, time.Minute)},
			{name: "timeout", read: d.duration(&o.Timeout, 10*time.Millisecond, time.Minute)},
			{name: "misses", read: d.integer(&o.Misses, 1, 100)},
		})
	}
}

func (d *decoder) copies(b *ControlPlane) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		c := &b.Replicas
		c.Lease, c.Drift, c.Tick, c.RememberWrites = 200*time.Millisecond, 0.02, 25*time.Millisecond, 10*time.Minute
		d.forms(n, key+".", args, []form{
			{name: "self", need: true, read: d.text(&c.Self)},
			{name: "copy", need: true, many: true, read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
				if len(args) == 0 {
					d.fault(n, key, "a name is wanted, as in (copy a (address 10.1.0.1:8501) (machine m-1) (site north))")
					return
				}
				p := Replica{}
				name, ok := d.word(args[0], key)
				if !ok {
					return
				}
				p.Name = name
				d.forms(n, key+" "+name+".", args[1:], []form{
					{name: "address", need: true, read: d.address(&p.Address)},
					{name: "machine", need: true, read: d.text(&p.Machine)},
					{name: "site", need: true, read: d.text(&p.Site)},
					{name: "spare", read: d.flag(&p.Spare)},
				})
				c.Replicas = append(c.Replicas, p)
			}},
			{name: "lease", read: d.duration(&c.Lease, 20*time.Millisecond, time.Minute)},
			{name: "drift", read: d.number(&c.Drift, 0, 0.5)},
			{name: "tick", read: d.duration(&c.Tick, time.Millisecond, 10*time.Second)},
			{name: "replace-after", read: d.duration(&c.ReplaceAfter, time.Second, 30*24*time.Hour)},
			{name: "remember", read: d.duration(&c.RememberWrites, 10*time.Second, 30*24*time.Hour)},
		})
		known := false
		for _, p := range c.Replicas {
			known = known || p.Name == c.Self
		}
		if c.Self != "" && !known {
			d.fault(n, key+".self", "no copy is called %q", c.Self)
		}
		for _, f := range replica.ValidatePlaces(c.Places()) {
			d.fault(n, key, "%s", f)
		}
	}
}
