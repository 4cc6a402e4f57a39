// Package replica is the driver of the board's copies: consensus on a log of batches, who is a member, who may be let in,
// and for how long a copy may speak. It is pure: ticks, messages and what is durable come in, and what is to be written,
// sent and taken over goes out. It knows no disk, no line and no clock, and not what is in a batch.
//
// The consensus itself is raft, by go.etcd.io/raft. A member is a disk: its number is made with the store and never used
// again.
package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Errors of a driver.
var (
	ErrNotLeader = errors.New("replica: this copy does not lead")
	ErrBusy      = errors.New("replica: a proposal or a change of members is under way")
)

// Config is how a driver is made. Times are in ticks.
type Config struct {
	Disk           uint64 // this copy's number, never 0
	ElectionTicks  int    // without a sign of a leader, at least; up to twice as much by chance
	HeartbeatTicks int
	Seed           uint64 // of the tags of proposals; another at each start
}

// Durable is what was on disk when the driver was made.
type Durable struct {
	Term, Vote, Commit uint64
	Applied            Position          // what the state behind the log has taken over
	Conf               *pb.ConfState     // at that position
	Members            map[uint64]Member // at that position
	Before             Position          // of the entry before the first one kept
	Entries            []*pb.Entry
}

// Position is a place in the log.
type Position struct{ Index, Term uint64 }

// HardState is what must be durable before a message that rests on it leaves.
type HardState struct{ Term, Vote, Commit uint64 }

// Batch is a committed batch, or a committed change of members with neither data nor tag.
type Batch struct {
	At   Position
	Tag  uint64 // of the proposal; 0 for none
	Data []byte // nil for an entry that changes nothing but the position
}

// Work is what is to be done, in this order: send Early, write Entries and Hard, send Late, take over Install or
// Committed. Then Done is to be called.
type Work struct {
	Early     []*pb.Message // a leader's, which need not wait for its own disk
	Entries   []*pb.Entry   // replace all from the index of the first one on
	Hard      *HardState    // nil: as it was
	Must      bool          // whether Entries and Hard must be durable before Late is sent
	Late      []*pb.Message
	Install   *pb.SnapshotMetadata // the state as a whole, from the copy that was received with it
	Committed []Batch
	Barriers  []Barrier
	ready     raft.Ready
}

// Barrier tells that whatever was accepted before it was asked for is known: it is passed once Index is taken over.
type Barrier struct{ Tag, Index uint64 }

// Driver is one copy's part of the group. It is not safe for concurrent use.
type Driver struct {
	cfg      Config
	node     *raft.RawNode
	log      *log
	hard     HardState
	members  map[uint64]Member
	tags     uint64
	inFlight uint64 // the tag of the proposal under way; 0: none
	changing bool   // a change of members is under way
	led      uint64 // the term of which this copy has taken over an entry of its own as leader; 0: none
	working  bool
}

// New makes a driver of what is durable.
func New(cfg Config, d Durable) (*Driver, error) {
	r := &Driver{cfg: cfg, members: d.Members, hard: HardState{d.Term, d.Vote, d.Commit}, tags: cfg.Seed}
	if r.members == nil {
		r.members = map[uint64]Member{}
	}
	var err error
	if r.log, err = newLog(d); err != nil {
		return nil, err
	}
	r.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.Disk, ElectionTick: cfg.ElectionTicks, HeartbeatTick: cfg.HeartbeatTicks, Storage: r.log, Applied: d.Applied.Index,
		MaxSizePerMsg: 1 << 20, MaxCommittedSizePerReady: 4 << 20, MaxUncommittedEntriesSize: 64 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{},
	})
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return r, nil
}

// Tick lets one tick pass.
func (r *Driver) Tick() { r.node.Tick() }

// Step takes a message in. Messages that do not concern this copy are dropped.
func (r *Driver) Step(m *pb.Message) error {
	if m.GetTo() != r.cfg.Disk || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("replica: a message of kind %v to %x came to %x", m.GetType(), m.GetTo(), r.cfg.Disk)
	}
	if err := r.node.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("replica: %w", err)
	}
	return nil
}

// Whole takes the message of a state in that came as a whole. The leader may have changed while it came. It is what the group had
// decided on, whoever sent it, and so a part of what every later leader has: it is taken as that one's, and need not come again.
func (r *Driver) Whole(m *pb.Message) error {
	if s := r.node.BasicStatus(); s.HardState.GetTerm() > m.GetTerm() && s.Lead != 0 {
		m.Term, m.From = proto.Uint64(s.HardState.GetTerm()), proto.Uint64(s.Lead)
	}
	return r.Step(m)
}

