package replicas

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	snapshotInterval     = 250 * time.Millisecond // from the end of a transfer to the next to the same replica, at least
	snapshotStallTimeout = 10 * time.Second       // ends a transfer that makes no progress
	snapshotVerifyRate   = 4 << 20                // bytes that a receiver verifies in a second, at least
)

// snapshotSends is the transfers of snapshots to other disks. It is owned by the loop.
type snapshotSends struct {
	inProgress map[uint64]bool
	lastAt     map[uint64]time.Duration // when the last transfer began, or ended if it has
}

func (s *snapshotSends) mayStart(disk uint64, now time.Duration) bool {
	last := s.lastAt[disk]
	return !s.inProgress[disk] && (last == 0 || now-last >= snapshotInterval)
}

// anyUnsettled reports whether a replica still needs the entries that follow its snapshot.
func (s *snapshotSends) anyUnsettled() bool {
	for disk, last := range s.lastAt {
		if s.inProgress[disk] || Now()-last < snapshotSettleTime {
			return true
		}
	}
	return false
}

// sendSnapshot sends the store to a replica that is new or lacks more than the log holds. It is
// called on the loop; the transfer has a goroutine of its own. p is nil if the receiver is not in
// this replica's file. raft asks again for what was not sent.
func (g *Group) sendSnapshot(p *peer, m *pb.Message) {
	to := m.GetTo()
	now := Now()
	if p == nil || !g.sends.mayStart(to, now) {
		g.driver.ReportSnapshot(to, false)
		return
	}
	g.sends.lastAt[to] = now
	if g.store.HasUnpersisted() { // the file must hold what the message says
		if err := g.persist(nil); err != nil {
			g.driver.ReportSnapshot(to, false)
			return
		}
	}
	g.sends.inProgress[to] = true
	go func() {
		err := p.transferSnapshot(m)
		g.runOnLoop(func() {
			delete(g.sends.inProgress, to)
			g.sends.lastAt[to] = Now()
			if g.driver != nil {
				g.driver.ReportSnapshot(to, err == nil)
			}
		})
	}()
}

// transferSnapshot sends the store, and logs how that ended.
func (p *peer) transferSnapshot(m *pb.Message) error {
	begin := time.Now()
	length, err := p.streamSnapshot(m)
	if err != nil {
		slog.Warn("replica.snapshot_send_failed", "to", p.to.Name, "err", err)
		return err
	}
	slog.Info("replica.snapshot_sent", "to", p.to.Name, "bytes", length, "took_ms", time.Since(begin).Milliseconds())
	return nil
}

// streamSnapshot makes the call whose body is the store, and returns the length of that in bytes.
func (p *peer) streamSnapshot(m *pb.Message) (length int64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stalled := time.AfterFunc(snapshotStallTimeout, cancel)
	defer stalled.Stop()
	err = p.group.store.ExportSnapshot(func(_ store.AppliedState, size int64, write func(io.Writer) error) error {
		length = size
		r, w := io.Pipe()
		go func() { w.CloseWithError(write(w)) }() // it ends when r is closed
		defer func() { _ = r.Close() }()           // a pipe's Close never fails
		answer, err := p.call(ctx, snapshotPath, request{
			contentType: binaryType,
			body:        stallReader{r: r, stallTimeout: snapshotStallTimeout, verifyTimeout: verifyTimeout(size), timer: stalled},
			header: map[string]string{
				snapshotHeader:       fmt.Sprintf("%d %d", m.GetTerm(), m.GetTo()),
				snapshotLengthHeader: strconv.FormatInt(size, 10),
			},
		})
		if err != nil {
			return err
		}
		return answer.check()
	})
	return length, err
}

// stallReader is a call's body that resets a timer whenever the receiver reads on. At the end of
// the body the receiver gets the time to verify it.
type stallReader struct {
	r             io.Reader
	stallTimeout  time.Duration
	verifyTimeout time.Duration
	timer         *time.Timer
}

func (s stallReader) Read(b []byte) (n int, err error) {
	s.timer.Reset(s.stallTimeout)
	if n, err = s.r.Read(b); errors.Is(err, io.EOF) {
		s.timer.Reset(s.verifyTimeout)
	}
	return n, err
}

// verifyTimeout is how long a replica may take to verify a snapshot of a size in bytes: each
// value's checksum, and the hash chain of the events.
func verifyTimeout(size int64) time.Duration {
	return snapshotStallTimeout + time.Duration(size/snapshotVerifyRate)*time.Second
}
