package config

import (
	"net/netip"
	"time"
)

// What is done where nobody can be asked for a claim.
const (
	ClaimsWait    = "wait"   // within the request's time, then it is refused
	ClaimsRefuse  = "refuse" // soon, with a hold-off: nothing has run
	ClaimsProceed = "go-on"  // soon, without a claim; it is counted
)

// Claims is how a director claims the tokens of keyed requests. It comes from the operator's file, not from LB_CONFIG.
type Claims struct {
	Listen            netip.AddrPort        // for claims of other directors
	Allows            func(netip.Addr) bool // who may call there
	MaxClaims         int                   // claims held
	UnreachablePolicy string                // what is done where nobody can be asked
	PolicyByClass     map[string]string     // where it differs
}

// Membership is how a director presents itself on the board's roll. It comes from the operator's file, not from LB_CONFIG.
type Membership struct {
	Machine, Site string        // what fails together
	Incarnation   string        // drawn at the start
	Version       string        // of the program
	MaxStaleness  time.Duration // by which its news may be old before it begins nothing more; 0: any
	Health        bool          // it gives evidence of boxes, and is told what all see of them
}

// PolicyOf is what is done for a class where nobody can be asked.
func (c *Claims) PolicyOf(class string) string {
	if p, is := c.PolicyByClass[class]; is {
		return p
	}
	return c.UnreachablePolicy
}

// OperatorSettings is what a director is told beyond LB_CONFIG, by the operator's file.
type OperatorSettings struct {
	Cores         int
	ControlPlanes []netip.AddrPort // further addresses of the bulletin
	Membership    *Membership      // nil: off
	Claims        *Claims          // nil: off; else Roll is set
}
