package membership

import (
	"errors"

	"stairvane.org/stairvane/internal/fleet"
)

// Bounds of what is known of relays and their directors.
const (
	MaxSessions         = 64   // sessions at the leader at once
	MaxSessionDirectors = 4000 // directors under one session
	MaxUpdateChanges    = 512  // directors that join, leave or are lost in one update
	MaxUpdateStale      = 32   // stale directors that one update names
)

// Errors of Tracker.Update. The relay is to be answered with them.
var (
	ErrOldUpdate       = errors.New("membership: a later update of the session was taken")
	ErrTooManySessions = errors.New("membership: too many sessions of relays")
	ErrUpdateTooLarge  = errors.New("membership: an update or its session has too many directors")
)

// Relay describes a relay process. Name and Incarnation together are one process, as with directors.
type Relay struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Region      string `json:"region,omitempty"`
}

// ID names the process.
func (r Relay) ID() string { return r.Name + "/" + r.Incarnation }

// JoinedDirector is a director that has begun to call a relay, or that describes itself anew.
type JoinedDirector struct {
	fleet.Director
	Config string `json:"config,omitempty"` // fingerprint of its configuration
}

// StaleDirector is a director that has lacked an event for too long.
type StaleDirector struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"` // that it has acknowledged
	BehindMS int64  `json:"behind_ms"`
}

// Update is what a relay reports of its directors with each request: the changes since the last answer. Each change is repeated
// until a request with it is answered. Taking it twice changes nothing.
type Update struct {
	Relay    Relay  `json:"relay"`
	Session  uint64 `json:"session"`  // random, drawn when the relay starts
	Sequence uint64 `json:"sequence"` // rises with each request
	// Answered is the sequence of the last request whose answer the relay had when it made this one. All calls of directors
	// that the relay took before that answer was given are in this update or in earlier ones.
	Answered uint64 `json:"answered,omitempty"`
	// Registration is that of the last answer. The changes of an update under another one are not taken: they are changes of
	// a list that this leader does not have.
	Registration uint64 `json:"registration,omitempty"`
	// Full marks the first update of a full list, which replaces what earlier updates reported. The list ends with the first
	// update without More.
	Full bool `json:"full,omitempty"`
	More bool `json:"more,omitempty"` // further changes wait for the next update

	Joined []JoinedDirector `json:"joined,omitempty"`
	Left   []string         `json:"left,omitempty"` // IDs: they have said that they leave
	Lost   []string         `json:"lost,omitempty"` // IDs: their leases are over

	Acknowledged int64           `json:"acknowledged"`          // the lowest revision of all of its directors
	Current      int64           `json:"current"`               // the same without stale directors
	Directors    int             `json:"directors"`             // in lease with the relay
	StaleCount   int             `json:"stale_count,omitempty"` // may be more than are named
	Stale        []StaleDirector `json:"stale,omitempty"`
}
