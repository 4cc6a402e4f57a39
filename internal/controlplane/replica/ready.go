package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ready is what the caller has to do next, in this order: send EarlyMessages; install Snapshot,
// persist Entries and HardState and call Persisted; send Messages; apply CommittedEntries, each
// after ApplyEntry; call Advance.
type Ready struct {
	EarlyMessages    []*pb.Message        // a leader's, which need not wait for its own disk
	Entries          []*pb.Entry          // they replace the log from the index of the first one on
	HardState        *HardState           // nil: as it was
	MustSync         bool                 // Entries and HardState must be durable before Messages are sent
	Messages         []*pb.Message        // they rest on what was persisted
	Snapshot         *pb.SnapshotMetadata // nil: none; else of the snapshot that was passed to StepSnapshot
	CommittedEntries []CommittedEntry
	ReadStates       []ReadState
	ready            raft.Ready
}

// CommittedEntry is a committed batch, or a committed change of members, which has neither data nor
// tag.
type CommittedEntry struct {
	At   Position
	Tag  uint64 // of the proposal; 0: none
	Data []byte // nil for an entry that changes nothing but the position
}

// ReadState answers a ReadIndex: this replica's state is current once Index is applied.
type ReadState struct {
	Tag   uint64
	Index uint64
}

// Ready returns what is to be done next; nil if there is nothing, or if the one before was not
// advanced.
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

// splitMessages sorts messages by whether they must wait for the disk. A leader's appends and
// heartbeats need not: it counts its own log only once that is durable.
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

// Persisted reports that what a Ready asked to persist is durable.
func (d *Driver) Persisted(rd *Ready) error {
	if rd.Snapshot != nil {
		if err := d.storage.ApplySnapshot(&pb.Snapshot{Metadata: rd.Snapshot}); err != nil {
			return fmt.Errorf("replica: restart log at a snapshot: %w", err)
		}
		d.storage.confState = rd.Snapshot.GetConfState()
	}
	if rd.HardState != nil {
		_ = d.storage.SetHardState(rd.HardState.encode()) // it never fails in memory
	}
	if err := d.storage.Append(rd.Entries); err != nil {
		return fmt.Errorf("replica: append to log: %w", err)
	}
	return nil
}

// ApplyEntry follows the committed entry with index i in a Ready, and reports whether it changed
// the members.
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
	case pb.EntryConfChange: // this program proposes none; a damaged or foreign store may hold one
		return false, fmt.Errorf("replica: entry %d is a change of members in a form that is not used", entry.GetIndex())
	}
	if err := d.applyConfChange(entry.GetData()); err != nil {
		return false, fmt.Errorf("replica: entry %d: %w", entry.GetIndex(), err)
	}
	return true, nil
}

func (d *Driver) applyConfChange(data []byte) error {
	var confChange pb.ConfChangeV2
	if err := proto.Unmarshal(data, &confChange); err != nil {
		return fmt.Errorf("decode change of members: %w", err)
	}
	d.storage.confState = d.node.ApplyConfChange(&confChange)
	d.changePending = false
	if len(confChange.GetContext()) == 0 { // raft's own step out of a joint configuration
		return nil
	}
	var c change
	if err := cbor.Unmarshal(confChange.GetContext(), &c); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	d.members = c.Members
	return nil
}

// SnapshotInstalled follows the installation of a snapshot, with the position and the members that
// it holds.
func (d *Driver) SnapshotInstalled(at Position, members map[uint64]Member) {
	d.storage.applied = at
	d.members = members
}

// Advance ends a Ready.
func (d *Driver) Advance(rd *Ready) {
	d.readyPending = false
	d.node.Advance(rd.ready)
}

// DecodeEntry reads an entry as it is stored. data is nil if the entry holds no batch.
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
