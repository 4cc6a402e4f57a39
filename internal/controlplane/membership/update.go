package membership

import (
	"errors"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Bounds of what is held of relays and their directors.
const (
	MaxSessions         = 64   // sessions at the leader at once
	MaxSessionDirectors = 4000 // directors under one session
	MaxUpdateChanges    = 512  // directors that join, leave or are lost in one update
	MaxUpdateStale      = 32   // stale directors that one update names
)

// Errors of Tracker.Update.
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

// JoinedDirector is a director that has begun to call a relay, or whose description has changed.
type JoinedDirector struct {
	fleet.Director
	Config string `json:"config,omitempty"` // a mark of its configuration
}

// StaleDirector is a director that has lacked an event for too long.
type StaleDirector struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"` // that it has acknowledged
	BehindMS int64  `json:"behind_ms"`
}

// Update is what a relay says of its directors with each request: only what has changed. Each change is repeated until a
// request with it is answered; taking it in twice changes nothing.
type Update struct {
	Relay    Relay  `json:"relay"`
	Session  uint64 `json:"session"`  // random, drawn when the relay starts
	Sequence uint64 `json:"sequence"` // rises with each request
	// Answered is the sequence of the last request whose answer the relay had when it made this one: all calls of
	// directors that it took in before that answer was given are in this update or in earlier ones.
	Answered uint64 `json:"answered,omitempty"`
	// Registration is the one that the last answer named. An update that was made under another one is not taken: it says
	// what has changed since a picture of the relay that this leader does not have.
	Registration uint64 `json:"registration,omitempty"`
	// Full marks the first update of a whole list: what earlier ones said counts no more. The list ends with the first
	// update that is not marked More.
	Full bool `json:"full,omitempty"`
	More bool `json:"more,omitempty"` // further changes wait for the next update

	Joined []JoinedDirector `json:"joined,omitempty"`
	Left   []string         `json:"left,omitempty"` // IDs: they have said so and hold nothing any more
	Lost   []string         `json:"lost,omitempty"` // IDs: they have not called for longer than their lease lasts

	Acknowledged int64           `json:"acknowledged"`          // the lowest revision of all its directors
	Current      int64           `json:"current"`               // the same without stale directors
	Directors    int             `json:"directors"`             // in lease with the relay
	StaleCount   int             `json:"stale_count,omitempty"` // may be more than are named
	Stale        []StaleDirector `json:"stale,omitempty"`
}

// Lag measures for how long a reader has lacked an event. One that follows a little behind a log that grows is not behind
// since the first time that it lacked one: the time counts for each event anew.
type Lag struct {
	target int64
	since  time.Duration
	behind bool
}

// Observe takes in what the reader has acknowledged and the last revision, and tells how long it has been behind.
func (l *Lag) Observe(acknowledged, last int64, now time.Duration) time.Duration {
	switch {
	case acknowledged >= last:
		l.behind = false
		return 0
	case !l.behind || acknowledged >= l.target:
		l.behind, l.target, l.since = true, last, now
		return 0
	}
	return now - l.since
}
