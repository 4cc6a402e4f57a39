package plan

import (
	"fmt"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
)

// Kind is the kind of change that a step makes.
type Kind string

// Kinds of steps, with the names of the plan file.
const (
	SetRules Kind = "rules"  // put new rules into force
	Locate   Kind = "locate" // declare a location, or change its floor and load
	Widen    Kind = "widen"  // add sources to a location
	Narrow   Kind = "narrow" // remove sources from a location
	Forget   Kind = "forget" // remove a location
	Add      Kind = "add"    // put a host in service
	Raise    Kind = "raise"  // increase the share of a host
	Lower    Kind = "lower"  // decrease the share of a host
	Drain    Kind = "drain"
	Remove   Kind = "remove" // remove a drained host from the endpoint list
)

// Wait is the condition that completes a step after its event.
type Wait string

// Wait conditions.
const (
	Notified Wait = "told"    // every director has acknowledged the event, or NotifiedWithinMS has passed
	Warm     Wait = "warm"    // after Notified: the host has warmed up, and is observed as up if there is an observer
	Drained  Wait = "drained" // after Notified: DrainSettleMS has passed, in which the last requests are answered
)

// Step is one change and its event. Before and WasAt are the required state of the host or the location when the step starts; nil: absent.
type Step struct {
	ID       int             `json:"id"` // from 1, in the order of the plan
	Kind     Kind            `json:"kind"`
	Group    int             `json:"group"`           // steps of different groups do not affect each other's constraints
	Wave     int             `json:"wave"`            // number within its group; the steps of a wave may run concurrently, in any order
	After    []int           `json:"after,omitempty"` // IDs of the steps that must be completed before
	Wait     Wait            `json:"wait"`
	Before   *fleet.Host     `json:"before,omitempty"`
	Host     *fleet.Host     `json:"member,omitempty"` // state after the step; AddedMS is set when an Add takes effect
	WasAt    *fleet.Location `json:"was_at,omitempty"`
	Location *fleet.Location `json:"location,omitempty"`
	Rules    *fleet.Rules    `json:"rules,omitempty"`
}

// Event returns the event of a step that takes effect at nowMS.
func (s Step) Event(revision, nowMS int64, who string, apply int64) fleet.Event {
	e := fleet.Event{
		No:       revision,
		AtMS:     nowMS,
		Who:      who,
		Apply:    apply,
		Step:     s.ID,
		Location: s.Location,
		Rules:    s.Rules,
		Removed:  s.Kind == Forget,
	}
	if s.Host != nil {
		host := *s.Host
		if s.Kind == Add && host.NeedsWarmUp() {
			host.AddedMS = nowMS
		}
		e.Host = &host
	}
	return e
}

// Target returns the key of the host, location or rules that the step changes.
func (s Step) Target() string {
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
		return fmt.Sprintf("add %s %s at %s in %s, %s", s.Host.Role, s.Host.Name, s.Host.Address, s.Host.Site, s.describeShare())
	case Raise, Lower:
		return fmt.Sprintf("%s %s from share %.4g to %.4g", s.Kind, s.Host.Name, s.Before.Serving, s.Host.Serving)
	}
	return fmt.Sprintf("%s %s %s in %s", s.Kind, s.Host.Role, s.Host.Name, s.Host.Site)
}

// describeShare returns a description of the share of a host that is added.
func (s Step) describeShare() string {
	share := fmt.Sprintf("share %.4g", s.Host.Serving)
	if s.Host.Serving != s.Host.Share {
		share = fmt.Sprintf("share %.4g of %.4g at first", s.Host.Serving, s.Host.Share)
	}
	if s.Host.Running {
		share += ", running already"
	}
	return share
}