// Campaign has the copy stand for leader at once. It may lose.
func (r *Driver) Campaign() { _ = r.node.Campaign() }

// HandOver has another copy stand for leader.
func (r *Driver) HandOver(to uint64) { r.node.TransferLeader(to) }

// Unreachable tells that a message to a copy was lost.
func (r *Driver) Unreachable(disk uint64) { r.node.ReportUnreachable(disk) }

// Sent tells how the sending of a whole state ended.
func (r *Driver) Sent(disk uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(disk, status)
}

// Ready tells whether the copy leads and knows all that was accepted before, so that a batch can be made on its state.
func (r *Driver) Ready() bool {
	s := r.node.BasicStatus()
	return s.RaftState == raft.StateLeader && r.led == s.HardState.GetTerm()
}

// Propose puts a batch forward, one at a time: a batch is made on the state that the one before has led to. The tag tells
// it among those committed.
func (r *Driver) Propose(data []byte) (tag uint64, err error) {
	switch {
	case !r.Ready():
		return 0, ErrNotLeader
	case r.inFlight != 0:
		return 0, ErrBusy
	}
	if r.tags++; r.tags == 0 {
		r.tags++
	}
	if err := r.node.Propose(append(binary.BigEndian.AppendUint64(nil, r.tags), data...)); err != nil {
		return 0, fmt.Errorf("replica: %w", err)
	}
	r.inFlight = r.tags
	return r.tags, nil
}

// InFlight is the tag of the batch that was put forward and is not decided; 0 if there is none, or if the copy has ceased
// to lead, so that nobody knows what becomes of it.
func (r *Driver) InFlight() uint64 {
	if r.inFlight != 0 && r.node.BasicStatus().RaftState != raft.StateLeader {
		r.inFlight = 0
	}
	return r.inFlight
}

// Barrier asks for a proof that the copy leads at this moment. It gives none while Ready is false.
func (r *Driver) Barrier() (tag uint64, err error) {
	if !r.Ready() {
		return 0, ErrNotLeader
	}
	r.tags++
	r.node.ReadIndex(binary.BigEndian.AppendUint64(nil, r.tags))
	return r.tags, nil
}

// change is what goes with a change of members.
type change struct {
	Members map[uint64]Member `cbor:"Members"` // as they are after it
}

// Change puts a change of members forward, one at a time.
func (r *Driver) Change(c Change) error {
	switch {
	case !r.Ready():
		return ErrNotLeader
	case r.changing || len(r.log.conf.GetVotersOutgoing()) > 0:
		return ErrBusy
	}
	after := map[uint64]Member{}
	for disk, m := range r.members {
		after[disk] = m
	}
	v2 := &pb.ConfChangeV2{}
	for _, s := range c.Steps {
		kind := map[StepKind]pb.ConfChangeType{Learn: pb.ConfChangeAddLearnerNode, Vote: pb.ConfChangeAddNode, Leave: pb.ConfChangeRemoveNode}[s.Kind]
		v2.Changes = append(v2.Changes, &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(s.Disk)})
		if s.Kind == Leave { // it is remembered: neither the disk nor another of its name comes back by itself
			m := after[s.Disk]
			m.Left, m.Replaces = true, 0
			after[s.Disk] = m
		} else {
			after[s.Disk] = s.Member
		}
	}
	var err error
	if v2.Context, err = cbor.Marshal(change{Members: after}); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	if err := r.node.ProposeConfChange(v2); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	r.changing = true
	return nil
}

