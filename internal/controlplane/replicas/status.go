package replicas

import (
	"slices"
	"strings"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
)

// status is the state of the group as this replica knows it. The loop publishes it for other
// goroutines, which must not modify it.
type status struct {
	api.GroupStatus
	leader     uint64 // disk
	leaderName string
	members    map[uint64]replica.Member
	removed    map[uint64]bool // disks that were permanently removed from the group
}

// Status returns the state of the group as this replica knows it.
func (g *Group) Status() api.GroupStatus { return g.published.Load().GroupStatus }

// IsLeader reports whether this replica is the leader, as of the last published status. Another
// replica may have been elected since.
func (g *Group) IsLeader() bool { return g.published.Load().IsLeader }

// publish publishes a new status to other goroutines. It must be called on the loop.
func (g *Group) publish() {
	identity, _ := g.store.Identity()
	s := &status{GroupStatus: api.GroupStatus{
		Name:     g.settings.Self,
		Disk:     formatID(identity.Disk),
		Phase:    string(g.phase),
		Reason:   g.reason,
		Revision: g.store.Fleet().Revision,
	}}
	for _, configured := range g.settings.Replicas {
		if !configured.IsStandby {
			s.Configured++
		}
	}
	if g.driver != nil {
		g.fillMembers(s)
	}
	for name := range g.joinRequests {
		s.Waiting = append(s.Waiting, name)
	}
	slices.Sort(s.Waiting)
	g.published.Store(s)
}

// fillMembers fills in the driver's state of the group and its members.
func (g *Group) fillMembers(s *status) {
	state := g.driver.Status()
	s.leader = state.Leader
	s.leaderName = g.replicaName(state.Leader)
	s.members = g.driver.Members()
	s.removed = map[uint64]bool{}
	s.Leader = s.leaderName
	s.IsLeader = g.isLeader && state.IsLeader
	s.Term = state.Term
	s.Applied = state.Applied
	s.Joint = state.IsJoint
	s.ToleratedFailures = replica.ToleratedFailures(len(state.Voters))
	granted := g.leases.granted()
	for disk, member := range s.members {
		if member.Left {
			s.removed[disk] = g.driver.IsRemoved(disk)
			continue
		}
		r := g.memberStatus(state, disk, member)
		r.Replaces = s.members[member.Replaces].Name
		if lease, isHeld := granted[disk]; isHeld {
			r.Acknowledged = lease.Acknowledged
			r.LeaseMS = lease.Remaining.Milliseconds()
		}
		s.Replicas = append(s.Replicas, r)
	}
	slices.SortFunc(s.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.Name+a.Disk, b.Name+b.Disk) })
}

// memberStatus returns the status of a member. Its progress is known only at the leader; at other
// replicas the status has only the member's identity and role.
func (g *Group) memberStatus(state replica.Status, disk uint64, member replica.Member) api.ReplicaStatus {
	r := api.ReplicaStatus{
		Name:    member.Name,
		Machine: member.Machine,
		Site:    member.Site,
		Disk:    formatID(disk),
		IsVoter: slices.Contains(state.Voters, disk),
	}
	progress, isKnown := state.Progress[disk]
	if !isKnown {
		return r
	}
	r.Alive = progress.IsActive
	if progress.Match < state.Commit {
		r.Behind = state.Commit - progress.Match
	}
	if disk != state.Disk {
		r.SilentMS = g.contacts.Silence(disk).Milliseconds()
	}
	return r
}
