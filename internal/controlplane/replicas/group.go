// Package replicas is the shell of one replica: the loop that drives internal/controlplane/replica, the store that keeps its durable state,
// and the connections to the other replicas, over the HTTP of the write side. Decisions are made in internal/controlplane/replica.
package replicas

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/quota"
)

const (
	electionTicks  = 12
	heartbeatTicks = 2
	meetFor        = time.Second            // to hear what the others have seen of this disk
	greetEvery     = 250 * time.Millisecond // while the copy is not in
	diskEvery      = 200 * time.Millisecond // to try again a disk that could not be written
	flushAfter     = 3 * time.Millisecond   // what was taken over is written with the next entries, or then
	logKept        = 10_000                 // entries kept for copies that were away; beyond, they are sent the whole state
	logSlack       = 2_000
	logKeptWhole   = 300_000          // while a whole state is on its way, which the log must go on from when it is there
	wholeSettles   = 30 * time.Second // after which the copy that got it has what was written meanwhile
	learnerWithin  = 100              // entries that a learner may lack when it begins to vote
)

// Phase is what a copy is doing.
type Phase string

// Phases.
const (
	Introducing       Phase = "meeting" // it asks the others what they have seen of its disk
	AwaitingAdmission Phase = "waiting" // its disk is not let in
	Active            Phase = "in"
	DiskFailed        Phase = "no-disk" // its disk can't be written; it takes no part and tries again
	Excluded          Phase = "out"     // it may not take part; Why tells what to do
)

// Settings of a copy.
type Settings struct {
	operatorconfig.ReplicaGroup
	Batch             int
	FoundGroup        bool                                  // begin a group with this store
	Client            *http.Client                          // for calls to other copies; nil: without TLS
	Scheme            string                                // of their addresses; empty: http
	LeadershipChanged func(bool)                            // told when this copy begins or ceases to lead; must not block
	SnapshotInstalled func()                                // told when the store was taken over whole; must not block
	Acknowledged      func() int64                          // up to which this copy's followers have all events
	Heartbeats        func() api.Heartbeats                 // of the directors that follow here
	TakeHeartbeats    func(api.Heartbeats)                  // at the leader: of those that follow elsewhere
	Grant             func([]quota.Renewal) api.LeaseAnswer // at the leader, right after that was proven
	TakeLeaseAnswer   func(api.LeaseAnswer)
	NotifiedAfter     func() time.Duration // after which a follower that left counts as told
}

// Group is this copy's part of the group.
type Group struct {
	set    Settings
	store  *store.Store
	run    uint64 // this start of the program
	inbox  chan func()
	stop   chan struct{}
	ended  chan struct{}
	links  map[string]*peer // by name
	status atomic.Pointer[status]

	mu      sync.Mutex // of the witness and both sides of leases
	witness *replica.RollbackDetector
	holder  replica.Holder
	granter *replica.Lessor

	// What follows is the loop's.
	driver    *replica.Driver
	phase     Phase
	why       string
	leads     bool
	seeds     uint64
	waiting   []*store.Request // of the batch that was put forward
	results   []error
	inFlight  uint64
	barriers  map[uint64][]func(error)
	passed    []replica.ReadState // proven, and not taken over yet
	candidate *store.ReceivedSnapshot
	contacts  *replica.ContactTracker
	names     map[uint64]string // of disks that have sent messages
	asks      map[string]uint64 // disks that wait to be let in, by name
	revisions []revisionAt
	met       map[string]bool
	metSince  time.Duration
	diskTried time.Duration
	flush     *time.Timer
	flushing  bool
	ticks     int
	sending   map[uint64]bool          // disks that are being sent the whole state
	sentWhole map[uint64]time.Duration // when that began last
}

type revisionAt struct {
	at time.Duration
	no int64
}

// Now is the time since the machine started, its sleep included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no Linux lacks it
	}
	return time.Duration(ts.Nano())
}

