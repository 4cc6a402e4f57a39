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
	ErrNotLeader = errors.New("replica: this copy does not lead")
	ErrBusy      = errors.New("replica: a proposal or a change of members is under way")
)

// Bounds of raft's messages, in bytes, and of the messages that are in flight to one follower.
const (
	maxBytesPerMessage     = 1 << 20
	maxCommittedBytes      = 4 << 20 // in one Ready
	maxUncommittedBytes    = 64 << 20
	maxMessagesPerFollower = 64
	tagLength              = 8 // bytes of a tag in front of a proposal's data
)

// Config configures a Driver.
type Config struct {
	Disk           uint64 // this replica's number in the group; never 0
	ElectionTicks  int    // a follower campaigns after one to two times as many ticks without a leader
	HeartbeatTicks int    // ticks from one heartbeat of a leader to the next
	Seed           uint64 // the tags of proposals follow on it; it must differ at each start
}

// Driver is one replica's part in the consensus. It is not safe for concurrent use.
type Driver struct {
	config         Config
	node           *raft.RawNode
	storage        *logStorage
	hardState      HardState
	members        map[uint64]Member
	lastTag        uint64
	inFlight       uint64 // tag of the proposal that is not decided yet; 0: none
	changePending  bool   // a change of members was proposed and is not applied
	appliedOwnTerm uint64 // the term in which this replica leads and has applied an entry of its own; 0: none
	readyPending   bool   // a Ready was handed out and not advanced
}

// New makes a driver from what is on disk.
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
		return nil, fmt.Errorf("replica: make raft node: %w", err)
	}
	return d, nil
}

// Tick lets one tick pass.
func (d *Driver) Tick() { d.node.Tick() }

// Step takes in a message of another replica. A message that raft has no use for is dropped without
// an error.
func (d *Driver) Step(m *pb.Message) error {
	if m.GetTo() != d.config.Disk || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("replica: a message of kind %v to %x came to %x", m.GetType(), m.GetTo(), d.config.Disk)
	}
	err := d.node.Step(m)
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("replica: step %v: %w", m.GetType(), err)
	}
	return nil
}

// StepSnapshot takes in the message of a snapshot that was received. The leader may have changed
// during the transfer. A snapshot holds committed entries only, which every later leader has too,
// so it counts as the present leader's and need not be resent.
func (d *Driver) StepSnapshot(m *pb.Message) error {
	if s := d.node.BasicStatus(); s.GetTerm() > m.GetTerm() && s.Lead != 0 {
		m.Term = proto.Uint64(s.GetTerm())
		m.From = proto.Uint64(s.Lead)
	}
	return d.Step(m)
}

// Campaign starts an election at once, which may be lost.
func (d *Driver) Campaign() {
	_ = d.node.Campaign() // a replica that may not campaign waits for a leader instead
}

// TransferLeadership asks another replica to take over as leader.
func (d *Driver) TransferLeadership(to uint64) { d.node.TransferLeader(to) }

// ReportUnreachable reports that a message to a replica was lost.
func (d *Driver) ReportUnreachable(disk uint64) { d.node.ReportUnreachable(disk) }

// ReportSnapshot reports whether a snapshot arrived at a replica.
func (d *Driver) ReportSnapshot(disk uint64, arrived bool) {
	status := raft.SnapshotFinish
	if !arrived {
		status = raft.SnapshotFailure
	}
	d.node.ReportSnapshot(disk, status)
}

// CanPropose reports whether this replica leads and has applied everything that earlier leaders
// committed. Only then a batch can be evaluated on its state.
func (d *Driver) CanPropose() bool {
	s := d.node.BasicStatus()
	return s.RaftState == raft.StateLeader && d.appliedOwnTerm == s.GetTerm()
}

// Propose proposes a batch. A batch is evaluated on the state that the one before it leads to, so
// only one can be in flight. The tag identifies it among the committed entries. The error is
// ErrNotLeader, ErrBusy, or wraps one of raft's.
func (d *Driver) Propose(data []byte) (tag uint64, err error) {
	if !d.CanPropose() {
		return 0, ErrNotLeader
	}
	if d.inFlight != 0 {
		return 0, ErrBusy
	}
	d.lastTag++
	if d.lastTag == 0 { // 0 stands for no tag
		d.lastTag++
	}
	if err := d.node.Propose(append(encodeTag(d.lastTag), data...)); err != nil {
		return 0, fmt.Errorf("replica: propose: %w", err)
	}
	d.inFlight = d.lastTag
	return d.lastTag, nil
}

// InFlight returns the tag of the batch that was proposed and is not decided. It is 0 if there is
// none, and also once this replica no longer leads, for then the outcome is unknown.
func (d *Driver) InFlight() uint64 {
	if d.inFlight != 0 && d.node.BasicStatus().RaftState != raft.StateLeader {
		d.inFlight = 0
	}
	return d.inFlight
}

// ReadIndex asks the group for a proof that this replica leads at this moment. The proof comes as a
// ReadState with the tag. The error is ErrNotLeader while CanPropose is false.
func (d *Driver) ReadIndex() (tag uint64, err error) {
	if !d.CanPropose() {
		return 0, ErrNotLeader
	}
	d.lastTag++
	d.node.ReadIndex(encodeTag(d.lastTag))
	return d.lastTag, nil
}

// ProposeChange proposes a change of members, one at a time. The error is ErrNotLeader, ErrBusy, or
// wraps one of raft's.
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
	if confChange.Context, err = cbor.Marshal(change{Members: c.apply(d.members)}); err != nil {
		return fmt.Errorf("replica: encode members: %w", err)
	}
	if err := d.node.ProposeConfChange(confChange); err != nil {
		return fmt.Errorf("replica: propose change of members: %w", err)
	}
	d.changePending = true
	return nil
}

// change is the context of a change of members in the log. Its form is stored.
type change struct {
	Members map[uint64]Member `cbor:"Members"` // as they are after the change
}

// apply returns the members after a change.
func (c Change) apply(members map[uint64]Member) map[uint64]Member {
	after := make(map[uint64]Member, len(members)+len(c.Steps))
	maps.Copy(after, members)
	for _, step := range c.Steps {
		if step.Kind != RemoveMember {
			after[step.Disk] = step.Member
			continue
		}
		// The member is remembered as removed: neither the disk nor another one of its name joins
		// again by itself.
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
	panic(fmt.Sprintf("replica: unknown kind of step %d", k))
}

func encodeTag(tag uint64) []byte { return binary.BigEndian.AppendUint64(nil, tag) }
