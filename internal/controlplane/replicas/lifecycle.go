package replicas

import (
	"fmt"
	"log/slog"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// In ticks: a follower campaigns after one to two election timeouts without a leader.
const (
	electionTicks  = 12
	heartbeatTicks = 2
)

// startDriver makes the driver from what the store holds; the replica is Active then. If that can't
// be, it is excluded.
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
	g.driverSeed += 1 << 32 // each driver has tags of its own
	return replica.New(replica.Config{
		Disk:           persisted.Disk,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           g.driverSeed,
	}, state)
}

// exclude ends this disk's part in the group for good.
func (g *Group) exclude(reason string) {
	g.setLeader(false)
	g.failPending(store.ErrOutcomeUnknown)
	g.driver = nil
	g.phase = Excluded
	g.reason = reason
	slog.Error("replica.excluded", "replica", g.settings.Self, "reason", reason,
		"action", "start it with --new-disk, and have the new disk let in: stairvane copies replace "+g.settings.Self)
	g.publish()
}

// failDisk gives up this disk's part in the group until it can be written again. What the disk
// holds is as it was.
func (g *Group) failDisk(err error) {
	if g.phase != DiskFailed {
		slog.Error("replica.disk_failed", "replica", g.settings.Self, "was_leader", g.isLeader, "err", err)
	}
	g.setLeader(false)
	g.driver = nil
	g.phase = DiskFailed
	g.reason = err.Error()
	g.diskTriedAt = Now()
	g.failPending(store.ErrOutcomeUnknown)
	g.publish()
}

// retryDisk tries to write a failed disk, and starts the driver if it can.
func (g *Group) retryDisk() {
	g.diskTriedAt = Now()
	if err := g.store.Persist(nil, nil); err != nil {
		return // it is tried again
	}
	slog.Info("replica.disk_recovered", "replica", g.settings.Self)
	g.startDriver()
}

// failPending answers all who wait for a proposal with an error, and all who wait for a barrier
// with store.ErrNotLeader.
func (g *Group) failPending(err error) {
	if g.proposal != nil {
		g.proposal.fail(err)
		g.proposal = nil
	}
	g.barriers.failAll()
}

// setLeader follows a change of leadership.
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
