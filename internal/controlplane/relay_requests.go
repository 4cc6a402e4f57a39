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
	// maxAnswerWeight is the maximum total weight of the events in an answer. An event has a weight of 1, plus 1 for each director or
	// shard in it.
	maxAnswerWeight = 6000
)

// postRelayLease handles a request of a relay session, after a barrier has confirmed that this replica is the leader.
func (s *Server) postRelayLease(w http.ResponseWriter, r *http.Request) {
	var request relaysession.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRelayRequest)).Decode(&request); err != nil {
		sendError(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: " + err.Error()})
		return
	}
	if request.Session == 0 || request.Relay.Name == "" || request.Relay.Incarnation == "" {
		sendError(w, http.StatusBadRequest, api.Error{Kind: api.BadRequest, Message: "relay: name, incarnation and session are required"})
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
	answer, err := s.directors.handleRelayRequest(request, missing.complete)
	if err != nil {
		s.writeRelayError(w, request, err)
		return
	}
	answer.Revision = missing.revision
	answer.Events = missing.events
	answer.Snapshot = missing.snapshot
	writeJSON(w, answer)
}

// writeRelayError sends the error response for a relay request that was rejected.
func (s *Server) writeRelayError(w http.ResponseWriter, request relaysession.Request, err error) {
	e := api.Error{Kind: api.BadRequest, Message: err.Error()}
	switch {
	case errors.Is(err, membership.ErrOldUpdate):
		e.Kind = api.Stale
		sendError(w, http.StatusConflict, e)
	case errors.Is(err, membership.ErrTooManySessions):
		e.Kind = api.Busy
		slog.Warn("relay.rejected", "relay", request.Relay.ID(), "err", err)
		sendError(w, http.StatusServiceUnavailable, e)
	case errors.Is(err, membership.ErrUpdateTooLarge):
		slog.Warn("relay.rejected", "relay", request.Relay.ID(), "err", err)
		sendError(w, http.StatusBadRequest, e)
	default:
		s.writeError(w, err)
	}
}

// missingEvents contains the events, or the snapshot, that a relay lacks.
type missingEvents struct {
	revision int64 // of the last event in the log
	events   []fleet.Event
	snapshot *fleet.Dump
	complete bool // the relay has all events once it has applied these
}

// missingEvents returns what a relay lacks that has all events up to revision after. It returns a snapshot instead of events if the
// relay is new or the log no longer contains the events.
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
			events = events[:countFittingEvents(events)]
			return missingEvents{revision: f.Revision, events: events, complete: events[len(events)-1].No >= f.Revision}, nil
		}
	}
	dump := f.Dump()
	return missingEvents{revision: f.Revision, snapshot: &dump}, nil
}

// countFittingEvents returns the number of leading events that fit into one answer. The first event always fits.
func countFittingEvents(events []fleet.Event) int {
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

// handleRelayRequest processes a relay's request. The caller must just have confirmed that this replica is the leader. The relay is
// granted a lease only if complete is set; otherwise it must first apply the events that it lacks. The error is store.ErrNotLeader or
// an error of membership.Tracker.Update.
func (s *directorServices) handleRelayRequest(request relaysession.Request, complete bool) (relaysession.Answer, error) {
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
	s.shards.recordReady(request.ReadyShards)
	answer := relaysession.Answer{
		Sequence:         request.Sequence,
		NeedFull:         registered.NeedFull,
		Registration:     registered.Registration,
		History:          s.server.history(),
		AggregatedHealth: s.health.addRelayReports(request, now),
	}
	if answer.Grant, err = s.quotas.renewRelay(request, now); err != nil {
		return relaysession.Answer{}, err
	}
	if complete {
		s.server.relayLeases.grant(request.Session, request.Acknowledged)
		answer.LeaseMS = s.server.relayLease().Milliseconds()
	}
	return answer, nil
}
