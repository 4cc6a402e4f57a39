package director

import (
	"log/slog"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// apply applies the events of a response, each exactly once and in order.
func (w *watchClient) apply(response discovery.WatchResponse) {
	for _, event := range response.Events {
		isNew := event.Revision > w.appliedRevision
		// A membership snapshot may carry an older revision.
		if event.Membership != nil && w.membership != nil && (isNew || event.Membership.Snapshot) {
			w.membership.applyChange(event.Revision, event.Membership)
		}
		if !isNew {
			continue
		}
		w.appliedRevision = event.Revision
		if event.Endpoints != nil {
			w.applyEndpoints(event.Endpoints)
		}
		if event.Purge != nil {
			w.applyPurge(event.Purge)
			slog.Debug("purge.applied", "no", event.Revision)
		}
	}
	w.appliedRevision = max(w.appliedRevision, response.LastRevision)
}

var readinessByState = map[string]decision.Readiness{
	discovery.InService:   decision.Ready,
	discovery.Terminating: decision.Draining,
	discovery.Terminated:  decision.Gone,
}

func (w *watchClient) applyEndpoints(list *discovery.EndpointList) {
	endpoints := make([]routing.Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		if e.Name == "" {
			slog.Error("endpoint.malformed", "version", list.Sequence, "addr", e.Address)
			continue
		}
		readiness, known := readinessByState[e.Health]
		if !known {
			slog.Warn("endpoint.state_unknown", "host", e.Name, "state", e.Health)
			readiness = decision.Draining
		}
		endpoints = append(endpoints, routing.Endpoint{
			Name:    e.Name,
			Address: e.Address,
			Endpoint: decision.Endpoint{
				Zone:      e.Site,
				Kind:      e.Class,
				Cell:      e.Cell,
				Readiness: readiness,
				Weight:    e.Weight,
				StartedAt: fromUnixMS(e.StartedAtMS),
			},
		})
	}
	w.director.UpdateEndpoints(list.Sequence, list.Snapshot, endpoints)
}

func (w *watchClient) applyPurge(p *discovery.Purge) {
	issued := fromUnixMS(p.IssuedMS)
	if p.Object != "" {
		object, err := strconv.ParseUint(p.Object, 16, 64)
		if err != nil {
			slog.Error("purge.malformed", "object", p.Object)
			return
		}
		w.director.PurgeObject(decision.ObjectID(object), issued)
	}
	if p.Group != nil {
		w.director.PurgeGroup(*p.Group, issued)
	}
}

func fromUnixMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
