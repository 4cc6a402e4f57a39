// Package board is the service that keeps the fleet: it serves the history to directors, looks at boxes, takes plans and
// carries them out. What is decided is decided in internal/fleet and in the pure packages beside this one; here are the
// sockets, the clock and the store.
package board

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/board/history"
	"stairvane.org/stairvane/internal/board/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/opfile"
	"stairvane.org/stairvane/internal/transport"
)

// Options beside the operator's file. Clock and At are for tests; the zero value is the system's clock and no kill points.
type Options struct {
	Clock       func() int64
	At          func(point string)
	AcceptOlder bool // see store.Options
}

// Board is one board process.
type Board struct {
	set      opfile.Board
	store    *store.Store
	loop     *transport.Loop
	feed     *feed
	observer *observer
	exec     *executor
	write    net.Listener
	server   *http.Server
	observed atomic.Pointer[map[string]fleet.Observation]
	clock    func() int64
	started  atomic.Bool // the loop runs, or ran
	stopping atomic.Bool
	failed   chan error
}

// New opens the store and listens. Errors of the store wrap those of its package.
func New(set opfile.Board, opt Options) (b *Board, err error) {
	b = &Board{set: set, clock: opt.Clock, failed: make(chan error, 2)}
	if b.clock == nil {
		b.clock = func() int64 { return time.Now().UnixMilli() }
	}
	b.observed.Store(&map[string]fleet.Observation{})
	defer func() {
		if err != nil {
			b.closeAll()
			b = nil
		}
	}()
	if b.loop, err = transport.NewLoop(); err != nil {
		return b, err
	}
	if b.store, err = store.Open(set.Store, store.Options{SnapshotEvery: set.SnapshotEvery, Keep: set.Keep, Batch: set.Batch,
		Clock: b.clock, Committed: b.committed, At: opt.At, AcceptOlder: opt.AcceptOlder}); err != nil {
		return b, err
	}
	first, tail := b.store.Tail()
	log, err := history.New(first, tail, b.store.Fleet(), max(set.Keep, 1000))
	if err != nil {
		return b, err
	}
	if b.feed, err = newFeed(b, log); err != nil {
		return b, err
	}
	b.observer = newObserver(b)
	b.exec = newExecutor(b)
	return b, b.listenWrite()
}

// Addr is where directors follow.
func (b *Board) Addr() (netip.AddrPort, error) { return b.feed.listener.Addr() }

// WriteAddr is where changes are taken.
func (b *Board) WriteAddr() net.Addr { return b.write.Addr() }

// World is what is known at this moment.
func (b *Board) World() fleet.World {
	return fleet.World{Fleet: b.store.Fleet(), Observed: *b.observed.Load(), NowMS: b.clock()}
}

// committed is told by the store of durable events.
func (b *Board) committed(events []fleet.Event) {
	f := b.store.Fleet()
	b.post(func() {
		b.feed.publish(events, f)
		b.observer.follow(events)
	})
}

// post runs f on the loop, unless that has ended.
func (b *Board) post(f func()) {
	if b.started.Load() {
		b.loop.Post(f)
	}
}

// Run serves until Stop.
func (b *Board) Run() error {
	addr, err := b.Addr()
	if err != nil {
		return err
	}
	if err := b.exec.recover(); err != nil {
		b.closeAll()
		return err
	}
	b.started.Store(true)
	if b.stopping.Load() { // told before there was anything to stop
		b.post(b.loop.Stop)
	}
	b.observer.start()
	go func() {
		if err := b.server.Serve(b.write); !errors.Is(err, http.ErrServerClosed) {
			b.failed <- fmt.Errorf("write side: %w", err)
			b.Stop()
		}
	}()
	go b.exec.run()
	slog.Info("board.serves", "bulletin", addr.String(), "write", b.write.Addr().String(), "revision", b.store.Fleet().Revision,
		"observer", b.set.Observer.Every > 0)
	err = b.loop.Run()
	b.exec.stop()
	b.server.Close()
	if closeErr := b.store.Close(); err == nil {
		err = closeErr
	}
	select {
	case failure := <-b.failed:
		err = errors.Join(err, failure)
	default:
	}
	slog.Info("board.left", "revision", b.store.Fleet().Revision)
	return err
}

// Stop ends Run. What was begun goes on at the next start.
func (b *Board) Stop() {
	b.stopping.Store(true)
	b.post(b.loop.Stop)
}

// closeAll gives up what New has opened.
func (b *Board) closeAll() {
	if b.write != nil {
		b.write.Close()
	}
	if b.loop != nil {
		b.loop.Release()
	}
	if b.store != nil {
		b.store.Close()
	}
}
