package opfile

import (
	"net/netip"
	"path/filepath"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Board is what the program's file says of the board.
type Board struct {
	Listen        netip.AddrPort // where directors follow the bulletin
	Store         string         // path of the store; a relative one is in the folder of the file
	Write         Write
	Followers     *bart.Lite // who may follow; nil: loopback alone
	Observer      Observer
	SnapshotEvery int // events
	Keep          int // events that are kept after a snapshot, for directors that were away
	Batch         int // changes in one transaction, at most; 1: each has its own
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
	Cores  int
	Divide string // connection: what a core accepts it decides and carries
}

// Program is what the program's file says.
type Program struct {
	Board    Board
	Director Director
}

// ReadProgram reads the program's file.
func ReadProgram(name string, read ReadFile) (Program, sexpr.Faults) {
	d := &decoder{}
	p := Program{Board: Board{SnapshotEvery: 10_000, Keep: 10_000, Batch: 256}, Director: Director{Cores: 1, Divide: "connection"}}
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
		d.fault(top, "", "nothing is set: (board ...) or (director ...) is wanted")
	}
	d.forms(top, "", items, []form{
		{name: "board", read: d.board(&p.Board, filepath.Dir(name))},
		{name: "director", read: func(n *sexpr.Node, args []*sexpr.Node, key string) {
			d.forms(n, key+".", args, []form{
				{name: "cores", read: d.integer(&p.Director.Cores, 1, 256)},
				{name: "divide", read: d.choice(&p.Director.Divide, "connection")},
			})
		}},
	})
	return p, d.faults
}

func (d *decoder) board(b *Board, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "listen", need: true, read: d.address(&b.Listen)},
			{name: "store", need: true, read: d.path(&b.Store, folder)},
			{name: "write", need: true, read: d.write(&b.Write, folder)},
			{name: "followers", read: d.addresses(&b.Followers)},
			{name: "observer", read: d.observer(&b.Observer)},
			{name: "snapshot-every", read: d.integer(&b.SnapshotEvery, 1, 1<<30)},
			{name: "keep", read: d.integer(&b.Keep, 0, 1<<30)},
			{name: "batch", read: d.integer(&b.Batch, 1, 1<<16)},
		})
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
