package config

import (
	"net/netip"
	"time"
)

// Policies for requests whose idempotency key cannot be claimed because no holder is reachable. The values are those of the
// operator configuration.
const (
	ClaimsWait    = "wait"   // wait for up to the timeout of the request, then reject it
	ClaimsReject  = "refuse" // reject the request after a short wait, with a Retry-After: nothing has run
	ClaimsProceed = "go-on"  // proceed without a claim after a short wait, and count that
)

// OperatorSettings are the settings of the operator configuration that supplement LB_CONFIG.
type OperatorSettings struct {
	Cores         int
	ControlPlanes []netip.AddrPort // further addresses of the event stream
	Membership    *Membership      // nil: the director does not announce itself
	Claims        *Claims          // nil: idempotency keys are not claimed; otherwise Membership must be set
}

// Membership configures how a director announces itself to the control plane.
type Membership struct {
	Machine, Site string        // failure domains of the director
	Incarnation   string        // random, new with each start
	Version       string        // of the program
	MaxStaleness  time.Duration // age of its events beyond which it starts no attempts; 0: unlimited
	Health        bool          // whether it sends health reports and receives the aggregated health
}

// Claims configures how a director claims idempotency keys.
type Claims struct {
	Listen            netip.AddrPort        // address for connections from other directors
	Allows            func(netip.Addr) bool // reports whether an address may connect
	MaxClaims         int                   // maximum number of claims that this director stores for others
	UnreachablePolicy string                // ClaimsWait, ClaimsReject or ClaimsProceed
	PolicyByClass     map[string]string     // overrides UnreachablePolicy by class
}

// PolicyOf returns the policy for a class when no holder of claims is reachable.
func (c *Claims) PolicyOf(class string) string {
	if policy, ok := c.PolicyByClass[class]; ok {
		return policy
	}
	return c.UnreachablePolicy
}
