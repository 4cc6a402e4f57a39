package replicas

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	maxMessages = 64 << 20
	maxSmall    = 1 << 20
)

// status is what this copy knows of the group, for those beside the loop.
type status struct {
	api.GroupStatus
	leader     uint64
	leaderName string
	members    map[uint64]replica.Member
	removed    map[uint64]bool // disks that were taken out of the group, for good
}

// publish makes what the loop knows known to others.
func (g *Group) publish() {
	identity, _ := g.store.Identity()
	s := &status{GroupStatus: api.GroupStatus{Name: g.set.Self, Disk: hex(identity.Disk), Phase: string(g.phase), Reason: g.why, Revision: g.store.Fleet().Revision}}
	for _, place := range g.set.Replicas {
		if !place.Spare {
			s.Configured++
		}
	}
	if g.driver != nil {
		g.publishMembers(s)
	}
	for name := range g.asks {
		s.Waiting = append(s.Waiting, name)
	}
	slices.Sort(s.Waiting)
	g.status.Store(s)
}

// publishMembers fills in what the driver knows of the group.
func (g *Group) publishMembers(s *status) {
	state := g.driver.Status()
	s.members, s.removed, s.leader = g.driver.Members(), map[uint64]bool{}, state.Leader
	s.leaderName = g.nameOf(state.Leader)
	s.Leader, s.IsLeader, s.Term, s.Applied, s.Joint, s.ToleratedFailures = s.leaderName, g.leads && state.IsLeader, state.Term, state.Applied, state.IsJoint, replica.ToleratedFailures(len(state.Voters))
	g.mu.Lock()
	leases := g.granter.ActiveLeases(Now())
	g.mu.Unlock()
	for disk, member := range s.members {
		if member.Left {
			s.removed[disk] = g.driver.IsRemoved(disk)
			continue
		}
		c := api.ReplicaStatus{Name: member.Name, Machine: member.Machine, Site: member.Site, Disk: hex(disk), IsVoter: slices.Contains(state.Voters, disk), Replaces: s.members[member.Replaces].Name}
		if progress, known := state.Progress[disk]; known {
			c.Alive = progress.IsActive
			if progress.Match < state.Commit {
				c.Behind = state.Commit - progress.Match
			}
			if disk != state.Disk {
				c.SilentMS = g.contacts.Silence(disk).Milliseconds()
			}
		}
		if lease, held := leases[disk]; held {
			c.Acknowledged, c.LeaseMS = lease.Acknowledged, lease.Remaining.Milliseconds()
		}
		s.Replicas = append(s.Replicas, c)
	}
	slices.SortFunc(s.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.Name+a.Disk, b.Name+b.Disk) })
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// Status is what this copy knows of the group.
func (g *Group) Status() api.GroupStatus { return g.status.Load().GroupStatus }

// Mount puts the copies' calls on a mux.
func (g *Group) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/copies/messages", g.takeMessages)
	mux.HandleFunc("POST /v1/copies/whole", g.takeWhole)
	mux.HandleFunc("POST /v1/copies/hello", g.takeHello)
	mux.HandleFunc("POST /v1/copies/lease", g.giveLease)
	mux.HandleFunc("POST /v1/copies/member", g.confirmMember)
}

// caller reads who calls, and refuses who may not.
func (g *Group) caller(w http.ResponseWriter, r *http.Request) (disk, run uint64, ok bool) {
	if disk, run, ok = g.callerOfGroup(w, r); !ok {
		return 0, 0, false
	}
	g.mu.Lock()
	speaks := g.witness.AcceptIncarnation(disk, run)
	g.mu.Unlock()
	if !speaks {
		http.Error(w, "another start of the program has presented itself with this disk: this one counts no more", http.StatusConflict)
		return 0, 0, false
	}
	return disk, run, g.checkMember(w, disk)
}

// callerOfGroup reads which disk and which start of the program call, and refuses those of another group.
func (g *Group) callerOfGroup(w http.ResponseWriter, r *http.Request) (disk, run uint64, ok bool) {
	var group uint64
	for name, to := range map[string]*uint64{groupHeader: &group, diskHeader: &disk, runHeader: &run} {
		v, err := strconv.ParseUint(r.Header.Get(name), 16, 64)
		if err != nil {
			http.Error(w, "this is for copies: "+name+" is missing", http.StatusBadRequest)
			return 0, 0, false
		}
		*to = v
	}
	if i, _ := g.store.Identity(); group != i.Group || group == 0 {
		http.Error(w, "this copy is of another group", http.StatusPreconditionFailed)
		return 0, 0, false
	}
	return disk, run, true
}

// checkMember answers 410 to a disk that is no member. Any replica knows of a disk that was taken out, whoever leads, for that is
// final; of a disk that it has never seen only the leader knows that it is none.
func (g *Group) checkMember(w http.ResponseWriter, disk uint64) (ok bool) {
	s := g.status.Load()
	_, known := s.members[disk]
	if s.removed[disk] || s.IsLeader && !known {
		http.Error(w, wasRemoved, http.StatusGone)
		return false
	}
	return true
}

