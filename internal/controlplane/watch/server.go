package watch

import (
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/acknowledged"
	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/transport"
)

const (
	requestTimeout     = 10 * time.Second      // for a request to arrive completely, and for the next one to come
	rejectionTimeout   = 2 * time.Second       // for a rejected caller to read the answer
	maxQueuedBytes     = 16 << 20              // that a watcher may leave unread
	leaseCheckInterval = 10 * time.Millisecond // between two checks of the owner's lease
)

// Settings of a server.
type Settings struct {
	Listen      netip.AddrPort
	Allowed     *bart.Lite // addresses that may watch; nil: only loopback
	MaxWatchers int        // connections at one time
	// Gather is for how long after an answer with something new a watcher gets no further one, so that many events in a row cost it
	// few requests. An event after a quiet time is answered at once. 0: every event is.
	Gather time.Duration
}

// Server serves watches, each over one connection.
type Server struct {
	set           Settings
	loop          *transport.Loop
	owner         Owner
	log           *eventlog.Log
	listener      *transport.Listener
	watchers      map[*watcher]struct{} // those that are admitted
	lastWatcherID int64
	headBuffer    []byte
	leaseTimer    transport.Timer

	mu           sync.Mutex // guards what other goroutines read, too
	tracker      *acknowledged.Tracker
	lastRevision int64 // of the log
}

// New listens on a loop that does not run yet. notifiedWithinMS is in milliseconds: events that a watcher lacked when it left count as
// acknowledged after that time.
func New(loop *transport.Loop, set Settings, owner Owner, log *eventlog.Log, notifiedWithinMS int64) (*Server, error) {
	s := &Server{
		set:          set,
		loop:         loop,
		owner:        owner,
		log:          log,
		watchers:     map[*watcher]struct{}{},
		tracker:      acknowledged.New(notifiedWithinMS),
		lastRevision: log.Last(),
	}
	s.leaseTimer.Fire = s.CheckLease
	newHandler := func() transport.Handler { return &watcher{server: s} }
	accept := func(c *transport.Conn, h transport.Handler) { s.accept(c, h.(*watcher)) }
	var err error
	s.listener, err = loop.Listen(set.Listen, newHandler, accept)
	return s, err
}

// Addr is where directors connect.
func (s *Server) Addr() (netip.AddrPort, error) { return s.listener.Addr() }

// accept admits a connection, or has its first request answered with an error.
func (s *Server) accept(conn *transport.Conn, w *watcher) {
	w.conn = conn
	w.peer = conn.Peer().Addr().Unmap()
	if status := s.admit(w.peer); status != http.StatusOK {
		w.rejectFirstRequest(status)
		return
	}
	s.lastWatcherID++
	w.id = s.lastWatcherID
	s.watchers[w] = struct{}{}
	s.mu.Lock()
	s.tracker.Join(w.id, w.peer)
	s.mu.Unlock()
	w.timer.Fire = w.timeout
	s.loop.Set(&w.timer, s.loop.Now()+requestTimeout)
}

// admit decides whether an address may watch now: the status is OK, or that of the rejection.
func (s *Server) admit(peer netip.Addr) (status int) {
	switch {
	case !s.owner.MayServe():
		return http.StatusServiceUnavailable
	case !s.allows(peer):
		slog.Warn("watcher.forbidden", "addr", peer.String())
		return http.StatusForbidden
	case len(s.watchers) >= s.set.MaxWatchers:
		slog.Warn("watcher.rejected", "watchers", len(s.watchers))
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// allows tells whether an address may watch at all.
func (s *Server) allows(peer netip.Addr) bool {
	if s.set.Allowed == nil {
		return peer.IsLoopback()
	}
	return s.set.Allowed.Contains(peer)
}

// Publish appends durable events to the log and answers the watchers that wait. after is the fleet that the events lead to.
func (s *Server) Publish(events []fleet.Event, after fleet.Fleet) {
	if err := s.log.Add(events, after); err != nil {
		s.owner.Failed(err)
		return
	}
	s.mu.Lock()
	s.lastRevision = s.log.Last()
	s.tracker.SetNotifiedWithin(after.Rules().NotifiedWithinMS)
	s.mu.Unlock()
	for w := range s.watchers {
		if w.waiting {
			w.answerWhenDue()
		}
	}
	s.owner.AcknowledgedChanged()
}

// PublishHealth answers the watchers that wait and share in health reports.
func (s *Server) PublishHealth() {
	for w := range s.watchers {
		if w.waiting && w.sharesHealth() {
			w.answerWhenDue()
		}
	}
}

// CheckLease closes all watchers if the owner has no lease, and schedules the next check.
func (s *Server) CheckLease() {
	if !s.owner.MayServe() && len(s.watchers) > 0 {
		slog.Warn("watcher.lease_lost", "watchers", len(s.watchers), "after", s.log.Last())
		for w := range s.watchers {
			w.close()
		}
	}
	s.loop.Set(&s.leaseTimer, s.loop.Now()+leaseCheckInterval)
}

// Replace goes on with another log, which has all events of this one or a snapshot that includes them.
func (s *Server) Replace(log *eventlog.Log, after fleet.Fleet) {
	s.log = log
	s.Publish(nil, after)
}

// Acknowledged is the revision up to which the directors that watch here have all events. It may be called from any goroutine.
func (s *Server) Acknowledged() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.AcknowledgedUpTo(s.lastRevision, s.owner.ClockMS())
}

// Count is how many directors watch. It may be called from any goroutine.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Len()
}
