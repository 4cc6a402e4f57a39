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
	snapshotInterval     = 250 * time.Millisecond // minimum delay between the end of a transfer and the next one to the same replica
	snapshotStallTimeout = 10 * time.Second       // after which a transfer without progress is canceled
	snapshotVerifyRate   = 4 << 20                // bytes per second that a receiver is expected to verify at least
)

// snapshotSends tracks the transfers of snapshots to other disks. It is owned by the loop.
type snapshotSends struct {
	inProgress   map[uint64]bool
	lastActivity map[uint64]time.Duration // when the last transfer to the disk started or, if it is over, ended
}

func (s *snapshotSends) mayStart(disk uint64, now time.Duration) bool {
	last := s.lastActivity[disk]
	return !s.inProgress[disk] && (last == 0 || now-last >= snapshotInterval)
}

// anyUnsettled reports whether a replica may still need the log entries that follow its snapshot.
func (s *snapshotSends) anyUnsettled() bool {
	for disk, last := range s.lastActivity {
		if s.inProgress[disk] || Now()-last < snapshotSettleTime {
			return true
		}
	}
	return false
}

// sendSnapshot sends the store to a replica that is new or lacks entries that the log no longer
// has. It must be called on the loop; the transfer runs on its own goroutine. p is nil if the
// receiver is not in this replica's file. raft requests a snapshot again if it was not sent.
func (g *Group) sendSnapshot(p *peer, m *pb.Message) {
	to := m.GetTo()
	now := Now()
	if p == nil || !g.sends.mayStart(to, now) {
		g.driver.ReportSnapshot(to, false)
		return
	}
	g.sends.lastActivity[to] = now
	if g.store.HasUnpersisted() { // the file must include the index in the message
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
			g.sends.lastActivity[to] = Now()
			if g.driver != nil {
				g.driver.ReportSnapshot(to, err == nil)
			}
		})
	}()
}

// transferSnapshot sends the store and logs the result.
func (p *peer) transferSnapshot(m *pb.Message) error {
	start := time.Now()
	length, err := p.streamSnapshot(m)
	if err != nil {
		slog.Warn("replica.snapshot_send_failed", "to", p.config.Name, "err", err)
		return err
	}
	slog.Info("replica.snapshot_sent", "to", p.config.Name, "bytes", length, "took_ms", time.Since(start).Milliseconds())
	return nil
}

// streamSnapshot makes a call with the store as its body, and returns the body's length in bytes.
func (p *peer) streamSnapshot(m *pb.Message) (length int64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stallTimer := time.AfterFunc(snapshotStallTimeout, cancel)
	defer stallTimer.Stop()
	err = p.group.store.ExportSnapshot(func(_ store.AppliedState, size int64, write func(io.Writer) error) error {
		length = size
		r, w := io.Pipe()
		go func() { w.CloseWithError(write(w)) }() // ends when r is closed
		defer func() { _ = r.Close() }()           // a pipe's Close never fails
		answer, err := p.call(ctx, snapshotPath, request{
			contentType: binaryType,
			body:        stallReader{r: r, stallTimeout: snapshotStallTimeout, verifyTimeout: verifyTimeout(size), timer: stallTimer},
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

// stallReader is the body of a call. It resets a timer to stallTimeout with each read, and to
// verifyTimeout at the end of the body, so that the receiver has time to verify it.
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

// verifyTimeout returns how long a replica may take to verify a snapshot of the given size in bytes.
// The verification covers the checksum of each value and the hash chain of the events.
func verifyTimeout(size int64) time.Duration {
	return snapshotStallTimeout + time.Duration(size/snapshotVerifyRate)*time.Second
}
