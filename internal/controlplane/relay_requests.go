package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
)

const (
	maxRelayRequest = 4 << 20 // bytes
	// maxAnswerWeight bounds the events of an answer: an event weighs 1, and each director or shard that it names 1 more.
	maxAnswerWeight = 6000
)

// postRelayLease answers the request of a relay's session, if it is proven that this replica leads.
func (s *Server) postRelayLease(w http.ResponseWriter, r *http.Request) {
	var request relaysession.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRelayRequest)).Decode(&request); err != nil {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: " + err.Error()})
		return
	}
	if request.Session == 0 || request.Relay.Name == "" || request.Relay.Incarnation == "" {
		fail(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: a name, an incarnation and a session are wanted"})
		return
	}
	if s.group != nil {
		ctx, cancel := context.WithTimeout(r.Context(), s.relayLease())
		defer cancel()
		if err := s.group.Barrier(ctx); err != nil {
			s.writeError(w, store.ErrNotLeader)
			return
		}
	}
	missing, err := s.missingEvents(request.Revision)
	if err != nil {
		s.writeError(w, err)
		return
	}
	answer, err := s.directors.takeRelay(request, missing.complete)
	if err != nil {
		s.rejectRelay(w, request, err)
		return
	}
	answer.Revision = missing.revision
	answer.Events = missing.events
	answer.Snapshot = missing.snapshot
	writeJSON(w, answer)
}

// rejectRelay answers a request that was not taken.
func (s *Server) rejectRelay(w http.ResponseWriter, request relaysession.Request, err error) {
	e := api.Error{Kind: api.BadRequest, Message: err.Error()}
	switch {
	case errors.Is(err, membership.ErrOldUpdate):
		e.Kind = api.Stale
		fail(w, http.StatusConflict, e)
	case errors.Is(err, membership.ErrTooManySessions):
		e.Kind = api.Busy
		slog.Warn("relay.rejected", "relay", request.Relay.ID(), "err", err)
		fail(w, http.StatusServiceUnavailable, e)
	case errors.Is(err, membership.ErrUpdateTooLarge):
		slog.Warn("relay.rejected", "relay", request.Relay.ID(), "err", err)
		fail(w, http.StatusBadRequest, e)
	default:
		s.writeError(w, err)
	}
}

// missingEvents is what brings a relay up to date.
type missingEvents struct {
	revision int64 // of the last event of the log
	events   []fleet.Event
	snapshot *fleet.Dump
	complete bool // the relay has all events once it has taken these
}

// missingEvents returns what a relay lacks that has all events up to a revision: events, or a snapshot if the log does not reach
// back to them or the relay is new.
func (s *Server) missingEvents(after int64) (missingEvents, error) {
	f := s.store.Fleet()
	if after == f.Revision {
		return missingEvents{revision: f.Revision, complete: true}, nil
	}
	if after > 0 && after < f.Revision {
		var events []fleet.Event
		err := s.store.View(func(v *store.View) (err error) {
			events, err = v.Events(after, relaysession.MaxEvents)
			return err
		})
		if err != nil {
			return missingEvents{}, err
		}
		if len(events) > 0 && events[0].No == after+1 {
			events = events[:fittingEvents(events)]
			return missingEvents{revision: f.Revision, events: events, complete: events[len(events)-1].No >= f.Revision}, nil
		}
	}
	dump := f.Dump()
	return missingEvents{revision: f.Revision, snapshot: &dump}, nil
}

// fittingEvents returns how many events one answer holds; the first always fits.
func fittingEvents(events []fleet.Event) int {
	weight := 0
	for i, e := range events {
		weight++
		if e.Membership != nil {
			weight += len(e.Membership.Joined) + len(e.Membership.Left) + len(e.Membership.Shards)
		}
		if i > 0 && weight > maxAnswerWeight {
			return i
		}
	}
	return len(events)
}

// takeRelay takes a relay's request, right after it was proven that this replica leads. With complete the relay gets a lease; without,
// it must first take the events that it lacks. The error is store.ErrNotLeader or one of membership.Tracker.Update.
func (s *directorServices) takeRelay(request relaysession.Request, complete bool) (relaysession.Answer, error) {
	s.relayRequests.Lock()
	defer s.relayRequests.Unlock()
	s.leadership.RLock()
	defer s.leadership.RUnlock()
	now := replicas.Now()
	registered, err := s.members.updateRelay(request.Update, now)
	if err != nil {
		return relaysession.Answer{}, err
	}
	s.adoption.recordRelay(request.Update, now)
	s.shards.take(request.ReadyShards)
	answer := relaysession.Answer{
		Sequence:         request.Sequence,
		NeedFull:         registered.NeedFull,
		Registration:     registered.Registration,
		AggregatedHealth: s.health.takeRelayReports(request, now),
	}
	if answer.Grant, err = s.quotas.renewRelay(request, now); err != nil {
		return relaysession.Answer{}, err
	}
	if complete {
		s.server.relayLeases.give(request.Session, request.Acknowledged)
		answer.LeaseMS = s.server.relayLease().Milliseconds()
	}
	return answer, nil
}
