// Package plan makes plans: the difference between a wished fleet and a world as a graph of steps, in an order that keeps
// every constraint at every prefix of the apply and with any one box dying. It also reads and writes the plan file's
// bytes. It is pure; carrying a plan out is fleet/apply's.
package plan

import (
	"fmt"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
)

// Kind is what a step does.
type Kind string

// Kinds of steps.
const (
	SetRules Kind = "rules"  // put new rules in force
	Locate   Kind = "locate" // declare a location, or change what it must keep
	Widen    Kind = "widen"  // let a location fill from more sources
	Narrow   Kind = "narrow" // take sources from a location
	Forget   Kind = "forget" // give a location up
	Add      Kind = "add"    // put a box in service, cold
	Raise    Kind = "raise"  // give a box more share
	Lower    Kind = "lower"  // give a box less share
	Drain    Kind = "drain"
	Remove   Kind = "remove" // take a drained box off the list
)

// Wait is what a step waits for after its event.
type Wait string

// Waits. Each holds the ones before it: what is drained was told first.
const (
	Notified Wait = "told"    // every director has the event, or counts as having it
	Warm     Wait = "warm"    // the box has all of its capacity, and is seen up where an observer looks
	Drained  Wait = "drained" // told, and the last requests have had their time
)

// Step is one change and its event. Before is what the box or location must be when the step begins; nil: absent.
type Step struct {
	ID       int             `json:"id"` // from 1, in the order of the plan
	Kind     Kind            `json:"kind"`
	Group    int             `json:"group"` // steps of different groups do not bear on each other
	Wave     int             `json:"wave"`  // within its group; the steps of a wave may run at once, in any order
	After    []int           `json:"after,omitempty"`
	Wait     Wait            `json:"wait"`
	Before   *fleet.Host     `json:"before,omitempty"`
	Host     *fleet.Host     `json:"member,omitempty"` // as it is to be; its BornMS is set when an Add takes effect
	WasAt    *fleet.Location `json:"was_at,omitempty"`
	Location *fleet.Location `json:"location,omitempty"`
	Rules    *fleet.Rules    `json:"rules,omitempty"`
}

// Event is the event of a step that takes effect at a time.
func (s Step) Event(no, nowMS int64, who string, apply int64) fleet.Event {
	e := fleet.Event{No: no, AtMS: nowMS, Who: who, Apply: apply, Step: s.ID, Location: s.Location, Rules: s.Rules, Removed: s.Kind == Forget}
	if s.Host != nil {
		m := *s.Host
		if s.Kind == Add && m.NeedsWarmUp() {
			m.BornMS = nowMS
		}
		e.Host = &m
	}
	return e
}

// Thing is the key of what the step changes.
func (s Step) Thing() string {
	switch {
	case s.Host != nil:
		return fleet.HostKey(s.Host.Name)
	case s.Location != nil:
		return fleet.LocationKey(s.Location.Name)
	}
	return fleet.RulesKey
}

func (s Step) String() string {
	switch s.Kind {
	case SetRules:
		return "set the rules"
	case Locate:
		return fmt.Sprintf("locate %s: floor %.4g, load %.4g", s.Location.Name, s.Location.Floor, s.Location.Load)
	case Widen, Narrow:
		return fmt.Sprintf("%s sources of %s to %s", s.Kind, s.Location.Name, strings.Join(s.Location.Sources, ", "))
	case Forget:
		return "forget location " + s.Location.Name
	case Add:
		share := fmt.Sprintf("share %.4g", s.Host.Serving)
		if s.Host.Serving != s.Host.Share {
			share = fmt.Sprintf("share %.4g of %.4g at first", s.Host.Serving, s.Host.Share)
		}
		if s.Host.Running {
			share += ", running already"
		}
		return fmt.Sprintf("add %s %s at %s in %s, %s", s.Host.Role, s.Host.Name, s.Host.Address, s.Host.Site, share)
	case Raise, Lower:
		return fmt.Sprintf("%s %s from share %.4g to %.4g", s.Kind, s.Host.Name, s.Before.Serving, s.Host.Serving)
	}
	return fmt.Sprintf("%s %s %s in %s", s.Kind, s.Host.Role, s.Host.Name, s.Host.Site)
}

// Plan is a change that is fixed: what was read, and the steps.
type Plan struct {
	Revision    int64        `json:"revision"` // of the fleet that was read
	NowMS       int64        `json:"now_ms"`   // when it was read
	DesiredFile string       `json:"wish_file,omitempty"`
	DesiredSum  string       `json:"wish_sum"`
	RevertOf    int64        `json:"revert_of,omitempty"` // the apply that this plan undoes
	Rules       fleet.Rules  `json:"rules"`               // in force while it is carried out
	Reads       []fleet.Read `json:"reads"`
	Steps       []Step       `json:"steps"`
}

// StaleRead is one thing that is not as a plan read it.
type StaleRead struct {
	Thing string `json:"thing"`
	Was   string `json:"was"`
	Is    string `json:"is"`
}

func (m StaleRead) String() string { return fmt.Sprintf("%s was %s, is %s", m.Thing, m.Was, m.Is) }

// Stale compares what a plan read with the world as it is.
func (p *Plan) Stale(w fleet.ObservedState) (moved []StaleRead, err error) {
	for _, r := range p.Reads {
		is, err := w.Reread(r.Thing)
		if err != nil {
			return nil, err
		}
		if is.Sum != r.Sum {
			moved = append(moved, StaleRead{Thing: r.Thing, Was: r.Brief, Is: is.Brief})
		}
	}
	return moved, nil
}

// Blocked is a change that no order makes possible, and why.
type Blocked struct {
	Change string   `json:"change"`
	Why    string   `json:"why"`
	Boxes  []string `json:"boxes,omitempty"`
	Remedy string   `json:"remedy"`
}

// Impossible is why there is no plan.
type Impossible struct {
	Blocked []Blocked `json:"blocked"`
}

func (e *Impossible) Error() string {
	lines := []string{"no order of steps keeps the constraints"}
	for _, b := range e.Blocked {
		lines = append(lines, fmt.Sprintf("  %s: %s; %s", b.Change, b.Why, b.Remedy))
	}
	return strings.Join(lines, "\n")
}
