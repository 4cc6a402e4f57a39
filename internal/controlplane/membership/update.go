package membership

import (
	"errors"

	"stairvane.org/stairvane/internal/fleet"
)

// Limits of sessions and updates.
const (
	MaxSessions         = 64   // concurrent sessions at the leader
	MaxSessionDirectors = 4000 // directors in one session
	MaxUpdateChanges    = 512  // directors that join, leave or are lost in one update
	MaxUpdateStale      = 32   // stale directors listed in one update
)

// Errors returned by Tracker.Update, which are sent to the relay.
var (
	ErrOldUpdate       = errors.New("membership: a later update of the session was taken")
	ErrTooManySessions = errors.New("membership: too many sessions of relays")
	ErrUpdateTooLarge  = errors.New("membership: an update or its session has too many directors")
)

// Relay describes a relay process. As with directors, Name and Incarnation together identify one process.
type Relay struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Region      string `json:"region,omitempty"`
}

// ID identifies the process.
func (r Relay) ID() string { return r.Name + "/" + r.Incarnation }

// JoinedDirector is a director that has started to call a relay, or whose description has changed.
type JoinedDirector struct {
	fleet.Director
	Config string `json:"config,omitempty"` // fingerprint of its configuration
}

// StaleDirector is a director that has lacked an event for too long.
type StaleDirector struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"` // last revision that it has acknowledged
	BehindMS int64  `json:"behind_ms"`
}

// Update is a relay's report about its directors, which it sends with each request. It includes the changes since the last answered
// request; each change is repeated until a request that includes it is answered. Applying an update is idempotent.
type Update struct {
	Relay    Relay  `json:"relay"`
	Session  uint64 `json:"session"`  // random number, generated when the relay starts
	Sequence uint64 `json:"sequence"` // increases with each request
	// Answered is the sequence of the last request whose answer the relay had received when it created this one. All calls from
	// directors that the relay received before that answer was sent are included in this update or in earlier ones.
	Answered uint64 `json:"answered,omitempty"`
	// Registration is the registration from the last answer. The changes of an update with a different registration are not
	// applied, because they refer to a list that this leader does not have.
	Registration uint64 `json:"registration,omitempty"`
	// Full marks the first update of a full list, which replaces everything that was reported earlier. The list ends with the first
	// update in which More is false.
	Full bool `json:"full,omitempty"`
	More bool `json:"more,omitempty"` // further changes follow in the next update

	Joined []JoinedDirector `json:"joined,omitempty"`
	Left   []string         `json:"left,omitempty"` // IDs of directors that announced that they are leaving
	Lost   []string         `json:"lost,omitempty"` // IDs of directors whose leases have expired

	Acknowledged int64           `json:"acknowledged"`          // lowest revision that all directors have acknowledged
	Current      int64           `json:"current"`               // the same, excluding stale directors
	Directors    int             `json:"directors"`             // number of directors with a lease from the relay
	StaleCount   int             `json:"stale_count,omitempty"` // number of stale directors, of which Stale may list only some
	Stale        []StaleDirector `json:"stale,omitempty"`
}
