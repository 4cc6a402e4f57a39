package controlplane

import (
	"fmt"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// maxAdoptionEvents is the number of most recent events that are recorded.
const maxAdoptionEvents = 2000

// adoptionService owns the record of when each director applied each of the most recent events. mu guards it.
//
// The record is created when this replica becomes the leader and dropped when it stops being the leader. Without a record, calls have
// no effect.
type adoptionService struct {
	mu     sync.Mutex
	record *adoption.Record // nil if this replica is not the leader
}

// startLeading creates a record that starts with the event after a revision.
func (s *adoptionService) startLeading(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = adoption.New(maxAdoptionEvents, revision)
}

func (s *adoptionService) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = nil
}

// eventsCommitted records that all events up to last are durable.
func (s *adoptionService) eventsCommitted(last int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		s.record.RecordCommitted(last, now)
	}
}

// recordApplied records that a director had applied all events up to a revision at the given time.
func (s *adoptionService) recordApplied(id string, applied int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		s.record.RecordApplied(id, applied, at)
	}
}

// recordRelay records the events that the directors of a relay have applied, according to an update of the relay's session.
func (s *adoptionService) recordRelay(u membership.Update, now time.Duration) {
	if u.Directors == 0 {
		return
	}
	reporter := adoption.RelayReporter(u.Relay.ID())
	stale := make([]adoption.Stale, len(u.Stale))
	for i, d := range u.Stale {
		stale[i] = adoption.Stale{Director: d.ID, Revision: d.Revision}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil {
		return
	}
	s.record.RecordApplied(reporter, u.Current, now)
	s.record.SetStale(reporter, stale)
}

// removeExpired removes the directors that are now served by relays, and marks the reporters that are no longer members.
func (s *adoptionService) removeExpired(members memberLookup, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil {
		return
	}
	s.record.RemoveServedByRelay(members.ServedByRelay)
	s.record.MarkGone(func(reporter string) bool {
		_, known := members.LastContact(reporter)
		return known || members.HasRelaySession(adoption.RelayOf(reporter))
	}, now)
}

// event returns which reporters have applied the event at a revision, and when. The error is store.ErrNotLeader, or states which events
// are recorded.
func (s *adoptionService) event(revision int64, now time.Duration) (adoption.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil {
		return adoption.Event{}, store.ErrNotLeader
	}
	e, from, to, recorded := s.record.Event(revision, now)
	if !recorded {
		return e, fmt.Errorf("event %d is not recorded: this replica has led since event %d, and the last event is %d",
			revision, from-1, to)
	}
	return e, nil
}
