package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Errors of a Driver.
var (
	ErrNotLeader = errors.New("replica: this replica is not the leader")
	ErrBusy      = errors.New("replica: a proposal or membership change is in progress")
)

// Limits on raft's messages, in bytes, and on the number of messages in flight to one follower.
const (
	maxBytesPerMessage     = 1 << 20
	maxCommittedBytes      = 4 << 20 // per Ready
	maxUncommittedBytes    = 64 << 20
	maxMessagesPerFollower = 64
	tagLength              = 8 // bytes; the tag precedes a proposal's data
)

// Config configures a Driver.
type Config struct {
	Disk           uint64 // the number of this replica's disk in the group; never 0
	ElectionTicks  int    // a follower campaigns after one to two times this many ticks without a leader
	HeartbeatTicks int    // ticks between two heartbeats of a leader
	Seed           uint64 // proposals are tagged with the numbers after it; must differ at each start
}

// Driver runs the consensus algorithm for one replica. It is not safe for concurrent use.
type Driver struct {
	config         Config
	node           *raft.RawNode
	storage        *logStorage
	hardState      HardState
	members        map[uint64]Member
	lastTag        uint64
	inFlight       uint64 // tag of the proposal whose outcome is pending; 0: none
	changePending  bool   // a membership change was proposed and is not applied yet
	appliedOwnTerm uint64 // last term in which this replica, as leader, applied an entry of that term; 0: none
	readyPending   bool   // Ready returned a value for which Advance was not called yet
}

// New returns a driver that starts from the persisted state.
func New(config Config, persisted PersistedState) (*Driver, error) {
	d := &Driver{
		config:    config,
		members:   persisted.Members,
		hardState: HardState{Term: persisted.Term, Vote: persisted.Vote, Commit: persisted.Commit},
		lastTag:   config.Seed,
	}
	if d.members == nil {
		d.members = map[uint64]Member{}
	}
	var err error
	if d.storage, err = newLogStorage(persisted); err != nil {
		return nil, err
	}
	d.node, err = raft.NewRawNode(&raft.Config{
		ID:                        config.Disk,
		ElectionTick:              config.ElectionTicks,
		HeartbeatTick:             config.HeartbeatTicks,
		Storage:                   d.storage,
		Applied:                   persisted.Applied.Index,
		MaxSizePerMsg:             maxBytesPerMessage,
		MaxCommittedSizePerReady:  maxCommittedBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxMessagesPerFollower,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("replica: create raft node: %w", err)
	}
	return d, nil
}

// Tick advances raft's logical clock by one tick.
func (d *Driver) Tick() { d.node.Tick() }

// Step processes a message from another replica. A proposal that raft drops, and a response from an
// unknown node, are ignored without an error.
func (d *Driver) Step(m *pb.Message) error {
	if m.GetTo() != d.config.Disk || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("replica: message of type %v for disk %x arrived at disk %x", m.GetType(), m.GetTo(), d.config.Disk)
	}
	err := d.node.Step(m)
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("replica: step %v: %w", m.GetType(), err)
	}
	return nil
}

// StepSnapshot processes the message of a received snapshot. The leader may have changed during the
// transfer. A snapshot contains only committed entries, which every later leader has too, so it is
// treated as sent by the current leader and need not be resent.
func (d *Driver) StepSnapshot(m *pb.Message) error {
	if s := d.node.BasicStatus(); s.GetTerm() > m.GetTerm() && s.Lead != 0 {
		m.Term = proto.Uint64(s.GetTerm())
		m.From = proto.Uint64(s.Lead)
	}
	return d.Step(m)
}

// Campaign starts an election at once.
func (d *Driver) Campaign() {
	_ = d.node.Campaign() // a replica that cannot campaign waits for a leader instead
}

// TransferLeadership starts a transfer of the leadership to another disk.
func (d *Driver) TransferLeadership(to uint64) { d.node.TransferLeader(to) }

// ReportUnreachable reports that a message to a disk could not be delivered.
func (d *Driver) ReportUnreachable(disk uint64) { d.node.ReportUnreachable(disk) }

// ReportSnapshot reports whether a snapshot arrived at a disk.
func (d *Driver) ReportSnapshot(disk uint64, arrived bool) {
	status := raft.SnapshotFinish
	if !arrived {
		status = raft.SnapshotFailure
	}
	d.node.ReportSnapshot(disk, status)
}

