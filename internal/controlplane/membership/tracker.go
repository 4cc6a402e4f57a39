package membership

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings are the settings of a Tracker.
type Settings struct {
	// Lease is the time for which a director may act on a replica's response, measured by the director's own clock.
	Lease time.Duration
	// Drift is the maximum rate difference between two clocks, as a fraction.
	Drift float64
	// BatchTime is the minimum time between two changes of the members. Changes that occur in between are batched.
	BatchTime time.Duration
	// DirectorLease is the part of Lease that starts with a director's call to a relay. It is unused without relays.
	DirectorLease time.Duration
	// RelayLease is the time for which a relay may serve directors after a request to the leader. It is unused without relays.
	RelayLease time.Duration
}

// withDrift returns the longest time that can pass on the local clock while another clock measures the given length.
func (s Settings) withDrift(length time.Duration) time.Duration {
	return time.Duration(float64(length) * (1 + 2*s.Drift))
}

// relayedLeaseDuration returns the time after a relay's last request after which the leases of the relay's directors have expired.
func (s Settings) relayedLeaseDuration() time.Duration {
	return s.withDrift(s.RelayLease) + s.withDrift(s.DirectorLease)
}

// silenceTimeout returns the time without a call to a replica after which a director is considered lost. By then its lease has
// expired, and it has been silent for longer than the intervals between its calls explain.
func (s Settings) silenceTimeout(d *director) time.Duration {
	return max(s.withDrift(s.Lease), d.callInterval+4*d.intervalDeviation)
}

// director is the leader's state of a director.
type director struct {
	fleet.Director
	directContact     time.Duration // last call to a replica, or when a relay first reported the director
	lastCallDirect    bool          // the last call went to a replica
	callInterval      time.Duration // smoothed interval between calls to replicas
	intervalDeviation time.Duration // smoothed deviation of callInterval
	leaving           bool
	applied           int64 // last revision that it has applied
	config            string
	lag               Lag
	behindFor         time.Duration // for how long it has lacked the last event
	sessions          []*session    // sessions of the relays that serve it
	servedUntil       time.Duration // last renewal by a relay that no longer serves it
	relayLeaseEnd     time.Duration // when its lease with the last relay that served it ends
}

// lastContact returns the time of the last known contact with the director.
func (d *director) lastContact() time.Duration {
	at := max(d.directContact, d.servedUntil)
	for _, s := range d.sessions {
		at = max(at, s.renewed)
	}
	return at
}

// Tracker holds the leader's state of directors and of relays' sessions. It is not safe for concurrent use.
//
// A director is known by its own calls to replicas, or by the sessions of the relays that it calls. NextChange checks the leases of
// only those directors that have no session.
type Tracker struct {
	settings       Settings
	directors      map[string]*director     // by ID
	byName         map[string][]*director   // the same directors, by name
	withoutSession map[string]*director     // directors that no relay serves, by ID
	dirty          map[string]bool          // IDs of directors whose descriptions may differ from those in the event log
	removed        map[string]bool          // IDs of removed directors that may still be members
	left           map[string]time.Duration // when each director left, by ID
	lost           map[string]Lost          // lost directors by name
	sessions       map[uint64]*session      // relays' sessions by session number
	resetAt        time.Duration            // when the tracker was last reset, which is when leadership was gained
	lastChange     time.Duration            // when the last change was written
	lastReconcile  time.Duration            // when all members were last compared
}

// New returns a tracker without directors and sessions.
func New(settings Settings) *Tracker {
	t := &Tracker{settings: settings, lost: map[string]Lost{}}
	t.clear()
	return t
}

func (t *Tracker) clear() {
	t.directors = map[string]*director{}
	t.byName = map[string][]*director{}
	t.withoutSession = map[string]*director{}
	t.dirty = map[string]bool{}
	t.removed = map[string]bool{}
	t.left = map[string]time.Duration{}
	t.sessions = map[uint64]*session{}
	t.lastReconcile = -reconcileInterval
}

// Reset replaces the state with the members in f. The time of their last calls is unknown, so all of them count as having called
// now. No session is kept: relays are asked for full lists of their directors.
func (t *Tracker) Reset(f fleet.Fleet, now time.Duration) {
	t.clear()
	for member := range f.Directors() {
		d := t.add(*member)
		d.directContact = now
		d.lastCallDirect = true
	}
	t.resetAt = now
	t.lastChange = now
}

// Settled reports whether all leases that an earlier leader may have granted have expired. Until then there may be relays and
// directors that this leader does not know.
func (t *Tracker) Settled(now time.Duration) bool {
	return now > t.resetAt+max(t.settings.withDrift(t.settings.Lease), t.settings.relayedLeaseDuration())
}

// MarkWritten records that a change of the members was written at the given time.
func (t *Tracker) MarkWritten(now time.Duration) { t.lastChange = now }

// add adds a director.
func (t *Tracker) add(description fleet.Director) *director {
	d := &director{Director: description}
	id := d.ID()
	t.directors[id] = d
	t.withoutSession[id] = d
	t.dirty[id] = true
	t.byName[d.Name] = append(t.byName[d.Name], d)
	delete(t.removed, id)
	delete(t.lost, d.Name)
	return d
}

// updateDescription replaces a director's description with a later one that has the same ID.
func (t *Tracker) updateDescription(d *director, description fleet.Director) {
	if d.Director != description {
		d.Director = description
		t.dirty[d.ID()] = true
	}
}

// remove removes a director.
func (t *Tracker) remove(id string) {
	d := t.directors[id]
	delete(t.directors, id)
	delete(t.withoutSession, id)
	delete(t.dirty, id)
	t.removed[id] = true
	others := slices.DeleteFunc(t.byName[d.Name], func(o *director) bool { return o == d })
	if len(others) == 0 {
		delete(t.byName, d.Name)
	} else {
		t.byName[d.Name] = others
	}
}

// markLeaving marks a director that has announced that it is leaving. It has given up its claims, so it is removed without waiting
// for relays' updates.
func (t *Tracker) markLeaving(d *director) {
	d.leaving = true
	for _, s := range d.sessions {
		delete(s.directors, d.ID())
	}
	d.sessions = nil
	t.withoutSession[d.ID()] = d
}