func random64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// New makes the copy of a store that was opened for a group.
func New(s *store.Store, set Settings) (*Group, error) {
	lease := replica.Lease{Length: set.Lease, Drift: set.Drift}
	g := &Group{
		set: set, store: s, run: random64(), inbox: make(chan func(), 1024), stop: make(chan struct{}), ended: make(chan struct{}),
		links: map[string]*peer{}, witness: replica.NewRollbackDetector(), granter: replica.NewLessor(lease), phase: Introducing, seeds: random64(),
		barriers: map[uint64][]func(error){}, contacts: replica.NewContactTracker(set.Tick), names: map[uint64]string{}, asks: map[string]uint64{}, met: map[string]bool{},
		sending: map[uint64]bool{}, sentWhole: map[uint64]time.Duration{}, flush: time.NewTimer(time.Hour),
	}
	if g.set.Scheme == "" {
		g.set.Scheme = "http"
	}
	for _, c := range set.Replicas {
		if c.Name != set.Self {
			g.links[c.Name] = newPeer(g, c)
		}
	}
	if err := g.identify(); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

func (g *Group) self() operatorconfig.Replica {
	for _, c := range g.set.Replicas {
		if c.Name == g.set.Self {
			return c
		}
	}
	return operatorconfig.Replica{}
}

// identify looks what the disk is, and makes it a copy if it was none.
func (g *Group) identify() error {
	i, copied := g.store.Identity()
	own := g.self()
	switch {
	case copied:
		g.out(store.ErrClonedStore.Error())
	case i.Disk != 0 && i.Name != g.set.Self:
		return fmt.Errorf("the store is that of copy %s, and this is copy %s", i.Name, g.set.Self)
	case i.Disk != 0 && g.set.FoundGroup:
		return errors.New("the store belongs to a group already: start it without --found")
	case i.Disk != 0 && i.Group != 0:
		g.metSince = Now()
	case i.Disk != 0:
		g.phase = AwaitingAdmission
	case g.set.FoundGroup:
		disk := random64()
		members := map[uint64]replica.Member{disk: {Name: own.Name, Machine: own.Machine, Site: own.Site}}
		t, err := taken(replica.Position{Index: 1, Term: 1}, &pb.ConfState{Voters: []uint64{disk}}, members)
		if err != nil {
			return err
		}
		if err := g.store.BecomeReplica(store.Identity{Group: random64(), Disk: disk, Name: own.Name}, &t); err != nil {
			return err
		}
		slog.Info("copies.founded", "copy", own.Name, "disk", fmt.Sprintf("%x", disk), "revision", g.store.Fleet().Revision)
		g.metSince = Now() - meetFor
	default:
		disk := random64()
		if err := g.store.BecomeReplica(store.Identity{Disk: disk, Name: own.Name}, nil); err != nil {
			return err
		}
		g.phase = AwaitingAdmission
		slog.Info("copies.waits", "copy", own.Name, "disk", fmt.Sprintf("%x", disk))
	}
	return nil
}

// taken is a place in the log with who is a member there, as it is stored.
func taken(at replica.Position, conf *pb.ConfState, members map[uint64]replica.Member) (t store.AppliedState, err error) {
	t.At = store.Position(at)
	if t.ConfState, err = proto.Marshal(conf); err != nil {
		return t, err
	}
	t.Members, err = cbor.Marshal(members)
	return t, err
}

func untaken(t store.AppliedState) (conf *pb.ConfState, members map[uint64]replica.Member, err error) {
	conf = &pb.ConfState{}
	if err = proto.Unmarshal(t.ConfState, conf); err != nil {
		return nil, nil, err
	}
	err = cbor.Unmarshal(t.Members, &members)
	return conf, members, err
}

// Run drives the copy until Stop.
func (g *Group) Run() {
	defer close(g.ended)
	for _, l := range g.links {
		go l.run()
	}
	go g.greet()
	go g.lease()
	ticker := time.NewTicker(g.set.Tick)
	defer ticker.Stop()
	if g.phase == Introducing && Now()-g.metSince >= meetFor {
		g.begin()
	}
	for {
		var requests <-chan *store.Request
		if g.driver == nil || !g.driver.Status().IsLeader || g.driver.CanPropose() && g.waiting == nil {
			requests = g.store.Requests()
		}
		select {
		case <-g.stop:
			g.finish()
			return
		case <-ticker.C:
			g.tick()
		case f := <-g.inbox:
			f()
			for range 256 { // what has come together is worked off together
				select {
				case f := <-g.inbox:
					f()
					continue
				default:
				}
				break
			}
		case r := <-requests:
			g.propose(r)
		case <-g.flush.C:
			g.flushing = false
			if g.driver != nil && g.store.HasUnpersisted() {
				if err := g.save(nil); err != nil {
					g.lostDisk(err)
				}
			}
		}
		g.work()
	}
}

// Stop ends Run and waits for that.
func (g *Group) Stop() {
	close(g.stop)
	<-g.ended
}

// finish writes what was taken over and tells those who wait that nobody knows.
func (g *Group) finish() {
	if g.driver != nil && g.store.HasUnpersisted() {
		if err := g.save(nil); err != nil {
			slog.Error("copies.not_written", "err", err)
		}
	}
	g.fail(store.ErrOutcomeUnknown)
	if g.candidate != nil {
		g.candidate.Discard()
	}
}

// post has the loop run f; false if the group has ended.
func (g *Group) post(f func()) bool {
	select {
	case g.inbox <- f:
		return true
	case <-g.stop:
		return false
	}
}

// begin makes the driver of what the store holds.
func (g *Group) begin() {
	p, err := g.store.PersistedState()
	if err == nil {
		var d replica.PersistedState
		d = replica.PersistedState{Term: p.Term, Vote: p.Vote, Commit: p.Commit, Applied: replica.Position(p.Applied.At), Compacted: replica.Position(p.Compacted)}
		if len(p.Applied.ConfState) > 0 {
			d.ConfState, d.Members, err = untaken(p.Applied)
		}
		for _, e := range p.Entries {
			entry := &pb.Entry{}
			if err == nil {
				err = proto.Unmarshal(e.Data, entry)
			}
			d.Entries = append(d.Entries, entry)
		}
		if err == nil {
			g.seeds += 1 << 32
			g.driver, err = replica.New(replica.Config{Disk: p.Disk, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: g.seeds}, d)
		}
	}
	if err != nil {
		g.out("the store can't be driven: " + err.Error())
		return
	}
	g.phase, g.why = Active, ""
	if s := g.driver.Status(); len(s.Voters) == 1 && s.Voters[0] == p.Disk {
		g.driver.Campaign()
	}
	slog.Info("copies.in", "copy", g.set.Self, "term", p.Term, "log", g.driver.LastIndex(), "revision", g.store.Fleet().Revision)
	g.publish()
}

// out ends this disk's part for good.
func (g *Group) out(why string) {
	g.lead(false)
	g.fail(store.ErrOutcomeUnknown)
	g.driver, g.phase, g.why = nil, Excluded, why
	slog.Error("copies.out", "copy", g.set.Self, "why", why, "do", "start it with --new-disk, and have the new disk let in: stairvane copies replace "+g.set.Self)
	g.publish()
}

// lostDisk gives the place in the group up until the disk can be written again. What the disk holds is as it was.
func (g *Group) lostDisk(err error) {
	if g.phase != DiskFailed {
		slog.Error("copies.disk_lost", "copy", g.set.Self, "led", g.leads, "err", err)
	}
	g.lead(false)
	g.driver, g.phase, g.why, g.diskTried = nil, DiskFailed, err.Error(), Now()
	g.fail(store.ErrOutcomeUnknown)
	g.publish()
}

// fail answers all who wait.
func (g *Group) fail(err error) {
	for _, r := range g.waiting {
		r.Answer(err)
	}
	g.waiting, g.results, g.inFlight = nil, nil, 0
	for tag, all := range g.barriers {
		for _, f := range all {
			f(store.ErrNotLeader)
		}
		delete(g.barriers, tag)
	}
	g.passed = nil
}

func (g *Group) lead(leads bool) {
	if g.leads == leads {
		return
	}
	g.leads = leads
	if leads {
		g.contacts.Reset()
	}
	g.mu.Lock()
	g.granter.Lead(leads, Now())
	g.mu.Unlock()
	slog.Info("copies.leads", "copy", g.set.Self, "leads", leads)
	g.set.LeadershipChanged(leads)
}

func (g *Group) tick() {
	now := Now()
	g.ticks++
	g.contacts.Tick()
	switch g.phase {
	case Introducing:
		if now-g.metSince >= meetFor || len(g.met) == len(g.links) {
			g.begin()
		}
	case DiskFailed:
		if now-g.diskTried >= diskEvery {
			g.diskTried = now
			if err := g.store.Persist(nil, nil); err == nil {
				slog.Info("copies.disk_back", "copy", g.set.Self)
				g.begin()
			}
		}
	}
	if g.driver == nil {
		return
	}
	g.driver.Tick()
	if g.leads {
		g.revisions = append(g.revisions, revisionAt{now, g.store.Fleet().Revision})
		for len(g.revisions) > 1 && g.revisions[1].at <= now-g.set.Lease {
			g.revisions = g.revisions[1:]
		}
		if g.ticks%4 == 0 {
			g.promote()
		}
	}
	if g.ticks%40 == 0 {
		if g.store.FileMissing() {
			g.out("the store's file is gone, or another is in its place")
			return
		}
		g.compact()
	}
	g.publish()
}

func (g *Group) promote() {
	if c := g.view().Promote(learnerWithin); c != nil {
		if err := g.driver.ProposeChange(*c); err == nil {
			slog.Info("copies.change", "change", describe(c))
		}
	}
}

func (g *Group) compact() {
	keep := uint64(logKept)
	for disk, began := range g.sentWhole {
		if g.sending[disk] || Now()-began < wholeSettles {
			keep = logKeptWhole
		}
	}
	if first := g.driver.FirstIndex(); g.driver.Applied().Index-first < keep+logSlack {
		return
	}
	if before := g.driver.Compact(keep); before.Index > 0 {
		g.store.CompactLog(store.Position(before))
	}
}

func (g *Group) view() replica.View {
	return replica.View{Status: g.driver.Status(), Members: g.driver.Members(), Places: g.set.Places()}
}

// propose puts those changes forward that wait, together with one that was taken.
func (g *Group) propose(r *store.Request) {
	if g.driver == nil || !g.driver.CanPropose() {
		r.Answer(store.ErrNotLeader)
		return
	}
	batch := []*store.Request{r}
	for len(batch) < g.set.Batch {
		select {
		case r = <-g.store.Requests():
			batch = append(batch, r)
			continue
		default:
		}
		break
	}
	data, results, err := g.store.Evaluate(batch)
	if err == nil {
		if g.inFlight, err = g.driver.Propose(data); err != nil { // it is handing the lead over
			err = store.ErrNotLeader
		}
	}
	if err != nil {
		for _, r := range batch {
			r.Answer(fmt.Errorf("not written: %w", err))
		}
		return
	}
	g.waiting, g.results = batch, results
}

// work does what the driver asks for until it asks for nothing.
func (g *Group) work() {
	for g.driver != nil {
		w := g.driver.Ready()
		if w == nil {
			break
		}
		if err := g.carry(w); err != nil {
			if errors.Is(err, store.ErrDamaged) || errors.Is(err, store.ErrNewer) {
				g.out(err.Error())
			} else {
				g.lostDisk(err)
			}
			break
		}
		if g.driver.InFlight() == 0 && g.driver.CanPropose() && g.waiting == nil { // at once, so that it shares the next sync
			select {
			case r := <-g.store.Requests():
				g.propose(r)
			default:
			}
		}
	}
	if g.candidate != nil && g.phase == Active { // it was not wanted
		g.candidate.Discard()
		g.candidate = nil
	}
	if g.driver != nil && g.store.HasUnpersisted() && !g.flushing {
		g.flushing = true
		g.flush.Reset(flushAfter)
	}
}

func (g *Group) save(entries []*pb.Entry) error {
	out := make([]store.Entry, len(entries))
	for i, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		out[i] = store.Entry{Index: e.GetIndex(), Data: raw}
	}
	hard := store.HardState(g.driver.HardState())
	return g.store.Persist(out, &hard)
}

