package fleet

import (
	"fmt"
	"strings"
)

// RulesKey names the rules among the things that a plan reads.
const RulesKey = "rules"

const (
	hostPrefix     = "box "
	locationPrefix = "location "
)

// HostKey names a host among the things that a plan reads.
func HostKey(name string) string { return hostPrefix + name }

// LocationKey names a location among the things that a plan reads.
func LocationKey(name string) string { return locationPrefix + name }

// Read is one thing that a plan was made against. Sum changes if the thing does; Brief says what it was, for people.
type Read struct {
	Thing string `json:"thing"`
	Sum   string `json:"sum"`
	Brief string `json:"brief"`
}

// hostRead is what a plan reads of a host. Its encoding is summed, and so the tags stay as they are. Whether a host is up or was never
// observed makes no difference.
type hostRead struct {
	Host        *Host `json:"Member"`
	Unreachable bool  `json:"Unreachable"`
	RestartedMS int64 `json:"RestartedMS"`
}

// ReadHost reads a host, which may be absent.
func (s ObservedState) ReadHost(name string) Read {
	host := s.Host(name)
	if host == nil {
		return Read{Thing: HostKey(name), Sum: Sum(hostRead{}), Brief: "absent"}
	}
	observation := s.Observed[name]
	r := hostRead{
		Host:        host,
		Unreachable: observation.Sight == Unreachable,
		RestartedMS: observation.RestartedMS,
	}
	return Read{Thing: HostKey(name), Sum: Sum(r), Brief: r.brief()}
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

// ReadLocation reads a location, which may be absent.
func (s ObservedState) ReadLocation(name string) Read {
	l := s.Location(name)
	r := Read{Thing: LocationKey(name), Sum: Sum(l), Brief: "absent"}
	if l != nil {
		r.Brief = fmt.Sprintf("floor %.4g, load %.4g, sources %v", l.Floor, l.Load, l.Sources)
	}
	return r
}

// ReadRules reads the rules.
func (s ObservedState) ReadRules() Read {
	return Read{Thing: RulesKey, Sum: Sum(s.Rules()), Brief: s.Rules().brief()}
}

// Reread reads a thing again by its key.
func (s ObservedState) Reread(thing string) (Read, error) {
	if thing == RulesKey {
		return s.ReadRules(), nil
	}
	if name, isHost := strings.CutPrefix(thing, hostPrefix); isHost && name != "" {
		return s.ReadHost(name), nil
	}
	if name, isLocation := strings.CutPrefix(thing, locationPrefix); isLocation && name != "" {
		return s.ReadLocation(name), nil
	}
	return Read{}, fmt.Errorf("fleet: nothing is called %q", thing)
}
