package replica

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Position identifies an entry of the log.
type Position struct{ Index, Term uint64 }

// HardState is the state that must be durable before messages that depend on it are sent.
type HardState struct{ Term, Vote, Commit uint64 }

func (h HardState) encode() *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(h.Term), Vote: proto.Uint64(h.Vote), Commit: proto.Uint64(h.Commit)}
}

// PersistedState is the state on disk from which a driver starts.
type PersistedState struct {
	Term, Vote, Commit uint64
	Applied            Position          // last entry that the store has applied
	ConfState          *pb.ConfState     // at Applied
	Members            map[uint64]Member // at Applied
	Compacted          Position          // last entry that was deleted from the log
	Entries            []*pb.Entry       // the entries after Compacted
}

// validate returns an error if the state is inconsistent.
func (p PersistedState) validate() error {
	for i, entry := range p.Entries {
		if want := p.Compacted.Index + 1 + uint64(i); entry.GetIndex() != want {
			return fmt.Errorf("replica: log has entry %d where entry %d is expected", entry.GetIndex(), want)
		}
	}
	last := p.Compacted.Index + uint64(len(p.Entries))
	if p.Applied.Index > p.Commit || p.Commit > last || p.Applied.Index < p.Compacted.Index {
		return fmt.Errorf("replica: inconsistent log: applied up to %d, committed up to %d, last entry %d", p.Applied.Index, p.Commit, last)
	}
	return nil
}

// logStorage implements raft.Storage. It keeps the log entries of the store in memory.
type logStorage struct {
	*raft.MemoryStorage
	confState *pb.ConfState // at applied
	applied   Position
}

var _ raft.Storage = (*logStorage)(nil)

func newLogStorage(p PersistedState) (*logStorage, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	s := &logStorage{
		MemoryStorage: raft.NewMemoryStorage(),
		confState:     pb.EnsureConfState(p.ConfState),
		applied:       p.Applied,
	}
	if p.Compacted.Index > 0 {
		// MemoryStorage records the entry before its first one as a snapshot.
		if err := s.ApplySnapshot(snapshotAt(p.Compacted, pb.EnsureConfState(nil))); err != nil {
			return nil, fmt.Errorf("replica: start log at %d: %w", p.Compacted.Index, err)
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

// Snapshot implements raft.Storage. The result contains no data: the sender streams the store
// instead.
func (s *logStorage) Snapshot() (*pb.Snapshot, error) {
	if s.applied.Index == 0 {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snapshotAt(s.applied, s.confState), nil
}

// isJoint reports whether the configuration is joint, so that two majorities must agree.
func (s *logStorage) isJoint() bool { return len(s.confState.GetVotersOutgoing()) > 0 }

func snapshotAt(at Position, confState *pb.ConfState) *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     proto.Uint64(at.Index),
		Term:      proto.Uint64(at.Term),
		ConfState: confState,
	}}
}

// Compact deletes applied entries from the log in memory, except the last keep ones. It returns the
// position of the last deleted entry, or the zero Position if none was deleted.
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
	index, _ := d.storage.FirstIndex() // in memory it never fails
	return index
}

// LastIndex returns the index of the last durable entry.
func (d *Driver) LastIndex() uint64 {
	index, _ := d.storage.LastIndex() // in memory it never fails
	return index
}
