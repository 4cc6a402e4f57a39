package controlplane

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// limitBody limits the size of request bodies. Reading beyond the limit returns an error.
func limitBody(maxBytes int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		next(w, r)
	}
}

// decodeStrict decodes JSON and returns an error for unknown fields.
func decodeStrict(body io.Reader, v any) error {
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// postPlan starts an apply of a plan file.
func (s *Server) postPlan(r *http.Request) (api.Accepted, error) {
	file, err := io.ReadAll(r.Body)
	if err != nil {
		return api.Accepted{}, newRequestError(api.Damaged, "read plan: %v", err)
	}
	p, err := plan.Decode(file)
	if err != nil {
		return api.Accepted{}, err
	}
	submitted, err := s.executor.submit(p, callerName(r), writeIdentity(r, file))
	return api.Accepted{Record: submitted.record, Already: submitted.alreadyApplied}, err
}

// postOrder pauses, resumes or cancels an apply.
func (s *Server) postOrder(r *http.Request) (apply.Record, error) {
	order := apply.Order(r.PathValue("order"))
	switch order {
	case apply.OrderPause, apply.OrderResume, apply.OrderCancel:
		return s.executor.handleOrder(applyID(r), order, callerName(r), writeIdentity(r, []byte(r.URL.Path)))
	}
	return apply.Record{}, newRequestError(api.NotFound, "unknown order %q", order)
}

// postPurge appends a purge to the event log.
func (s *Server) postPurge(r *http.Request) (api.Purged, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return api.Purged{}, newRequestError(api.BadRequest, "purge: %v", err)
	}
	var p fleet.Purge
	if err := decodeStrict(bytes.NewReader(body), &p); err != nil {
		return api.Purged{}, newRequestError(api.BadRequest, "purge: %v", err)
	}
	var out api.Purged
	write := writeIdentity(r, body)
	err = s.store.Do(func(t *store.Tx) error {
		repeated, err := t.RepeatedWrite(write, &out)
		if repeated || err != nil {
			return err
		}
		if out, err = acceptPurge(t, p, callerName(r)); err != nil {
			return err
		}
		return t.RememberWrite(write, out)
	})
	return out, err
}

// acceptPurge appends a purge with the time of the transaction, or returns an error if the purge is invalid.
func acceptPurge(t *store.Tx, p fleet.Purge, who string) (api.Purged, error) {
	p.IssuedMS = t.NowMS
	event := fleet.Event{No: t.Fleet().Revision + 1, Who: who, Purge: &p}
	if err := t.Fleet().Check(event); err != nil {
		return api.Purged{}, newRequestError(api.BadRequest, "%v", err)
	}
	revision, err := t.Append(event)
	return api.Purged{Revision: revision, IssuedMS: p.IssuedMS}, err
}

// postReplicaChange changes the members of the group.
func (s *Server) postReplicaChange(r *http.Request) (api.GroupStatus, error) {
	var change api.ReplicaChange
	if err := decodeStrict(r.Body, &change); err != nil {
		return api.GroupStatus{}, newRequestError(api.BadRequest, "replica change: %v", err)
	}
	if err := s.group.ChangeMembers(change); err != nil {
		return api.GroupStatus{}, err
	}
	slog.Info("replica.change_accepted", "do", change.Action, "name", change.Name, "by", change.Replacement, "who", callerName(r))
	return s.group.Status(), nil
}