func (g *Group) takeMessages(w http.ResponseWriter, r *http.Request) {
	disk, _, ok := g.caller(w, r)
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessages))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.Header.Get(nameHeader)
	var messages []*pb.Message
	for len(body) > 0 {
		n := 0
		if len(body) >= 4 {
			n = int(binary.BigEndian.Uint32(body))
		}
		m := &pb.Message{}
		if len(body) < 4 || n > len(body)-4 {
			http.Error(w, "a message does not come whole", http.StatusBadRequest)
			return
		}
		if err := proto.Unmarshal(body[4:4+n], m); err != nil || m.GetFrom() != disk {
			http.Error(w, fmt.Sprintf("a message of disk %x from disk %x: %v", m.GetFrom(), disk, err), http.StatusBadRequest)
			return
		}
		body = body[4+n:]
		messages = append(messages, m)
	}
	g.mu.Lock()
	for _, m := range messages {
		last, vote := uint64(0), uint64(0)
		switch {
		case m.GetReject():
		case m.GetType() == pb.MsgAppResp:
			last = m.GetIndex()
		case m.GetType() == pb.MsgVoteResp:
			vote = m.GetTo()
		}
		if m.GetType() != pb.MsgPreVote && m.GetType() != pb.MsgPreVoteResp { // those speak of terms that may never be
			g.witness.Observe(disk, m.GetTerm(), last, vote)
		}
	}
	g.mu.Unlock()
	g.post(func() {
		if g.driver == nil {
			return
		}
		g.contacts.Received(disk)
		g.names[disk] = name
		for _, m := range messages {
			if m.GetType() == pb.MsgSnap { // it comes with its state alone
				continue
			}
			if err := g.driver.Step(m); err != nil {
				slog.Debug("copies.message", "err", err)
			}
		}
	})
	w.WriteHeader(http.StatusNoContent)
}

// takeWhole keeps a state that comes as a whole and has the driver look at it.
func (g *Group) takeWhole(w http.ResponseWriter, r *http.Request) {
	disk, _, ok := g.caller(w, r)
	if !ok {
		return
	}
	var term, to uint64
	i, _ := g.store.Identity()
	if n, _ := fmt.Sscanf(r.Header.Get(takenHeader), "%d %d", &term, &to); n != 2 || to != i.Disk {
		http.Error(w, takenHeader+" is missing, or not for this disk", http.StatusBadRequest)
		return
	}
	begin := time.Now()
	c, err := g.store.ReceiveSnapshot(r.Body)
	if err != nil {
		slog.Warn("copies.whole_not_received", "err", err)
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	slog.Info("copies.whole_received", "took_ms", time.Since(begin).Milliseconds())
	conf, _, err := untaken(c.Applied)
	if err != nil {
		c.Discard()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m := &pb.Message{Type: pb.MsgSnap.Enum(), From: proto.Uint64(disk), To: proto.Uint64(to), Term: proto.Uint64(term), Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index: proto.Uint64(c.Applied.At.Index), Term: proto.Uint64(c.Applied.At.Term), ConfState: pb.EnsureConfState(conf),
	}}}
	done := make(chan bool, 1)
	if !g.post(func() {
		if g.driver == nil || g.candidate != nil {
			done <- false
			return
		}
		g.candidate = c
		done <- true
		if err := g.driver.StepSnapshot(m); err != nil {
			slog.Debug("copies.message", "err", err)
		}
	}) {
		c.Discard()
		return
	}
	if !<-done {
		c.Discard()
		http.Error(w, "this copy can't take a state over now", http.StatusServiceUnavailable)
	}
}

func describe(c *replica.Change) string {
	var all []string
	for _, s := range c.Steps {
		all = append(all, fmt.Sprintf("%s disk %x %s", map[replica.StepKind]string{replica.AddLearner: "learns", replica.AddVoter: "votes", replica.RemoveMember: "leaves"}[s.Kind], s.Disk, s.Member.Name))
	}
	return strings.Join(all, ", ")
}

// giveLease lets another copy hold followers for a while, if it is proven that this copy leads and that one is not behind.
func (g *Group) giveLease(w http.ResponseWriter, r *http.Request) {
	disk, _, ok := g.caller(w, r)
	if !ok {
		return
	}
	var asks LeaseRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmall)).Decode(&asks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.set.TakeHeartbeats(asks.Heartbeats)
	ctx, cancel := context.WithTimeout(r.Context(), g.set.Lease)
	defer cancel()
	if err := g.Barrier(ctx); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	done := make(chan bool, 1)
	if !g.post(func() { done <- g.leads && (len(g.revisions) == 0 || asks.Revision >= g.revisions[0].no) }) {
		return
	}
	if !<-done {
		http.Error(w, "the copy is behind", http.StatusServiceUnavailable)
		return
	}
	g.mu.Lock()
	g.granter.Give(disk, asks.Acknowledged, Now())
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.set.Grant(asks.Heartbeats.QuotaRenewals))
}

// ChangeMembers carries out an order, if this copy leads. A refusal is a *replica.Refusal.
func (g *Group) ChangeMembers(o api.ReplicaChange) error {
	done := make(chan error, 1)
	if !g.post(func() { done <- g.obey(o) }) {
		return store.ErrClosed
	}
	return <-done
}

func (g *Group) obey(o api.ReplicaChange) error {
	if g.driver == nil || !g.leads {
		return store.ErrNotLeader
	}
	v := g.view()
	var c *replica.Change
	var err error
	switch o.Action {
	case "add":
		c, err = v.Add(o.Name, g.asks[o.Name])
	case "remove":
		c, err = v.Remove(o.Name, o.AllowLowerTolerance)
	case "replace":
		if o.Replacement == "" {
			o.Replacement = o.Name
		}
		c, err = v.Replace(o.Name, o.Replacement, g.asks[o.Replacement])
	case "hand-over":
		var to uint64
		if to, err = v.Successor(o.Name); err == nil {
			slog.Info("copies.hand_over", "to", v.Members[to].Name)
			g.driver.TransferLeadership(to)
		}
		return err
	default:
		return &replica.RejectedError{Reason: fmt.Sprintf("nothing is called %q", o.Action)}
	}
	if err != nil || c == nil {
		return err
	}
	if err = g.driver.ProposeChange(*c); err == nil {
		slog.Info("copies.change", "change", describe(c))
	}
	return err
}
