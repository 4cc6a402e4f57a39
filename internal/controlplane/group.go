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
	peerConnectTimeout  = 300 * time.Millisecond // for connecting to another replica
	peerIdleTimeout     = time.Minute
	peerIdleConnections = 4 // per replica
)

// prepareGroup rejects options that require a group if the configuration has none. With Options.NewDisk it sets the existing store
// aside.
func (s *Server) prepareGroup(options Options) error {
	if s.settings.Replicas.Self == "" {
		if options.FoundGroup || options.NewDisk {
			return errors.New("the configuration lists no replicas: (copies ...) is missing in (board ...)")
		}
		return nil
	}
	// A write beyond the file size limit must fail, as it does on a full disk. By default SIGXFSZ would end the process.
	signal.Ignore(syscall.SIGXFSZ)
	if !options.NewDisk {
		return nil
	}
	return s.setStoreAside()
}

// setStoreAside renames the store file if it exists.
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

// joinGroup creates the raft group of which this process is a replica.
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
			return nil, fmt.Errorf("load TLS credentials for calls to other replicas: %w", err)
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
		LeadershipChanged: s.executor.leadershipChanged,
		SnapshotInstalled: s.snapshotInstalled,
		Acknowledged:      s.watches.Acknowledged,
		Heartbeats:        s.directors.Heartbeats,
		MergeHeartbeats:   s.directors.MergeHeartbeats,
		Grant:             s.directors.Grant,
		ApplyLeaseAnswer:  s.directors.ApplyLeaseAnswer,
		NotifiedAfter: func() time.Duration {
			return time.Duration(s.store.Fleet().Rules().NotifiedWithinMS) * time.Millisecond
		},
	})
}

// snapshotInstalled switches the watch server and the observer to the contents of the store after it was replaced by another replica's
// snapshot.
func (s *Server) snapshotInstalled() {
	first, tail := s.store.Tail()
	f := s.store.Fleet()
	s.post(func() {
		log, err := s.newWatchLog(first, tail, f)
		if err != nil {
			slog.Error("eventlog.invalid", "err", err)
			s.Stop()
			return
		}
		s.watches.Replace(log, f)
		s.observer.replaceFleet(f)
	})
}

// term returns the number of the current leadership period. It increases with each new leader, on whichever replica.
func (s *Server) term() int64 {
	if s.group == nil {
		return s.clock() // a standalone process leads from its start, and a later start has a later time
	}
	return int64(s.group.Status().Term)
}

// IsLeader reports whether this process executes changes. A standalone process always does.
func (s *Server) IsLeader() bool { return s.group == nil || s.group.IsLeader() }