// carry does one piece of work. What it sends late rests on what it has written before.
func (g *Group) carry(w *replica.Ready) error {
	g.send(w.EarlyMessages)
	if w.Snapshot != nil {
		if err := g.install(w); err != nil {
			return err
		}
	}
	if len(w.Entries) > 0 || w.MustSync && w.Snapshot == nil {
		if err := g.save(w.Entries); err != nil {
			return err
		}
	}
	if err := g.driver.Persisted(w); err != nil {
		return fmt.Errorf("%w: %w", store.ErrDamaged, err)
	}
	g.send(w.Messages)
	s := g.driver.Status()
	if !s.IsLeader {
		g.lead(false)
		if g.waiting != nil || len(g.barriers) > 0 {
			g.fail(store.ErrOutcomeUnknown)
		}
	}
	for i, b := range w.CommittedEntries {
		changed, err := g.driver.ApplyEntry(w, i)
		if err != nil {
			return fmt.Errorf("%w: %w", store.ErrDamaged, err)
		}
		var t store.AppliedState
		if changed {
			if t, err = taken(b.At, g.driver.ConfState(), g.driver.Members()); err != nil {
				return err
			}
			g.changed()
		}
		if err := g.store.Apply(store.Position(b.At), b.Data, t.ConfState, t.Members); err != nil {
			return err
		}
		if b.Tag != 0 && b.Tag == g.inFlight {
			waiting, results := g.waiting, g.results
			g.waiting, g.results, g.inFlight = nil, nil, 0
			for i, r := range waiting {
				r.Answer(results[i])
			}
		}
	}
	g.driver.Advance(w)
	if g.driver.CanPropose() {
		g.lead(true)
	}
	g.passed = append(g.passed, w.ReadStates...)
	left := g.passed[:0]
	for _, b := range g.passed {
		if b.Index > g.driver.Applied().Index {
			left = append(left, b)
			continue
		}
		for _, f := range g.barriers[b.Tag] {
			f(nil)
		}
		delete(g.barriers, b.Tag)
	}
	g.passed = left
	if s.Leader != g.status.Load().leader || len(w.CommittedEntries) > 0 {
		g.publish()
	}
	return nil
}

