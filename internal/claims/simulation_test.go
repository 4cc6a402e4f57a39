package claims

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

const ms = time.Millisecond

func intFromEnv(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// simulation models a few directors, the event log of their membership, and messages that are delayed or lost. It records the group
// that executes each token, to detect a token that is executed in two groups within its window.
type simulation struct {
	skipsReplication bool // disables a guard: claims are granted before they are replicated
	skipsClose       bool // disables a guard: earlier epochs are not closed before a new primary serves
	skipsWait        bool // disables a guard: a new primary serves before the event log marks its epoch as ready

	rng               *rand.Rand
	now               time.Duration
	nodes             map[string]*simNode
	names             []string
	inFlight          []inFlightMessage
	shards            []ShardState
	epoch             int64
	members           []string
	log               []membershipEvent
	readyDelayedUntil time.Duration // no shard is marked as ready in the event log before this time
	window            time.Duration
	executions        map[string]execution // the last execution of each token
	stats             map[Verdict]int
	failure           string
}

// membershipEvent is an entry of the event log.
type membershipEvent struct {
	joined, left []string
	shards       []ShardState
}

// execution is the group and time of an execution of a token.
type execution struct {
	group string
	at    time.Duration
}

// inFlightMessage is a message in flight.
type inFlightMessage struct {
	from, to string
	message  Message
	at       time.Duration
}

// simNode is a director with its own clock and faults.
type simNode struct {
	id, name         string
	node             *Node
	lastCallAt       time.Duration // time of its last call to the control plane
	appliedEvents    int           // number of log entries that it has applied
	pausedUntil      time.Duration
	partitionedUntil time.Duration // it can't call the control plane until then
	requests         map[uint64]clientRequest
	lastKey          uint64
	skew             time.Duration
}

// clientRequest is a client's request that waits for its claim.
type clientRequest struct {
	token, group string
}

const (
	simLease     = 400 * ms
	maxSendDelay = time.Second
)

// startNode starts a director process. Each process of a director has its own ID.
func (s *simulation) startNode(name string, incarnation int) {
	id := fmt.Sprintf("%s/%d", name, incarnation)
	n := &simNode{
		id:         id,
		name:       name,
		lastCallAt: s.now,
		requests:   map[uint64]clientRequest{},
		skew:       time.Duration(s.rng.IntN(1000)) * time.Second,
	}
	n.node = New(id, Settings{Shards: 2, Slack: maxSendDelay + 200*ms, MaxWindow: s.window, MaxClaims: 1000, ResendAfter: 30 * ms})
	s.nodes[id] = n
}

func (s *simulation) candidate(id string) ShardCandidate {
	n := s.nodes[id]
	return ShardCandidate{ID: id, Name: n.name, Machine: n.name, Site: n.name}
}

// updateMembership appends a membership event if the membership has changed. Directors that have not called for the length of a lease
// plus its drift are removed.
func (s *simulation) updateMembership() {
	var joined, left, members []string
	for _, id := range s.members {
		if n := s.nodes[id]; n == nil || s.now-n.lastCallAt > simLease*104/100 {
			left = append(left, id)
		} else {
			members = append(members, id)
		}
	}
	for _, id := range sortedIDs(s.nodes) {
		n := s.nodes[id]
		hasName := func(other string) bool { return s.nodes[other] != nil && s.nodes[other].name == n.name }
		if s.now-n.lastCallAt < simLease/2 && !slices.Contains(members, id) && !slices.ContainsFunc(members, hasName) {
			joined, members = append(joined, id), append(members, id)
		}
	}
	if len(joined)+len(left) == 0 {
		return
	}
	slices.Sort(joined)
	s.members = members
	var candidates []ShardCandidate
	for _, id := range members {
		candidates = append(candidates, s.candidate(id))
	}
	s.epoch++
	changed := Reassign(s.shards, 3, candidates)
	for i := range changed {
		changed[i].Epoch = s.epoch
		s.shards[changed[i].Shard] = changed[i]
	}
	s.log = append(s.log, membershipEvent{joined, left, changed})
}

func (s *simulation) clock(n *simNode) time.Duration { return s.now + n.skew }

// deliver adds the messages of a node to those in flight and handles its outcomes.
func (s *simulation) deliver(n *simNode) {
	for {
		out, outcomes, _ := n.node.DrainOutput() // ready shards are reported with each call to the control plane
		if len(out)+len(outcomes) == 0 {
			return
		}
		for _, o := range out {
			if o.To == n.id {
				n.node.Receive(n.id, o.Message, s.clock(n))
				continue
			}
			if s.rng.IntN(15) > 0 {
				s.inFlight = append(s.inFlight, inFlightMessage{n.id, o.To, o.Message, s.now + time.Duration(s.rng.IntN(40))*ms})
			}
		}
		for _, e := range outcomes {
			s.handleOutcome(n, e)
		}
	}
}

// handleOutcome handles an outcome as a director does: it sends the attempt to its own group or to that of the existing claim, if
// there is enough time left.
func (s *simulation) handleOutcome(n *simNode, e Outcome) {
	request := n.requests[e.Key]
	delete(n.requests, e.Key)
	s.stats[e.Verdict]++
	group := request.group
	switch e.Verdict {
	case Granted:
		if s.clock(n)-e.RequestedAt > maxSendDelay {
			return
		}
	case HeldElsewhere:
		if group = e.Group; e.Age >= s.window {
			return
		}
	default:
		return
	}
	if s.rng.IntN(6) == 0 { // the director fails before it sends the attempt
		return
	}
	if previous, found := s.executions[request.token]; !found || s.now-previous.at >= s.window {
		s.executions[request.token] = execution{group, s.now}
	} else if previous.group != group {
		s.failure = fmt.Sprintf("%s is executed in %s and, %v later, in %s", request.token, previous.group, s.now-previous.at, group)
	}
}

// recordReady appends events that mark shards as ready. During a slow period it appends none, while the membership may continue to
// change.
func (s *simulation) recordReady(ready []int64) {
	for i := 0; i+1 < len(ready) && s.now >= s.readyDelayedUntil; i += 2 {
		shard := &s.shards[ready[i]]
		if shard.Epoch == ready[i+1] && len(shard.PreviousReplicas) > 0 {
			shard.PreviousReplicas = nil
			s.log = append(s.log, membershipEvent{shards: []ShardState{{Shard: int(ready[i]), ReadyEpoch: ready[i+1]}}})
		}
	}
}

func (s *simulation) step() {
	s.now += 5 * ms
	if s.rng.IntN(600) == 0 {
		s.readyDelayedUntil = s.now + time.Duration(s.rng.IntN(4000))*ms
	}
	for _, id := range sortedIDs(s.nodes) {
		n := s.nodes[id]
		if s.now < n.pausedUntil {
			continue
		}
		if s.now >= n.partitionedUntil && s.rng.IntN(8) == 0 { // it calls the control plane and receives the reply
			n.lastCallAt = s.now
			s.recordReady(n.node.ReadyShards())
			for ; n.appliedEvents < len(s.log); n.appliedEvents++ {
				l := s.log[n.appliedEvents]
				n.node.ApplyMembership(l.joined, l.left, false, l.shards, s.clock(n))
			}
			n.node.SetLeaseEnd(s.clock(n) + simLease)
		}
		n.node.Tick(s.clock(n))
		if all := n.node.ReadyShards(); s.skipsWait && len(all) > 0 {
			n.node.ApplyMembership(nil, nil, false, []ShardState{{Shard: int(all[0]), ReadyEpoch: all[1]}}, s.clock(n))
		}
		if s.rng.IntN(25) == 0 { // a client's request or retry
			request := clientRequest{
				token: fmt.Sprintf("t%d", int(s.now/(4*time.Second))*3+s.rng.IntN(3)),
				group: string(rune('x' + s.rng.IntN(3))),
			}
			n.lastKey++
			n.requests[n.lastKey] = request
			c := Claim{
				Token:   request.token,
				Object:  1,
				Group:   request.group,
				Request: fmt.Sprintf("%s-%d", id, n.lastKey),
				Window:  s.window,
			}
			n.node.Request(n.lastKey, c, s.rng.IntN(2) == 0, s.clock(n)+800*ms, s.clock(n))
		}
		s.deliver(n)
	}
	var left []inFlightMessage
	net := s.inFlight
	s.inFlight = nil
	for _, f := range net {
		to := s.nodes[f.to]
		switch {
		case to == nil || s.nodes[f.from] == nil:
		case s.now < f.at || s.now < to.pausedUntil:
			left = append(left, f)
		default:
			answer := Message{Seq: f.message.Seq, Epoch: f.message.Epoch, Shard: f.message.Shard}
			if f.message.Kind == Replicate && s.skipsReplication && len(f.message.Claims) == 1 && s.rng.IntN(3) > 0 {
				answer.Kind = ConfirmReplica
				s.inFlight = append(s.inFlight, inFlightMessage{f.to, f.from, answer, s.now})
				continue
			}
			if f.message.Kind == CloseEpoch && s.skipsClose {
				answer.Kind = EpochClosed
				left = append(left, inFlightMessage{f.to, f.from, answer, s.now})
				continue
			}
			to.node.Receive(f.from, f.message, s.clock(to))
			s.deliver(to)
		}
	}
	s.inFlight = append(left, s.inFlight...)
	s.updateMembership()
}

func sortedIDs(m map[string]*simNode) (ids []string) {
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// runSimulation runs the simulation of a seed for 20 s, or up to the first failure: directors fail, restart with another ID, pause and are
// partitioned. guard names a guard to disable; empty: none.
func runSimulation(seed uint64, guard string) *simulation {
	s := &simulation{
		skipsReplication: guard == "replication",
		skipsClose:       guard == "closing",
		skipsWait:        guard == "waiting",
		rng:              rand.New(rand.NewPCG(seed, 5)),
		nodes:            map[string]*simNode{},
		executions:       map[string]execution{},
		window:           3 * time.Second,
		stats:            map[Verdict]int{},
	}
	s.shards = make([]ShardState, 2)
	for i := range s.shards {
		s.shards[i].Shard = i
	}
	for i := range 5 {
		s.names = append(s.names, string(rune('a'+i)))
		s.startNode(s.names[i], 0)
	}
	incarnations, restartAt := 0, map[string]time.Duration{}
	for s.now < 20*time.Second && s.failure == "" {
		s.step()
		ids := sortedIDs(s.nodes)
		switch s.rng.IntN(800) {
		case 0: // at least three directors remain, so at most two of three replicas are lost at the same time
			if len(ids) > 3 {
				id := ids[s.rng.IntN(len(ids))]
				restartAt[s.nodes[id].name] = s.now + time.Duration(s.rng.IntN(2000))*ms
				delete(s.nodes, id)
			}
		case 1:
			s.nodes[ids[s.rng.IntN(len(ids))]].pausedUntil = s.now + time.Duration(s.rng.IntN(3000))*ms
		case 2:
			s.nodes[ids[s.rng.IntN(len(ids))]].partitionedUntil = s.now + time.Duration(s.rng.IntN(1500))*ms
		}
		for _, name := range s.names { // in order
			if at, found := restartAt[name]; found && s.now >= at {
				delete(restartAt, name)
				incarnations++
				s.startNode(name, incarnations)
			}
		}
	}
	return s
}

// TestNoTokenRunsInTwoGroups checks that no token is executed in two groups within its window when directors fail, pause, are
// partitioned or restart. Each guard is disabled once, to verify that the test detects its absence.
func TestNoTokenRunsInTwoGroups(t *testing.T) {
	first, stats := uint64(intFromEnv("STAIRVANE_SEED", 1)), map[Verdict]int{}
	n := intFromEnv("STAIRVANE_SEEDS", 60)
	t.Logf("seeds from %d on", first)
	for i := range n {
		s := runSimulation(first+uint64(i), "")
		if s.failure != "" {
			t.Fatalf("seed %d: %s", first+uint64(i), s.failure)
		}
		for v, k := range s.stats {
			stats[v] += k
		}
	}
	for _, seed := range []uint64{129, 1179, 2165, 5033, 9002} { // regressions
		if s := runSimulation(seed, ""); s.failure != "" {
			t.Errorf("seed %d: %s", seed, s.failure)
		}
	}
	t.Logf("by verdict: %v", stats)
	if stats[Granted] < 10*n || stats[HeldElsewhere] < 10*n {
		t.Errorf("too few requests were granted or redirected: %v", stats)
	}
	for _, guard := range []string{"replication", "closing", "waiting"} {
		seed := uint64(1)
		for ; seed <= 400 && runSimulation(seed, guard).failure == ""; seed++ {
		}
		if seed > 400 {
			t.Errorf("no seed fails with the guard %q disabled", guard)
		} else {
			t.Logf("with the guard %q disabled, seed %d fails", guard, seed)
		}
	}
}
