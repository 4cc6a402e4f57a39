package controlplane

import (
	"stairvane.org/stairvane/internal/claims"
	"stairvane.org/stairvane/internal/fleet"
)

// membershipWrite contains the changes for the next membership event, as decided on the fleet state base.
type membershipWrite struct {
	base        fleet.Fleet
	members     *fleet.MembershipChange // nil if the members don't change
	readyShards []fleet.ShardChange     // shards whose replicas are filled
}

func (w membershipWrite) isEmpty() bool { return w.members == nil && len(w.readyShards) == 0 }

// change returns the event's change for fleet state f, to which the event is applied and which may be later than base. claimReplicas is
// the number of directors that hold each claim shard. It returns nil if another process has written the first membership since base.
func (w membershipWrite) change(f fleet.Fleet, claimReplicas int) *fleet.MembershipChange {
	if f.Revision != w.base.Revision && f.Membership() != nil && w.base.Membership() == nil {
		return nil
	}
	change := &fleet.MembershipChange{Shards: w.readyShards}
	if w.members != nil {
		change.Joined = w.members.Joined
		change.Left = w.members.Left
		change.Shards = append(change.Shards, reassignShards(f, *w.members, claimReplicas)...)
	}
	return change
}

// reassignShards returns the claim shards whose replicas change as a result of a change of the members.
func reassignShards(f fleet.Fleet, change fleet.MembershipChange, claimReplicas int) []fleet.ShardChange {
	candidates := claimCandidates(membersAfter(f, change))
	shards := make([]claims.ShardState, fleet.ShardCount)
	inUse := len(candidates) > 0
	for i := range shards {
		s := f.Shard(i)
		shards[i] = claims.ShardState{Shard: i, Epoch: s.Epoch, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas}
		inUse = inUse || len(s.Replicas) > 0
	}
	if !inUse {
		return nil
	}
	var changes []fleet.ShardChange
	for _, s := range claims.Reassign(shards, claimReplicas, candidates) {
		changes = append(changes, fleet.ShardChange{Shard: s.Shard, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas})
	}
	return changes
}

// membersAfter returns the members by ID after a change.
func membersAfter(f fleet.Fleet, change fleet.MembershipChange) map[string]fleet.Director {
	members := map[string]fleet.Director{}
	for d := range f.Directors() {
		members[d.ID()] = *d
	}
	for _, id := range change.Left {
		delete(members, id)
	}
	for _, d := range change.Joined {
		members[d.ID()] = d
	}
	return members
}

// claimCandidates returns the members that can hold claims.
func claimCandidates(members map[string]fleet.Director) []claims.ShardCandidate {
	var candidates []claims.ShardCandidate
	for id, d := range members {
		if d.Claims != "" {
			candidates = append(candidates, claims.ShardCandidate{ID: id, Name: d.Name, Machine: d.Machine, Site: d.Site})
		}
	}
	return candidates
}