// Work hands out what is to be done; nil if there is nothing.
func (r *Driver) Work() *Work {
	if r.working || !r.node.HasReady() {
		return nil
	}
	r.working = true
	rd := r.node.Ready()
	w := &Work{Entries: rd.Entries, Must: rd.MustSync, ready: rd}
	if h := rd.HardState; !raft.IsEmptyHardState(h) {
		r.hard = HardState{h.GetTerm(), h.GetVote(), h.GetCommit()}
		w.Hard = &r.hard
	}
	leads := r.node.BasicStatus().RaftState == raft.StateLeader
	for _, m := range rd.Messages {
		if leads && (m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat) {
			w.Early = append(w.Early, m)
		} else {
			w.Late = append(w.Late, m)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.Install, w.Must = rd.Snapshot.GetMetadata(), true
	}
	for _, e := range rd.CommittedEntries {
		w.Committed = append(w.Committed, batchOf(e))
	}
	for _, s := range rd.ReadStates {
		if len(s.RequestCtx) == 8 {
			w.Barriers = append(w.Barriers, Barrier{binary.BigEndian.Uint64(s.RequestCtx), s.Index})
		}
	}
	return w
}

// Durable tells that what Work asked to be written is durable.
func (r *Driver) Durable(w *Work) error {
	if w.Install != nil {
		if err := r.log.ApplySnapshot(&pb.Snapshot{Metadata: w.Install}); err != nil {
			return fmt.Errorf("replica: %w", err)
		}
		r.log.conf = w.Install.GetConfState()
	}
	if w.Hard != nil {
		_ = r.log.SetHardState(&pb.HardState{Term: proto.Uint64(w.Hard.Term), Vote: proto.Uint64(w.Hard.Vote), Commit: proto.Uint64(w.Hard.Commit)})
	}
	if err := r.log.Append(w.Entries); err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	return nil
}

// Taken follows a committed entry that was taken over, and tells whether the members changed by it.
func (r *Driver) Taken(w *Work, i int) (changed bool, err error) {
	e := w.ready.CommittedEntries[i]
	r.log.applied = Position{e.GetIndex(), e.GetTerm()}
	if s := r.node.BasicStatus(); s.RaftState == raft.StateLeader && e.GetTerm() == s.HardState.GetTerm() {
		r.led = e.GetTerm()
	}
	if tag := w.Committed[i].Tag; tag != 0 && tag == r.inFlight {
		r.inFlight = 0
	}
	if e.GetType() == pb.EntryNormal {
		return false, nil
	}
	var cc pb.ConfChangeV2
	if e.GetType() == pb.EntryConfChange { // none is ever put forward; a store may be told to hold one
		return false, fmt.Errorf("replica: entry %d is a change of members in a form that is not used", e.GetIndex())
	}
	if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
		return false, fmt.Errorf("replica: entry %d: %w", e.GetIndex(), err)
	}
	r.log.conf = r.node.ApplyConfChange(&cc)
	r.changing = false
	if len(cc.GetContext()) > 0 {
		var c change
		if err := cbor.Unmarshal(cc.GetContext(), &c); err != nil {
			return false, fmt.Errorf("replica: entry %d: %w", e.GetIndex(), err)
		}
		r.members = c.Members
	}
	return true, nil
}

// Installed follows a state that was taken over as a whole.
func (r *Driver) Installed(at Position, members map[uint64]Member) {
	r.log.applied, r.members = at, members
}

// Done ends a Work.
func (r *Driver) Done(w *Work) {
	r.working = false
	r.node.Advance(w.ready)
}

// Compact forgets entries, so many of the last ones taken over kept. It tells the last one forgotten; the zero Position
// if none was.
func (r *Driver) Compact(keep uint64) Position {
	first, _ := r.log.FirstIndex()
	to := r.log.applied.Index
	if to < keep || to-keep < first {
		return Position{}
	}
	to -= keep
	term, err := r.log.Term(to)
	if err != nil || r.log.Compact(to) != nil {
		return Position{}
	}
	return Position{to, term}
}

// Conf is who votes, as of what was taken over.
func (r *Driver) Conf() *pb.ConfState { return r.log.conf }

// Members are the copies of the group by disk, and those that have left it. The map must not be changed.
func (r *Driver) Members() map[uint64]Member { return r.members }

// Removed tells whether a disk was taken out of the group. That is final. While the change that takes it out is half way the
// disk's votes still count, and it is not removed.
func (r *Driver) Removed(disk uint64) bool {
	return r.members[disk].Left && !slices.Contains(r.log.conf.GetVotersOutgoing(), disk)
}

// Last is the index of the last durable entry.
func (r *Driver) Last() uint64 { n, _ := r.log.LastIndex(); return n }

// HardState is the last state that was handed out to be written.
func (r *Driver) HardState() HardState { return r.hard }

// Applied is what was taken over.
func (r *Driver) Applied() Position { return r.log.applied }

// State is what the driver knows of the group.
type State struct {
	Disk, Leader uint64 // Leader is 0 while none is known
	Leads        bool
	HardState
	Applied  uint64
	Voters   []uint64
	Learners []uint64
	Joint    bool                // a change of members is half way
	Progress map[uint64]Progress // at the leader alone
}

// Progress is how far another copy is, as the leader knows.
type Progress struct {
	Match  uint64
	Active bool // it was heard of within the last election time
	Whole  bool // it is being sent the state as a whole
}

