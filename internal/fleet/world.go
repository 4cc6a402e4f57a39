package fleet

import "fmt"

// Sight is what the observer last saw of a box.
type Sight string

// Sights. A box that nobody has looked at is unknown, and counts as up: without an observer the declared state is all.
const (
	Unknown     Sight = "unknown"
	Up          Sight = "up"
	Unreachable Sight = "unreachable"
)

// Observation is what was seen of a box. RestartedMS is when it came back as a new process, cold; 0: it never did.
type Observation struct {
	Sight       Sight `json:"sight"`
	SinceMS     int64 `json:"since_ms"`
	RestartedMS int64 `json:"restarted_ms,omitempty"`
}

// ObservedState is what a plan is made against: the declared fleet, what was seen of it, and when.
type ObservedState struct {
	Fleet
	Observed map[string]Observation
	NowMS    int64
}

// Serves tells whether clients or caches are sent to the box, as far as anybody knows.
func (w ObservedState) Serves(m *Host) bool {
	return m.State == InService && w.Observed[m.Name].Sight != Unreachable
}

// ColdUntil is when the box will be warm; 0 if nothing says that it started late.
func (w ObservedState) ColdUntil(m *Host) int64 {
	started := max(m.BornMS, w.Observed[m.Name].RestartedMS)
	if started == 0 || m.Role == Origin {
		return 0
	}
	return started + w.Rules().SlowStart(m.Role).WarmUpMS
}

// IsCold tells whether the box has not all of its capacity yet.
func (w ObservedState) IsCold(m *Host) bool { return w.ColdUntil(m) > w.NowMS }

// Keys of the things that a plan reads.
const RulesKey = "rules"

// HostKey names a box among the things of a world.
func HostKey(name string) string { return "box " + name }

// LocationKey names a location among the things of a world.
func LocationKey(name string) string { return "location " + name }

// Read is one thing that a plan was made against. Brief says it in words, so that a refusal can tell what moved.
type Read struct {
	Thing string `json:"thing"`
	Sum   string `json:"sum"`
	Brief string `json:"brief"`
}

// seenBox is what a plan reads of a box. Whether a box that nobody sees is looked at at all makes no difference.
type seenBox struct {
	Member      *Host
	Unreachable bool
	RestartedMS int64
}

// ReadHost reads a box, which may be absent.
func (w ObservedState) ReadHost(name string) Read {
	s := seenBox{Member: w.Host(name)}
	if s.Member == nil {
		return Read{Thing: HostKey(name), Sum: Sum(s), Brief: "absent"}
	}
	o := w.Observed[name]
	s.Unreachable, s.RestartedMS = o.Sight == Unreachable, o.RestartedMS
	brief := fmt.Sprintf("%s at %s, share %.4g", s.Member.State, s.Member.Address, s.Member.Share)
	if s.Member.Serving != s.Member.Share {
		brief += fmt.Sprintf(" (serving %.4g)", s.Member.Serving)
	}
	if s.Unreachable {
		brief += ", not reachable"
	}
	if s.RestartedMS > 0 {
		brief += fmt.Sprintf(", restarted at %d", s.RestartedMS)
	}
	return Read{Thing: HostKey(name), Sum: Sum(s), Brief: brief}
}

// ReadLocation reads a location, which may be absent.
func (w ObservedState) ReadLocation(name string) Read {
	l := w.Location(name)
	r := Read{Thing: LocationKey(name), Sum: Sum(l), Brief: "absent"}
	if l != nil {
		r.Brief = fmt.Sprintf("floor %.4g, load %.4g, sources %v", l.Floor, l.Load, l.Sources)
	}
	return r
}

// ReadRules reads the rules.
func (w ObservedState) ReadRules() Read {
	return Read{Thing: RulesKey, Sum: Sum(w.Rules()), Brief: fmt.Sprintf("%+v", w.Rules())}
}

// Reread reads a thing again by its key.
func (w ObservedState) Reread(thing string) (Read, error) {
	var name string
	switch {
	case thing == RulesKey:
		return w.ReadRules(), nil
	case cut(thing, "box ", &name):
		return w.ReadHost(name), nil
	case cut(thing, "location ", &name):
		return w.ReadLocation(name), nil
	}
	return Read{}, fmt.Errorf("fleet: nothing is called %q", thing)
}

func cut(s, prefix string, rest *string) bool {
	if len(s) <= len(prefix) || s[:len(prefix)] != prefix {
		return false
	}
	*rest = s[len(prefix):]
	return true
}
