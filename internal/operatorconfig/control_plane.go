package operatorconfig

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/sexpr"
)

// ControlPlane holds the settings of a control plane server.
type ControlPlane struct {
	Listen        netip.AddrPort // address for the watches of directors
	Store         string         // path of the store; a relative one is resolved against the folder of the file
	Write         Write
	Watchers      *bart.Lite // networks whose addresses may watch; nil: only loopback
	Observer      Observer
	SnapshotEvery int // events between snapshots; default 10,000
	KeepEvents    int // events kept after a snapshot, for directors that reconnect; default 10,000
	Batch         int // maximum changes per transaction; with 1 each change has its own; default 256
	Replicas      ReplicaGroup
	ClaimReplicas int  // directors that hold a copy of a claim in addition to the one that decides on it; default 2
	Relays        bool // relays may open sessions
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

// ReplicaGroup holds the settings of the group that a server is a replica of. Self is empty for a server without replicas.
type ReplicaGroup struct {
	Self           string
	Replicas       []Replica
	Lease          time.Duration // how long a replica may serve watchers without a message from the leader; default 200 ms
	Drift          float64       // maximum relative difference between the rates of two clocks; default 0.02
	Tick           time.Duration // a replica starts an election after 12 to 24 ticks without a leader; default 25 ms
	ReplaceAfter   time.Duration // time after which a standby replaces a lost replica; 0: only the operator replaces it
	RememberWrites time.Duration // how long the outcome of a write is kept to answer retries of it; default 10 min
}

const (
	defaultReplicaLease   = 200 * time.Millisecond
	defaultReplicaDrift   = 0.02
	defaultReplicaTick    = 25 * time.Millisecond
	defaultRememberWrites = 10 * time.Minute
)

// Replica is one configured replica. Address is the address of its write side, to which the other replicas connect.
type Replica struct {
	replica.ConfiguredReplica
	Address netip.AddrPort
}

// Configured returns the configured replicas without their addresses.
func (g ReplicaGroup) Configured() []replica.ConfiguredReplica {
	configured := make([]replica.ConfiguredReplica, len(g.Replicas))
	for i := range g.Replicas {
		configured[i] = g.Replicas[i].ConfiguredReplica
	}
	return configured
}

// Write holds the settings of the write side's listener: a Unix socket or TCP. A TCP address other than loopback requires TLS.
type Write struct {
	Unix    string // path of the socket; empty: the server listens on TCP
	TCP     netip.AddrPort
	Writers *bart.Lite // networks whose addresses may connect over TCP; nil: only loopback
	TLS     *TLS       // nil: no TLS
}

// TLS holds the paths of PEM files: the server's certificate and key, and the certificate authority of its clients.
type TLS struct{ Certificate, Key, Clients string }

// Observer holds the settings of the observer, which pings hosts.
type Observer struct {
	Every, Timeout time.Duration // interval between pings, 0 if the observer is off; timeout of an answer, default 250 ms
	Misses         int           // consecutive unanswered pings after which a host counts as unreachable; default 3
}

const (
	defaultObserverTimeout = 250 * time.Millisecond
	defaultObserverMisses  = 3
)

func (d *decoder) controlPlane(c *ControlPlane, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "listen", required: true, read: d.address(&c.Listen)},
			{name: "store", required: true, read: d.path(&c.Store, folder)},
			{name: "write", required: true, read: d.write(&c.Write, folder)},
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
			d.report(n, key+".write", "the other replicas connect to the write side: with (copies ...) it must be (tcp ADDRESS)")
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
			d.report(n, key, "exactly one of (unix PATH) and (tcp ADDRESS) is required")
		case w.Unix != "" && w.TLS != nil:
			d.report(n, key+".tls", "TLS is not supported on a Unix socket")
		case w.TCP.IsValid() && !w.TCP.Addr().IsLoopback() && w.TLS == nil:
			d.report(n, key+".tcp",
				"%v is not loopback: changes are accepted there only over TLS with client certificates; add (tls ...)", w.TCP)
		}
	}
}

func (d *decoder) serverTLS(to **TLS, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		t := &TLS{}
		d.forms(n, key+".", args, []form{
			{name: "certificate", required: true, read: d.path(&t.Certificate, folder)},
			{name: "key", required: true, read: d.path(&t.Key, folder)},
			{name: "clients", required: true, read: d.path(&t.Clients, folder)},
		})
		*to = t
	}
}

func (d *decoder) observer(o *Observer) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		o.Timeout = defaultObserverTimeout
		o.Misses = defaultObserverMisses
		d.forms(n, key+".", args, []form{
			{name: "every", required: true, read: d.duration(&o.Every, 50*time.Millisecond, time.Minute)},
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
			{name: "self", required: true, read: d.text(&g.Self)},
			{name: "copy", required: true, repeatable: true, read: d.replica(&g.Replicas)},
			{name: "lease", read: d.duration(&g.Lease, 20*time.Millisecond, time.Minute)},
			{name: "drift", read: d.number(&g.Drift, 0, 0.5)},
			{name: "tick", read: d.duration(&g.Tick, time.Millisecond, 10*time.Second)},
			{name: "replace-after", read: d.duration(&g.ReplaceAfter, time.Second, 30*24*time.Hour)},
			{name: "remember", read: d.duration(&g.RememberWrites, 10*time.Second, 30*24*time.Hour)},
		})
		isSelf := func(r Replica) bool { return r.Name == g.Self }
		if g.Self != "" && !slices.ContainsFunc(g.Replicas, isSelf) {
			d.report(n, key+".self", "no (copy ...) has the name %q", g.Self)
		}
		for _, problem := range replica.ValidateConfigured(g.Configured()) {
			d.report(n, key, "%s", problem)
		}
	}
}

// replica returns a reader that appends a replica to a list.
func (d *decoder) replica(to *[]Replica) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) == 0 {
			d.report(n, key, "a name is required, as in (copy a (address 10.1.0.1:8501) (machine m-1) (site north))")
			return
		}
		name, ok := d.word(args[0], key)
		if !ok {
			return
		}
		var r Replica
		r.Name = name
		d.forms(n, key+" "+name+".", args[1:], []form{
			{name: "address", required: true, read: d.address(&r.Address)},
			{name: "machine", required: true, read: d.text(&r.Machine)},
			{name: "site", required: true, read: d.text(&r.Site)},
			{name: "spare", read: d.flag(&r.IsStandby)},
		})
		*to = append(*to, r)
	}
}
