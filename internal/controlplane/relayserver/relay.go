// Package relay is the process of a relay: it serves watches to the directors of a region for the replicas of a control plane,
// and keeps one session with their leader. What is said in the session is decided in internal/controlplane/relaysession; here are the sockets,
// the clock, and the event log in memory. A relay has no disk and no vote: it may be lost at any time.
//
// All state belongs to one loop. One further goroutine calls the leader, one call at a time.
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
	"stairvane.org/stairvane/internal/transport"
)

const (
	directorLease = 400 * time.Millisecond // as directors count it, see internal/director
	clockDrift    = 0.02
	leaseInterval = 10 * time.Millisecond // between two looks at the lease
	lingerTime    = 100 * time.Millisecond
)

// Server is one relay.
type Server struct {
	set      operatorconfig.Relay
	loop     *transport.Loop
	watches  *watch.Server
	session  *relaysession.Session
	upstream *upstream
	events   *eventLog
	lease    replica.Holder
	leased   bool // as it was logged last
	look     transport.Timer
	linger   transport.Timer
	ended    chan struct{} // closed when the loop has ended
	leaving  sync.Once
	failure  error // why the loop was stopped
}

// New reads the keys and listens. Nothing runs yet.
func New(set operatorconfig.Relay) (*Server, error) {
	r := &Server{set: set, ended: make(chan struct{})}
	var err error
	if r.upstream, err = newUpstream(set); err != nil {
		return nil, err
	}
	if r.loop, err = transport.NewLoop(); err != nil {
		return nil, err
	}
	if r.events, err = newEventLog(set.KeepEvents); err == nil {
		r.watches, err = watch.New(r.loop, watch.Settings{
			Listen:      set.Listen,
			Allowed:     set.Watchers,
			MaxWatchers: set.MaxWatchers,
			Gather:      set.Gather,
		}, owner{r}, r.events.log, r.events.fleet.Rules().NotifiedWithinMS)
	}
	if err != nil {
		r.loop.Release()
		return nil, err
	}
	r.session = newSession(set)
	r.look.Fire = r.checkLease
	return r, nil
}

// newSession makes the session of a process that has just begun.
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
		DirectorLease: directorLease,
		Drift:         clockDrift,
	}, newQuota(identity.ID()))
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Addr is where directors watch.
func (r *Server) Addr() (netip.AddrPort, error) { return r.watches.Addr() }

// Run serves until Leave has closed all watchers, or Stop.
func (r *Server) Run() error {
	addr, err := r.Addr()
	if err != nil {
		return err
	}
	r.watches.CheckLease()
	r.checkLease()
	called := make(chan struct{})
	go func() {
		defer close(called)
		r.renew()
	}()
	slog.Info("relay.serves", "watch", addr.String(), "name", r.set.Name, "region", r.set.Region)
	err = r.loop.Run()
	close(r.ended)
	<-called
	slog.Info("relay.left", "name", r.set.Name, "revision", r.events.fleet.Revision)
	return errors.Join(err, r.failure)
}

// Leave takes no new watchers, closes those that there are over the file's leave-over, and ends Run.
func (r *Server) Leave() {
	r.leaving.Do(func() { r.loop.Post(r.drain) })
}

// drain closes all watchers, gives what the last directors said the time to reach the leader, and stops the loop.
func (r *Server) drain() {
	slog.Info("relay.leaves", "name", r.set.Name, "directors", r.session.DirectorCount())
	r.linger.Fire = r.loop.Stop
	r.watches.Drain(r.set.DrainTime, func() { r.loop.Set(&r.linger, r.loop.Now()+lingerTime) })
}

// Stop ends Run at once.
func (r *Server) Stop() { r.loop.Post(r.loop.Stop) }

// hasLease tells whether the relay may answer directors at this moment.
func (r *Server) hasLease() bool { return r.lease.Holds(replicas.Now()) }

// checkLease logs when the lease is lost and when it is back.
func (r *Server) checkLease() {
	if leased := r.hasLease(); leased != r.leased {
		r.leased = leased
		if leased {
			slog.Info("relay.back", "name", r.set.Name, "revision", r.events.fleet.Revision)
		} else {
			slog.Warn("relay.lease_lost", "name", r.set.Name, "revision", r.events.fleet.Revision, "directors", r.session.DirectorCount())
		}
	}
	r.loop.Set(&r.look, r.loop.Now()+leaseInterval)
}

// request is what is to be said to the leader now.
func (r *Server) request() relaysession.Request {
	return r.session.Request(r.events.fleet.Revision, r.watches.Acknowledged(), replicas.Now())
}

// take takes the answer to a request in that was made at a moment. It tells whether the next request is to be made at once.
func (r *Server) take(a relaysession.Answer, asked time.Duration) (again bool) {
	if err := r.takeEvents(a); err != nil {
		r.startOver(err)
		return false
	}
	now := replicas.Now()
	if r.session.TakeAnswer(a, now) {
		defer r.watches.PublishHealth()
	}
	if a.LeaseMS > 0 {
		length := min(relaysession.Lease, time.Duration(a.LeaseMS)*time.Millisecond)
		r.lease.Got(replica.Lease{Length: length, Drift: clockDrift}, asked)
	}
	return a.LeaseMS == 0 || a.NeedFull || r.session.Pending()
}

// takeEvents goes on with the events of an answer, or with its snapshot.
func (r *Server) takeEvents(a relaysession.Answer) error {
	if a.Snapshot != nil {
		if err := r.events.replace(*a.Snapshot); err != nil {
			return err
		}
		slog.Info("relay.snapshot", "name", r.set.Name, "revision", r.events.fleet.Revision)
		r.watches.Replace(r.events.log, r.events.fleet)
		return nil
	}
	fresh, err := r.events.follow(a.Events)
	if err != nil || len(fresh) == 0 {
		return err
	}
	r.watches.Publish(fresh, r.events.fleet)
	return nil
}

// startOver drops the event log, which the leader's events do not go on from, and the lease, so that nobody is answered from it.
// The next request asks for all events.
func (r *Server) startOver(why error) {
	slog.Error("relay.log_broken", "name", r.set.Name, "err", why, "revision", r.events.fleet.Revision)
	r.lease.End()
	empty, err := newEventLog(r.set.KeepEvents)
	if err != nil {
		r.failed(err)
		return
	}
	r.events = empty
	r.watches.Replace(empty.log, empty.fleet)
}

// failed ends the relay: what it would answer can't be trusted. It is started again with nothing.
func (r *Server) failed(err error) {
	r.failure = errors.Join(r.failure, fmt.Errorf("relay %s: %w", r.set.Name, err))
	r.lease.End()
	r.loop.Stop()
}
