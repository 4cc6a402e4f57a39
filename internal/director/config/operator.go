package config

import (
	"net/netip"
	"time"
)

// The policies for requests whose idempotency key cannot be claimed because no holder is reachable. The values are those
// used in the operator configuration.
const (
	ClaimsWait    = "wait"   // wait for a holder within the request's timeout, then reject the request
	ClaimsReject  = "refuse" // reject the request promptly with a Retry-After; no attempt has run at that point
	ClaimsProceed = "go-on"  // proceed promptly without a claim, and count the request as unclaimed
)

// OperatorSettings is the part of a director's configuration that comes from the operator configuration, not from LB_CONFIG.
type OperatorSettings struct {
	Cores         int
	ControlPlanes []netip.AddrPort // further addresses of the event stream
	Membership    *Membership      // nil: the director does not register with the control plane
	Claims        *Claims          // nil: idempotency keys are not claimed; if set, Membership must be set, too
}

// Membership configures how a director registers with the control plane.
type Membership struct {
	Machine, Site string        // failure domains of the director
	Incarnation   string        // random, chosen at each start
	Version       string        // of the program
	MaxStaleness  time.Duration // maximum age of its events at which a director still starts attempts; 0: unlimited
	Health        bool          // whether the director sends health reports and gets the aggregated health
}

// Claims configures how a director claims idempotency keys.
type Claims struct {
	Listen            netip.AddrPort        // address for claims of other directors
	Allows            func(netip.Addr) bool // reports whether an address may connect to Listen
	MaxClaims         int                   // maximum number of claims that this director stores for others
	UnreachablePolicy string                // ClaimsWait, ClaimsReject or ClaimsProceed
	PolicyByClass     map[string]string     // overrides UnreachablePolicy by class
}

// PolicyOf returns the policy for requests of a class if no holder of claims is reachable.
func (c *Claims) PolicyOf(class string) string {
	if policy, ok := c.PolicyByClass[class]; ok {
		return policy
	}
	return c.UnreachablePolicy
}
