package replicas

import (
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/replica"
)

// diskObservations records what this replica has observed of other disks. It is safe for concurrent
// use.
type diskObservations struct {
	mu       sync.Mutex
	detector *replica.RollbackDetector // guarded by mu
}

func (d *diskObservations) acceptIncarnation(disk, incarnation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.AcceptIncarnation(disk, incarnation)
}

func (d *diskObservations) introduce(disk, incarnation uint64, state replica.ObservedDisk) replica.ObservedDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.Introduce(disk, incarnation, state)
}

// observe records the state of a disk that its messages reveal: its term, the last index that it
// acknowledges, and its vote.
func (d *diskObservations) observe(disk uint64, messages []*pb.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range messages {
		var lastIndex, vote uint64
		switch m.GetType() {
		case pb.MsgPreVote, pb.MsgPreVoteResp: // their term may never be reached
			continue
		case pb.MsgAppResp:
			if !m.GetReject() {
				lastIndex = m.GetIndex()
			}
		case pb.MsgVoteResp:
			if !m.GetReject() {
				vote = m.GetTo()
			}
		}
		d.detector.Observe(disk, m.GetTerm(), lastIndex, vote)
	}
}
