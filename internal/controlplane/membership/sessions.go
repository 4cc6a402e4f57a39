package membership

import (
	"slices"
	"time"
)

// leftExpiry is the time for which a director that has left can't join again: a relay that it called before may still name it.
const leftExpiry = 10 * time.Second

// session is what is known of a relay's session.
type session struct {
	registration uint64
	update       Update        // the last one, without its changes
	renewed      time.Duration // when that was taken
	// coveredUntil is the moment up to which each director that called the relay is known.
	coveredUntil  time.Duration
	complete      bool                      // a full list was received to its end
	receivingFull bool                      // a full list has begun
	directors     map[string]*sessionMember // by ID
	lag           Lag
	behind        time.Duration // for which its directors have lacked the last event, without those that are stale
}

// sessionMember is a director under a session.
type sessionMember struct {
	*director
	confirmed bool // since the last full list began
}

// UpdateResult is what the relay must be answered.
type UpdateResult struct {
	Registration uint64
	// NeedFull says that the session is not known under the update's registration, as after a change of the leader. The
	// session was renewed, but the update's changes were not taken, and the relay must send a full list.
	NeedFull bool
}

// Update takes an update of a relay's session, and renews the session with all directors under it. It is to be called before the
// update is answered. random is drawn anew for each call; it becomes the registration of a session that is not known.
//
// The error is ErrOldUpdate for an update that comes again or late, ErrTooManySessions or ErrUpdateTooLarge. An update with an
// error changes nothing.
func (t *Tracker) Update(u Update, random uint64, now time.Duration) (UpdateResult, error) {
	s, err := t.findSession(u, random)
	if err != nil {
		return UpdateResult{}, err
	}
	answerReceived := u.Answered > 0 && u.Answered == s.update.Sequence
	previousRenewed := s.renewed
	s.renew(u, now)
	registered := u.Registration == s.registration
	if u.Full && registered {
		s.beginFullList()
	}
	if !registered || !s.receivingFull && !s.complete {
		return UpdateResult{Registration: s.registration, NeedFull: true}, nil
	}
	t.applyChanges(s, u, now)
	if s.receivingFull && !u.More {
		t.endFullList(s, now)
	}
	// The relay had the answer to the update before when it made this one. So this one has all calls up to when that was taken.
	if !u.More && answerReceived {
		s.coveredUntil = previousRenewed
	}
	return UpdateResult{Registration: s.registration}, nil
}

// findSession returns the session of an update, a new one if there is none.
func (t *Tracker) findSession(u Update, random uint64) (*session, error) {
	if len(u.Joined)+len(u.Left)+len(u.Lost) > MaxUpdateChanges || len(u.Stale) > MaxUpdateStale {
		return nil, ErrUpdateTooLarge
	}
	s := t.sessions[u.Session]
	switch {
	case s == nil && len(t.sessions) >= MaxSessions:
		return nil, ErrTooManySessions
	case s == nil:
		s = &session{registration: random, directors: map[string]*sessionMember{}}
		t.sessions[u.Session] = s
	case u.Sequence <= s.update.Sequence:
		return nil, ErrOldUpdate
	case len(s.directors)+len(u.Joined) > MaxSessionDirectors+MaxUpdateChanges:
		return nil, ErrUpdateTooLarge
	}
	return s, nil
}

// renew records an update without its changes.
func (s *session) renew(u Update, now time.Duration) {
	u.Joined = nil
	u.Left = nil
	u.Lost = nil
	s.update = u
	s.renewed = now
}

// beginFullList begins to receive a full list: directors that it does not name are released at its end.
func (s *session) beginFullList() {
	s.complete = false
	s.receivingFull = true
	for _, d := range s.directors {
		d.confirmed = false
	}
}

// applyChanges applies an update's changes.
func (t *Tracker) applyChanges(s *session, u Update, now time.Duration) {
	for _, d := range u.Joined {
		t.join(s, d, now)
	}
	for _, id := range u.Left {
		if d := t.directors[id]; d != nil {
			t.leave(d)
		}
	}
	for _, id := range u.Lost {
		t.release(s, id, now)
	}
}

// join puts a director under a session.
func (t *Tracker) join(s *session, j JoinedDirector, now time.Duration) {
	id := j.ID()
	if _, left := t.left[id]; left || j.Name == "" || j.Incarnation == "" {
		return
	}
	d := t.directors[id]
	if d == nil {
		d = t.add(j.Director)
		d.contact = now
	}
	if d.leaving {
		return
	}
	t.describe(d, j.Director)
	d.config = j.Config
	d.direct = false
	if m := s.directors[id]; m != nil {
		m.confirmed = true
		return
	}
	s.directors[id] = &sessionMember{director: d, confirmed: true}
	d.sessions = append(d.sessions, s) // the last is of the relay that named it last
	delete(t.withoutSession, id)
}

// release takes a director from a session. It stays under other sessions. Its lease with the relay is over at leaseEnd, also if the
// relay has not reported yet that it served the director.
func (t *Tracker) release(s *session, id string, leaseEnd time.Duration) {
	d := t.directors[id]
	if d == nil {
		return
	}
	d.relayLeaseEnd = max(d.relayLeaseEnd, leaseEnd)
	if s.directors[id] == nil {
		return
	}
	delete(s.directors, id)
	d.applied = max(d.applied, s.update.Acknowledged)
	d.sessions = slices.DeleteFunc(d.sessions, func(o *session) bool { return o == s })
	d.servedUntil = max(d.servedUntil, s.renewed)
	if len(d.sessions) == 0 {
		t.withoutSession[id] = d
	}
}

// endFullList releases the directors that a full list did not name.
func (t *Tracker) endFullList(s *session, now time.Duration) {
	s.complete = true
	s.receivingFull = false
	for id, d := range s.directors {
		if !d.confirmed {
			t.release(s, id, now)
		}
	}
}

// expireSessions ends sessions that were not renewed: the relay does not serve its directors any more, and their leases are over.
func (t *Tracker) expireSessions(now time.Duration) {
	for number, s := range t.sessions {
		if now-s.renewed <= t.set.relayedLease() {
			continue
		}
		for id := range s.directors {
			t.release(s, id, now)
		}
		delete(t.sessions, number)
		// The relay may have served any director that has no session now, without having reported it.
		for _, d := range t.withoutSession {
			d.relayLeaseEnd = max(d.relayLeaseEnd, now)
		}
	}
}
