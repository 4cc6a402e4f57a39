package fleet

import "fmt"

// Event is one change of the fleet, numbered by its revision. Exactly one of Host, Location, Rules, Purge and Membership is set. Who,
// Apply and Step identify the origin of the change: the person, the apply and its step.
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

// ChangesEndpoints reports whether the event counts as a new version of the endpoint list for directors. All events except purges do,
// including changes of rules and members, so that the versions that directors compare only grow.
func (e Event) ChangesEndpoints() bool { return e.Purge == nil }

// Purge invalidates all stored responses of an object (16 hex digits) or of a purge group that are older than IssuedMS.
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

// PurgeRetentionMS is the time in milliseconds for which a purge is retained and sent to directors that ask with an older revision. The
// responses that a purge affects have left all caches within seconds.
const PurgeRetentionMS = 10 * 60 * 1000

// maxPurgeGroup is the highest number of a purge group.
const maxPurgeGroup = 255

// Check returns an error that says why an event can't be applied to this state, or nil if it can.
func (f Fleet) Check(e Event) error {
	if e.No != f.Revision+1 {
		return fmt.Errorf("event %d can't follow event %d", e.No, f.Revision)
	}
	fieldsSet := 0
	for _, isSet := range []bool{e.Host != nil, e.Location != nil, e.Rules != nil, e.Purge != nil, e.Membership != nil} {
		if isSet {
			fieldsSet++
		}
	}
	if fieldsSet != 1 {
		return fmt.Errorf("event %d has %d changes, want exactly one", e.No, fieldsSet)
	}
	switch {
	case e.Host != nil:
		return f.checkHost(e.Host)
	case e.Purge != nil:
		return e.Purge.check()
	case e.Membership != nil:
		return e.Membership.check(f)
	case e.Location != nil && e.Location.Name == "":
		return fmt.Errorf("event %d: location has no name", e.No)
	}
	return nil
}

func (f Fleet) checkHost(h *Host) error {
	old := f.Host(h.Name)
	switch {
	case h.Name == "" || h.Address == "":
		return fmt.Errorf("host %q at %q: name and address are required", h.Name, h.Address)
	case h.State != InService && h.State != Terminating && h.State != Terminated:
		return fmt.Errorf("host %s: unknown state %q", h.Name, h.State)
	case old == nil && h.State != InService:
		return fmt.Errorf("host %s is not in the fleet", h.Name)
	}
	if other := f.HostAt(h.Address); other != nil && other.Name != h.Name && h.State != Terminated {
		return fmt.Errorf("host %s: address %s is still in use by %s", h.Name, h.Address, other.Name)
	}
	return nil
}

func (p Purge) check() error {
	if (p.Object == "") == (p.Group == nil) {
		return fmt.Errorf("a purge must name either an object or a purge group")
	}
	if p.Object != "" && !isObjectID(p.Object) {
		return fmt.Errorf("object %q is not 16 hex digits", p.Object)
	}
	if p.Group != nil && (*p.Group < 0 || *p.Group > maxPurgeGroup) {
		return fmt.Errorf("purge group %d is not within 0 to %d", *p.Group, maxPurgeGroup)
	}
	return nil
}

// isObjectID reports whether a string consists of 16 lower-case hex digits.
func isObjectID(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}
