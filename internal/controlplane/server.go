package controlplane

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/transport"
)

// minKeptEvents is how many events the log for watchers has at least, whatever the operator's file says.
const minKeptEvents = 1000

// Options are what one start is given beside the operator's file.
type Options struct {
	Clock       func() int64       // milliseconds since the Unix epoch; nil: the system's clock
	KillPoint   func(point string) // called where a test may end the process, see store.Options; nil: nothing
	AcceptOlder bool               // see store.Options
	FoundGroup  bool               // found a group with this store as its first replica
	NewDisk     bool               // set the store aside and begin as a new disk, which waits to be admitted to the group
}

// Server is one process of the control plane: the only one, or a replica of a group.
type Server struct {
	settings      operatorconfig.ControlPlane
	store         *store.Store
	loop          *transport.Loop
	watches       *watch.Server // owned by the loop
	observer      *observer     // owned by the loop
	executor      *executor
	directors     *directorServices
	relayLeases   *relayLeases
	writeListener net.Listener
	writeServer   *http.Server
	observed      atomic.Pointer[map[string]fleet.Observation] // by host name; the map is replaced and never changed
	group         *replicas.Group                              // nil: the process runs alone
	clock         func() int64                                 // milliseconds since the Unix epoch
	started       atomic.Bool                                  // the loop runs, or ran
	stopping      atomic.Bool
	failed        chan error // why the write side ended
}

// New opens the store and listens. Nothing is served before Run. Errors of the store wrap those of its package.
func New(set operatorconfig.ControlPlane, options Options) (*Server, error) {
	s := &Server{settings: set, clock: options.Clock, failed: make(chan error, 2)}
	if s.clock == nil {
		s.clock = func() int64 { return time.Now().UnixMilli() }
	}
	s.observed.Store(&map[string]fleet.Observation{})
	if err := s.open(options); err != nil {
		s.release()
		return nil, err
	}
	return s, nil
}

// open makes the parts of the server. What was opened before an error is closed by release.
func (s *Server) open(options Options) (err error) {
	if s.loop, err = transport.NewLoop(); err != nil {
		return fmt.Errorf("make event loop: %w", err)
	}
	if err = s.prepareGroup(options); err != nil {
		return err
	}
	if err = s.openStore(options); err != nil {
		return err
	}
	s.directors = newDirectorServices(s)
	s.relayLeases = newRelayLeases(s)
	first, tail := s.store.Tail()
	log, err := s.newEventLog(first, tail, s.store.Fleet())
	if err != nil {
		return err
	}
	if s.watches, err = newWatchServer(s, log); err != nil {
		return fmt.Errorf("listen for watches: %w", err)
	}
	s.observer = newObserver(s)
	s.executor = newExecutor(s)
	if s.settings.Replicas.Self != "" {
		if s.group, err = s.joinGroup(options); err != nil {
			return err
		}
	}
	return s.listenWrite()
}

func (s *Server) openStore(options Options) (err error) {
	s.store, err = store.Open(s.settings.Store, store.Options{
		SnapshotEvery:  s.settings.SnapshotEvery,
		KeepEvents:     s.settings.KeepEvents,
		Batch:          s.settings.Batch,
		Clock:          s.clock,
		Committed:      s.committed,
		KillPoint:      options.KillPoint,
		AcceptOlder:    options.AcceptOlder,
		IsReplica:      s.settings.Replicas.Self != "",
		RememberWrites: s.settings.Replicas.RememberWrites,
	})
	if err != nil {
		return err
	}
	if identity, _ := s.store.Identity(); identity.Disk != 0 && s.settings.Replicas.Self == "" {
		return fmt.Errorf("%s: %w, as copy %s, and the file lists no copies", s.settings.Store, store.ErrInGroup, identity.Name)
	}
	return nil
}

// newEventLog makes the log that watchers are answered from. tail are the events from number first on that led to the fleet.
func (s *Server) newEventLog(first int64, tail []fleet.Event, f fleet.Fleet) (*eventlog.Log, error) {
	return eventlog.New(first, tail, f, max(s.settings.KeepEvents, minKeptEvents))
}

// Addr is where directors watch.
func (s *Server) Addr() (netip.AddrPort, error) { return s.watches.Addr() }

// WriteAddr is where the write side listens.
func (s *Server) WriteAddr() net.Addr { return s.writeListener.Addr() }

// ObservedState is the fleet as it is declared now, with the last observations of its hosts. It may be called from any goroutine.
func (s *Server) ObservedState() fleet.ObservedState {
	return fleet.ObservedState{Fleet: s.store.Fleet(), Observed: *s.observed.Load(), NowMS: s.clock()}
}

// committed is called by the store when events have become durable.
func (s *Server) committed(events []fleet.Event) {
	f := s.store.Fleet()
	s.directors.committed(f.Revision)
	s.post(func() {
		s.watches.Publish(events, f)
		s.observer.apply(events)
	})
}

// post runs f on the loop, unless the loop has not begun.
func (s *Server) post(f func()) {
	if s.started.Load() {
		s.loop.Post(f)
	}
}

// Run serves until Stop and then closes everything that New has opened. It may be called once.
func (s *Server) Run() error {
	addr, err := s.Addr()
	if err != nil {
		return err
	}
	s.started.Store(true)
	if s.group != nil {
		go s.group.Run()
	} else if err := s.executor.recover(); err != nil {
		s.started.Store(false)
		s.release()
		return fmt.Errorf("recover apply: %w", err)
	}
	if s.stopping.Load() { // Stop came before the loop could be reached
		s.post(s.loop.Stop)
	}
	s.observer.start()
	if s.group != nil {
		s.watches.CheckLease()
	}
	go s.serveWrites()
	go s.executor.run()
	go s.directors.run()
	slog.Info("controlplane.started", "bulletin", addr.String(), "write", s.WriteAddr().String(), "revision", s.store.Fleet().Revision,
		"observer", s.settings.Observer.Every > 0)
	err = s.loop.Run()
	err = errors.Join(err, s.shutDown())
	slog.Info("controlplane.stopped", "revision", s.store.Fleet().Revision)
	return err
}

// serveWrites serves the write side until it is closed.
func (s *Server) serveWrites() {
	if err := s.writeServer.Serve(s.writeListener); !errors.Is(err, http.ErrServerClosed) {
		s.failed <- fmt.Errorf("write side: %w", err)
		s.Stop()
	}
}

// shutDown ends the goroutines once the loop has ended, and closes the store last. It gives the failure that stopped the server, too.
func (s *Server) shutDown() error {
	s.executor.stop()
	close(s.directors.stop)
	<-s.directors.ended
	_ = s.writeServer.Close() // its listener is given up in any case
	if s.group != nil {
		s.group.Stop()
	}
	err := s.store.Close()
	select {
	case failure := <-s.failed:
		err = errors.Join(err, failure)
	default:
	}
	return err
}

// Stop ends Run. An apply that is under way goes on at the next start, or at the next leader.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.post(s.loop.Stop)
}

// release closes what open has opened, for a server that does not run.
func (s *Server) release() {
	if s.writeListener != nil {
		_ = s.writeListener.Close() // the error that led here is reported
	}
	if s.loop != nil {
		s.loop.Release()
	}
	if s.store != nil {
		_ = s.store.Close() // the error that led here is reported
	}
}
