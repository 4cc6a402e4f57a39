package controlplane

import (
	"errors"
	"net/http"
	"strconv"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
)

func (s *Server) getState(*http.Request) (api.State, error) {
	state := s.ObservedState()
	out := api.State{
		Fleet:            state.Dump(),
		Observed:         state.Observed,
		NowMS:            state.NowMS,
		Observer:         s.observer.enabled(),
		Watchers:         s.watches.Count(),
		AcknowledgedUpTo: s.acknowledgedRevision(),
	}
	err := s.store.View(func(v *store.View) (err error) {
		out.RunningApply, err = v.RunningApply()
		return err
	})
	return out, err
}

func (s *Server) getMembers(*http.Request) (api.Members, error) { return s.directors.Members(), nil }

func (s *Server) getQuotas(*http.Request) ([]quota.Allocation, error) {
	return s.directors.QuotaAllocations(), nil
}

func (s *Server) getHealth(*http.Request) ([]health.CacheStatus, error) {
	return s.directors.CacheHealth(), nil
}

// getAdoption returns when each director applied an event.
func (s *Server) getAdoption(r *http.Request) (adoption.Event, error) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("event"), 10, 64)
	if err != nil || revision < 1 {
		return adoption.Event{}, newRequestError(api.BadRequest, "event: must be a number of at least 1")
	}
	event, err := s.directors.Adoption(revision)
	if err != nil && !errors.Is(err, store.ErrNotLeader) {
		return event, newRequestError(api.NotFound, "%v", err)
	}
	return event, err
}

// getHistory returns a page of events. Without a valid parameter "after", the page starts with the oldest event in the store.
func (s *Server) getHistory(r *http.Request) (api.History, error) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		after = 0
	}
	var out api.History
	err = s.store.View(func(v *store.View) (err error) {
		out.Events, err = v.Events(after, api.HistoryPage)
		return err
	})
	return out, err
}

// getApplies returns all applies. The number of completed steps in a stored record dates from the last status change, so applies that
// have not ended are looked up together with their steps.
func (s *Server) getApplies(*http.Request) ([]apply.Record, error) {
	var out []apply.Record
	err := s.store.View(func(v *store.View) (err error) {
		out, err = v.Records()
		return err
	})
	if err != nil {
		return nil, err
	}
	for i := range out {
		if out[i].Status.Ended() {
			continue
		}
		if now, err := s.executor.findApply(out[i].ID); err == nil {
			out[i] = now.record
		}
	}
	return out, nil
}

func (s *Server) getApply(r *http.Request) (api.Apply, error) {
	state, err := s.executor.findApply(applyID(r))
	if err != nil {
		return api.Apply{}, err
	}
	out := api.Apply{Record: state.record, Steps: make([]api.Step, len(state.steps))}
	for i, stepState := range state.steps {
		step := state.plan.Steps[i]
		out.Steps[i] = api.Step{ID: i + 1, What: step.String(), Target: step.Target(), Wait: step.Wait, StepState: stepState}
	}
	return out, nil
}

// getDesiredBefore returns the desired state that an apply replaced.
func (s *Server) getDesiredBefore(r *http.Request) (fleet.DesiredState, error) {
	var out fleet.DesiredState
	err := s.store.View(func(v *store.View) error {
		record, err := v.Record(applyID(r))
		if err != nil {
			return err
		}
		if record == nil {
			return errNoApply
		}
		out, err = v.DesiredBefore(record.ID)
		return err
	})
	return out, err
}

// applyID returns the apply ID in the path of a request. If the ID is invalid, it returns 0, which no apply has.
func applyID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Server) getReplicas(*http.Request) (api.GroupStatus, error) { return s.group.Status(), nil }
