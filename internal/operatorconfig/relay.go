package operatorconfig

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Relay is what the file says of a relay, which serves watches for the replicas of a control plane.
type Relay struct {
	Name          string
	Machine, Site string // what fails together with the relay
	Region        string
	Listen        netip.AddrPort   // where directors watch
	Upstream      []netip.AddrPort // the write sides of all replicas
	Watchers      *bart.Lite       // addresses that may watch; nil: only loopback
	Gather        time.Duration    // for how long events are gathered for a director that was just answered; default 100 ms
	MaxWatchers   int              // default 2,000
	KeepEvents    int              // events that stay for directors that were away; default 10,000
	DrainTime     time.Duration    // over which watchers are closed when the relay ends; default 2 s
	TLS           *ClientTLS       // for calls to the replicas; nil: none
}

// ClientTLS are the paths of files in PEM: the relay's certificate and key, and the authority of the servers' certificates.
type ClientTLS struct{ Certificate, Key, Authority string }

// DefaultRelay has the defaults of a relay. Its name, its places and its addresses have none.
func DefaultRelay() Relay {
	return Relay{
		Gather:      100 * time.Millisecond,
		MaxWatchers: 2000,
		KeepEvents:  10_000,
		DrainTime:   2 * time.Second,
	}
}

func (d *decoder) relay(r *Relay, folder string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "name", need: true, read: d.relayName(&r.Name)},
			{name: "machine", need: true, read: d.text(&r.Machine)},
			{name: "site", need: true, read: d.text(&r.Site)},
			{name: "region", need: true, read: d.text(&r.Region)},
			{name: "listen", need: true, read: d.address(&r.Listen)},
			{name: "upstream", need: true, read: d.upstream(&r.Upstream)},
			{name: "watchers", read: d.networks(&r.Watchers)},
			{name: "gather", read: d.duration(&r.Gather, 0, 200*time.Millisecond)},
			{name: "max-watchers", read: d.integer(&r.MaxWatchers, 1, 4000)},
			{name: "keep", read: d.integer(&r.KeepEvents, 100, 1_000_000)},
			{name: "leave-over", read: d.duration(&r.DrainTime, 0, time.Minute)},
			{name: "tls", read: d.clientTLS(&r.TLS, folder)},
		})
		for _, address := range r.Upstream {
			if !address.Addr().IsLoopback() && r.TLS == nil {
				d.report(n, key+".upstream",
					"%v is not loopback: a control plane is called there only over TLS with a client certificate; give (tls ...)", address)
				return
			}
		}
	}
}

// relayName reads the name of a relay.
func (d *decoder) relayName(to *string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		var name string
		d.text(&name)(n, args, key)
		if name != "" && !isValidName(name) {
			d.report(args[0], key, "%q is no name of 1 to %d letters, digits, dots, dashes and underscores", name, maxNameLength)
			return
		}
		*to = name
	}
}

// upstream reads the addresses of the replicas.
func (d *decoder) upstream(to *[]netip.AddrPort) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) == 0 {
			d.report(n, key, "the write sides of all replicas are wanted, as in (upstream 10.1.0.1:8501 10.2.0.1:8501 10.3.0.1:8501)")
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
			{name: "certificate", need: true, read: d.path(&c.Certificate, folder)},
			{name: "key", need: true, read: d.path(&c.Key, folder)},
			{name: "authority", need: true, read: d.path(&c.Authority, folder)},
		})
		*to = c
	}
}
