package membership

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/fleet"
)

// Settings of a Tracker.
type Settings struct {
	// Lease is the time for which a director may act on what a replica sent it, by its own clock.
	Lease time.Duration
	// Drift is the most by which two clocks run apart, as a share.
	Drift float64
	// Gather is the time from one change of the members to the next, at least.
	Gather time.Duration
	// DirectorLease is the part of Lease that counts from a director's call of a relay. It has no meaning without relays.
	DirectorLease time.Duration
	// RelayLease is the time for which a relay may serve after a request to the leader. It has no meaning without relays.
	RelayLease time.Duration
}

// withDrift returns how long a time that another clock counts may last by the own clock.
func (s Settings) withDrift(length time.Duration) time.Duration {
	return time.Duration(float64(length) * (1 + 2*s.Drift))
}

// relayedLease returns the time after a relay's last request after which the leases of its directors are over.
func (s Settings) relayedLease() time.Duration {
	return s.withDrift(s.RelayLease) + s.withDrift(s.DirectorLease)
}

// silentUntilGone returns the time without a call after which a director is gone. Its lease is over by then, and it has been
// silent for longer than its connection explains.
func (s Settings) silentUntilGone(d *director) time.Duration {
	return max(s.withDrift(s.Lease), d.callInterval+4*d.intervalDeviation)
}

// director is what is known of a director.
type director struct {
	fleet.Director
	contact           time.Duration // when it called a replica last, or a relay was first known to serve it
	direct            bool          // the last contact was a call of a replica
	callInterval      time.Duration // smoothed, between calls of replicas
	intervalDeviation time.Duration // smoothed, of callInterval
	leaving           bool
	applied           int64 // the last revision that it has applied
	config            string
	lag               Lag
	behind            time.Duration // for which it has lacked the last event
	sessions          []*session    // of relays that serve it
	servedUntil       time.Duration // when a relay that does not serve it any more was known to do so last
	relayLeaseEnd     time.Duration // when its lease with the last relay that served it is over
}

// lastContact returns when the director was known to be there last.
func (d *director) lastContact() time.Duration {
	at := max(d.contact, d.servedUntil)
	for _, s := range d.sessions {
		at = max(at, s.renewed)
	}
	return at
}

// Tracker is what the leader knows of directors and of the sessions of relays. It is not safe for concurrent use.
//
// A director is known by its own calls of replicas, or by the sessions of the relays that it calls. Only directors without a
// session are looked at with each call of NextChange.
type Tracker struct {
	set            Settings
	directors      map[string]*director     // by ID
	byName         map[string][]*director   // the same, by name
	withoutSession map[string]*director     // those that no relay serves, by ID
	dirty          map[string]bool          // IDs of those whose description may differ from the event log's
	removed        map[string]bool          // IDs of those that are not known any more, and may be members
	left           map[string]time.Duration // when a director left, by ID
	lost           map[string]Lost          // by name
	sessions       map[uint64]*session
	beganAt        time.Duration // when leadership was gained
	lastChange     time.Duration // when a change was written last
	lastReconcile  time.Duration // when all members were compared last
}

// New makes a tracker that knows nobody.
func New(set Settings) *Tracker {
	t := &Tracker{set: set, lost: map[string]Lost{}}
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

// Reset takes over the members in f. All of them count as in contact now, since the time of their last calls is not known. No
// session is known: relays are asked for all of their directors.
func (t *Tracker) Reset(f fleet.Fleet, now time.Duration) {
	t.clear()
	for member := range f.Directors() {
		d := t.add(*member)
		d.contact = now
		d.direct = true
	}
	t.beganAt = now
	t.lastChange = now
}

// Settled reports whether all leases are over that an earlier leader may have given. Until then there may be relays and directors
// that are not known.
func (t *Tracker) Settled(now time.Duration) bool {
	return now > t.beganAt+max(t.set.withDrift(t.set.Lease), t.set.relayedLease())
}

// MarkWritten records that a change of the members was written.
func (t *Tracker) MarkWritten(now time.Duration) { t.lastChange = now }

// add makes a director known.
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

// describe replaces a director's description by a later one with the same ID.
func (t *Tracker) describe(d *director, description fleet.Director) {
	if d.Director != description {
		d.Director = description
		t.dirty[d.ID()] = true
	}
}

// remove forgets a director.
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

// leave marks a director that has said that it leaves. It has given up its claims, so no relay need be waited for.
func (t *Tracker) leave(d *director) {
	d.leaving = true
	for _, s := range d.sessions {
		delete(s.directors, d.ID())
	}
	d.sessions = nil
	t.withoutSession[d.ID()] = d
}
