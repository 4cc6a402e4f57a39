package operatorconfig

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Relay holds the settings of a relay, which serves watches on behalf of the replicas of a control plane.
type Relay struct {
	Name          string
	Machine, Site string // failure domains of the relay
	Region        string
	Listen        netip.AddrPort   // address for the watches of directors
	Upstream      []netip.AddrPort // addresses of the write sides of all replicas
	Watchers      *bart.Lite       // networks whose addresses may watch; nil: only loopback
	BatchTime     time.Duration    // minimum time between two answers to a director, in which events are batched; default 100 ms
	MaxWatchers   int              // default 2,000
	KeepEvents    int              // events kept for directors that reconnect; default 10,000
	DrainTime     time.Duration    // period over which the connections of watchers are closed on shutdown; default 2 s
	TLS           *ClientTLS       // for connections to the replicas; nil: no TLS
}

// ClientTLS holds the paths of PEM files: the relay's certificate and key, and the certificate authority of the servers.
type ClientTLS struct{ Certificate, Key, Authority string }

// DefaultRelay returns the default settings of a relay. There are no defaults for its name, machine, site, region and addresses.
func DefaultRelay() Relay {
	return Relay{
		BatchTime:   100 * time.Millisecond,
		MaxWatchers: 2000,
		KeepEvents:  10_000,
		DrainTime:   2 * time.Second,
	}
}

func (d *decoder) relay(r *Relay, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "name", required: true, read: d.relayName(&r.Name)},
			{name: "machine", required: true, read: d.text(&r.Machine)},
			{name: "site", required: true, read: d.text(&r.Site)},
			{name: "region", required: true, read: d.text(&r.Region)},
			{name: "listen", required: true, read: d.address(&r.Listen)},
			{name: "upstream", required: true, read: d.upstream(&r.Upstream)},
			{name: "watchers", read: d.networks(&r.Watchers)},
			{name: "gather", read: d.duration(&r.BatchTime, 0, 200*time.Millisecond)},
			{name: "max-watchers", read: d.integer(&r.MaxWatchers, 1, 4000)},
			{name: "keep", read: d.integer(&r.KeepEvents, 100, 1_000_000)},
			{name: "leave-over", read: d.duration(&r.DrainTime, 0, time.Minute)},
			{name: "tls", read: d.clientTLS(&r.TLS, folder)},
		})
		for _, address := range r.Upstream {
			if !address.Addr().IsLoopback() && r.TLS == nil {
				d.report(n, key+".upstream",
					"%v is not loopback: a relay connects to it only over TLS with a client certificate; add (tls ...)", address)
				return
			}
		}
	}
}

// relayName returns a reader of the name of a relay.
func (d *decoder) relayName(to *string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var name string
		d.text(&name)(n, args, key)
		if name != "" && !isValidName(name) {
			d.report(args[0], key, "%q is not a name of 1 to %d letters, digits, dots, dashes and underscores", name, maxNameLength)
			return
		}
		*to = name
	}
}

// upstream returns a reader of the addresses of the replicas.
func (d *decoder) upstream(to *[]netip.AddrPort) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) == 0 {
			d.report(n, key, "the write sides of all replicas are required, as in (upstream 10.1.0.1:8501 10.2.0.1:8501 10.3.0.1:8501)")
		}
		for _, a := range args {
			var address netip.AddrPort
			d.address(&address)(a, []*sexpr.Node{a}, key)
			switch {
			case !address.IsValid():
			case slices.Contains(*to, address):
				d.report(a, key, "%v is given twice", address)
			default:
				*to = append(*to, address)
			}
		}
	}
}

func (d *decoder) clientTLS(to **ClientTLS, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		c := &ClientTLS{}
		d.forms(n, key+".", args, []form{
			{name: "certificate", required: true, read: d.path(&c.Certificate, folder)},
			{name: "key", required: true, read: d.path(&c.Key, folder)},
			{name: "authority", required: true, read: d.path(&c.Authority, folder)},
		})
		*to = c
	}
}
