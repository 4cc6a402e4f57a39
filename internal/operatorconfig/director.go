package operatorconfig

import (
	"net/netip"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/sexpr"
)

// Director is what the file says of a director.
type Director struct {
	Cores    int    // default 1, on which it runs as it does without the file
	Sharding string // how requests are divided among the cores: by connection
	// ControlPlanes are further addresses of the control plane, tried in turn when it is lost. The configuration has the first.
	ControlPlanes []netip.AddrPort
	// Machine and Site are what fails together with the director. With them it announces itself and becomes a member.
	Machine, Site string
	MaxStaleness  time.Duration // age of its endpoint list beyond which it begins no more requests; 0: any
	Health        bool          // it reports the health of caches, and is sent the aggregated health
	Claims        Claims
}

// shardByConnection has the core that accepts a connection decide and serve all of its requests.
const shardByConnection = "connection"

func defaultDirector() Director { return Director{Cores: 1, Sharding: shardByConnection} }

// Claims is how a director claims the idempotency keys of requests. Listen is not valid while it is switched off.
type Claims struct {
	Listen            netip.AddrPort
	Peers             *bart.Lite        // directors that may call; nil: only loopback
	MaxClaims         int               // at one time; default 1,000,000
	UnreachablePolicy string            // what is done while a claim can't be decided; default policyRefuse
	PolicyByClass     map[string]string // the same by class of requests
}

const (
	defaultMaxClaims = 1_000_000
	maxMaxClaims     = 2_000_000
)

// Policies while a claim can't be decided.
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
				form{name: "behind-most", need: true, read: d.duration(&c.MaxStaleness, 200*time.Millisecond, time.Hour)},
			)},
			{name: "signals", read: d.flag(&c.Health)},
			{name: "claims", read: d.claims(&c.Claims)},
			{name: "bulletins", read: d.addresses(&c.ControlPlanes)},
		})
		isAnnounced := c.Machine != ""
		mustBeAnnounced := c.Claims.Listen.IsValid() || c.MaxStaleness > 0 || c.Health
		if isAnnounced != (c.Site != "") || mustBeAnnounced && !isAnnounced {
			d.report(n, key, "machine and site are wanted together, and with claims, signals or stragglers")
		}
	}
}

// addresses reads any number of addresses, and appends them.
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
			{name: "listen", need: true, read: d.address(&c.Listen)},
			{name: "peers", read: d.networks(&c.Peers)},
			{name: "most", read: d.integer(&c.MaxClaims, 1, maxMaxClaims)},
			{name: "unreached", read: d.policy(&c.UnreachablePolicy)},
			{name: "class", many: true, read: d.classPolicy(c.PolicyByClass)},
		})
	}
}

func (d *decoder) policy(to *string) formReader {
	return d.choice(to, policyWait, policyRefuse, policyProceed)
}

// classPolicy reads the policy for one class of requests.
func (d *decoder) classPolicy(to map[string]string) formReader {
	return func(n *sexpr.Node, args []*sexpr.Node, key string) {
		if len(args) != 2 {
			d.report(n, key, "a class and what is done are wanted, as in (class orders wait)")
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
