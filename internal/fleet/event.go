package fleet

import "fmt"

// Event is one change of the fleet, numbered by its revision. Exactly one of Host, Location, Rules, Purge and Membership is set. Who,
// Apply and Step tell whose change it was.
type Event struct {
	No         int64             `json:"no"` // revision
	AtMS       int64             `json:"at_ms"`
	Who        string            `json:"who"`
	Apply      int64             `json:"apply,omitempty"`
	Step       int               `json:"step,omitempty"`
	Host       *Host             `json:"member,omitempty"`
	Location   *Location         `json:"location,omitempty"`
	Removed    bool              `json:"gone,omitempty"` // the location is removed
	Rules      *Rules            `json:"rules,omitempty"`
	Purge      *Purge            `json:"purge,omitempty"`
	Membership *MembershipChange `json:"roll,omitempty"`
}

// ChangesEndpoints reports whether the event counts as a new version of the endpoint list for directors. All but purges do, also
// events of rules and members, so that the versions that directors compare only grow.
func (e Event) ChangesEndpoints() bool { return e.Purge == nil }

// Purge drops all stored responses of an object (16 hex digits) or of a group that are older than IssuedMS.
type Purge struct {
	Object   string `json:"object,omitempty"`
	Group    *int   `json:"group,omitempty"` // 0 to 255
	IssuedMS int64  `json:"issued_ms"`
}

// PurgeMark is a purge with the revision of its event.
type PurgeMark struct {
	No int64 `json:"No"`
	Purge
}

// PurgeKeepMS is for how long a purge is sent to directors that come with an older revision, in milliseconds. Every response that a
// purge is about has left the caches after some seconds.
const PurgeKeepMS = 10 * 60 * 1000

// maxPurgeGroup is the greatest number of a group.
const maxPurgeGroup = 255

// Check gives the reason why an event can't follow on this state; nil if it can.
func (f Fleet) Check(e Event) error {
	if e.No != f.Revision+1 {
		return fmt.Errorf("event %d can't follow event %d", e.No, f.Revision)
	}
	set := 0
	for _, isSet := range []bool{e.Host != nil, e.Location != nil, e.Rules != nil, e.Purge != nil, e.Membership != nil} {
		if isSet {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("event %d changes %d things, not one", e.No, set)
	}
	switch {
	case e.Host != nil:
		return f.checkHost(e.Host)
	case e.Purge != nil:
		return e.Purge.check()
	case e.Membership != nil:
		return e.Membership.check(f)
	case e.Location != nil && e.Location.Name == "":
		return fmt.Errorf("event %d: a location without a name", e.No)
	}
	return nil
}

func (f Fleet) checkHost(h *Host) error {
	old := f.Host(h.Name)
	switch {
	case h.Name == "" || h.Address == "":
		return fmt.Errorf("box %q at %q: name and address are needed", h.Name, h.Address)
	case h.State != InService && h.State != Terminating && h.State != Terminated:
		return fmt.Errorf("box %s: unknown state %q", h.Name, h.State)
	case old == nil && h.State != InService:
		return fmt.Errorf("box %s is not in the fleet", h.Name)
	}
	if other := f.HostAt(h.Address); other != nil && other.Name != h.Name && h.State != Terminated {
		return fmt.Errorf("box %s: address %s is still that of %s", h.Name, h.Address, other.Name)
	}
	return nil
}

func (p Purge) check() error {
	if (p.Object == "") == (p.Group == nil) {
		return fmt.Errorf("a purge names either an object or a group")
	}
	if p.Object != "" && !isObjectID(p.Object) {
		return fmt.Errorf("object %q is not 16 hex digits", p.Object)
	}
	if p.Group != nil && (*p.Group < 0 || *p.Group > maxPurgeGroup) {
		return fmt.Errorf("group %d is not within 0 to %d", *p.Group, maxPurgeGroup)
	}
	return nil
}

// isObjectID tells whether a string is 16 lower-case hex digits.
func isObjectID(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}
