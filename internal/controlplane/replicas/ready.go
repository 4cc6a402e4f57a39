package replicas

import (
	"errors"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// serveDriver does what the driver asks for until it asks for nothing.
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
		g.proposeWaiting()
	}
	if g.received != nil && g.phase == Active { // raft had no use for it
		g.received.Discard()
		g.received = nil
	}
	g.scheduleFlush()
}

// handleStoreError excludes a disk whose content is wrong, and gives up one that can't be written
// for now.
func (g *Group) handleStoreError(err error) {
	if errors.Is(err, store.ErrDamaged) || errors.Is(err, store.ErrNewer) {
		g.exclude(err.Error())
	} else {
		g.failDisk(err)
	}
}

// processReady does what one Ready asks for. The order matters: Messages rest on what was persisted
// before.
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
	g.barriers.prove(rd.ReadStates, g.driver.Applied().Index)
	if status.Leader != g.published.Load().leader || len(rd.CommittedEntries) > 0 {
		g.publish()
	}
	return nil
}

// persistReady makes durable what a Ready asks for.
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

// persist makes entries, the driver's hard state and all that was applied durable.
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

// stepDown follows the end of leadership: nobody knows what becomes of a proposal under way.
func (g *Group) stepDown() {
	g.setLeader(false)
	if g.proposal != nil || g.barriers.anyWaiting() {
		g.failPending(store.ErrOutcomeUnknown)
	}
}

// applyEntry applies a committed entry to the store, and answers the proposal that it was.
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
