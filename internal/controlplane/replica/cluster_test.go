package replica

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// cluster is a simulated group of drivers with their disks, and the messages in flight between
// them. Every possible next event is a numbered choice, so that a list of choices defines a run.
type cluster struct {
	replicas       []*simulatedReplica
	inFlight       []*pb.Message
	accepted       map[uint64]string // committed batches whose proposer learned of the commit, by index
	choicesMade    int
	fault          string
	skippedPersist string // "vote" or "entries", which is then not persisted; empty: everything is persisted
}

// simulatedReplica is a driver with its disk.
type simulatedReplica struct {
	disk      uint64
	driver    *Driver
	durable   PersistedState
	applied   map[uint64]string // entries that it has applied since its first start, by index
	proposals map[uint64]string // proposals whose outcome is pending, by tag
}

// Points at which a replica can crash while it processes a Ready.
const (
	crashBeforePersist = iota
	crashAfterPersist  // messages that depend on the persisted state are not sent
	noCrash
)

func newCluster(n int) *cluster {
	c := &cluster{accepted: map[uint64]string{}}
	confState := &pb.ConfState{}
	members := map[uint64]Member{}
	for i := range n {
		disk := uint64(i + 1)
		confState.Voters = append(confState.Voters, disk)
		members[disk] = Member{Name: string(rune('a' + i)), Machine: fmt.Sprint(i)}
	}
	first := Position{Index: 1, Term: 1}
	for i := range n {
		r := &simulatedReplica{disk: uint64(i + 1), applied: map[uint64]string{}, proposals: map[uint64]string{}}
		r.durable = PersistedState{Term: 1, Commit: 1, Applied: first, Compacted: first, ConfState: confState, Members: members}
		c.replicas = append(c.replicas, r)
		c.start(r)
	}
	return c
}

// start starts a replica from its disk.
func (c *cluster) start(r *simulatedReplica) {
	persisted := r.durable
	persisted.Entries = slices.Clone(persisted.Entries)
	config := Config{Disk: r.disk, ElectionTicks: 1000, HeartbeatTicks: 1, Seed: r.disk<<40 + uint64(c.choicesMade)<<20}
	var err error
	if r.driver, err = New(config, persisted); err != nil {
		c.fault = err.Error()
	}
	clear(r.proposals)
}

// processReady does the work of a Ready up to the given crash point. It reports whether the replica
// is still running.
func (c *cluster) processReady(r *simulatedReplica, rd *Ready, crashPoint int) bool {
	c.inFlight = append(c.inFlight, rd.EarlyMessages...)
	if crashPoint == crashBeforePersist {
		return false
	}
	c.persist(r, rd)
	if crashPoint == crashAfterPersist {
		return false
	}
	if err := r.driver.Persisted(rd); err != nil {
		c.fault = err.Error()
		return false
	}
	if rd.Snapshot != nil {
		r.driver.SnapshotInstalled(r.durable.Applied, r.driver.Members())
	}
	c.inFlight = append(c.inFlight, rd.Messages...)
	for i, entry := range rd.CommittedEntries {
		if _, err := r.driver.ApplyEntry(rd, i); err != nil {
			c.fault = err.Error()
			return false
		}
		c.apply(r, entry)
	}
	r.driver.Advance(rd)
	return true
}

func (c *cluster) persist(r *simulatedReplica, rd *Ready) {
	if at := rd.Snapshot; at != nil { // the log restarts after the snapshot
		r.durable.Compacted = Position{Index: at.GetIndex(), Term: at.GetTerm()}
		r.durable.Entries = nil
		r.durable.Applied = r.durable.Compacted
		r.durable.ConfState = at.GetConfState()
	}
	votePersisted := c.skippedPersist != "vote" || len(rd.Entries) > 0
	if len(rd.Entries) == 0 && (!rd.MustSync || !votePersisted) {
		return
	}
	if len(rd.Entries) > 0 && c.skippedPersist != "entries" {
		unchanged := rd.Entries[0].GetIndex() - r.durable.Compacted.Index - 1
		r.durable.Entries = append(slices.Clone(r.durable.Entries[:unchanged]), rd.Entries...)
	}
	hardState := r.driver.HardState()
	r.durable.Term = hardState.Term
	r.durable.Vote = hardState.Vote
	r.durable.Commit = min(hardState.Commit, r.durable.Compacted.Index+uint64(len(r.durable.Entries)))
}

