package replica

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Status is the state of the group as one driver sees it.
type Status struct {
	Disk     uint64 // of this replica
	Leader   uint64 // 0: unknown
	IsLeader bool
	HardState
	Applied  uint64 // index
	Voters   []uint64
	Learners []uint64
	IsJoint  bool                // a membership change is in progress: the configuration is joint
	Progress map[uint64]Progress // nil unless this replica is the leader
}

// Progress is the leader's knowledge of a replica's replication state.
type Progress struct {
	Match      uint64 // index up to which its log is known to match
	IsActive   bool   // responded within the last election timeout
	InSnapshot bool   // a snapshot is being sent to it
}

// Status returns the current state of the group.
func (d *Driver) Status() Status {
	raftStatus := d.node.Status()
	s := Status{
		Disk:      d.config.Disk,
		Leader:    raftStatus.Lead,
		IsLeader:  raftStatus.RaftState == raft.StateLeader,
		HardState: d.hardState,
		Applied:   d.storage.applied.Index,
		Voters:    slices.Clone(d.storage.confState.GetVoters()),
		Learners:  slices.Clone(d.storage.confState.GetLearners()),
		IsJoint:   d.storage.isJoint(),
	}
	if !s.IsLeader {
		return s
	}
	s.Progress = map[uint64]Progress{}
	for disk, p := range raftStatus.Progress {
		s.Progress[disk] = Progress{
			Match:      p.Match,
			IsActive:   p.RecentActive || disk == d.config.Disk,
			InSnapshot: p.IsPaused() && p.PendingSnapshot > 0,
		}
	}
	return s
}

// ConfState returns the voters and learners at the applied position.
func (d *Driver) ConfState() *pb.ConfState { return d.storage.confState }

// Members returns the current and the removed members by disk. The map must not be modified.
func (d *Driver) Members() map[uint64]Member { return d.members }

// IsRemoved reports whether a disk was removed from the group. A removal is final. While the change
// that removes the disk is in its joint configuration, the disk's votes still count, and IsRemoved
// returns false.
func (d *Driver) IsRemoved(disk uint64) bool {
	return d.members[disk].Left && !slices.Contains(d.storage.confState.GetVotersOutgoing(), disk)
}

// HardState returns the latest hard state that Ready returned to be persisted.
func (d *Driver) HardState() HardState { return d.hardState }

// Applied returns the position of the last applied entry.
func (d *Driver) Applied() Position { return d.storage.applied }
