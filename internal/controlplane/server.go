// Package controlplane is the service that keeps the fleet: it serves the history to directors, looks at boxes, takes plans and
// carries them out. What is decided is decided in internal/fleet and in the pure packages beside this one; here are the
// sockets, the clock and the store.
package controlplane

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/transport"
)

// Options beside the operator's file. Clock and At are for tests; the zero value is the system's clock and no kill points.
type Options struct {
	Clock       func() int64
	At          func(point string)
	AcceptOlder bool // see store.Options
	Found       bool // begin a group of copies with this store
	NewDisk     bool // put the store aside and begin as a new disk, which waits to be let in
}

// Server is one board process.
type Server struct {
	set        operatorconfig.ControlPlane
	store      *store.Store
	loop       *transport.Loop
	watches    *watch.Server
	observer   *observer
	executor   *executor
	membership *membershipService
	relays     *relayLeases
	write      net.Listener
	server     *http.Server
	observed   atomic.Pointer[map[string]fleet.Observation]
	group      *replicas.Group // nil: the board is alone
	clock      func() int64
	started    atomic.Bool // the loop runs, or ran
	stopping   atomic.Bool
	failed     chan error
}

// New opens the store and listens. Errors of the store wrap those of its package.
func New(set operatorconfig.ControlPlane, opt Options) (b *Server, err error) {
	b = &Server{set: set, clock: opt.Clock, failed: make(chan error, 2)}
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
	if err = b.checkMode(opt); err != nil {
		return b, err
	}
	if b.store, err = store.Open(set.Store, store.Options{
		SnapshotEvery: set.SnapshotEvery, KeepEvents: set.KeepEvents, Batch: set.Batch, Clock: b.clock,
		Committed: b.committed, KillPoint: opt.At, AcceptOlder: opt.AcceptOlder, Group: set.Replicas.Self != "", RememberWrites: set.Replicas.RememberWrites,
	}); err != nil {
		return b, err
	}
	if i, _ := b.store.Identity(); i.Disk != 0 && set.Replicas.Self == "" {
		return b, fmt.Errorf("%s: %w, as copy %s, and the file lists no copies", set.Store, store.ErrInGroup, i.Name)
	}
	b.membership = newMembershipService(b)
	b.relays = newRelayLeases(b)
	first, tail := b.store.Tail()
	log, err := eventlog.New(first, tail, b.store.Fleet(), max(set.KeepEvents, 1000))
	if err != nil {
		return b, err
	}
	if b.watches, err = newWatchServer(b, log); err != nil {
		return b, err
	}
	b.observer = newObserver(b)
	b.executor = newExecutor(b)
	if set.Replicas.Self != "" {
		if b.group, err = b.join(opt); err != nil {
			return b, err
		}
	}
	return b, b.listenWrite()
}

// checkMode refuses options that speak of a group where there is none, and puts a store aside that is to be given up.
func (b *Server) checkMode(opt Options) error {
	if b.set.Replicas.Self == "" {
		if opt.Found || opt.NewDisk {
			return errors.New("the file lists no copies: (copies ...) is missing in (board ...)")
		}
		return nil
	}
	// A write beyond a limit of the file's size is to be an error, as a full disk is, and not the end of the process.
	signal.Ignore(syscall.SIGXFSZ)
	if !opt.NewDisk {
		return nil
	}
	aside := fmt.Sprintf("%s.old-%d", b.set.Store, b.clock())
	if err := os.Rename(b.set.Store, aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("the store can't be put aside: %w", err)
	} else if err == nil {
		slog.Warn("copies.store_put_aside", "as", aside)
	}
	return nil
}

