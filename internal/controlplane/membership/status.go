package membership

import (
	"cmp"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// lostExpiry is the time for which a lost director remains listed.
const lostExpiry = 10 * time.Minute

// LastContact returns the time of the last known contact with a director; known is false if there is no such director.
func (t *Tracker) LastContact(id string) (at time.Duration, known bool) {
	d := t.directors[id]
	if d == nil {
		return 0, false
	}
	return d.lastContact(), true
}

// ServedByRelay reports whether a director is in the session of any relay.
func (t *Tracker) ServedByRelay(id string) bool {
	d := t.directors[id]
	return d != nil && len(d.sessions) > 0
}

// Suspected reports whether a director has been silent for more than half of its lease and for longer than the intervals between
// its calls explain. It also returns true for an unknown director.
func (t *Tracker) Suspected(id string, now time.Duration) bool {
	d := t.directors[id]
	if d == nil {
		return true
	}
	silent := now - d.lastContact()
	return silent > d.callInterval+4*d.intervalDeviation && silent > t.settings.Lease/2
}

// Observe updates for how long directors and sessions have lacked the last event. It must be called many times a second. It skips
// directors that are served by relays; their relays' sessions are measured instead.
func (t *Tracker) Observe(last int64, now time.Duration) {
	for _, d := range t.withoutSession {
		d.behindFor = d.lag.Observe(d.applied, last, now)
	}
	for _, s := range t.sessions {
		s.behindFor = s.lag.Observe(s.lastUpdate.Current, last, now)
	}
}

// Version describes what a director has applied.
type Version struct {
	Applied int64         // last applied revision
	Config  string        // fingerprint of the director's configuration
	Relay   string        // ID of the relay that reported the director; empty: the director called a replica
	Behind  time.Duration // for how long it has lacked the last event; 0: it is up to date
}

// Versions returns the version of each director by ID. A director that is served by a relay is reported with the lowest revision of
// the relay's session, unless the relay lists it as stale.
func (t *Tracker) Versions() map[string]Version {
	versions := make(map[string]Version, len(t.directors))
	for id, d := range t.directors {
		v := Version{Applied: d.applied, Config: d.config, Behind: d.behindFor}
		if n := len(d.sessions); n > 0 {
			s := d.sessions[n-1]
			v.Applied = max(d.applied, s.lastUpdate.Current)
			v.Relay = s.lastUpdate.Relay.ID()
			v.Behind = s.behindFor
		}
		versions[id] = v
	}
	for _, s := range t.sessions {
		for _, stale := range s.lastUpdate.Stale {
			v, known := versions[stale.ID]
			if !known || v.Relay != s.lastUpdate.Relay.ID() {
				continue
			}
			v.Applied = stale.Revision
			v.Behind = time.Duration(stale.BehindMS) * time.Millisecond
			versions[stale.ID] = v
		}
	}
	return versions
}

// Lost is a director whose lease expired without the director having left.
type Lost struct {
	fleet.Director
	Since   time.Duration // time of the last known contact
	Applied int64         // last revision that it had applied
}

// Lost returns the directors that were lost within lostExpiry and whose names have not been seen again, sorted by name.
func (t *Tracker) Lost(now time.Duration) (all []Lost) {
	for name, l := range t.lost {
		if now-l.Since > lostExpiry {
			delete(t.lost, name)
			continue
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Lost) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Session describes a relay's session for the operator.
type Session struct {
	Update
	Renewed   time.Duration // time since the last renewal
	Directors int           // number of known directors in the session
	Behind    time.Duration // for how long its non-stale directors have lacked the last event
	Complete  bool          // whether a full list of its directors has been received
}

// Sessions returns the sessions of relays, sorted by the relays' IDs.
func (t *Tracker) Sessions(now time.Duration) (all []Session) {
	for _, s := range t.sessions {
		all = append(all, Session{
			Update:    s.lastUpdate,
			Renewed:   now - s.renewed,
			Directors: len(s.directors),
			Behind:    s.behindFor,
			Complete:  s.hasFullList,
		})
	}
	slices.SortFunc(all, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Relay.ID(), b.Relay.ID()), cmp.Compare(a.Session, b.Session))
	})
	return all
}

// HasRelaySession reports whether the relay with the given ID has a session.
func (t *Tracker) HasRelaySession(id string) bool {
	for _, s := range t.sessions {
		if s.lastUpdate.Relay.ID() == id {
			return true
		}
	}
	return false
}
