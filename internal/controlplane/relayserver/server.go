package relayserver

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/controlplane/relaysession"
	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/replicas"
	"stairvane.org/stairvane/internal/controlplane/watch"
	"stairvane.org/stairvane/internal/operatorconfig"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

const (
	leaseCheckInterval = 10 * time.Millisecond
	// lingerDuration is how long the loop continues after the last watcher is closed, so that the relay can still report to the
	// leader which directors have left.
	lingerDuration = 100 * time.Millisecond
)

// Server is a relay. Run, Leave, Stop and Addr may be called from any goroutine; all other methods and fields belong to the loop.
type Server struct {
	settings        operatorconfig.Relay
	loop            *transport.Loop
	watches         *watch.Server
	session         *relaysession.Session
	upstream        *upstream
	events          *eventLog
	history         string // of the leader's event log; empty: unknown
	lease           replica.LeaseHolder
	hadLease        bool // result of the last checkLease
	leaseCheckTimer transport.Timer
	lingerTimer     transport.Timer
	loopEnded       chan struct{} // closed when the loop has stopped
	leaveOnce       sync.Once
	fatalErr        error // why the loop was stopped; nil unless a fault occurred
}

// New reads the TLS keys and opens the listener. It starts no goroutine.
func New(settings operatorconfig.Relay) (*Server, error) {
	s := &Server{settings: settings, loopEnded: make(chan struct{})}
	var err error
	if s.upstream, err = newUpstream(settings); err != nil {
		return nil, err
	}
	if s.loop, err = transport.NewLoop(); err != nil {
		return nil, err
	}
	if s.events, err = newEventLog(settings.KeepEvents); err == nil {
		s.watches, err = watch.New(s.loop, watch.Settings{
			Listen:      settings.Listen,
			Allowed:     settings.Watchers,
			MaxWatchers: settings.MaxWatchers,
			BatchTime:   settings.BatchTime,
		}, watchOwner{s}, s.events.log, s.events.fleet.Rules().NotifiedWithinMS)
	}
	if err != nil {
		s.loop.Release()
		return nil, err
	}
	s.session = newSession(settings)
	s.leaseCheckTimer.Fire = s.checkLease
	return s, nil
}

// newSession returns the session of a new process.
func newSession(settings operatorconfig.Relay) *relaysession.Session {
	identity := membership.Relay{
		Name:        settings.Name,
		Incarnation: rand.Text(),
		Machine:     settings.Machine,
		Site:        settings.Site,
		Region:      settings.Region,
	}
	return relaysession.New(relaysession.Settings{
		Relay:         identity,
		Number:        randomNumber(),
		DirectorLease: discovery.MembershipLease,
		Drift:         discovery.ClockDrift,
	}, quota.NewNode(identity.ID(), relaysession.QuotaSettings))
}

// randomNumber returns a random session number.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

// Addr returns the address on which the relay serves watches.
func (s *Server) Addr() (netip.AddrPort, error) { return s.watches.Addr() }

// Run serves until Leave has closed all watchers or Stop is called. It returns an error if the loop ended for any other reason.
func (s *Server) Run() error {
	addr, err := s.Addr()
	if err != nil {
		return err
	}
	s.watches.CheckLease()
	s.checkLease()
	sessionDone := make(chan struct{})
	go func() {
		defer close(sessionDone)
		s.maintainSession()
	}()
	slog.Info("relay.started", "watch", addr.String(), "name", s.settings.Name, "region", s.settings.Region)
	err = s.loop.Run()
	close(s.loopEnded)
	<-sessionDone
	slog.Info("relay.stopped", "name", s.settings.Name, "revision", s.events.fleet.Revision)
	return errors.Join(err, s.fatalErr)
}

// Leave shuts the relay down gracefully: it stops accepting watchers, closes the existing ones one by one within the drain time,
// and then makes Run return.
func (s *Server) Leave() {
	s.leaveOnce.Do(func() { s.loop.Post(s.drain) })
}

// drain closes all watchers. It then stops the loop after lingerDuration, so that the relay can still report to the leader which
// directors have left.
func (s *Server) drain() {
	slog.Info("relay.draining", "name", s.settings.Name, "directors", s.session.DirectorCount())
	s.lingerTimer.Fire = s.loop.Stop
	s.watches.Drain(s.settings.DrainTime, func() { s.loop.Set(&s.lingerTimer, s.loop.Now()+lingerDuration) })
}

