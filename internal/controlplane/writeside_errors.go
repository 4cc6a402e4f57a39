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

// requestError is the error for an invalid request.
type requestError struct {
	kind    string // an error kind of package api
	message string
}

func (e *requestError) Error() string { return e.message }

// newRequestError returns a requestError with a formatted message.
func newRequestError(kind, format string, args ...any) error {
	return &requestError{kind: kind, message: fmt.Sprintf(format, args...)}
}

// errorKinds maps errors to the kinds that callers branch on. The first match applies.
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

// errorKind returns the kind of an error, which is api.Failed for an error that is not in errorKinds.
func errorKind(err error) string {
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

// errorStatus returns the HTTP status for an error kind.
func errorStatus(kind string) int {
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

// apiError converts an error to the form in which it is sent to callers.
func (s *Server) apiError(err error) api.Error {
	e := api.Error{Kind: errorKind(err), Message: err.Error()}
	var rejected *apply.RejectedError
	if errors.As(err, &rejected) {
		e.StaleReads = rejected.StaleReads
		e.RunningApply = rejected.Holder
	}
	if e.Kind == api.NotLeader && s.group != nil {
		e.Leader = s.group.Status().Leader
	}
	return e
}

// writeError sends an error with the HTTP status of its kind.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	e := s.apiError(err)
	sendError(w, errorStatus(e.Kind), e)
}

// sendError sends an error as JSON with an HTTP status.
func sendError(w http.ResponseWriter, status int, e api.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e) // nothing can be done if the caller has disconnected
}

// writeJSON sends v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Info("write.response_failed", "err", err)
	}
}
