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
	Locate   Kind = "locate" // declare a location, or change its floor and load
	Widen    Kind = "widen"  // let a location fill from more sources
	Narrow   Kind = "narrow" // take sources from a location
	Forget   Kind = "forget" // remove a location
	Add      Kind = "add"    // put a host in service
	Raise    Kind = "raise"  // give a host more share
	Lower    Kind = "lower"  // give a host less share
	Drain    Kind = "drain"
	Remove   Kind = "remove" // take a drained host off the endpoint list
)

// Wait is what a step waits for after its event.
type Wait string

// Waits.
const (
	Notified Wait = "told"    // every director has acknowledged the event, or counts as having it
	Warm     Wait = "warm"    // after Notified: the host has warmed up, and is seen up if hosts are observed
	Drained  Wait = "drained" // after Notified: the last requests have had their time
)

// Step is one change and its event. Before and WasAt are what the host or the location must be when the step begins; nil: absent.
type Step struct {
	ID       int             `json:"id"` // from 1 on, in the order of the plan
	Kind     Kind            `json:"kind"`
	Group    int             `json:"group"`           // steps of different groups do not bear on each other
	Wave     int             `json:"wave"`            // within its group; the steps of a wave may run at once, in any order
	After    []int           `json:"after,omitempty"` // IDs of the steps that must be done before
	Wait     Wait            `json:"wait"`
	Before   *fleet.Host     `json:"before,omitempty"`
	Host     *fleet.Host     `json:"member,omitempty"` // as it is to be; its BornMS is set when an Add takes effect
	WasAt    *fleet.Location `json:"was_at,omitempty"`
	Location *fleet.Location `json:"location,omitempty"`
	Rules    *fleet.Rules    `json:"rules,omitempty"`
}

// Event is the event of a step that takes effect at a time.
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
			host.BornMS = nowMS
		}
		e.Host = &host
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
		return fmt.Sprintf("add %s %s at %s in %s, %s", s.Host.Role, s.Host.Name, s.Host.Address, s.Host.Site, s.describeShare())
	case Raise, Lower:
		return fmt.Sprintf("%s %s from share %.4g to %.4g", s.Kind, s.Host.Name, s.Before.Serving, s.Host.Serving)
	}
	return fmt.Sprintf("%s %s %s in %s", s.Kind, s.Host.Role, s.Host.Name, s.Host.Site)
}

// describeShare is the share of a host that is added.
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
