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
}

// gone is for how long a director must not have been heard of before it counts as gone: its lease is over by then, whatever
// its clock, and further misses than are usual on its line have come together.
func (s Settings) gone(d *director) time.Duration {
	least := time.Duration(float64(s.Lease) * (1 + 2*s.Drift))
	return max(least, d.gap+4*d.deviation)
}

// director is what was heard of one.
type director struct {
	fleet.Director
	heard     time.Duration
	gap       time.Duration // smoothed, between signs
	deviation time.Duration
	leaving   bool
	says      bool  // what it is was said, not only that it is there
	at        int64 // number of the last event that it acts by
	config    string
	behind    time.Duration // since when it has not acted by the last event; 0: it does
}

// Version is what a director acts by, as it said.
type Version struct {
	At     int64  // number of the last event
	Config string // a mark of its configuration
	// Behind is for how long it has not acted by the last event that there is; 0: it does.
	Behind time.Duration
}

// Tracker is what one who leads knows. It is not safe for concurrent use.
type Tracker struct {
	set     Settings
	known   map[string]*director
	lost    map[string]Lost // by name
	changed time.Duration   // when the roll was changed last
}

// New makes an empty roll.
func New(set Settings) *Tracker {
	return &Tracker{set: set, known: map[string]*director{}, lost: map[string]Lost{}}
}

// Begin takes over a roll as it was told: all on it count as heard of now, for nobody knows when they were.
func (r *Tracker) Begin(f fleet.Fleet, now time.Duration) {
	clear(r.known)
	for d := range f.Directors() {
		r.known[d.ID()] = &director{Director: *d, heard: now, says: true}
	}
	r.changed = now
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

// Heard takes a sign in.
func (r *Tracker) Heard(s Heartbeat) {
	d := r.known[s.ID]
	if d == nil {
		if s.Director == nil || s.Leaving {
			return
		}
		d = &director{heard: s.At}
		r.known[s.ID] = d
	}
	if s.Director != nil {
		d.Director, d.says = *s.Director, true
	}
	d.leaving = d.leaving || s.Leaving
	d.at = max(d.at, s.Applied)
	if s.Config != "" {
		d.config = s.Config
	}
	if gap := s.At - d.heard; gap > 0 {
		dev := gap - d.gap
		if dev < 0 {
			dev = -dev
		}
		d.deviation += (dev - d.deviation) / 8
		d.gap += (gap - d.gap) / 8
		d.heard = s.At
	}
}

// Suspected tells whether a director has missed more than its line usually does, though it does not count as gone.
func (r *Tracker) Suspected(id string, now time.Duration) bool {
	d := r.known[id]
	return d == nil || now-d.heard > d.gap+4*d.deviation && now-d.heard > r.set.Lease/2
}

// LastHeard is when a director was heard of last; false if it never was.
func (r *Tracker) LastHeard(id string) (at time.Duration, known bool) {
	d := r.known[id]
	if d == nil {
		return 0, false
	}
	return d.heard, true
}

// Versions tells what each director acts by, against the last event that there is. It is to be called often: how long one
// is behind counts from the first call that finds it so.
func (r *Tracker) Versions(last int64, now time.Duration) map[string]Version {
	out := make(map[string]Version, len(r.known))
	for id, d := range r.known {
		v := Version{At: d.at, Config: d.config}
		switch {
		case d.at >= last:
			d.behind = 0
		case d.behind == 0:
			d.behind = now
		default:
			v.Behind = now - d.behind
		}
		out[id] = v
	}
	return out
}

// Change is what there is to tell against a roll that was told; nil if nothing, or if it is too soon. A director under the
// name of another joins only with that one gone: it has ended it.
func (r *Tracker) Change(f fleet.Fleet, now time.Duration) *fleet.RollChange {
	if now-r.changed < r.set.Gather {
		return nil
	}
	c := &fleet.RollChange{}
	byName := map[string]*director{}
	for id, d := range r.known {
		if d.leaving || now-d.heard > r.set.gone(d) {
			delete(r.known, id)
			if !d.leaving {
				r.lost[d.Name] = Lost{Director: d.Director, Since: d.heard, Acts: d.at}
			}
			continue
		}
		delete(r.lost, d.Name)
		if first := byName[d.Name]; first == nil || cmp.Compare(d.heard, first.heard) > 0 {
			byName[d.Name] = d
		}
	}
	for d := range f.Directors() {
		if r.known[d.ID()] == nil {
			c.Gone = append(c.Gone, d.ID())
		}
	}
	for _, d := range byName {
		told := f.Director(d.ID())
		switch {
		case told != nil && *told == d.Director:
		case told == nil && r.another(f, d, c.Gone):
			// Both speak under one name. The one on the roll keeps its place until it is gone: it may hold claims.
		default:
			c.Joined = append(c.Joined, d.Director)
		}
	}
	if len(c.Gone)+len(c.Joined) == 0 {
		return nil
	}
	slices.Sort(c.Gone)
	slices.SortFunc(c.Joined, func(a, b fleet.Director) int { return cmp.Compare(a.ID(), b.ID()) })
	return c
}

// another tells whether the roll has another process of this one's name that is not gone.
func (r *Tracker) another(f fleet.Fleet, d *director, gone []string) bool {
	for o := range f.Directors() {
		if o.Name == d.Name && o.ID() != d.ID() && !slices.Contains(gone, o.ID()) {
			return true
		}
	}
	return false
}

// Lost is a director that has gone without a word.
type Lost struct {
	fleet.Director
	Since time.Duration // when it was heard of last
	Acts  int64         // number of the last event that it acted by
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

// Announced tells that a change was made.
func (r *Tracker) Announced(now time.Duration) { r.changed = now }
