package controlplane

import (
	"fmt"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// adoptionKept is how many of the last events are recorded.
const adoptionKept = 2000

// adoptionService owns the record of when each director applied each of the last events. mu guards it.
//
// A record begins when this replica begins to lead and is dropped when it ceases to. Calls without a record change nothing.
type adoptionService struct {
	mu      sync.Mutex
	current *adoption.Record // nil: this replica does not lead
}

// lead begins a record after an event.
func (s *adoptionService) lead(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = adoption.New(adoptionKept, revision)
}

func (s *adoptionService) cease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
}

// committed records that all events up to last are durable.
func (s *adoptionService) committed(last int64, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.RecordCommitted(last, now)
	}
}

// record records that a director has applied all events up to one, at a moment.
func (s *adoptionService) record(id string, applied int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.RecordApplied(id, applied, at)
	}
}

// recordRelay records which events the directors of a relay have applied.
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
	if s.current == nil {
		return
	}
	s.current.RecordApplied(reporter, u.Current, now)
	s.current.SetStale(reporter, stale)
}

// sweep forgets directors that relays serve now, and marks those that are gone.
func (s *adoptionService) sweep(members memberLookup, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.ForgetServed(members.ServedByRelay)
	s.current.MarkGone(func(reporter string) bool {
		_, known := members.LastContact(reporter)
		return known || members.HasRelaySession(adoption.RelayOf(reporter))
	}, now)
}

// event returns who has applied an event and when. The error is store.ErrNotLeader, or names the events that are recorded.
func (s *adoptionService) event(revision int64, now time.Duration) (adoption.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return adoption.Event{}, store.ErrNotLeader
	}
	e, from, to, recorded := s.current.Event(revision, now)
	if !recorded {
		return e, fmt.Errorf("event %d is not recorded: this board has led since event %d, and the history is at %d", revision, from-1, to)
	}
	return e, nil
}