// join makes the board a copy of its group.
func (b *Server) join(opt Options) (*replicas.Group, error) {
	set := replicas.Settings{
		ReplicaGroup: b.set.Replicas, Batch: b.set.Batch, FoundGroup: opt.Found, LeadershipChanged: b.executor.lead, SnapshotInstalled: b.replaced, Acknowledged: b.watches.Acknowledged, Heartbeats: b.membership.Heartbeats, TakeHeartbeats: b.membership.TakeHeartbeats, Grant: b.membership.Grant, TakeLeaseAnswer: b.membership.TakeShares,
		NotifiedAfter: func() time.Duration {
			return time.Duration(b.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
		},
	}
	set.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}
	if keys := b.set.Write.TLS; keys != nil {
		c, err := api.ClientTLS(api.Credentials{Certificate: keys.Certificate, Key: keys.Key, Authority: keys.Clients})
		if err != nil {
			return nil, err
		}
		set.Client.Transport.(*http.Transport).TLSClientConfig, set.Scheme = c, "https"
	}
	return replicas.New(b.store, set)
}

// replaced follows a store that was taken over whole from another copy.
func (b *Server) replaced() {
	first, tail := b.store.Tail()
	f := b.store.Fleet()
	b.post(func() {
		log, err := eventlog.New(first, tail, f, max(b.set.KeepEvents, 1000))
		if err != nil {
			slog.Error("board.history_broken", "err", err)
			b.Stop()
			return
		}
		b.watches.Replace(log, f)
		b.observer.renew(f)
	})
}

// term numbers the times of leading; it rises with each, at any copy.
func (b *Server) term() int64 {
	if b.group == nil {
		return b.clock() // a board alone: the later start has the later time
	}
	return int64(b.group.Status().Term)
}

// Leads tells whether the board carries out changes: one that is alone does.
func (b *Server) Leads() bool { return b.group == nil || b.group.IsLeader() }

// Addr is where directors follow.
func (b *Server) Addr() (netip.AddrPort, error) { return b.watches.Addr() }

// WriteAddr is where changes are taken.
func (b *Server) WriteAddr() net.Addr { return b.write.Addr() }

// World is what is known at this moment.
func (b *Server) World() fleet.ObservedState {
	return fleet.ObservedState{Fleet: b.store.Fleet(), Observed: *b.observed.Load(), NowMS: b.clock()}
}

// committed is told by the store of durable events.
func (b *Server) committed(events []fleet.Event) {
	f := b.store.Fleet()
	b.membership.committed(f.Revision)
	b.post(func() {
		b.watches.Publish(events, f)
		b.observer.follow(events)
	})
}

// post runs f on the loop, unless that has ended.
func (b *Server) post(f func()) {
	if b.started.Load() {
		b.loop.Post(f)
	}
}

// Run serves until Stop.
func (b *Server) Run() error {
	addr, err := b.Addr()
	if err != nil {
		return err
	}
	b.started.Store(true)
	if b.group != nil {
		go b.group.Run()
	} else if err := b.executor.recover(); err != nil {
		b.started.Store(false)
		b.closeAll()
		return err
	}
	if b.stopping.Load() { // told before there was anything to stop
		b.post(b.loop.Stop)
	}
	b.observer.start()
	if b.group != nil {
		b.watches.CheckLease()
	}
	go func() {
		if err := b.server.Serve(b.write); !errors.Is(err, http.ErrServerClosed) {
			b.failed <- fmt.Errorf("write side: %w", err)
			b.Stop()
		}
	}()
	go b.executor.run()
	go b.membership.run()
	slog.Info("board.serves", "bulletin", addr.String(), "write", b.write.Addr().String(), "revision", b.store.Fleet().Revision,
		"observer", b.set.Observer.Every > 0)
	err = b.loop.Run()
	b.executor.stop()
	close(b.membership.stop)
	<-b.membership.ended
	b.server.Close()
	if b.group != nil {
		b.group.Stop()
	}
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
func (b *Server) Stop() {
	b.stopping.Store(true)
	b.post(b.loop.Stop)
}

// closeAll gives up what New has opened.
func (b *Server) closeAll() {
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
