package replica

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Position is a position in the log.
type Position struct{ Index, Term uint64 }

// HardState is what must be durable before a message that rests on it is sent.
type HardState struct{ Term, Vote, Commit uint64 }

func (h HardState) encode() *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(h.Term), Vote: proto.Uint64(h.Vote), Commit: proto.Uint64(h.Commit)}
}

// PersistedState is what was on disk when the driver was made.
type PersistedState struct {
	Term, Vote, Commit uint64
	Applied            Position          // up to which the store has applied the log
	ConfState          *pb.ConfState     // at Applied
	Members            map[uint64]Member // at Applied
	Compacted          Position          // of the last entry that was dropped from the log
	Entries            []*pb.Entry       // those after Compacted
}

// check returns what is inconsistent in a state.
func (p PersistedState) check() error {
	for i, entry := range p.Entries {
		if want := p.Compacted.Index + 1 + uint64(i); entry.GetIndex() != want {
			return fmt.Errorf("replica: entry %d stands where %d is wanted", entry.GetIndex(), want)
		}
	}
	last := p.Compacted.Index + uint64(len(p.Entries))
	if p.Applied.Index > p.Commit || p.Commit > last || p.Applied.Index < p.Compacted.Index {
		return fmt.Errorf("replica: applied up to %d, committed up to %d, the log ends at %d", p.Applied.Index, p.Commit, last)
	}
	return nil
}

// logStorage is the log as raft reads it: the entries that the store holds, in memory.
type logStorage struct {
	*raft.MemoryStorage
	confState *pb.ConfState // at applied
	applied   Position
}

var _ raft.Storage = (*logStorage)(nil)

func newLogStorage(p PersistedState) (*logStorage, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	s := &logStorage{
		MemoryStorage: raft.NewMemoryStorage(),
		confState:     pb.EnsureConfState(p.ConfState),
		applied:       p.Applied,
	}
	if p.Compacted.Index > 0 {
		// MemoryStorage knows the entry before its first one as that of a snapshot.
		if err := s.ApplySnapshot(snapshotAt(p.Compacted, pb.EnsureConfState(nil))); err != nil {
			return nil, fmt.Errorf("replica: begin log at %d: %w", p.Compacted.Index, err)
		}
	}
	if err := s.Append(p.Entries); err != nil {
		return nil, fmt.Errorf("replica: load log: %w", err)
	}
	return s, s.SetHardState(HardState{Term: p.Term, Vote: p.Vote, Commit: p.Commit}.encode())
}

// InitialState implements raft.Storage.
func (s *logStorage) InitialState() (*pb.HardState, *pb.ConfState, error) {
	hardState, _, err := s.MemoryStorage.InitialState()
	return hardState, s.confState, err
}

// Snapshot implements raft.Storage. The result has no data: the sender streams the store instead.
func (s *logStorage) Snapshot() (*pb.Snapshot, error) {
	if s.applied.Index == 0 {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snapshotAt(s.applied, s.confState), nil
}

// isJoint reports whether a change of members is half way, so that two majorities must agree.
func (s *logStorage) isJoint() bool { return len(s.confState.GetVotersOutgoing()) > 0 }

func snapshotAt(at Position, confState *pb.ConfState) *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     proto.Uint64(at.Index),
		Term:      proto.Uint64(at.Term),
		ConfState: confState,
	}}
}

// Compact drops applied entries from the log in memory, but for the last ones, as many as keep
// says. It returns the position of the last dropped entry, or the zero Position if none was
// dropped.
func (d *Driver) Compact(keep uint64) Position {
	first := d.FirstIndex()
	to := d.storage.applied.Index
	if to < keep || to-keep < first {
		return Position{}
	}
	to -= keep
	term, err := d.storage.Term(to)
	if err != nil {
		return Position{}
	}
	if err := d.storage.Compact(to); err != nil {
		return Position{}
	}
	return Position{Index: to, Term: term}
}

// FirstIndex returns the index of the first entry in the log.
func (d *Driver) FirstIndex() uint64 {
	index, _ := d.storage.FirstIndex() // it never fails in memory
	return index
}

// LastIndex returns the index of the last durable entry.
func (d *Driver) LastIndex() uint64 {
	index, _ := d.storage.LastIndex() // it never fails in memory
	return index
}