func (g *Group) install(w *replica.Ready) error {
	c := g.candidate
	g.candidate = nil
	if c == nil || c.Applied.At.Index != w.Snapshot.GetIndex() {
		return fmt.Errorf("%w: the state as a whole is not there", store.ErrDamaged)
	}
	_, members, err := untaken(c.Applied)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrDamaged, err)
	}
	if err := g.store.InstallSnapshot(c, store.HardState(g.driver.HardState())); err != nil {
		c.Discard()
		return err
	}
	g.driver.SnapshotInstalled(replica.Position(c.Applied.At), members)
	slog.Info("copies.whole_taken_over", "copy", g.set.Self, "revision", g.store.Fleet().Revision)
	g.set.SnapshotInstalled()
	return nil
}

// changed follows a change of members.
func (g *Group) changed() {
	members := g.driver.Members()
	for name, disk := range g.asks {
		if m, in := members[disk]; in && !m.Left {
			delete(g.asks, name)
		}
	}
	names := []string{}
	for _, m := range members {
		if !m.Left {
			names = append(names, m.Name)
		}
	}
	slog.Info("copies.members", "copies", names)
}

// Barrier waits until it is proven that this copy leads, and until all that was accepted before is taken over.
func (g *Group) Barrier(ctx context.Context) error {
	done := make(chan error, 1)
	ok := g.post(func() {
		if g.driver == nil {
			done <- store.ErrNotLeader
			return
		}
		tag, err := g.driver.ReadIndex()
		if err != nil {
			done <- store.ErrNotLeader
			return
		}
		g.barriers[tag] = append(g.barriers[tag], func(err error) { done <- err })
	})
	if !ok {
		return store.ErrClosed
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stop:
		return store.ErrClosed
	}
}

// HasLease tells whether this copy may hold followers at this moment.
func (g *Group) HasLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Holds(Now())
}

// Acknowledged is the number up to which every event was told by all copies, as this copy knows if it leads; else 0.
func (g *Group) Acknowledged() int64 {
	own := g.set.Acknowledged()
	within := g.set.NotifiedAfter()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.granter.Acknowledged(own, Now(), within)
}

// IsLeader tells whether this copy leads, as far as it knows.
func (g *Group) IsLeader() bool { return g.status.Load().IsLeader }
