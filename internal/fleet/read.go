package fleet

import (
	"fmt"
	"strings"
)

// RulesKey is the key of the rules in the reads of a plan.
const RulesKey = "rules"

const (
	hostPrefix     = "box "
	locationPrefix = "location "
)

// HostKey returns the key of a host in the reads of a plan.
func HostKey(name string) string { return hostPrefix + name }

// LocationKey returns the key of a location in the reads of a plan.
func LocationKey(name string) string { return locationPrefix + name }

// Read is one host, location or set of rules that a plan depends on. Sum is the checksum of its state, and Brief describes that state to
// operators.
type Read struct {
	Resource string `json:"thing"`
	Sum      string `json:"sum"`
	Brief    string `json:"brief"`
}

// hostRead is the state of a host that a plan depends on. Plans store the checksum of its encoding, so the tags must not change. Up and
// Unknown are not distinguished.
type hostRead struct {
	Host        *Host `json:"Member"`
	Unreachable bool  `json:"Unreachable"`
	RestartedMS int64 `json:"RestartedMS"`
}

// ReadHost returns the read of a host, which may be absent.
func (s ObservedState) ReadHost(name string) Read {
	host := s.Host(name)
	if host == nil {
		return Read{Resource: HostKey(name), Sum: Sum(hostRead{}), Brief: "absent"}
	}
	observation := s.Observed[name]
	r := hostRead{
		Host:        host,
		Unreachable: observation.Reachability == Unreachable,
		RestartedMS: observation.RestartedMS,
	}
	return Read{Resource: HostKey(name), Sum: Sum(r), Brief: r.brief()}
}

func (r hostRead) brief() string {
	brief := fmt.Sprintf("%s at %s, share %.4g", r.Host.State, r.Host.Address, r.Host.Share)
	if r.Host.Serving != r.Host.Share {
		brief += fmt.Sprintf(" (serving %.4g)", r.Host.Serving)
	}
	if r.Unreachable {
		brief += ", not reachable"
	}
	if r.RestartedMS > 0 {
		brief += fmt.Sprintf(", restarted at %d", r.RestartedMS)
	}
	return brief
}

// ReadLocation returns the read of a location, which may be absent.
func (s ObservedState) ReadLocation(name string) Read {
	l := s.Location(name)
	r := Read{Resource: LocationKey(name), Sum: Sum(l), Brief: "absent"}
	if l != nil {
		r.Brief = fmt.Sprintf("floor %.4g, load %.4g, sources %v", l.Floor, l.Load, l.Sources)
	}
	return r
}

// ReadRules returns the read of the rules in force.
func (s ObservedState) ReadRules() Read {
	return Read{Resource: RulesKey, Sum: Sum(s.Rules()), Brief: s.Rules().brief()}
}

// Reread returns the current read of the host, location or rules with a key.
func (s ObservedState) Reread(key string) (Read, error) {
	if key == RulesKey {
		return s.ReadRules(), nil
	}
	if name, isHost := strings.CutPrefix(key, hostPrefix); isHost && name != "" {
		return s.ReadHost(name), nil
	}
	if name, isLocation := strings.CutPrefix(key, locationPrefix); isLocation && name != "" {
		return s.ReadLocation(name), nil
	}
	return Read{}, fmt.Errorf("fleet: unknown key %q in the reads of a plan", key)
}
