package config

import (
	"net/netip"
	"time"
)

// The policies for requests whose idempotency key cannot be claimed because no holder is reachable. The values are those
// of the operator's file.
const (
	ClaimsWait    = "wait"   // wait within the request's timeout, then reject it
	ClaimsReject  = "refuse" // reject the request soon, with a Retry-After: nothing has run
	ClaimsProceed = "go-on"  // proceed soon without a claim, and count that
)

// OperatorSettings is what the operator's file configures beyond LB_CONFIG.
type OperatorSettings struct {
	Cores         int
	ControlPlanes []netip.AddrPort // further addresses of the event stream
	Membership    *Membership      // nil: the director does not announce itself
	Claims        *Claims          // nil: idempotency keys are not claimed; else Membership must be set
}

// Membership is how a director announces itself to the control plane.
type Membership struct {
	Machine, Site string        // its failure domains
	Incarnation   string        // random, new with each start
	Version       string        // of the program
	MaxStaleness  time.Duration // age of its events from which it starts no attempts; 0: unlimited
	Health        bool          // it sends health reports and gets the aggregated health
}

// Claims is how a director claims idempotency keys.
type Claims struct {
	Listen            netip.AddrPort        // for claims of other directors
	Allows            func(netip.Addr) bool // whether an address may connect there
	MaxClaims         int                   // that this director stores for others
	UnreachablePolicy string                // ClaimsWait, ClaimsReject or ClaimsProceed
	PolicyByClass     map[string]string     // where it differs
}

// PolicyOf is the policy for a class where no holder of claims is reachable.
func (c *Claims) PolicyOf(class string) string {
	if policy, ok := c.PolicyByClass[class]; ok {
		return policy
	}
	return c.UnreachablePolicy
}
