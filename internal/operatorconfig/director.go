package operatorconfig

import (
	"net/netip"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Director holds the settings of a director.
type Director struct {
	Cores    int    // default 1, with which it runs as it does without the file
	Sharding string // how requests are distributed among the cores: by connection
	// ControlPlanes are additional addresses of the control plane, which the director tries in turn when it loses the connection. The
	// first address is in the director's configuration.
	ControlPlanes []netip.AddrPort
	// Machine and Site are the failure domains of the director. If they are set, it registers as a member.
	Machine, Site string
	MaxStaleness  time.Duration // age of the endpoint list beyond which the director starts no requests; 0: no limit
	Health        bool          // the director reports the health of caches and receives the aggregated health
	Claims        Claims
}

// shardByConnection makes the core that accepts a connection route and serve all requests of the connection.
const shardByConnection = "connection"

func defaultDirector() Director { return Director{Cores: 1, Sharding: shardByConnection} }

// Claims holds the settings of a director's claims on the idempotency keys of requests. Listen is invalid if claims are off.
type Claims struct {
	Listen            netip.AddrPort
	Peers             *bart.Lite        // networks whose directors may connect; nil: only loopback
	MaxClaims         int               // maximum number of claims held at one time; default 1,000,000
	UnreachablePolicy string            // policy while a claim can't be decided; default policyRefuse
	PolicyByClass     map[string]string // overrides of UnreachablePolicy by class of requests
}

const (
	defaultMaxClaims = 1_000_000
	maxMaxClaims     = 2_000_000
)

// Policies for requests whose claim can't be decided at the moment.
const (
	policyWait    = "wait"
	policyRefuse  = "refuse"
	policyProceed = "go-on"
)

func (d *decoder) director(c *Director) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		d.forms(n, key+".", args, []form{
			{name: "cores", read: d.integer(&c.Cores, 1, 256)},
			{name: "divide", read: d.choice(&c.Sharding, shardByConnection)},
			{name: "machine", read: d.text(&c.Machine)},
			{name: "site", read: d.text(&c.Site)},
			{name: "stragglers", read: d.group(
				form{name: "behind-most", required: true, read: d.duration(&c.MaxStaleness, 200*time.Millisecond, time.Hour)},
			)},
			{name: "signals", read: d.flag(&c.Health)},
			{name: "claims", read: d.claims(&c.Claims)},
			{name: "bulletins", read: d.addresses(&c.ControlPlanes)},
		})
		isAnnounced := c.Machine != ""
		mustBeAnnounced := c.Claims.Listen.IsValid() || c.MaxStaleness > 0 || c.Health
		if isAnnounced != (c.Site != "") || mustBeAnnounced && !isAnnounced {
			d.report(n, key, "machine and site are required together, and also with claims, signals or stragglers")
		}
	}
}

// addresses returns a reader that appends any number of addresses to a list.
func (d *decoder) addresses(to *[]netip.AddrPort) formReader {
	return func(_ *sexpr.Node, args []*sexpr.Node, key string) {
		for _, arg := range args {
			var address netip.AddrPort
			d.address(&address)(arg, []*sexpr.Node{arg}, key)
			if address.IsValid() {
				*to = append(*to, address)
			}
		}
	}
}

func (d *decoder) claims(c *Claims) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		c.MaxClaims = defaultMaxClaims
		c.UnreachablePolicy = policyRefuse
		c.PolicyByClass = map[string]string{}
		d.forms(n, key+".", args, []form{
			{name: "listen", required: true, read: d.address(&c.Listen)},
			{name: "peers", read: d.networks(&c.Peers)},
			{name: "most", read: d.integer(&c.MaxClaims, 1, maxMaxClaims)},
			{name: "unreached", read: d.policy(&c.UnreachablePolicy)},
			{name: "class", repeatable: true, read: d.classPolicy(c.PolicyByClass)},
		})
	}
}

func (d *decoder) policy(to *string) formReader {
	return d.choice(to, policyWait, policyRefuse, policyProceed)
}

// classPolicy returns a reader of the policy for one class of requests.
func (d *decoder) classPolicy(to map[string]string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) != 2 {
			d.report(n, key, "a class and a policy are required, as in (class orders wait)")
			return
		}
		class, ok := d.word(args[0], key)
		policy := ""
		d.policy(&policy)(n, args[1:], key)
		if ok && policy != "" {
			to[class] = policy
		}
	}
}
