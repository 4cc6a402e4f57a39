package replicas

import (
	"fmt"
	"log/slog"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// Raft timeouts in ticks. A follower campaigns after one to two election timeouts without a leader.
const (
	electionTicks  = 12
	heartbeatTicks = 2
)

// startDriver creates the driver from the state in the store and makes the replica Active. If the
// state can't be read or used, the disk is excluded.
func (g *Group) startDriver() {
	persisted, err := g.store.PersistedState()
	if err == nil {
		g.driver, err = g.newDriver(persisted)
	}
	if err != nil {
		g.exclude("the store can't be driven: " + err.Error())
		return
	}
	g.phase = Active
	g.reason = ""
	if s := g.driver.Status(); len(s.Voters) == 1 && s.Voters[0] == persisted.Disk {
		g.driver.Campaign()
	}
	slog.Info("replica.started", "replica", g.settings.Self, "term", persisted.Term, "last_index", g.driver.LastIndex(),
		"revision", g.store.Fleet().Revision)
	g.publish()
}

func (g *Group) newDriver(persisted store.PersistedState) (*replica.Driver, error) {
	state := replica.PersistedState{
		Term:      persisted.Term,
		Vote:      persisted.Vote,
		Commit:    persisted.Commit,
		Applied:   replica.Position(persisted.Applied.At),
		Compacted: replica.Position(persisted.Compacted),
	}
	if len(persisted.Applied.ConfState) > 0 {
		var err error
		if state.ConfState, state.Members, err = decodeAppliedState(persisted.Applied); err != nil {
			return nil, err
		}
	}
	for _, raw := range persisted.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(raw.Data, entry); err != nil {
			return nil, fmt.Errorf("decode entry %d: %w", raw.Index, err)
		}
		state.Entries = append(state.Entries, entry)
	}
	g.driverSeed += 1 << 32 // so that tags are unique across drivers
	return replica.New(replica.Config{
		Disk:           persisted.Disk,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           g.driverSeed,
	}, state)
}

// exclude permanently stops this disk's participation in the group.
func (g *Group) exclude(reason string) {
	g.setLeader(false)
	g.failPending(store.ErrOutcomeUnknown)
	g.driver = nil
	g.phase = Excluded
	g.reason = reason
	slog.Error("replica.excluded", "replica", g.settings.Self, "reason", reason,
		"action", "restart the replica with --new-disk, then admit the new disk: stairvane copies replace "+g.settings.Self)
	g.publish()
}

// failDisk stops this disk's participation in the group until it can be written again. The content
// of the disk stays unchanged.
func (g *Group) failDisk(err error) {
	if g.phase != DiskFailed {
		slog.Error("replica.disk_failed", "replica", g.settings.Self, "was_leader", g.isLeader, "err", err)
	}
	g.setLeader(false)
	g.driver = nil
	g.phase = DiskFailed
	g.reason = err.Error()
	g.lastDiskAttempt = Now()
	g.failPending(store.ErrOutcomeUnknown)
	g.publish()
}

// retryDisk attempts a write to a failed disk, and starts the driver if it succeeds.
func (g *Group) retryDisk() {
	g.lastDiskAttempt = Now()
	if err := g.store.Persist(nil, nil); err != nil {
		return // tick retries after diskRetryInterval
	}
	slog.Info("replica.disk_recovered", "replica", g.settings.Self)
	g.startDriver()
}

// failPending fails the requests of the proposal in flight with err, and all pending barriers with
// store.ErrNotLeader.
func (g *Group) failPending(err error) {
	if g.proposal != nil {
		g.proposal.fail(err)
		g.proposal = nil
	}
	g.barriers.failAll()
}

// setLeader records whether this replica is the leader, and notifies the leases and the caller's
// LeadershipChanged if that has changed.
func (g *Group) setLeader(isLeader bool) {
	if g.isLeader == isLeader {
		return
	}
	g.isLeader = isLeader
	if isLeader {
		g.contacts.Reset()
	}
	g.leases.setLeader(isLeader)
	slog.Info("replica.leadership_changed", "replica", g.settings.Self, "is_leader", isLeader)
	g.settings.LeadershipChanged(isLeader)
}
