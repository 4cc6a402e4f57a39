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
	requestTimeout     = 10 * time.Second      // for receiving a complete request, and for the next request to start
	rejectionTimeout   = 2 * time.Second       // for a rejected client to read the response
	maxQueuedBytes     = 16 << 20              // unread bytes that may be queued for a watcher
	leaseCheckInterval = 10 * time.Millisecond // between two checks of the owner's lease
)

// Settings are the settings of a Server.
type Settings struct {
	Listen      netip.AddrPort
	Allowed     *bart.Lite // addresses that may watch; nil: loopback only
	MaxWatchers int        // maximum number of concurrent connections
	// BatchTime is the minimum time between two answers with new data to one watcher, so that a burst of events costs the watcher only
	// a few requests. An event after a quiet period is answered immediately. 0: every event is answered immediately.
	BatchTime time.Duration
}

// Server serves watches. Each watcher has its own connection.
type Server struct {
	settings      Settings
	loop          *transport.Loop
	owner         Owner
	log           *eventlog.Log
	listener      *transport.Listener
	watchers      map[*watcher]struct{} // admitted watchers
	lastWatcherID int64
	headBuffer    []byte
	leaseTimer    transport.Timer

	mu           sync.Mutex // guards the fields below, which other goroutines read as well
	tracker      *acknowledged.Tracker
	lastRevision int64 // last revision of the log
}

// New creates a server and starts listening on a loop that is not running yet. Events that a watcher lacked when it disconnected
// count as acknowledged after notifiedWithinMS milliseconds.
func New(loop *transport.Loop, settings Settings, owner Owner, log *eventlog.Log, notifiedWithinMS int64) (*Server, error) {
	s := &Server{
		settings:     settings,
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
	s.listener, err = loop.Listen(settings.Listen, newHandler, accept)
	return s, err
}

// Addr returns the address that directors connect to.
func (s *Server) Addr() (netip.AddrPort, error) { return s.listener.Addr() }

// accept admits a connection, or arranges for its first request to be rejected.
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

// admit decides whether a client may watch now. It returns http.StatusOK or the status of the rejection.
func (s *Server) admit(peer netip.Addr) (status int) {
	switch {
	case !s.owner.MayServe():
		return http.StatusServiceUnavailable
	case !s.allows(peer):
		slog.Warn("watcher.forbidden", "addr", peer.String())
		return http.StatusForbidden
	case len(s.watchers) >= s.settings.MaxWatchers:
		slog.Warn("watcher.rejected", "watchers", len(s.watchers))
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// allows reports whether the access list permits an address to watch.
func (s *Server) allows(peer netip.Addr) bool {
	if s.settings.Allowed == nil {
		return peer.IsLoopback()
	}
	return s.settings.Allowed.Contains(peer)
}

// Publish appends durable events to the log and answers the waiting watchers. after is the fleet state after these events.
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

// PublishHealth answers the waiting watchers that send health reports.
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

// Replace replaces the log. The new log must have all events of the current one, or a snapshot that includes them. after is the
// fleet state at the end of the new log.
func (s *Server) Replace(log *eventlog.Log, after fleet.Fleet) {
	s.log = log
	s.Publish(nil, after)
}

// Acknowledged returns the revision up to which the directors that watch this process have all events. It may be called from any
// goroutine.
func (s *Server) Acknowledged() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.AcknowledgedUpTo(s.lastRevision, s.owner.ClockMS())
}

// Count returns the number of directors that watch. It may be called from any goroutine.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Len()
}
