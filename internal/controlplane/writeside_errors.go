package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// requestError is a request that can't be served as it was sent.
type requestError struct {
	kind    string // of api.Error
	message string
}

func (e *requestError) Error() string { return e.message }

// rejectRequest makes an error for a request that can't be served as it was sent.
func rejectRequest(kind, format string, args ...any) error {
	return &requestError{kind: kind, message: fmt.Sprintf(format, args...)}
}

// errorKinds are the kinds of errors that callers decide by. The first one that matches counts.
var errorKinds = []struct {
	err  error
	kind string
}{
	{store.ErrNotLeader, api.NotLeader},
	{replica.ErrNotLeader, api.NotLeader},
	{store.ErrOutcomeUnknown, api.OutcomeUnknown},
	{store.ErrReused, api.BadRequest},
	{replica.ErrBusy, api.Rejected},
	{apply.ErrStale, api.Stale},
	{apply.ErrBusy, api.Busy},
	{plan.ErrDamaged, api.Damaged},
	{plan.ErrNewer, api.Newer},
	{errNoApply, api.NotFound},
	{apply.ErrEnded, api.WrongState},
	{apply.ErrNotPaused, api.WrongState},
	{apply.ErrNotRunning, api.WrongState},
	{apply.ErrFenced, api.WrongState},
}

// kindOf is the kind of an error; api.Failed if no caller decides by it.
func kindOf(err error) string {
	var request *requestError
	if errors.As(err, &request) {
		return request.kind
	}
	var rejected *replica.RejectedError
	if errors.As(err, &rejected) {
		return api.Rejected
	}
	for _, k := range errorKinds {
		if errors.Is(err, k.err) {
			return k.kind
		}
	}
	return api.Failed
}

// statusOf is the HTTP status of an answer with an error of a kind.
func statusOf(kind string) int {
	switch kind {
	case api.BadRequest, api.Damaged, api.Newer:
		return http.StatusBadRequest
	case api.NotAllowed:
		return http.StatusForbidden
	case api.NotFound:
		return http.StatusNotFound
	case api.Rejected, api.Stale, api.WrongState:
		return http.StatusConflict
	case api.NotLeader:
		return http.StatusMisdirectedRequest
	case api.Busy:
		return http.StatusLocked
	case api.OutcomeUnknown:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// apiError is an error as callers are sent it.
func (s *Server) apiError(err error) api.Error {
	e := api.Error{Kind: kindOf(err), Message: err.Error()}
	var rejected *apply.RejectedError
	if errors.As(err, &rejected) {
		e.Moved = rejected.Moved
		e.RunningApply = rejected.Holder
	}
	if e.Kind == api.NotLeader && s.group != nil {
		e.Leader = s.group.Status().Leader
	}
	return e
}

// writeError answers with an error.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	e := s.apiError(err)
	fail(w, statusOf(e.Kind), e)
}

// fail answers with an error under a status.
func fail(w http.ResponseWriter, status int, e api.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e) // a caller that is gone reads no error
}

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Info("write.response_failed", "err", err)
	}
}
