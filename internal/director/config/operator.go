package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"
)

// operatorVar is the environment variable in which stairvane-fleet, which reads the operator's file, hands the settings over to the
// director's program. It is not for users.
const operatorVar = "LB_OPERATOR_SETTINGS"

// The policies for requests whose idempotency key cannot be claimed because no holder is reachable. The values are those
// used in the operator configuration.
const (
	ClaimsWait    = "wait"   // wait for a holder within the request's timeout, then reject the request
	ClaimsReject  = "refuse" // reject the request promptly with a Retry-After; no attempt has run at that point
	ClaimsProceed = "go-on"  // proceed promptly without a claim, and count the request as unclaimed
)

// OperatorSettings is the part of a director's configuration that comes from the operator configuration, not from LB_CONFIG.
type OperatorSettings struct {
	Cores         int              `json:"cores"`
	ControlPlanes []netip.AddrPort `json:"bulletins,omitempty"`  // further addresses of the event stream
	Membership    *Membership      `json:"membership,omitempty"` // nil: the director does not register with the control plane
	Claims        *Claims          `json:"claims,omitempty"`     // nil: idempotency keys are not claimed; if set, Membership must be set
}

// Environment returns the settings as an entry of the environment of the director's program.
func (s OperatorSettings) Environment() (string, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("encode the operator's settings: %w", err)
	}
	return operatorVar + "=" + string(text), nil
}

// TakeOperatorSettings returns the settings that the environment hands over, and removes them from it. If there are none, it returns
// those of a director without an operator's file.
func TakeOperatorSettings() (OperatorSettings, error) {
	s := OperatorSettings{Cores: 1}
	text, given := os.LookupEnv(operatorVar)
	if !given {
		return s, nil
	}
	if err := os.Unsetenv(operatorVar); err != nil {
		return s, fmt.Errorf("%s: %w", operatorVar, err)
	}
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return s, fmt.Errorf("%s: %w", operatorVar, err)
	}
	return s, nil
}

// Membership configures how a director registers with the control plane.
type Membership struct {
	Machine      string        `json:"machine"`         // failure domain of the director
	Site         string        `json:"site"`            // likewise, larger
	Incarnation  string        `json:"incarnation"`     // random, chosen at each start
	Version      string        `json:"version"`         // of the program
	MaxStaleness time.Duration `json:"max_staleness"`   // maximum age of its events at which it still starts attempts; 0: unlimited
	Health       bool          `json:"health,omitzero"` // whether it sends health reports and gets the aggregated health
}

// Claims configures how a director claims idempotency keys.
type Claims struct {
	Listen            netip.AddrPort    `json:"listen"`             // address for claims of other directors
	Peers             []netip.Prefix    `json:"peers"`              // networks that may connect to Listen; nil: only loopback
	MaxClaims         int               `json:"max_claims"`         // maximum number of claims that this director stores for others
	UnreachablePolicy string            `json:"unreachable_policy"` // ClaimsWait, ClaimsReject or ClaimsProceed
	PolicyByClass     map[string]string `json:"policy_by_class"`    // overrides UnreachablePolicy by class
}

// Allows reports whether an address may connect to Listen.
func (c *Claims) Allows(address netip.Addr) bool {
	if c.Peers == nil {
		return address.IsLoopback()
	}
	return slices.ContainsFunc(c.Peers, func(network netip.Prefix) bool { return network.Contains(address) })
}

// PolicyOf returns the policy for requests of a class if no holder of claims is reachable.
func (c *Claims) PolicyOf(class string) string {
	if policy, ok := c.PolicyByClass[class]; ok {
		return policy
	}
	return c.UnreachablePolicy
}
