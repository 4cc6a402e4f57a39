package eventlog

import "stairvane.org/stairvane/internal/protocol/discovery"

// snapshot returns the current endpoint list as one event, together with the purges after a revision. The endpoint list has the
// revision of its last change, and each purge keeps its own revision. The events are in ascending order of revision, because a watcher
// ignores an event whose revision is lower than that of the event before. The endpoint list is omitted if the watcher already has it.
func (l *Log) snapshot(after int64, announced bool) ([][]byte, error) {
	var events [][]byte
	listed := l.fleet.EndpointRevision <= after // the watcher already has the list
	for _, purge := range l.fleet.PurgesAfter(after) {
		if !listed && purge.No > l.fleet.EndpointRevision {
			list, err := l.endpointList(announced)
			if err != nil {
				return nil, err
			}
			events = append(events, list)
			listed = true
		}
		encoded, err := discovery.EncodeEvent(purgeEvent(purge.No, purge.Purge))
		if err != nil {
			return nil, err
		}
		events = append(events, encoded)
	}
	if listed {
		return events, nil
	}
	list, err := l.endpointList(announced)
	return append(events, list), err
}

// endpointList encodes the complete endpoint list as an event. With announced, the event also contains the complete membership.
func (l *Log) endpointList(announced bool) ([]byte, error) {
	list := &discovery.EndpointList{Sequence: l.fleet.EndpointRevision, Snapshot: true}
	for host := range l.fleet.Hosts() {
		list.Endpoints = append(list.Endpoints, endpoint(host))
	}
	event := discovery.Event{Revision: l.fleet.EndpointRevision, Endpoints: list}
	if announced {
		event.Membership = l.membership()
	}
	return discovery.EncodeEvent(event)
}

// membership returns the complete membership, or nil if the fleet has never had a member.
func (l *Log) membership() *discovery.Membership {
	dump := l.fleet.Membership()
	if dump == nil {
		return nil
	}
	out := &discovery.Membership{Snapshot: true}
	for _, director := range dump.Directors {
		out.Joined = append(out.Joined, discovery.Director(*director))
	}
	for i, s := range dump.Shards {
		out.Shards = append(out.Shards, discovery.Shard{
			Number:           i,
			Epoch:            s.Epoch,
			Replicas:         s.Replicas,
			PreviousReplicas: s.PreviousReplicas,
		})
	}
	return out
}