// Stop makes Run return immediately.
func (s *Server) Stop() { s.loop.Post(s.loop.Stop) }

// hasLease reports whether the relay may currently answer directors.
func (s *Server) hasLease() bool { return s.lease.HasLease(replicas.Now()) }

// checkLease logs when the lease is gained or lost, and schedules the next check.
func (s *Server) checkLease() {
	if leased := s.hasLease(); leased != s.hadLease {
		s.hadLease = leased
		if leased {
			slog.Info("relay.lease_gained", "name", s.settings.Name, "revision", s.events.fleet.Revision)
		} else {
			slog.Warn("relay.lease_lost", "name", s.settings.Name, "revision", s.events.fleet.Revision,
				"directors", s.session.DirectorCount())
		}
	}
	s.loop.Set(&s.leaseCheckTimer, s.loop.Now()+leaseCheckInterval)
}

// request returns the next request to the leader.
func (s *Server) request() relaysession.Request {
	return s.session.Request(s.events.fleet.Revision, s.watches.Acknowledged(), replicas.Now())
}

// applyAnswer applies the answer to a request. requestedAt is the time just before the request was created. It reports whether the
// next request should be sent immediately. An answer that does not name its request, or grants a lease without the events that the
// relay lacks, does not renew the lease.
func (s *Server) applyAnswer(a relaysession.Answer, requestedAt time.Duration) (immediate bool) {
	if known := s.history; a.History != "" && a.History != known {
		s.history = a.History
		if known != "" {
			s.resetEventLog(errNewHistory)
			return true
		}
	}
	if err := s.applyEvents(a); err != nil {
		s.resetEventLog(err)
		return false
	}
	now := replicas.Now()
	answersLast := s.session.IsLast(a)
	if s.session.HandleAnswer(a, now) {
		defer s.watches.PublishHealth()
	}
	if !answersLast || a.Revision > s.events.fleet.Revision && a.LeaseMS > 0 {
		slog.Error("relay.answer_incomplete", "name", s.settings.Name, "revision", a.Revision, "applied", s.events.fleet.Revision)
		return false
	}
	if a.LeaseMS > 0 {
		length := min(relaysession.Lease, time.Duration(a.LeaseMS)*time.Millisecond)
		s.lease.Renew(replica.Lease{Length: length, Drift: discovery.ClockDrift}, requestedAt)
	}
	return a.LeaseMS == 0 || a.NeedFull || s.session.Pending()
}

var errNewHistory = errors.New("the control plane has another event log than before")

// applyEvents applies and publishes the snapshot or the events of an answer.
func (s *Server) applyEvents(a relaysession.Answer) error {
	if a.Snapshot != nil {
		if err := s.events.replace(*a.Snapshot); err != nil {
			return err
		}
		slog.Info("relay.snapshot_applied", "name", s.settings.Name, "revision", s.events.fleet.Revision)
		s.watches.Replace(s.events.log, s.events.fleet)
		return nil
	}
	fresh, err := s.events.append(a.Events)
	if err != nil || len(fresh) == 0 {
		return err
	}
	s.watches.Publish(fresh, s.events.fleet)
	return nil
}

// resetEventLog discards an event log that the leader's events do not follow, and the lease, so that no director is answered from
// that log. The next request asks for all events.
func (s *Server) resetEventLog(cause error) {
	slog.Error("relay.event_log_reset", "name", s.settings.Name, "err", cause, "revision", s.events.fleet.Revision)
	s.lease.Release()
	empty, err := newEventLog(s.settings.KeepEvents)
	if err != nil {
		s.fail(err)
		return
	}
	s.events = empty
	s.watches.Replace(empty.log, empty.fleet)
}

// fail stops the relay because its state is no longer trustworthy. No data is lost: a relay starts with an empty log.
func (s *Server) fail(err error) {
	s.fatalErr = errors.Join(s.fatalErr, fmt.Errorf("relay %s: %w", s.settings.Name, err))
	s.lease.Release()
	s.loop.Stop()
}
