package api

import (
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Error kinds. They are part of the protocol, because callers branch on them.
const (
	Stale          = "stale"       // the fleet has changed since the plan was made; see Error.StaleReads
	Busy           = "busy"        // another apply holds the apply lock (see Error.RunningApply), or there is no capacity for another relay
	Damaged        = "damaged"     // the plan file can't be decoded
	Newer          = "newer"       // the plan file has a newer format version
	NotFound       = "not-found"   // no such apply, event or order exists
	WrongState     = "wrong-state" // the apply's status does not allow the order
	NotAllowed     = "not-allowed" // the caller is not authorized
	BadRequest     = "bad-request" // the request is malformed
	Failed         = "failed"      // internal error of the server
	NotLeader      = "not-leading" // another replica is the leader; see Error.Leader
	OutcomeUnknown = "unknown"     // the write may or may not have been committed; it can be retried under the same ID
	Rejected       = "refused"     // the membership change of the group was rejected
)

// Error is the response body of a request that failed.
type Error struct {
	Kind         string           `json:"error"`   // one of the constants above
	Message      string           `json:"message"` // human-readable
	StaleReads   []plan.StaleRead `json:"moved,omitempty"`
	RunningApply *apply.Record    `json:"holder,omitempty"`
	Leader       string           `json:"leader,omitempty"` // name of the leader; empty if unknown
}

func (e *Error) Error() string { return e.Message }
