package controlplane

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/replicas"
)

const (
	peerConnectTimeout  = 300 * time.Millisecond // for connections to other replicas
	peerIdleTimeout     = time.Minute
	peerIdleConnections = 4 // to each other replica
)

// prepareGroup rejects options that speak of a group where the file has none, and sets aside a store that is given up.
func (s *Server) prepareGroup(options Options) error {
	if s.settings.Replicas.Self == "" {
		if options.FoundGroup || options.NewDisk {
			return errors.New("the file lists no copies: (copies ...) is missing in (board ...)")
		}
		return nil
	}
	// A write beyond a limit of the file's size is to fail, as on a full disk. The signal would end the process.
	signal.Ignore(syscall.SIGXFSZ)
	if !options.NewDisk {
		return nil
	}
	return s.setStoreAside()
}

// setStoreAside renames the store, if there is one.
func (s *Server) setStoreAside() error {
	aside := fmt.Sprintf("%s.old-%d", s.settings.Store, s.clock())
	err := os.Rename(s.settings.Store, aside)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("set the store aside: %w", err)
	}
	slog.Warn("store.set_aside", "as", aside)
	return nil
}

// joinGroup makes the process a replica of its group.
func (s *Server) joinGroup(options Options) (*replicas.Group, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: peerIdleConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DialContext:         (&net.Dialer{Timeout: peerConnectTimeout}).DialContext,
	}
	scheme := ""
	if keys := s.settings.Write.TLS; keys != nil {
		config, err := api.ClientTLS(api.Credentials{Certificate: keys.Certificate, Key: keys.Key, Authority: keys.Clients})
		if err != nil {
			return nil, fmt.Errorf("keys for calls to other replicas: %w", err)
		}
		transport.TLSClientConfig = config
		scheme = "https"
	}
	return replicas.New(s.store, replicas.Settings{
		ReplicaGroup:      s.settings.Replicas,
		Batch:             s.settings.Batch,
		FoundGroup:        options.FoundGroup,
		Client:            &http.Client{Transport: transport},
		Scheme:            scheme,
		LeadershipChanged: s.executor.setLeader,
		SnapshotInstalled: s.snapshotInstalled,
		Acknowledged:      s.watches.Acknowledged,
		Heartbeats:        s.directors.Heartbeats,
		TakeHeartbeats:    s.directors.TakeHeartbeats,
		Grant:             s.directors.Grant,
		TakeLeaseAnswer:   s.directors.TakeLeaseAnswer,
		NotifiedAfter: func() time.Duration {
			return time.Duration(s.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
		},
	})
}

// snapshotInstalled has watchers and the observer go on from a store that was replaced by another replica's snapshot.
func (s *Server) snapshotInstalled() {
	first, tail := s.store.Tail()
	f := s.store.Fleet()
	s.post(func() {
		log, err := s.newEventLog(first, tail, f)
		if err != nil {
			slog.Error("eventlog.invalid", "err", err)
			s.Stop()
			return
		}
		s.watches.Replace(log, f)
		s.observer.replaceFleet(f)
	})
}

// term numbers the periods of leadership. It rises with each new leader, on any replica.
func (s *Server) term() int64 {
	if s.group == nil {
		return s.clock() // a process that runs alone leads from its start, and a later start has a later time
	}
	return int64(s.group.Status().Term)
}

// IsLeader tells whether this process carries changes out. One that runs alone always does.
func (s *Server) IsLeader() bool { return s.group == nil || s.group.IsLeader() }
