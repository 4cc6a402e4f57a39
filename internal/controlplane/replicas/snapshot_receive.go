package replicas

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

var errNoSnapshot = errors.New("the snapshot that raft installs was not received")

// serveSnapshot receives a snapshot into a separate file, verifies it, and passes its message to the
// driver.
func (g *Group) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	from, ok := g.authorize(w, r)
	if !ok {
		return
	}
	var term, to uint64
	identity, _ := g.store.Identity()
	if n, _ := fmt.Sscanf(r.Header.Get(snapshotHeader), "%d %d", &term, &to); n != 2 || to != identity.Disk {
		http.Error(w, snapshotHeader+" is missing, or not for this disk", http.StatusBadRequest)
		return
	}
	start := time.Now()
	received, err := g.store.ReceiveSnapshot(r.Body)
	if err != nil {
		slog.Warn("replica.snapshot_receive_failed", "err", err)
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	slog.Info("replica.snapshot_received", "took_ms", time.Since(start).Milliseconds())
	m, err := snapshotMessage(received, from.disk, to, term)
	if err != nil {
		received.Discard()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	isAccepted := false
	if !g.callLoop(func() { isAccepted = g.stepSnapshot(received, m) }) {
		received.Discard()
		return
	}
	if !isAccepted {
		received.Discard()
		http.Error(w, "this copy can't take a state over now", http.StatusServiceUnavailable)
	}
}

// snapshotMessage returns the raft message for a received snapshot.
func snapshotMessage(received *store.ReceivedSnapshot, from, to, term uint64) (*pb.Message, error) {
	confState, _, err := decodeAppliedState(received.Applied)
	if err != nil {
		return nil, err
	}
	return &pb.Message{
		Type: pb.MsgSnap.Enum(),
		From: proto.Uint64(from),
		To:   proto.Uint64(to),
		Term: proto.Uint64(term),
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(received.Applied.At.Index),
			Term:      proto.Uint64(received.Applied.At.Term),
			ConfState: pb.EnsureConfState(confState),
		}},
	}, nil
}

// stepSnapshot passes a received snapshot to the driver. It returns false if the snapshot can't be
// accepted now. It must be called on the loop, which discards the snapshot if raft ignores it.
func (g *Group) stepSnapshot(received *store.ReceivedSnapshot, m *pb.Message) bool {
	if g.driver == nil || g.received != nil {
		return false
	}
	g.received = received
	if err := g.driver.StepSnapshot(m); err != nil {
		slog.Debug("replica.message_rejected", "err", err)
	}
	return true
}

// installSnapshot replaces the store's content with the received snapshot.
func (g *Group) installSnapshot(metadata *pb.SnapshotMetadata) error {
	received := g.received
	g.received = nil
	if received == nil || received.Applied.At.Index != metadata.GetIndex() {
		return fmt.Errorf("%w: %w", store.ErrDamaged, errNoSnapshot)
	}
	_, members, err := decodeAppliedState(received.Applied)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrDamaged, err)
	}
	if err := g.store.InstallSnapshot(received, store.HardState(g.driver.HardState())); err != nil {
		received.Discard()
		return err
	}
	g.driver.SnapshotInstalled(replica.Position(received.Applied.At), members)
	slog.Info("replica.snapshot_installed", "replica", g.settings.Self, "revision", g.store.Fleet().Revision)
	g.settings.SnapshotInstalled()
	return nil
}
