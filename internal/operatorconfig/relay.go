package operatorconfig

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Relay is what the program's file says of a relay, which serves watches for the replicas of a control plane.
type Relay struct {
	Name          string
	Machine, Site string // what fails together with the relay
	Region        string
	Listen        netip.AddrPort   // where directors watch
	Upstream      []netip.AddrPort // the write sides of all replicas
	Watchers      *bart.Lite       // who may watch; nil: loopback alone
	Gather        time.Duration    // for how long events for a director that was answered a moment ago are gathered
	MaxWatchers   int
	KeepEvents    int           // events that are kept for directors that were away
	DrainTime     time.Duration // the time over which watchers are closed when the relay ends
	TLS           *ClientTLS    // for calls to the replicas; nil: none
}

// ClientTLS names files in PEM with which a server that asks for client certificates is called.
type ClientTLS struct{ Certificate, Key, Authority string }

// DefaultRelay is a relay of whose settings the file says only what it must.
func DefaultRelay() Relay {
	return Relay{Gather: 100 * time.Millisecond, MaxWatchers: 2000, KeepEvents: 10_000, DrainTime: 2 * time.Second}
}

func (d *decoder) relay(r *Relay, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "name", need: true, read: d.relayName(&r.Name)},
			{name: "machine", need: true, read: d.text(&r.Machine)},
			{name: "site", need: true, read: d.text(&r.Site)},
			{name: "region", need: true, read: d.text(&r.Region)},
			{name: "listen", need: true, read: d.address(&r.Listen)},
			{name: "upstream", need: true, read: d.upstream(&r.Upstream)},
			{name: "watchers", read: d.addresses(&r.Watchers)},
			{name: "gather", read: d.duration(&r.Gather, 0, 200*time.Millisecond)},
			{name: "max-watchers", read: d.integer(&r.MaxWatchers, 1, 4000)},
			{name: "keep", read: d.integer(&r.KeepEvents, 100, 1_000_000)},
			{name: "leave-over", read: d.duration(&r.DrainTime, 0, time.Minute)},
			{name: "tls", read: d.clientTLS(&r.TLS, folder)},
		})
		for _, address := range r.Upstream {
			if !address.Addr().IsLoopback() && r.TLS == nil {
				d.fault(n, key+".upstream", "%v is not loopback: a control plane is called there only over TLS with a client certificate; give (tls ...)", address)
				return
			}
		}
	}
}

func (d *decoder) relayName(to *string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var name string
		d.text(&name)(n, args, key)
		if name != "" && !goodName(name) {
			d.fault(args[0], key, "%q is no name of 1 to 64 letters, digits, dots, dashes and underscores", name)
			return
		}
		*to = name
	}
}

func (d *decoder) upstream(to *[]netip.AddrPort) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) == 0 {
			d.fault(n, key, "the write sides of all replicas are wanted, as in (upstream 10.1.0.1:8501 10.2.0.1:8501 10.3.0.1:8501)")
		}
		for _, a := range args {
			var address netip.AddrPort
			d.address(&address)(a, []*sexpr.Node{a}, key)
			switch {
			case !address.IsValid():
			case slices.Contains(*to, address):
				d.fault(a, key, "%v is given twice", address)
			default:
				*to = append(*to, address)
			}
		}
	}
}

func (d *decoder) clientTLS(to **ClientTLS, folder string) func(*sexpr.Node, []*sexpr.Node, string) {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		c := &ClientTLS{}
		d.forms(n, key+".", args, []form{
			{name: "certificate", need: true, read: d.path(&c.Certificate, folder)},
			{name: "key", need: true, read: d.path(&c.Key, folder)},
			{name: "authority", need: true, read: d.path(&c.Authority, folder)},
		})
		*to = c
	}
}