// State looks at the group.
func (r *Driver) State() State {
	s := r.node.Status()
	out := State{
		Disk: r.cfg.Disk, Leader: s.Lead, Leads: s.RaftState == raft.StateLeader, HardState: r.hard, Applied: r.log.applied.Index,
		Voters: slices.Clone(r.log.conf.GetVoters()), Learners: slices.Clone(r.log.conf.GetLearners()), Joint: len(r.log.conf.GetVotersOutgoing()) > 0,
	}
	if out.Leads {
		out.Progress = map[uint64]Progress{}
		for disk, p := range s.Progress {
			out.Progress[disk] = Progress{Match: p.Match, Active: p.RecentActive || disk == r.cfg.Disk, Whole: p.IsPaused() && p.PendingSnapshot > 0}
		}
	}
	return out
}

// log is the kept part of the log in memory, as raft reads it.
type log struct {
	*raft.MemoryStorage
	conf    *pb.ConfState
	applied Position
}

func newLog(d Durable) (*log, error) {
	l := &log{MemoryStorage: raft.NewMemoryStorage(), conf: pb.EnsureConfState(d.Conf), applied: d.Applied}
	if d.Before.Index > 0 {
		if err := l.ApplySnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(d.Before.Index), Term: proto.Uint64(d.Before.Term), ConfState: pb.EnsureConfState(nil)}}); err != nil {
			return nil, fmt.Errorf("replica: %w", err)
		}
	}
	for i, e := range d.Entries {
		if want := d.Before.Index + 1 + uint64(i); e.GetIndex() != want {
			return nil, fmt.Errorf("replica: entry %d stands where %d is wanted", e.GetIndex(), want)
		}
	}
	last := d.Before.Index + uint64(len(d.Entries))
	if d.Applied.Index > d.Commit || d.Commit > last || d.Applied.Index < d.Before.Index {
		return nil, fmt.Errorf("replica: taken over up to %d, committed up to %d, the log ends at %d", d.Applied.Index, d.Commit, last)
	}
	if err := l.Append(d.Entries); err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return l, l.SetHardState(&pb.HardState{Term: proto.Uint64(d.Term), Vote: proto.Uint64(d.Vote), Commit: proto.Uint64(d.Commit)})
}

// InitialState implements raft.Storage.
func (l *log) InitialState() (*pb.HardState, *pb.ConfState, error) {
	h, _, err := l.MemoryStorage.InitialState()
	return h, l.conf, err
}

// Snapshot implements raft.Storage. It holds no state: whoever sends it puts the store's in.
func (l *log) Snapshot() (*pb.Snapshot, error) {
	if l.applied.Index == 0 {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(l.applied.Index), Term: proto.Uint64(l.applied.Term), ConfState: l.conf}}, nil
}

// quiet carries raft's words to the debug level of the log. What it calls fatal is a broken invariant.
type quiet struct{}

func (quiet) Debug(...any)                {}
func (quiet) Debugf(string, ...any)       {}
func (quiet) Info(v ...any)               { slog.Debug("copies.raft", "text", fmt.Sprint(v...)) }
func (quiet) Infof(f string, v ...any)    { slog.Debug("copies.raft", "text", fmt.Sprintf(f, v...)) }
func (quiet) Warning(v ...any)            { slog.Debug("copies.raft", "text", fmt.Sprint(v...)) }
func (quiet) Warningf(f string, v ...any) { slog.Debug("copies.raft", "text", fmt.Sprintf(f, v...)) }
func (quiet) Error(v ...any)              { slog.Info("copies.raft", "text", fmt.Sprint(v...)) }
func (quiet) Errorf(f string, v ...any)   { slog.Info("copies.raft", "text", fmt.Sprintf(f, v...)) }
func (quiet) Fatal(v ...any)              { panic("replica: " + fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any)   { panic("replica: " + fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)              { panic("replica: " + fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any)   { panic("replica: " + fmt.Sprintf(f, v...)) }

// First is the index of the first entry kept.
func (r *Driver) First() uint64 { n, _ := r.log.FirstIndex(); return n }

func batchOf(e *pb.Entry) Batch {
	b := Batch{At: Position{e.GetIndex(), e.GetTerm()}}
	if e.GetType() == pb.EntryNormal && len(e.GetData()) >= 8 {
		b.Tag, b.Data = binary.BigEndian.Uint64(e.GetData()), e.GetData()[8:]
	}
	return b
}

// Decode reads an entry as it is stored: its place, and the batch in it; nil if there is none.
func Decode(raw []byte) (at Position, data []byte, err error) {
	e := &pb.Entry{}
	if err := proto.Unmarshal(raw, e); err != nil {
		return at, nil, fmt.Errorf("replica: %w", err)
	}
	b := batchOf(e)
	return b.At, b.Data, nil
}
