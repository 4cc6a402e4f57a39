package eventlog

import (
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

// DiscoveryEvent converts an event to the form that is sent to directors, without any membership change. An event that concerns only
// the control plane becomes an endpoint list without endpoints, so that the revisions have no gap.
func DiscoveryEvent(e fleet.Event) discovery.Event {
	switch {
	case e.Purge != nil:
		return purgeEvent(e.No, *e.Purge)
	case e.Host != nil:
		return discovery.Event{
			Revision:  e.No,
			Endpoints: &discovery.EndpointList{Sequence: e.No, Endpoints: []discovery.Endpoint{endpoint(e.Host)}},
		}
	}
	return discovery.Event{Revision: e.No, Endpoints: &discovery.EndpointList{Sequence: e.No}}
}

func purgeEvent(revision int64, p fleet.Purge) discovery.Event {
	return discovery.Event{
		Revision: revision,
		Purge:    &discovery.Purge{Object: p.Object, Group: p.Group, IssuedMS: float64(p.IssuedMS)},
	}
}

func endpoint(h *fleet.Host) discovery.Endpoint {
	return discovery.Endpoint{
		Name:        h.Name,
		Address:     h.Address,
		Site:        h.Site,
		Class:       h.Class,
		Cell:        h.Block,
		Health:      string(h.State),
		Weight:      h.Serving,
		StartedAtMS: float64(h.AddedMS),
	}
}

// membershipChange converts the membership change of an event. The epoch of a shard is the revision of the event that assigned it.
func membershipChange(e fleet.Event) *discovery.Membership {
	change := &discovery.Membership{Left: e.Membership.Left}
	for _, director := range e.Membership.Joined {
		change.Joined = append(change.Joined, discovery.Director(director))
	}
	for _, s := range e.Membership.Shards {
		shard := discovery.Shard{
			Number:           s.Shard,
			Replicas:         s.Replicas,
			PreviousReplicas: s.PreviousReplicas,
			ReadyEpoch:       s.ReadyEpoch,
		}
		if s.ReadyEpoch == 0 {
			shard.Epoch = e.No
		}
		change.Shards = append(change.Shards, shard)
	}
	return change
}
