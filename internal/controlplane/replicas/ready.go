package replicas

import (
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// serveDriver processes the driver's output until there is none left.
func (g *Group) serveDriver() {
	for g.driver != nil {
		rd := g.driver.Ready()
		if rd == nil {
			break
		}
		if err := g.processReady(rd); err != nil {
			g.handleStoreError(err)
			break
		}
		g.proposeNextBatch()
	}
	if g.received != nil && g.phase == Active { // raft ignored the snapshot
		g.received.Discard()
		g.received = nil
	}
	g.scheduleFlush()
}

// handleStoreError excludes the disk if its content is damaged or newer than this version reads.
// Any other error is treated as a temporary failure of the disk.
func (g *Group) handleStoreError(err error) {
	if errors.Is(err, store.ErrDamaged) || errors.Is(err, store.ErrNewer) {
		g.exclude(err.Error())
	} else {
		g.failDisk(err)
	}
}

// processReady processes one Ready. The order matters: Messages may be sent only after the entries
// and the hard state of the Ready are persisted.
func (g *Group) processReady(rd *replica.Ready) error {
	g.send(rd.EarlyMessages)
	if err := g.persistReady(rd); err != nil {
		return err
	}
	g.send(rd.Messages)
	status := g.driver.Status()
	if !status.IsLeader {
		g.stepDown()
	}
	for i, entry := range rd.CommittedEntries {
		if err := g.applyEntry(rd, i, entry); err != nil {
			return err
		}
	}
	g.driver.Advance(rd)
	if g.driver.CanPropose() {
		g.setLeader(true)
	}
	g.barriers.confirm(rd.ReadStates, g.driver.Applied().Index)
	if status.Leader != g.published.Load().leader || len(rd.CommittedEntries) > 0 {
		g.publish()
	}
	return nil
}

// persistReady persists the snapshot, entries and hard state of a Ready.
func (g *Group) persistReady(rd *replica.Ready) error {
	if rd.Snapshot != nil {
		if err := g.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	// Installing a snapshot has persisted the hard state already.
	if len(rd.Entries) > 0 || rd.MustSync && rd.Snapshot == nil {
		if err := g.persist(rd.Entries); err != nil {
			return err
		}
	}
	if err := g.driver.Persisted(rd); err != nil {
		return fmt.Errorf("%w: %w", store.ErrDamaged, err)
	}
	return nil
}

// persist persists entries, the driver's hard state and all applied batches.
func (g *Group) persist(entries []*pb.Entry) error {
	encoded := make([]store.Entry, len(entries))
	for i, entry := range entries {
		raw, err := proto.Marshal(entry)
		if err != nil {
			return fmt.Errorf("encode entry %d: %w", entry.GetIndex(), err)
		}
		encoded[i] = store.Entry{Index: entry.GetIndex(), Data: raw}
	}
	hardState := store.HardState(g.driver.HardState())
	return g.store.Persist(encoded, &hardState)
}

// stepDown handles the loss of leadership. It fails a proposal in flight, whose outcome is unknown.
func (g *Group) stepDown() {
	g.setLeader(false)
	if g.proposal != nil || g.barriers.anyWaiting() {
		g.failPending(store.ErrOutcomeUnknown)
	}
}

// applyEntry applies a committed entry to the store, and completes the proposal in flight if the
// entry is that proposal.
func (g *Group) applyEntry(rd *replica.Ready, i int, entry replica.CommittedEntry) error {
	membersChanged, err := g.driver.ApplyEntry(rd, i)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrDamaged, err)
	}
	var changed store.AppliedState
	if membersChanged {
		if changed, err = encodeAppliedState(entry.At, g.driver.ConfState(), g.driver.Members()); err != nil {
			return err
		}
		g.membersChanged()
	}
	if err := g.store.Apply(store.Position(entry.At), entry.Data, changed.ConfState, changed.Members); err != nil {
		return err
	}
	if g.proposal != nil && entry.Tag == g.proposal.tag {
		decided := g.proposal
		g.proposal = nil
		decided.complete()
	}
	return nil
}
