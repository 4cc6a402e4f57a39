// Package membership decides which directors are on the roll: who has joined, who is gone, and when that is told, gathered, so that
// a restart of the whole fleet is a few events and not thousands. It is pure: what was heard of directors and the time come
// in. It knows neither the history nor the lines.
package membership

import (
	"cmp"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings of a roll.
type Settings struct {
	Lease  time.Duration // for how long a director may act on the roll without news, by its own clock
	Drift  float64       // by which clocks may run apart, as a share
	Gather time.Duration // from one change of the roll to the next, at least
	// Director is the part of Lease that counts from a director's call of a relay; Session is for how long a relay may
	// serve after a request to the leader. They are of no meaning without relays.
	Director time.Duration
	Session  time.Duration
}

// drifted is a time on another's clock, as it is at most on the own one.
func (s Settings) drifted(length time.Duration) time.Duration {
	return time.Duration(float64(length) * (1 + 2*s.Drift))
}

// relayed is how long after a relay's last request the leases of its directors are over.
func (s Settings) relayed() time.Duration { return s.drifted(s.Session) + s.drifted(s.Director) }

// gone is for how long a director must not have been heard of before it counts as gone: its lease is over by then, whatever
// its clock, and further misses than are usual on its line have come together.
func (s Settings) gone(d *director) time.Duration {
	return max(s.drifted(s.Lease), d.gap+4*d.deviation)
}

// director is what is known of one.
type director struct {
	fleet.Director
	contact   time.Duration // when it called a replica last, or a relay was first known to serve it
	direct    bool          // the last contact was a call of a replica
	gap       time.Duration // smoothed, between calls of replicas
	deviation time.Duration
	leaving   bool
	applied   int64 // number of the last event that it acts by
	config    string
	lag       Lag
	behind    time.Duration
	sessions  []*session    // of relays that serve it
	served    time.Duration // when a relay that does not serve it any more was known to do so last
	over      time.Duration // when its lease with the last relay that served it is over
}

// Version is what a director acts by, as it said.
type Version struct {
	Applied int64  // number of the last event
	Config  string // a mark of its configuration
	Relay   string // that said so for it; empty: itself
	// Behind is for how long it has not acted by the last event that there is; 0: it does.
	Behind time.Duration
}

// Tracker is what one who leads knows. It is not safe for concurrent use.
//
// A director is known by its own calls of replicas, or by the sessions of the relays that it calls. One without a session is
// looked at again and again until it is gone; one with a session costs nothing until something changes.
type Tracker struct {
	set        Settings
	known      map[string]*director
	names      map[string][]*director // of known, by name
	alone      map[string]*director   // of known: those without a session
	dirty      map[string]bool        // of known: those that may have to be told
	removed    map[string]bool        // no longer known, and perhaps still on the roll
	left       map[string]time.Duration
	lost       map[string]Lost // by name
	sessions   map[uint64]*session
	begun      time.Duration // when the roll was taken over
	changed    time.Duration // when the roll was changed last
	reconciled time.Duration // when the whole roll was compared last
}

// New makes an empty roll.
func New(set Settings) *Tracker {
	r := &Tracker{set: set, lost: map[string]Lost{}}
	r.clear()
	return r
}

func (r *Tracker) clear() {
	r.known = map[string]*director{}
	r.names = map[string][]*director{}
	r.alone = map[string]*director{}
	r.dirty = map[string]bool{}
	r.removed = map[string]bool{}
	r.left = map[string]time.Duration{}
	r.sessions = map[uint64]*session{}
	r.reconciled = -reconcileEvery
}

// Begin takes over a roll as it was told: all on it count as heard of now, for nobody knows when they were. No session is
// known: relays are asked for all of their directors.
func (r *Tracker) Begin(f fleet.Fleet, now time.Duration) {
	r.clear()
	for d := range f.Directors() {
		known := r.add(*d)
		known.contact, known.direct = now, true
	}
	r.begun, r.changed = now, now
}

// Settled tells whether all leases are over that one who led before may have given: until then there may be relays and
// directors that are not known.
func (r *Tracker) Settled(now time.Duration) bool {
	return now > r.begun+max(r.set.drifted(r.set.Lease), r.set.relayed())
}

// add makes a director known.
func (r *Tracker) add(described fleet.Director) *director {
	d := &director{Director: described}
	id := d.ID()
	r.known[id], r.alone[id], r.dirty[id] = d, d, true
	r.names[d.Name] = append(r.names[d.Name], d)
	delete(r.removed, id)
	delete(r.lost, d.Name)
	return d
}

// describe takes over what a director says of itself.
func (r *Tracker) describe(d *director, described fleet.Director) {
	if d.Director != described {
		d.Director = described // with the same ID, and so the same name
		r.dirty[d.ID()] = true
	}
}

// remove forgets a director.
func (r *Tracker) remove(id string) {
	d := r.known[id]
	delete(r.known, id)
	delete(r.alone, id)
	delete(r.dirty, id)
	r.removed[id] = true
	others := slices.DeleteFunc(r.names[d.Name], func(o *director) bool { return o == d })
	if len(others) == 0 {
		delete(r.names, d.Name)
	} else {
		r.names[d.Name] = others
	}
}

// Heartbeat is that a director was there, at a moment that may lie a little back. Only its ID is known of one that was not heard
// to say what it is.
type Heartbeat struct {
	ID       string
	Director *fleet.Director // nil: not said this time
	Leaving  bool
	At       time.Duration
	Applied  int64  // number of the last event that it acts by
	Config   string // a mark of its configuration; empty: not said
}

// RecordHeartbeat takes a sign in.
func (r *Tracker) RecordHeartbeat(s Heartbeat) {
	d := r.known[s.ID]
	if d == nil {
		if s.Director == nil || s.Leaving {
			return
		}
		d = r.add(*s.Director)
	}
	if s.Director != nil {
		r.describe(d, *s.Director)
	}
	if s.Leaving {
		r.leave(d)
	}
	d.applied = max(d.applied, s.Applied)
	if s.Config != "" {
		d.config = s.Config
	}
	if !d.direct { // the time under relays says nothing of its line
		d.direct, d.gap, d.deviation = len(d.sessions) == 0, 0, 0
		d.contact = max(d.contact, s.At)
	} else if gap := s.At - d.contact; gap > 0 {
		d.deviation += ((gap - d.gap).Abs() - d.deviation) / 8
		d.gap += (gap - d.gap) / 8
		d.contact = s.At
	}
}

// leave has a director go that holds nothing any more.
func (r *Tracker) leave(d *director) {
	d.leaving = true
	for _, s := range d.sessions {
		delete(s.directors, d.ID())
	}
	d.sessions = nil
	r.alone[d.ID()] = d
}

// Suspected tells whether a director has missed more than its line usually does, though it does not count as gone.
func (r *Tracker) Suspected(id string, now time.Duration) bool {
	d := r.known[id]
	if d == nil {
		return true
	}
	silent := now - d.lastContact()
	return silent > d.gap+4*d.deviation && silent > r.set.Lease/2
}

// lastContact is when a director was known to be there last.
func (d *director) lastContact() time.Duration {
	at := max(d.contact, d.served)
	for _, s := range d.sessions {
		at = max(at, s.renewed)
	}
	return at
}

// LastHeard is when a director was heard of last; false if it never was.
func (r *Tracker) LastHeard(id string) (at time.Duration, known bool) {
	d := r.known[id]
	if d == nil {
		return 0, false
	}
	return d.lastContact(), true
}

// ServedByRelay tells whether a relay speaks for a director.
func (r *Tracker) ServedByRelay(id string) bool {
	d := r.known[id]
	return d != nil && len(d.sessions) > 0
}

// Observe measures how long directors and sessions lack the last event that there is. It is to be called often. It costs
// nothing for directors that relays serve.
func (r *Tracker) Observe(last int64, now time.Duration) {
	for _, d := range r.alone {
		d.behind = d.lag.Observe(d.applied, last, now)
	}
	for _, s := range r.sessions {
		s.behind = s.lag.Observe(s.update.Current, last, now)
	}
}

// Versions tells what each director acts by. One that a relay serves counts with the relay's lowest revision, unless the relay
// names it as stale.
func (r *Tracker) Versions() map[string]Version {
	out := make(map[string]Version, len(r.known))
	for id, d := range r.known {
		out[id] = Version{Applied: d.applied, Config: d.config, Behind: d.behind}
		if n := len(d.sessions); n > 0 {
			s := d.sessions[n-1]
			out[id] = Version{Applied: max(d.applied, s.update.Current), Config: d.config, Relay: s.update.Relay.ID(), Behind: s.behind}
		}
	}
	for _, s := range r.sessions {
		for _, stale := range s.update.Stale {
			if v, known := out[stale.ID]; known && v.Relay == s.update.Relay.ID() {
				v.Applied, v.Behind = stale.Revision, time.Duration(stale.BehindMS)*time.Millisecond
				out[stale.ID] = v
			}
		}
	}
	return out
}

// Lost is a director that has gone without a word.
type Lost struct {
	fleet.Director
	Since   time.Duration // when it was heard of last
	Applied int64         // number of the last event that it acted by
}

// lostFor is for how long one that has gone is named.
const lostFor = 10 * time.Minute

// Lost are those that have gone without a word lately, and have not come back under their names.
func (r *Tracker) Lost(now time.Duration) (all []Lost) {
	for name, l := range r.lost {
		if now-l.Since > lostFor {
			delete(r.lost, name)
			continue
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Lost) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// MarkAnnounced tells that a change was made.
func (r *Tracker) MarkAnnounced(now time.Duration) { r.changed = now }