// CanPropose reports whether this replica is the leader and has applied all entries that earlier
// leaders committed. Only then can a batch be evaluated on its state.
func (d *Driver) CanPropose() bool {
	s := d.node.BasicStatus()
	return s.RaftState == raft.StateLeader && d.appliedOwnTerm == s.GetTerm()
}

// Propose proposes a batch. Each batch is evaluated on the state that results from the batch before
// it, so only one can be in flight. The tag identifies the batch among the committed entries. The
// error is ErrNotLeader or ErrBusy, or wraps an error of raft.
func (d *Driver) Propose(data []byte) (tag uint64, err error) {
	if !d.CanPropose() {
		return 0, ErrNotLeader
	}
	if d.inFlight != 0 {
		return 0, ErrBusy
	}
	d.lastTag++
	if d.lastTag == 0 { // 0 means no tag
		d.lastTag++
	}
	if err := d.node.Propose(append(encodeTag(d.lastTag), data...)); err != nil {
		return 0, fmt.Errorf("replica: propose: %w", err)
	}
	d.inFlight = d.lastTag
	return d.lastTag, nil
}

// InFlight returns the tag of the proposed batch whose outcome is pending. It returns 0 if there is
// none, and also if this replica is no longer the leader, because the outcome is then unknown.
func (d *Driver) InFlight() uint64 {
	if d.inFlight != 0 && d.node.BasicStatus().RaftState != raft.StateLeader {
		d.inFlight = 0
	}
	return d.inFlight
}

// ReadIndex asks the group to confirm that this replica is the leader now. The confirmation arrives
// as a ReadState with the returned tag. The error is ErrNotLeader if CanPropose is false.
func (d *Driver) ReadIndex() (tag uint64, err error) {
	if !d.CanPropose() {
		return 0, ErrNotLeader
	}
	d.lastTag++
	d.node.ReadIndex(encodeTag(d.lastTag))
	return d.lastTag, nil
}

// ProposeChange proposes a membership change. Only one can be in progress. The error is
// ErrNotLeader or ErrBusy, or wraps an error of raft.
func (d *Driver) ProposeChange(c Change) error {
	if !d.CanPropose() {
		return ErrNotLeader
	}
	if d.changePending || d.storage.isJoint() {
		return ErrBusy
	}
	confChange := &pb.ConfChangeV2{}
	for _, step := range c.Steps {
		confChange.Changes = append(confChange.Changes, &pb.ConfChangeSingle{
			Type:   step.Kind.raftType().Enum(),
			NodeId: proto.Uint64(step.Disk),
		})
	}
	var err error
	if confChange.Context, err = cbor.Marshal(confChangeContext{Members: c.membersAfter(d.members)}); err != nil {
		return fmt.Errorf("replica: encode members: %w", err)
	}
	if err := d.node.ProposeConfChange(confChange); err != nil {
		return fmt.Errorf("replica: propose membership change: %w", err)
	}
	d.changePending = true
	return nil
}

// confChangeContext is the context of a membership change in the log. Its encoding is stored.
type confChangeContext struct {
	Members map[uint64]Member `cbor:"Members"` // after the change
}

// membersAfter returns the members that result from applying the change.
func (c Change) membersAfter(members map[uint64]Member) map[uint64]Member {
	after := make(map[uint64]Member, len(members)+len(c.Steps))
	maps.Copy(after, members)
	for _, step := range c.Steps {
		if step.Kind != RemoveMember {
			after[step.Disk] = step.Member
			continue
		}
		// The member stays on record as removed, so that neither this disk nor another one under its
		// name can rejoin without an operator's order.
		removed := after[step.Disk]
		removed.Left = true
		removed.Replaces = 0
		after[step.Disk] = removed
	}
	return after
}

func (k StepKind) raftType() pb.ConfChangeType {
	switch k {
	case AddLearner:
		return pb.ConfChangeAddLearnerNode
	case AddVoter:
		return pb.ConfChangeAddNode
	case RemoveMember:
		return pb.ConfChangeRemoveNode
	}
	panic(fmt.Sprintf("replica: unknown step kind %d", k))
}

func encodeTag(tag uint64) []byte { return binary.BigEndian.AppendUint64(nil, tag) }
