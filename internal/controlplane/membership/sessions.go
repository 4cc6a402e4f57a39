package membership

import (
	"cmp"
	"slices"
	"time"
)

// leftFor is for how long a director that has left is not taken for one that joins: a relay that it called before may still
// name it.
const leftFor = 10 * time.Second

// session is what is known of a relay's session.
type session struct {
	registration uint64
	update       Update        // the last one, without its changes
	renewed      time.Duration // when that was taken
	// covered is the moment up to which every director that the relay took a call of is known.
	covered   time.Duration
	complete  bool                // a whole list was taken to its end
	listing   bool                // a whole list has begun
	directors map[string]*listing // by ID
	lag       Lag
	behind    time.Duration // for which its directors have lacked the last event, without those that are stale
}

// listing is a director under a session.
type listing struct {
	*director
	confirmed bool // since the last whole list began
}

// Registered is what the answer to an update says of the session.
type Registered struct {
	Registration uint64
	// NeedFull tells that the session was not known under the update's registration, as after a change of the leader:
	// nothing but the renewal was taken, and the relay must send a whole list.
	NeedFull bool
}

// Update takes an update of a relay's session in and renews the session: with it, all directors under it. An update is to be
// answered only after it was taken; one that comes again or late is ErrOldUpdate. random is drawn anew for each call: it
// becomes the registration of a session that is not known.
func (r *Tracker) Update(u Update, random uint64, now time.Duration) (Registered, error) {
	s, err := r.sessionOf(u, random)
	if err != nil {
		return Registered{}, err
	}
	confirmed := u.Answered > 0 && u.Answered == s.update.Sequence
	taken := s.renewed
	s.renew(u, now)
	registered := u.Registration == s.registration
	if u.Full && registered {
		s.begin()
	}
	if !registered || !s.listing && !s.complete {
		return Registered{Registration: s.registration, NeedFull: true}, nil
	}
	r.take(s, u, now)
	if s.listing && !u.More {
		r.endList(s, now)
	}
	// The relay had the answer to the update before when it made this one, so it made it after that one was taken.
	if !u.More && confirmed {
		s.covered = taken
	}
	return Registered{Registration: s.registration}, nil
}

// sessionOf finds the session of an update, or begins it.
func (r *Tracker) sessionOf(u Update, random uint64) (*session, error) {
	if len(u.Joined)+len(u.Left)+len(u.Lost) > MaxUpdateChanges || len(u.Stale) > MaxUpdateStale {
		return nil, ErrUpdateTooLarge
	}
	s := r.sessions[u.Session]
	switch {
	case s == nil && len(r.sessions) >= MaxSessions:
		return nil, ErrTooManySessions
	case s == nil:
		s = &session{registration: random, directors: map[string]*listing{}}
		r.sessions[u.Session] = s
	case u.Sequence <= s.update.Sequence:
		return nil, ErrOldUpdate
	case len(s.directors)+len(u.Joined) > MaxSessionDirectors+MaxUpdateChanges:
		return nil, ErrUpdateTooLarge
	}
	return s, nil
}

// renew keeps an update without its changes.
func (s *session) renew(u Update, now time.Duration) {
	u.Joined, u.Left, u.Lost = nil, nil, nil
	s.update, s.renewed = u, now
}

// begin begins a whole list.
func (s *session) begin() {
	s.complete, s.listing = false, true
	for _, d := range s.directors {
		d.confirmed = false
	}
}

// take takes an update's changes in.
func (r *Tracker) take(s *session, u Update, now time.Duration) {
	for _, d := range u.Joined {
		r.join(s, d, now)
	}
	for _, id := range u.Left {
		if d := r.known[id]; d != nil {
			r.leave(d)
		}
	}
	for _, id := range u.Lost {
		r.release(s, id, now)
	}
}

// join puts a director under a session.
func (r *Tracker) join(s *session, j JoinedDirector, now time.Duration) {
	id := j.ID()
	if _, left := r.left[id]; left || j.Name == "" || j.Incarnation == "" {
		return
	}
	d := r.known[id]
	if d == nil {
		d = r.add(j.Director)
		d.contact = now
	}
	if d.leaving {
		return
	}
	r.describe(d, j.Director)
	d.config, d.direct = j.Config, false
	if l := s.directors[id]; l != nil {
		l.confirmed = true
		return
	}
	s.directors[id] = &listing{director: d, confirmed: true}
	d.sessions = append(d.sessions, s) // the last is the relay that it went to last
	delete(r.alone, id)
}

// release takes a director from a session; its lease with the relay is over at a moment. It goes on under other sessions. The
// relay may have served it for a while without having had the time to say so.
func (r *Tracker) release(s *session, id string, over time.Duration) {
	d := r.known[id]
	if d == nil {
		return
	}
	d.over = max(d.over, over)
	if s.directors[id] == nil {
		return
	}
	delete(s.directors, id)
	d.applied = max(d.applied, s.update.Acknowledged)
	d.sessions = slices.DeleteFunc(d.sessions, func(o *session) bool { return o == s })
	d.served = max(d.served, s.renewed)
	if len(d.sessions) == 0 {
		r.alone[id] = d
	}
}

// endList takes those directors from a session that its whole list did not name.
func (r *Tracker) endList(s *session, now time.Duration) {
	s.complete, s.listing = true, false
	for id, d := range s.directors {
		if !d.confirmed {
			r.release(s, id, now)
		}
	}
}

// expireSessions ends sessions that are silent: the relay has let its directors go, and their leases are over.
func (r *Tracker) expireSessions(now time.Duration) {
	for number, s := range r.sessions {
		if now-s.renewed <= r.set.relayed() {
			continue
		}
		for id := range s.directors {
			r.release(s, id, now)
		}
		delete(r.sessions, number)
		// It may have served any director that no relay has now.
		for _, d := range r.alone {
			d.over = max(d.over, now)
		}
	}
}

// Session is a relay's session, for the operator.
type Session struct {
	Update
	Renewed   time.Duration // since then
	Directors int           // that are known under it
	Behind    time.Duration // for which its directors have lacked the last event, without those that are stale
	Complete  bool          // all of its directors are known
}

// Sessions lists the sessions of relays, by the relays' IDs.
func (r *Tracker) Sessions(now time.Duration) (all []Session) {
	for _, s := range r.sessions {
		all = append(all, Session{Update: s.update, Renewed: now - s.renewed, Directors: len(s.directors), Behind: s.behind, Complete: s.complete})
	}
	slices.SortFunc(all, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Relay.ID(), b.Relay.ID()), cmp.Compare(a.Update.Session, b.Update.Session))
	})
	return all
}

// HasRelay tells whether a relay has a session.
func (r *Tracker) HasRelay(id string) bool {
	for _, s := range r.sessions {
		if s.update.Relay.ID() == id {
			return true
		}
	}
	return false
}
