package membership

import (
	"slices"
	"time"
)

// leftExpiry is the time for which a director that has left cannot join again. A relay that the director called earlier may still
// report it.
const leftExpiry = 10 * time.Second

// session is the leader's state of a relay's session.
type session struct {
	registration uint64
	lastUpdate   Update        // the last update, without its changes
	renewed      time.Duration // when the last update was accepted
	// coveredUntil is the time up to which every director that called the relay has been reported.
	coveredUntil      time.Duration
	hasFullList       bool                      // a full list has been received completely
	receivingFullList bool                      // a full list has been started and is not complete
	directors         map[string]*sessionMember // by ID
	lag               Lag
	behindFor         time.Duration // for how long its non-stale directors have lacked the last event
}

// sessionMember is a director that a relay has reported in its session.
type sessionMember struct {
	*director
	confirmed bool // reported since the start of the last full list
}

// UpdateResult is the result of an update, which is returned to the relay.
type UpdateResult struct {
	Registration uint64
	// NeedFull means that the leader has no complete list of the session's directors under the update's registration, for example
	// after a change of leader. The session was renewed, but the update's changes were not applied, and the relay must send a full
	// list.
	NeedFull bool
}

// Update applies an update of a relay's session and renews the session for all of its directors. It must be called before the
// update is answered. random must be a new random number for each call; it becomes the registration if the session is new.
//
// Update returns ErrOldUpdate for a duplicate or reordered update, ErrTooManySessions or ErrUpdateTooLarge. If it returns an error,
// the update has no effect.
func (t *Tracker) Update(u Update, random uint64, now time.Duration) (UpdateResult, error) {
	s, err := t.findSession(u, random)
	if err != nil {
		return UpdateResult{}, err
	}
	answerReceived := u.Answered > 0 && u.Answered == s.lastUpdate.Sequence
	previousRenewed := s.renewed
	s.renew(u, now)
	registered := u.Registration == s.registration
	if u.Full && registered {
		s.startFullList()
	}
	if !registered || !s.receivingFullList && !s.hasFullList {
		return UpdateResult{Registration: s.registration, NeedFull: true}, nil
	}
	t.applyChanges(s, u, now)
	if s.receivingFullList && !u.More {
		t.finishFullList(s, now)
	}
	// The relay had received the answer to its previous update when it created this one. This update therefore includes all calls
	// up to the time at which the previous update was accepted.
	if !u.More && answerReceived {
		s.coveredUntil = previousRenewed
	}
	return UpdateResult{Registration: s.registration}, nil
}

// findSession returns the session of an update and creates it if it does not exist. It checks the limits and the update's sequence.
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
	case u.Sequence <= s.lastUpdate.Sequence:
		return nil, ErrOldUpdate
	case len(s.directors)+len(u.Joined) > MaxSessionDirectors+MaxUpdateChanges:
		return nil, ErrUpdateTooLarge
	}
	return s, nil
}

// renew renews the session and stores the update without its changes.
func (s *session) renew(u Update, now time.Duration) {
	u.Joined = nil
	u.Left = nil
	u.Lost = nil
	s.lastUpdate = u
	s.renewed = now
}

// startFullList starts receiving a full list. finishFullList releases the directors that the list does not include.
func (s *session) startFullList() {
	s.hasFullList = false
	s.receivingFullList = true
	for _, d := range s.directors {
		d.confirmed = false
	}
}

// applyChanges applies the changes of an update.
func (t *Tracker) applyChanges(s *session, u Update, now time.Duration) {
	for _, d := range u.Joined {
		t.joinSession(s, d, now)
	}
	for _, id := range u.Left {
		if d := t.directors[id]; d != nil {
			t.markLeaving(d)
		}
	}
	for _, id := range u.Lost {
		t.releaseFromSession(s, id, now)
	}
}

// joinSession adds a director to a session.
func (t *Tracker) joinSession(s *session, j JoinedDirector, now time.Duration) {
	id := j.ID()
	if _, left := t.left[id]; left || j.Name == "" || j.Incarnation == "" {
		return
	}
	d := t.directors[id]
	if d == nil {
		d = t.add(j.Director)
		d.directContact = now
	}
	if d.leaving {
		return
	}
	t.updateDescription(d, j.Director)
	d.config = j.Config
	d.lastCallDirect = false
	if m := s.directors[id]; m != nil {
		m.confirmed = true
		return
	}
	s.directors[id] = &sessionMember{director: d, confirmed: true}
	d.sessions = append(d.sessions, s) // the last session is that of the relay that reported the director last
	delete(t.withoutSession, id)
}

// releaseFromSession removes a director from a session; it remains in other sessions. leaseEnd is when its lease with the relay
// ended. It is recorded even if the relay had not yet reported that it served the director.
func (t *Tracker) releaseFromSession(s *session, id string, leaseEnd time.Duration) {
	d := t.directors[id]
	if d == nil {
		return
	}
	d.relayLeaseEnd = max(d.relayLeaseEnd, leaseEnd)
	if s.directors[id] == nil {
		return
	}
	delete(s.directors, id)
	d.applied = max(d.applied, s.lastUpdate.Acknowledged)
	d.sessions = slices.DeleteFunc(d.sessions, func(o *session) bool { return o == s })
	d.servedUntil = max(d.servedUntil, s.renewed)
	if len(d.sessions) == 0 {
		t.withoutSession[id] = d
	}
}

// finishFullList releases the directors that the full list did not include.
func (t *Tracker) finishFullList(s *session, now time.Duration) {
	s.hasFullList = true
	s.receivingFullList = false
	for id, d := range s.directors {
		if !d.confirmed {
			t.releaseFromSession(s, id, now)
		}
	}
}

// expireSessions removes sessions that have not been renewed. Their relays no longer serve any directors, and the leases of these
// directors have expired.
func (t *Tracker) expireSessions(now time.Duration) {
	for number, s := range t.sessions {
		if now-s.renewed <= t.settings.relayedLeaseDuration() {
			continue
		}
		for id := range s.directors {
			t.releaseFromSession(s, id, now)
		}
		delete(t.sessions, number)
		// The relay may have served any director that has no session now without having reported it.
		for _, d := range t.withoutSession {
			d.relayLeaseEnd = max(d.relayLeaseEnd, now)
		}
	}
}
