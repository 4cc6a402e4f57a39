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
	// lingerTime is how long the loop goes on after the last watcher is closed, so that the leader is sent who has left.
	lingerTime = 100 * time.Millisecond
)

// Server is one relay. Run, Leave, Stop and Addr may be called from any goroutine; all else belongs to the loop.
type Server struct {
	set         operatorconfig.Relay
	loop        *transport.Loop
	watches     *watch.Server
	session     *relaysession.Session
	upstream    *upstream
	events      *eventLog
	lease       replica.LeaseHolder
	hadLease    bool // what checkLease found last
	leaseTimer  transport.Timer
	lingerTimer transport.Timer
	loopEnded   chan struct{} // closed when the loop has ended
	leaveOnce   sync.Once
	failure     error // why the loop was stopped
}

// New reads the keys and listens. It starts no goroutine.
func New(set operatorconfig.Relay) (*Server, error) {
	s := &Server{set: set, loopEnded: make(chan struct{})}
	var err error
	if s.upstream, err = newUpstream(set); err != nil {
		return nil, err
	}
	if s.loop, err = transport.NewLoop(); err != nil {
		return nil, err
	}
	if s.events, err = newEventLog(set.KeepEvents); err == nil {
		s.watches, err = watch.New(s.loop, watch.Settings{
			Listen:      set.Listen,
			Allowed:     set.Watchers,
			MaxWatchers: set.MaxWatchers,
			Gather:      set.Gather,
		}, watchOwner{s}, s.events.log, s.events.fleet.Rules().NotifiedWithinMS)
	}
	if err != nil {
		s.loop.Release()
		return nil, err
	}
	s.session = newSession(set)
	s.leaseTimer.Fire = s.checkLease
	return s, nil
}

// newSession makes the session of a process that has just started.
func newSession(set operatorconfig.Relay) *relaysession.Session {
	identity := membership.Relay{
		Name:        set.Name,
		Incarnation: rand.Text(),
		Machine:     set.Machine,
		Site:        set.Site,
		Region:      set.Region,
	}
	return relaysession.New(relaysession.Settings{
		Relay:         identity,
		Number:        randomNumber(),
		DirectorLease: discovery.MembershipLease,
		Drift:         discovery.ClockDrift,
	}, quota.NewNode(identity.ID(), relaysession.QuotaSettings))
}

// randomNumber draws the number of a session.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it returns no error, see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

// Addr returns the address that directors watch.
func (s *Server) Addr() (netip.AddrPort, error) { return s.watches.Addr() }

// Run serves until Leave has closed all watchers, or until Stop. The error says why the loop ended, if for another reason.
func (s *Server) Run() error {
	addr, err := s.Addr()
	if err != nil {
		return err
	}
	s.watches.CheckLease()
	s.checkLease()
	called := make(chan struct{})
	go func() {
		defer close(called)
		s.keepSession()
	}()
	slog.Info("relay.started", "watch", addr.String(), "name", s.set.Name, "region", s.set.Region)
	err = s.loop.Run()
	close(s.loopEnded)
	<-called
	slog.Info("relay.stopped", "name", s.set.Name, "revision", s.events.fleet.Revision)
	return errors.Join(err, s.failure)
}

// Leave shuts the relay down gracefully: it takes no new watchers, closes those that there are one by one within the drain time, and
// ends Run.
func (s *Server) Leave() {
	s.leaveOnce.Do(func() { s.loop.Post(s.drain) })
}

// drain closes all watchers, and then stops the loop after a time in which the leader is sent who has left.
func (s *Server) drain() {
	slog.Info("relay.draining", "name", s.set.Name, "directors", s.session.DirectorCount())
	s.lingerTimer.Fire = s.loop.Stop
	s.watches.Drain(s.set.DrainTime, func() { s.loop.Set(&s.lingerTimer, s.loop.Now()+lingerTime) })
}

// Stop ends Run at once.
func (s *Server) Stop() { s.loop.Post(s.loop.Stop) }

// hasLease reports whether the relay may answer directors at this moment.
func (s *Server) hasLease() bool { return s.lease.HasLease(replicas.Now()) }

// checkLease logs when the lease is gained and lost.
func (s *Server) checkLease() {
	if leased := s.hasLease(); leased != s.hadLease {
		s.hadLease = leased
		if leased {
			slog.Info("relay.lease_gained", "name", s.set.Name, "revision", s.events.fleet.Revision)
		} else {
			slog.Warn("relay.lease_lost", "name", s.set.Name, "revision", s.events.fleet.Revision, "directors", s.session.DirectorCount())
		}
	}
	s.loop.Set(&s.leaseTimer, s.loop.Now()+leaseCheckInterval)
}

// request returns what is to be sent to the leader now.
func (s *Server) request() relaysession.Request {
	return s.session.Request(s.events.fleet.Revision, s.watches.Acknowledged(), replicas.Now())
}

// applyAnswer applies the answer to a request that was made at a moment. It reports whether the next request is to be sent at once.
func (s *Server) applyAnswer(a relaysession.Answer, requestedAt time.Duration) (again bool) {
	if err := s.applyEvents(a); err != nil {
		s.resetEventLog(err)
		return false
	}
	now := replicas.Now()
	if s.session.HandleAnswer(a, now) {
		defer s.watches.PublishHealth()
	}
	if a.LeaseMS > 0 {
		length := min(relaysession.Lease, time.Duration(a.LeaseMS)*time.Millisecond)
		s.lease.Renew(replica.Lease{Length: length, Drift: discovery.ClockDrift}, requestedAt)
	}
	return a.LeaseMS == 0 || a.NeedFull || s.session.Pending()
}

// applyEvents applies the events of an answer, or its snapshot, and publishes them.
func (s *Server) applyEvents(a relaysession.Answer) error {
	if a.Snapshot != nil {
		if err := s.events.replace(*a.Snapshot); err != nil {
			return err
		}
		slog.Info("relay.snapshot_applied", "name", s.set.Name, "revision", s.events.fleet.Revision)
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

// resetEventLog drops the event log, which the leader's events do not follow on, and the lease, so that no director is answered from
// it. The next request asks for all events.
func (s *Server) resetEventLog(cause error) {
	slog.Error("relay.event_log_reset", "name", s.set.Name, "err", cause, "revision", s.events.fleet.Revision)
	s.lease.Release()
	empty, err := newEventLog(s.set.KeepEvents)
	if err != nil {
		s.fail(err)
		return
	}
	s.events = empty
	s.watches.Replace(empty.log, empty.fleet)
}

// fail ends the relay, since what it would answer can't be trusted. It loses nothing: a relay starts with an empty log.
func (s *Server) fail(err error) {
	s.failure = errors.Join(s.failure, fmt.Errorf("relay %s: %w", s.set.Name, err))
	s.lease.Release()
	s.loop.Stop()
}
