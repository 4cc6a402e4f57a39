package operatorconfig

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/sexpr"
)

// ControlPlane is what the file says of a server of the control plane.
type ControlPlane struct {
	Listen        netip.AddrPort // where directors watch
	Store         string         // path of the store; a relative one is in the folder of the file
	Write         Write
	Watchers      *bart.Lite // addresses that may watch; nil: only loopback
	Observer      Observer
	SnapshotEvery int // events; default 10,000
	KeepEvents    int // events that stay after a snapshot, for directors that were away; default 10,000
	Batch         int // changes in one transaction at most; 1: each has its own; default 256
	Replicas      ReplicaGroup
	ClaimReplicas int  // directors, beside the one that decides, that have a claim; default 2
	Relays        bool // relays may have sessions with it
}

const (
	defaultSnapshotEvery = 10_000 // events
	defaultKeepEvents    = 10_000
	defaultBatch         = 256 // changes
	defaultClaimReplicas = 2
)

func defaultControlPlane() ControlPlane {
	return ControlPlane{
		SnapshotEvery: defaultSnapshotEvery,
		KeepEvents:    defaultKeepEvents,
		Batch:         defaultBatch,
		ClaimReplicas: defaultClaimReplicas,
	}
}

// ReplicaGroup is the group that a server is a replica of. Self is empty where one server runs alone.
type ReplicaGroup struct {
	Self           string
	Replicas       []Replica
	Lease          time.Duration // for how long a replica may have watchers without a message of the leader; default 200 ms
	Drift          float64       // by which clocks may run apart, as a share; default 0.02
	Tick           time.Duration // a replica starts an election after 12 to 24 ticks without a leader; default 25 ms
	ReplaceAfter   time.Duration // after which a standby takes the place of a lost replica; 0: only an operator replaces it
	RememberWrites time.Duration // for how long the outcome of a write is remembered for its repeats; default 10 min
}

const (
	defaultReplicaLease   = 200 * time.Millisecond
	defaultReplicaDrift   = 0.02
	defaultReplicaTick    = 25 * time.Millisecond
	defaultRememberWrites = 10 * time.Minute
)

// Replica is one replica's place. Address is where the other replicas reach its write side.
type Replica struct {
	replica.ConfiguredReplica
	Address netip.AddrPort
}

// Places are the places without their addresses.
func (g ReplicaGroup) Places() []replica.ConfiguredReplica {
	places := make([]replica.ConfiguredReplica, len(g.Replicas))
	for i := range g.Replicas {
		places[i] = g.Replicas[i].ConfiguredReplica
	}
	return places
}

// Write is where the write side listens: a Unix socket, or TCP, which is beyond loopback only with TLS.
type Write struct {
	Unix    string // path of the socket; empty: TCP
	TCP     netip.AddrPort
	Writers *bart.Lite // addresses that may call over TCP; nil: only loopback
	TLS     *TLS       // nil: none
}

// TLS are the paths of files in PEM: the server's certificate and key, and the authority of its clients' certificates.
type TLS struct{ Certificate, Key, Clients string }

// Observer is how hosts are observed.
type Observer struct {
	Every, Timeout time.Duration // between pings, and for an answer (default 250 ms); Every is 0 while it is switched off
	Misses         int           // pings in a row without an answer after which a host counts as unreachable; default 3
}

const (
	defaultObserverTimeout = 250 * time.Millisecond
	defaultObserverMisses  = 3
)

func (d *decoder) controlPlane(c *ControlPlane, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "listen", need: true, read: d.address(&c.Listen)},
			{name: "store", need: true, read: d.path(&c.Store, folder)},
			{name: "write", need: true, read: d.write(&c.Write, folder)},
			{name: "followers", read: d.networks(&c.Watchers)},
			{name: "observer", read: d.observer(&c.Observer)},
			{name: "snapshot-every", read: d.integer(&c.SnapshotEvery, 1, 1<<30)},
			{name: "keep", read: d.integer(&c.KeepEvents, 0, 1<<30)},
			{name: "batch", read: d.integer(&c.Batch, 1, 1<<16)},
			{name: "copies", read: d.replicaGroup(&c.Replicas)},
			{name: "claim-copies", read: d.integer(&c.ClaimReplicas, 1, 6)},
			{name: "relays", read: d.flag(&c.Relays)},
		})
		if c.Replicas.Self != "" && c.Write.Unix != "" {
			d.report(n, key+".write", "the other copies call the write side: with (copies ...) it is (tcp ADDRESS)")
		}
	}
}

