package replica

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Status is what a driver knows of the group.
type Status struct {
	Disk     uint64 // of this replica
	Leader   uint64 // 0: none is known
	IsLeader bool
	HardState
	Applied  uint64 // index
	Voters   []uint64
	Learners []uint64
	IsJoint  bool                // a change of members is half way
	Progress map[uint64]Progress // at the leader only
}

// Progress is how far another replica is, as the leader knows.
type Progress struct {
	Match      uint64 // index up to which its log is known to match
	IsActive   bool   // it answered within the last election timeout
	InSnapshot bool   // it is being sent a snapshot
}

// Status returns the present state of the group.
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

// ConfState returns who votes and who learns, at the applied position.
func (d *Driver) ConfState() *pb.ConfState { return d.storage.confState }

// Members returns the members by disk, and those that were removed. The map must not be changed.
func (d *Driver) Members() map[uint64]Member { return d.members }

// IsRemoved reports whether a disk was removed from the group, which is final. While the change
// that removes it is half way, the disk's votes still count, and it is not removed.
func (d *Driver) IsRemoved(disk uint64) bool {
	return d.members[disk].Left && !slices.Contains(d.storage.confState.GetVotersOutgoing(), disk)
}

// HardState returns the last state that Ready handed out to be persisted.
func (d *Driver) HardState() HardState { return d.hardState }

// Applied returns the position of the last applied entry.
func (d *Driver) Applied() Position { return d.storage.applied }