// apply records an applied entry, and compares it with the entries that other replicas applied at the
// same index.
func (c *cluster) apply(r *simulatedReplica, entry CommittedEntry) {
	index := entry.At.Index
	text := fmt.Sprintf("%d:%s", entry.At.Term, entry.Data)
	for _, other := range c.replicas {
		if theirs, isApplied := other.applied[index]; isApplied && theirs != text {
			c.fault = fmt.Sprintf("disk %d applies %q at %d, disk %d has %q", r.disk, text, index, other.disk, theirs)
		}
	}
	r.applied[index] = text
	if _, isOwn := r.proposals[entry.Tag]; isOwn {
		c.accepted[index] = text
		delete(r.proposals, entry.Tag)
	}
}

// processAllReady processes the Ready values of a replica until it returns none.
func (c *cluster) processAllReady(r *simulatedReplica) {
	for c.fault == "" {
		rd := r.driver.Ready()
		if rd == nil || !c.processReady(r, rd, noCrash) {
			return
		}
	}
}

// choicesPerReplica counts: campaign, propose, restart, crash before persisting, crash after
// persisting.
const choicesPerReplica = 5

// choices returns the number of choices: each message in flight is delivered or lost, and each
// replica has choicesPerReplica choices of its own.
func (c *cluster) choices() int { return 2*len(c.inFlight) + choicesPerReplica*len(c.replicas) }

// perform performs a choice and returns its description.
func (c *cluster) perform(choice int) string {
	c.choicesMade++
	if choice < 2*len(c.inFlight) {
		return c.deliver(choice/2, choice%2 == 1)
	}
	choice -= 2 * len(c.inFlight)
	r := c.replicas[choice/choicesPerReplica]
	switch choice %= choicesPerReplica; choice {
	case 0:
		r.driver.Campaign()
		c.processAllReady(r)
		return fmt.Sprintf("%d campaigns", r.disk)
	case 1:
		if tag, err := r.driver.Propose(fmt.Appendf(nil, "b%d", c.choicesMade)); err == nil {
			r.proposals[tag] = "x"
		}
		c.processAllReady(r)
		return fmt.Sprintf("%d proposes", r.disk)
	case 2:
		c.start(r)
		c.processAllReady(r)
		return fmt.Sprintf("%d restarts", r.disk)
	default:
		r.driver.Campaign()
		if rd := r.driver.Ready(); rd != nil {
			c.processReady(r, rd, choice-3)
		}
		c.start(r)
		c.processAllReady(r)
		return fmt.Sprintf("%d campaigns and dies at point %d", r.disk, choice-3)
	}
}

func (c *cluster) deliver(i int, isLost bool) string {
	m := c.inFlight[i]
	c.inFlight = append(slices.Clone(c.inFlight[:i]), c.inFlight[i+1:]...)
	if isLost {
		return fmt.Sprintf("lost: %v %d to %d", m.GetType(), m.GetFrom(), m.GetTo())
	}
	r := c.replicas[m.GetTo()-1]
	if err := r.driver.Step(proto.Clone(m).(*pb.Message)); err != nil {
		c.fault = err.Error()
	}
	c.processAllReady(r)
	return fmt.Sprintf("%v %d to %d, term %d, index %d", m.GetType(), m.GetFrom(), m.GetTo(), m.GetTerm(), m.GetIndex())
}

// check returns a description of a violated invariant; empty if all hold.
func (c *cluster) check() string {
	if c.fault != "" {
		return c.fault
	}
	leaders := map[uint64]uint64{}
	for _, r := range c.replicas {
		s := r.driver.Status()
		if !s.IsLeader {
			continue
		}
		if other, hasLeader := leaders[s.Term]; hasLeader {
			return fmt.Sprintf("disks %d and %d both lead term %d", other, r.disk, s.Term)
		}
		leaders[s.Term] = r.disk
	}
	for index, text := range c.accepted {
		if n := c.countDisksWith(index, text); 2*n <= len(c.replicas) {
			return fmt.Sprintf("%q at %d was accepted and is on %d of %d disks", text, index, n, len(c.replicas))
		}
	}
	return ""
}

// countDisksWith returns the number of disks that hold a batch, in the log or in a snapshot.
func (c *cluster) countDisksWith(index uint64, text string) (n int) {
	for _, r := range c.replicas {
		i := int(index) - int(r.durable.Compacted.Index) - 1
		if i < 0 { // it is in the snapshot
			n++
		} else if i < len(r.durable.Entries) {
			entry := r.durable.Entries[i]
			if fmt.Sprintf("%d:%s", entry.GetTerm(), committedEntry(entry).Data) == text {
				n++
			}
		}
	}
	return n
}