func (d *decoder) write(w *Write, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		w.TLS = nil
		d.forms(n, key+".", args, []form{
			{name: "unix", read: d.path(&w.Unix, folder)},
			{name: "tcp", read: d.address(&w.TCP)},
			{name: "writers", read: d.networks(&w.Writers)},
			{name: "tls", read: d.serverTLS(&w.TLS, folder)},
		})
		switch {
		case (w.Unix == "") == !w.TCP.IsValid():
			d.report(n, key, "either (unix PATH) or (tcp ADDRESS) is wanted")
		case w.Unix != "" && w.TLS != nil:
			d.report(n, key+".tls", "a Unix socket needs no TLS")
		case w.TCP.IsValid() && !w.TCP.Addr().IsLoopback() && w.TLS == nil:
			d.report(n, key+".tcp",
				"%v is not loopback: changes are taken there only over TLS with client certificates; give (tls ...)", w.TCP)
		}
	}
}

func (d *decoder) serverTLS(to **TLS, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		t := &TLS{}
		d.forms(n, key+".", args, []form{
			{name: "certificate", need: true, read: d.path(&t.Certificate, folder)},
			{name: "key", need: true, read: d.path(&t.Key, folder)},
			{name: "clients", need: true, read: d.path(&t.Clients, folder)},
		})
		*to = t
	}
}

func (d *decoder) observer(o *Observer) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		o.Timeout = defaultObserverTimeout
		o.Misses = defaultObserverMisses
		d.forms(n, key+".", args, []form{
			{name: "every", need: true, read: d.duration(&o.Every, 50*time.Millisecond, time.Minute)},
			{name: "timeout", read: d.duration(&o.Timeout, 10*time.Millisecond, time.Minute)},
			{name: "misses", read: d.integer(&o.Misses, 1, 100)},
		})
	}
}

func (d *decoder) replicaGroup(g *ReplicaGroup) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		g.Lease = defaultReplicaLease
		g.Drift = defaultReplicaDrift
		g.Tick = defaultReplicaTick
		g.RememberWrites = defaultRememberWrites
		d.forms(n, key+".", args, []form{
			{name: "self", need: true, read: d.text(&g.Self)},
			{name: "copy", need: true, many: true, read: d.replica(&g.Replicas)},
			{name: "lease", read: d.duration(&g.Lease, 20*time.Millisecond, time.Minute)},
			{name: "drift", read: d.number(&g.Drift, 0, 0.5)},
			{name: "tick", read: d.duration(&g.Tick, time.Millisecond, 10*time.Second)},
			{name: "replace-after", read: d.duration(&g.ReplaceAfter, time.Second, 30*24*time.Hour)},
			{name: "remember", read: d.duration(&g.RememberWrites, 10*time.Second, 30*24*time.Hour)},
		})
		isSelf := func(r Replica) bool { return r.Name == g.Self }
		if g.Self != "" && !slices.ContainsFunc(g.Replicas, isSelf) {
			d.report(n, key+".self", "no copy is called %q", g.Self)
		}
		for _, problem := range replica.ValidateConfigured(g.Places()) {
			d.report(n, key, "%s", problem)
		}
	}
}

// replica reads a replica, and appends it.
func (d *decoder) replica(to *[]Replica) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) == 0 {
			d.report(n, key, "a name is wanted, as in (copy a (address 10.1.0.1:8501) (machine m-1) (site north))")
			return
		}
		name, ok := d.word(args[0], key)
		if !ok {
			return
		}
		var r Replica
		r.Name = name
		d.forms(n, key+" "+name+".", args[1:], []form{
			{name: "address", need: true, read: d.address(&r.Address)},
			{name: "machine", need: true, read: d.text(&r.Machine)},
			{name: "site", need: true, read: d.text(&r.Site)},
			{name: "spare", read: d.flag(&r.IsStandby)},
		})
		*to = append(*to, r)
	}
}
