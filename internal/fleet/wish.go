package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// SlowStart is the rule for boxes of a role that have just started: what part of its capacity such a box has at first, after
// how long it has all, and at how many times its present capacity it falls over.
type SlowStart struct {
	InitialShare   float64 `json:"start"`
	WarmUpMS       int64   `json:"warm_ms"`
	OverloadFactor float64 `json:"fall"`
}

// BearableLoad is the load that a box of this capacity bears the moment it has started.
func (c SlowStart) BearableLoad(share float64) float64 {
	return c.OverloadFactor * c.InitialShare * share
}

// Rules are the constraints' figures and how a change is carried out.
type Rules struct {
	Cache            SlowStart `json:"cache"`
	Parent           SlowStart `json:"hub"`
	MissShare        float64   `json:"miss"`      // part of a warm cache's requests that are filled from a source
	MaxColdShare     float64   `json:"cold_most"` // part of a location's capacity that may be cold at once, one box at least
	MaxParallelSteps int       `json:"width"`     // steps under way at once
	OnFault          string    `json:"on_trouble"`
	DrainSettleMS    int64     `json:"drain_settle_ms"` // after the drain was told: until its last requests are answered
	NotifiedWithinMS int64     `json:"told_within_ms"`  // after which an event counts as told whether it arrived or not
	StepTimeoutMS    int64     `json:"give_up_ms"`      // a step that is not done by then is trouble
}

// What an apply does in trouble.
const (
	Pause  = "pause"
	Revert = "revert"
)

// DefaultRules are the figures of the deployment's terms.
func DefaultRules() Rules {
	return Rules{
		Cache: SlowStart{InitialShare: 0.17, WarmUpMS: 16_000, OverloadFactor: 4}, Parent: SlowStart{InitialShare: 0.061, WarmUpMS: 20_000, OverloadFactor: 2},
		MissShare: 0.25, MaxColdShare: 0.25, MaxParallelSteps: 8, OnFault: Pause,
		DrainSettleMS: 6_500, NotifiedWithinMS: 7_000, StepTimeoutMS: 120_000,
	}
}

// SlowStart is the rule for a role.
func (r Rules) SlowStart(role Role) SlowStart {
	if role == Parent {
		return r.Parent
	}
	return r.Cache
}

// DesiredState is a wished fleet: boxes and locations by name. Normal brings it into that order.
type DesiredState struct {
	Rules     Rules      `json:"rules"`
	Locations []Location `json:"locations"`
	Hosts     []HostSpec `json:"boxes"`
}

// Normalize sorts a wish, so that equal wishes have equal sums.
func (w *DesiredState) Normalize() {
	slices.SortFunc(w.Locations, func(a, b Location) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(w.Hosts, func(a, b HostSpec) int { return cmp.Compare(a.Name, b.Name) })
}

// ValidationError is one thing that makes a wish impossible in itself. Thing is "box NAME" or "location NAME".
type ValidationError struct {
	Thing   string
	Key     string
	Message string
}

// Validate are all that is wrong with a wish, whatever the world is.
func (w DesiredState) Validate() (flaws []ValidationError) {
	add := func(thing, key, format string, args ...any) {
		flaws = append(flaws, ValidationError{thing, key, fmt.Sprintf(format, args...)})
	}
	boxes, addresses := map[string]HostSpec{}, map[string]string{}
	sums, most := map[string]float64{}, map[string]HostSpec{}
	for _, b := range w.Hosts {
		thing := "box " + b.Name
		if _, twice := boxes[b.Name]; twice {
			add(thing, "", "declared twice")
			continue
		}
		boxes[b.Name] = b
		if other, taken := addresses[b.Address]; taken {
			add(thing, "at", "address %s is that of %s", b.Address, other)
		}
		addresses[b.Address] = b.Name
		if b.Role == Cache {
			sums[b.Site] += b.Share
			if b.Share > most[b.Site].Share {
				most[b.Site] = b
			}
		}
	}
	seen := map[string]bool{}
	for _, l := range w.Locations {
		thing := "location " + l.Name
		if seen[l.Name] {
			add(thing, "", "declared twice")
			continue
		}
		seen[l.Name] = true
		if left := sums[l.Name] - most[l.Name].Share; l.Floor > 0 && less(left, l.Floor) {
			add(thing, "floor", "floor %.4g can't be kept: with %s dying %.4g of %.4g is left; add boxes or lower the floor",
				l.Floor, nameOr(most[l.Name].Name, "its box"), left, sums[l.Name])
		}
		hubs, stores := 0, 0
		for i, s := range l.Sources {
			b, known := boxes[s]
			switch {
			case slices.Contains(l.Sources[:i], s):
				add(thing, "sources", "source %s is named twice", s)
			case !known:
				add(thing, "sources", "source %s is no box of this file", s)
			case b.Role == Cache:
				add(thing, "sources", "source %s is a cache; fills come from hubs and the origin", s)
			case b.Role == Parent:
				hubs++
			default:
				stores++
			}
		}
		if sums[l.Name] > 0 && hubs+stores == 0 {
			add(thing, "sources", "no source: its caches could not be filled")
		}
	}
	for _, b := range w.Hosts {
		if b.Role == Cache && !seen[b.Site] {
			add("box "+b.Name, "", "its location %s is not declared", b.Site)
		}
	}
	return flaws
}

func nameOr(name, other string) string {
	if name == "" {
		return other
	}
	return name
}

// DesiredState is the wish that asks for the fleet as it is declared: what is draining is not wished.
func (f Fleet) DesiredState() DesiredState {
	w := DesiredState{Rules: f.Rules()}
	for m := range f.Hosts() {
		if m.State == InService {
			w.Hosts = append(w.Hosts, m.HostSpec)
		}
	}
	for l := range f.Locations() {
		w.Locations = append(w.Locations, *l)
	}
	return w
}

// less compares shares; what differs by rounding alone is equal.
func less(a, b float64) bool { return a < b-1e-9 }
