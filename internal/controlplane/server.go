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

// minKeptEvents is the minimum number of events that the log for watchers retains, regardless of the operator configuration.
const minKeptEvents = 1000

// Options are the settings of one start that are not in the operator configuration.
type Options struct {
	Clock       func() int64       // milliseconds since the Unix epoch; nil for the system clock
	KillPoint   func(point string) // called at each point where a test may kill the process; see store.Options; may be nil
	AcceptOlder bool               // see store.Options
	FoundGroup  bool               // start a new group with this store as its first replica
	NewDisk     bool               // rename the existing store and start with a new disk that waits for admission to the group
}

// Server is one process of the control plane, either standalone or a replica of a group.
type Server struct {
	settings      operatorconfig.ControlPlane
	store         *store.Store
	loop          *transport.Loop
	watches       *watch.Server // owned by the event loop
	observer      *observer     // owned by the event loop
	executor      *executor
	directors     *directorServices
	relayLeases   *relayLeases
	writeListener net.Listener
	writeServer   *http.Server
	observed      atomic.Pointer[map[string]fleet.Observation] // by host name; the map is replaced, never modified
	group         *replicas.Group                              // nil for a standalone process
	clock         func() int64                                 // milliseconds since the Unix epoch
	started       atomic.Bool                                  // whether the loop has been started
	stopping      atomic.Bool
	fileHistory   string     // see history
	failures      chan error // errors that ended the write side
}

// New opens the store and starts to listen, but serves nothing before Run. Errors of the store wrap the errors of package store.
func New(set operatorconfig.ControlPlane, options Options) (*Server, error) {
	s := &Server{settings: set, clock: options.Clock, failures: make(chan error, 2)}
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

// open creates the components of the server. After an error the caller must call release to close those that were opened.
func (s *Server) open(options Options) (err error) {
	if s.loop, err = transport.NewLoop(); err != nil {
		return fmt.Errorf("create event loop: %w", err)
	}
	if err = s.prepareGroup(options); err != nil {
		return err
	}
	if err = s.openStore(options); err != nil {
		return err
	}
	s.fileHistory = s.store.FileName()
	s.directors = newDirectorServices(s)
	s.relayLeases = newRelayLeases(s)
	first, tail := s.store.Tail()
	log, err := s.newWatchLog(first, tail, s.store.Fleet())
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
		Committed:      s.eventsCommitted,
		KillPoint:      options.KillPoint,
		AcceptOlder:    options.AcceptOlder,
		IsReplica:      s.settings.Replicas.Self != "",
		RememberWrites: s.settings.Replicas.RememberWrites,
	})
	if err != nil {
		return err
	}
	if identity, _ := s.store.Identity(); identity.Disk != 0 && s.settings.Replicas.Self == "" {
		return fmt.Errorf("%s: %w, as replica %s, and (copies ...) is missing", s.settings.Store, store.ErrInGroup, identity.Name)
	}
	return nil
}

// newWatchLog returns the log from which watchers are served. tail contains the events from revision first on, which result in fleet f.
func (s *Server) newWatchLog(first int64, tail []fleet.Event, f fleet.Fleet) (*eventlog.Log, error) {
	return eventlog.New(first, tail, f, max(s.settings.KeepEvents, minKeptEvents))
}

// Addr returns the address at which directors watch.
func (s *Server) Addr() (netip.AddrPort, error) { return s.watches.Addr() }

// WriteAddr returns the address at which the write side listens.
func (s *Server) WriteAddr() net.Addr { return s.writeListener.Addr() }

// ObservedState returns the current declared fleet with the latest observations of its hosts. It is safe for concurrent use.
func (s *Server) ObservedState() fleet.ObservedState {
	return fleet.ObservedState{Fleet: s.store.Fleet(), Observed: *s.observed.Load(), NowMS: s.clock()}
}

// eventsCommitted publishes events. The store calls it once they are durable.
func (s *Server) eventsCommitted(events []fleet.Event) {
	f := s.store.Fleet()
	s.directors.eventsCommitted(f.Revision)
	s.post(func() {
		s.watches.Publish(events, f)
		s.observer.applyEvents(events)
	})
}

// post runs f on the event loop. It does nothing if the loop has not been started.
func (s *Server) post(f func()) {
	if s.started.Load() {
		s.loop.Post(f)
	}
}

// Run serves until Stop is called and then closes everything that New has opened. It must be called only once.
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
	if s.stopping.Load() { // Stop was called before the loop was started
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
		s.failures <- fmt.Errorf("write side: %w", err)
		s.Stop()
	}
}

// shutDown ends the remaining goroutines after the loop has ended, and finally closes the store. The returned error includes the
// failure that stopped the server, if there was one.
func (s *Server) shutDown() error {
	s.executor.stop()
	close(s.directors.stop)
	<-s.directors.ended
	_ = s.writeServer.Close() // the listener is no longer needed in any case
	if s.group != nil {
		s.group.Stop()
	}
	err := s.store.Close()
	select {
	case failure := <-s.failures:
		err = errors.Join(err, failure)
	default:
	}
	return err
}

// Stop ends Run. A running apply is resumed at the next start or by the next leader. It is safe for concurrent use.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.post(s.loop.Stop)
}

// release closes everything that open has opened, for a server that does not run.
func (s *Server) release() {
	if s.writeListener != nil {
		_ = s.writeListener.Close() // the caller reports the original error
	}
	if s.loop != nil {
		s.loop.Release()
	}
	if s.store != nil {
		_ = s.store.Close() // the caller reports the original error
	}
}
