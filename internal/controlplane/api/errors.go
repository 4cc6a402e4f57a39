package api

import (
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Kinds of errors. They are part of the protocol: callers decide by them.
const (
	Stale          = "stale"       // the fleet has changed since the plan was made, see Error.Moved
	Busy           = "busy"        // another apply has the lease, see Error.LeaseHolder; or there is no capacity for a relay
	Damaged        = "damaged"     // the plan file can't be read
	Newer          = "newer"       // the plan file is of a newer version
	NotFound       = "not-found"   // there is no such apply, event or order
	WrongState     = "wrong-state" // the apply's status does not allow the order
	NotAllowed     = "not-allowed" // the caller may not call
	BadRequest     = "bad-request" // the request is malformed
	Failed         = "failed"      // a fault of the server
	NotLeader      = "not-leading" // another replica leads, see Error.Leader
	OutcomeUnknown = "unknown"     // it is not known whether the write was made: it may be repeated under the same ID
	Rejected       = "refused"     // a change of the replicas that is not made
)

// Error is the answer to a request that was not served.
type Error struct {
	Kind         string           `json:"error"`   // one of the constants above
	Message      string           `json:"message"` // for people
	Moved        []plan.StaleRead `json:"moved,omitempty"`
	RunningApply *apply.Record    `json:"holder,omitempty"`
	Leader       string           `json:"leader,omitempty"` // the replica that leads; empty if it is not known
}

func (e *Error) Error() string { return e.Message }
