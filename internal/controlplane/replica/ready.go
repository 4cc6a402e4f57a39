package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ready lists the work that the caller has to do next, in this order: send EarlyMessages; install
// Snapshot, persist Entries and HardState, and call Persisted; send Messages; apply
// CommittedEntries, calling ApplyEntry before each one; call Advance.
type Ready struct {
	EarlyMessages    []*pb.Message        // of a leader; need not wait for its own disk
	Entries          []*pb.Entry          // replace the log from the index of the first one on
	HardState        *HardState           // nil: unchanged
	MustSync         bool                 // Entries and HardState must be durable before Messages are sent
	Messages         []*pb.Message        // must be sent only after the state above is persisted
	Snapshot         *pb.SnapshotMetadata // of the snapshot passed to StepSnapshot; nil: none
	CommittedEntries []CommittedEntry
	ReadStates       []ReadState
	ready            raft.Ready
}

// CommittedEntry is a committed batch, or a committed membership change, which has neither data nor
// a tag.
type CommittedEntry struct {
	At   Position
	Tag  uint64 // of the proposal; 0: none
	Data []byte // nil if the entry holds no batch
}

// ReadState is the result of a ReadIndex call: this replica's state is current once Index is
// applied.
type ReadState struct {
	Tag   uint64
	Index uint64
}

// Ready returns the work that has to be done next. It returns nil if there is none, or if Advance
// was not called for the previous Ready.
func (d *Driver) Ready() *Ready {
	if d.readyPending || !d.node.HasReady() {
		return nil
	}
	d.readyPending = true
	raftReady := d.node.Ready()
	rd := &Ready{Entries: raftReady.Entries, MustSync: raftReady.MustSync, ready: raftReady}
	if h := raftReady.HardState; !raft.IsEmptyHardState(h) {
		d.hardState = HardState{Term: h.GetTerm(), Vote: h.GetVote(), Commit: h.GetCommit()}
		rd.HardState = &d.hardState
	}
	d.splitMessages(rd, raftReady.Messages)
	if !raft.IsEmptySnap(raftReady.Snapshot) {
		rd.Snapshot = raftReady.Snapshot.GetMetadata()
		rd.MustSync = true
	}
	for _, entry := range raftReady.CommittedEntries {
		rd.CommittedEntries = append(rd.CommittedEntries, committedEntry(entry))
	}
	for _, read := range raftReady.ReadStates {
		if len(read.RequestCtx) == tagLength {
			rd.ReadStates = append(rd.ReadStates, ReadState{Tag: binary.BigEndian.Uint64(read.RequestCtx), Index: read.Index})
		}
	}
	return rd
}

// splitMessages assigns messages to rd.EarlyMessages or, if they must wait for the disk, to
// rd.Messages. A leader's appends and heartbeats need not wait, because a leader counts its own log
// towards the majority only once that log is durable.
func (d *Driver) splitMessages(rd *Ready, messages []*pb.Message) {
	isLeader := d.node.BasicStatus().RaftState == raft.StateLeader
	for _, m := range messages {
		if isLeader && (m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat) {
			rd.EarlyMessages = append(rd.EarlyMessages, m)
		} else {
			rd.Messages = append(rd.Messages, m)
		}
	}
}

// Persisted reports that the snapshot, hard state and entries of a Ready are durable.
func (d *Driver) Persisted(rd *Ready) error {
	if rd.Snapshot != nil {
		if err := d.storage.ApplySnapshot(&pb.Snapshot{Metadata: rd.Snapshot}); err != nil {
			return fmt.Errorf("replica: reset log to a snapshot: %w", err)
		}
		d.storage.confState = rd.Snapshot.GetConfState()
	}
	if rd.HardState != nil {
		_ = d.storage.SetHardState(rd.HardState.encode()) // in memory it never fails
	}
	if err := d.storage.Append(rd.Entries); err != nil {
		return fmt.Errorf("replica: append to log: %w", err)
	}
	return nil
}

// ApplyEntry applies rd.CommittedEntries[i] to the driver's own state, and reports whether the entry
// changed the members.
func (d *Driver) ApplyEntry(rd *Ready, i int) (membersChanged bool, err error) {
	entry := rd.ready.CommittedEntries[i]
	d.storage.applied = positionOf(entry)
	if s := d.node.BasicStatus(); s.RaftState == raft.StateLeader && entry.GetTerm() == s.GetTerm() {
		d.appliedOwnTerm = entry.GetTerm()
	}
	if tag := rd.CommittedEntries[i].Tag; tag != 0 && tag == d.inFlight {
		d.inFlight = 0
	}
	switch entry.GetType() {
	case pb.EntryNormal:
		return false, nil
	case pb.EntryConfChange: // never proposed by this program; a damaged or foreign store may contain one
		return false, fmt.Errorf("replica: entry %d is a membership change of an unsupported type", entry.GetIndex())
	}
	if err := d.applyConfChange(entry.GetData()); err != nil {
		return false, fmt.Errorf("replica: entry %d: %w", entry.GetIndex(), err)
	}
	return true, nil
}

func (d *Driver) applyConfChange(data []byte) error {
	var confChange pb.ConfChangeV2
	if err := proto.Unmarshal(data, &confChange); err != nil {
		return fmt.Errorf("decode membership change: %w", err)
	}
	d.storage.confState = d.node.ApplyConfChange(&confChange)
	d.changePending = false
	if len(confChange.GetContext()) == 0 { // raft leaves a joint configuration by itself
		return nil
	}
	var c confChangeContext
	if err := cbor.Unmarshal(confChange.GetContext(), &c); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	d.members = c.Members
	return nil
}

// SnapshotInstalled reports that a snapshot was installed, with its position and its members.
func (d *Driver) SnapshotInstalled(at Position, members map[uint64]Member) {
	d.storage.applied = at
	d.members = members
}

// Advance reports that all work of a Ready is done.
func (d *Driver) Advance(rd *Ready) {
	d.readyPending = false
	d.node.Advance(rd.ready)
}

// DecodeEntry decodes a stored entry. data is nil if the entry holds no batch.
func DecodeEntry(raw []byte) (at Position, data []byte, err error) {
	entry := &pb.Entry{}
	if err := proto.Unmarshal(raw, entry); err != nil {
		return at, nil, fmt.Errorf("replica: decode entry: %w", err)
	}
	committed := committedEntry(entry)
	return committed.At, committed.Data, nil
}

func committedEntry(entry *pb.Entry) CommittedEntry {
	committed := CommittedEntry{At: positionOf(entry)}
	if data := entry.GetData(); entry.GetType() == pb.EntryNormal && len(data) >= tagLength {
		committed.Tag = binary.BigEndian.Uint64(data)
		committed.Data = data[tagLength:]
	}
	return committed
}

func positionOf(entry *pb.Entry) Position {
	return Position{Index: entry.GetIndex(), Term: entry.GetTerm()}
}
