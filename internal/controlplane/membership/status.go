package membership

import (
	"cmp"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// lostExpiry is the time for which a director that was lost is listed.
const lostExpiry = 10 * time.Minute

// LastContact returns when a director was known to be there last; false if it is not known.
func (t *Tracker) LastContact(id string) (at time.Duration, known bool) {
	d := t.directors[id]
	if d == nil {
		return 0, false
	}
	return d.lastContact(), true
}

// ServedByRelay reports whether a relay has a director in its session.
func (t *Tracker) ServedByRelay(id string) bool {
	d := t.directors[id]
	return d != nil && len(d.sessions) > 0
}

// Suspected reports whether a director has been silent for longer than its connection explains, though it is not gone yet.
func (t *Tracker) Suspected(id string, now time.Duration) bool {
	d := t.directors[id]
	if d == nil {
		return true
	}
	silent := now - d.lastContact()
	return silent > d.callInterval+4*d.intervalDeviation && silent > t.set.Lease/2
}

// Observe measures for how long directors and sessions have lacked the last event. It is to be called many times a second. It
// does not look at directors that relays serve.
func (t *Tracker) Observe(last int64, now time.Duration) {
	for _, d := range t.withoutSession {
		d.behind = d.lag.Observe(d.applied, last, now)
	}
	for _, s := range t.sessions {
		s.behind = s.lag.Observe(s.update.Current, last, now)
	}
}

// Version is what a director has applied.
type Version struct {
	Applied int64         // revision
	Config  string        // fingerprint of its configuration
	Relay   string        // ID of the relay that reported it; empty: the director did
	Behind  time.Duration // for which it has lacked the last event; 0: it has it
}

// Versions returns what each director has applied, by ID. One that a relay serves counts with the relay's lowest revision, unless
// the relay names it as stale.
func (t *Tracker) Versions() map[string]Version {
	versions := make(map[string]Version, len(t.directors))
	for id, d := range t.directors {
		v := Version{Applied: d.applied, Config: d.config, Behind: d.behind}
		if n := len(d.sessions); n > 0 {
			s := d.sessions[n-1]
			v.Applied = max(d.applied, s.update.Current)
			v.Relay = s.update.Relay.ID()
			v.Behind = s.behind
		}
		versions[id] = v
	}
	for _, s := range t.sessions {
		for _, stale := range s.update.Stale {
			v, known := versions[stale.ID]
			if !known || v.Relay != s.update.Relay.ID() {
				continue
			}
			v.Applied = stale.Revision
			v.Behind = time.Duration(stale.BehindMS) * time.Millisecond
			versions[stale.ID] = v
		}
	}
	return versions
}

// Lost is a director whose lease has ended without its leaving.
type Lost struct {
	fleet.Director
	Since   time.Duration // when it was known to be there last
	Applied int64         // the last revision that it had applied
}

// Lost lists the directors that were lost in the last minutes and have not come back under their names.
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

// Session is a relay's session, for the operator.
type Session struct {
	Update
	Renewed   time.Duration // time since it was renewed
	Directors int           // that are known under it
	Behind    time.Duration // for which its directors have lacked the last event, without those that are stale
	Complete  bool          // all of its directors are known
}

// Sessions lists the sessions of relays, by the relays' IDs.
func (t *Tracker) Sessions(now time.Duration) (all []Session) {
	for _, s := range t.sessions {
		all = append(all, Session{
			Update:    s.update,
			Renewed:   now - s.renewed,
			Directors: len(s.directors),
			Behind:    s.behind,
			Complete:  s.complete,
		})
	}
	slices.SortFunc(all, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Relay.ID(), b.Relay.ID()), cmp.Compare(a.Session, b.Session))
	})
	return all
}

// HasRelaySession reports whether a relay has a session.
func (t *Tracker) HasRelaySession(id string) bool {
	for _, s := range t.sessions {
		if s.update.Relay.ID() == id {
			return true
		}
	}
	return false
}
