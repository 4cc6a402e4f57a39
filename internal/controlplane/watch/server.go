// Package watch is the server of the watch protocol: it answers directors' long polls with what is new in the event log, and
// keeps account of what they have acknowledged. A replica of the control plane and a relay both serve watches with it. It has
// no goroutine of its own: all but the methods that say otherwise run on the loop that it was made with.
package watch

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/gaissmai/bart"

	"stairvane.org/stairvane/internal/controlplane/acknowledged"
	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/transport"
)

const (
	callTimeout    = 10 * time.Second      // for a call to come whole, and for one to come at all
	refusalTimeout = 2 * time.Second       // for a refused caller to read why
	maxQueued      = 16 << 20              // bytes that a watcher may leave untaken
	leaseInterval  = 10 * time.Millisecond // between two looks at the lease
)

// Owner is the process that serves watches. Its methods are called on the loop, apart from those that say otherwise.
type Owner interface {
	// HasLease tells whether the process may have watchers at this moment.
	HasLease() bool
	// Request takes in what a director says of itself with a call, and the revision up to which it has all events. False means
	// that the process has no room for the director, which is then refused.
	Request(announcement discovery.Announcement, acknowledged int64) bool
	// Granted is the grant for a director, once; nil if there is none.
	Granted(directorID string) *quota.Grant
	// Health are those on caches that a director is to be sent now; nil if nothing is new to it.
	Health(directorID string) *health.AggregatedHealth
	// AcknowledgedChanged tells that Acknowledged may have risen. It must not block.
	AcknowledgedChanged()
	// ClockMS is the time in milliseconds since the Unix epoch; called from any goroutine.
	ClockMS() int64
	// Failed tells of a fault of the program after which no watch can be served.
	Failed(err error)
}

// Settings of a server.
type Settings struct {
	Listen      netip.AddrPort
	Allowed     *bart.Lite // addresses that may watch; nil: loopback alone
	MaxWatchers int        // connections at one time
	// Gather is for how long after an answer with something new a watcher gets no further one, so that many events in a row
	// cost it few calls. An event after a quiet time is answered at once. 0: every event is.
	Gather time.Duration
}

// Server serves watches: one connection, one long poll, and no goroutine for any of them.
type Server struct {
	set      Settings
	loop     *transport.Loop
	owner    Owner
	log      *eventlog.Log
	listener *transport.Listener
	watchers map[*watcher]struct{}
	ids      int64
	head     []byte
	lease    transport.Timer

	mu      sync.Mutex // tracker and last are read by other goroutines too
	tracker *acknowledged.Tracker
	last    int64
}

// New listens on a loop that does not run yet. within is in milliseconds: what a watcher that left then lacks counts as
// acknowledged after it.
func New(loop *transport.Loop, set Settings, owner Owner, log *eventlog.Log, within int64) (s *Server, err error) {
	s = &Server{set: set, loop: loop, owner: owner, log: log, watchers: map[*watcher]struct{}{}, last: log.Last(), tracker: acknowledged.New(within)}
	s.listener, err = loop.Listen(set.Listen, func() transport.Handler { return &watcher{server: s} },
		func(c *transport.Conn, h transport.Handler) { s.admit(c, h.(*watcher)) })
	s.lease.Fire = s.CheckLease
	return s, err
}

// Addr is where directors call.
func (s *Server) Addr() (netip.AddrPort, error) { return s.listener.Addr() }

// allowed tells whether an address may watch.
func (s *Server) allowed(a netip.Addr) bool {
	if s.set.Allowed == nil {
		return a.IsLoopback()
	}
	return s.set.Allowed.Contains(a)
}

func (s *Server) admit(conn *transport.Conn, c *watcher) {
	c.conn, c.peer = conn, conn.Peer().Addr().Unmap()
	status := 0
	switch {
	case !s.owner.HasLease():
		status = 503
	case !s.allowed(c.peer):
		status = 403
		slog.Warn("follower.not_allowed", "addr", c.peer.String())
	case len(s.watchers) >= s.set.MaxWatchers:
		status = 503
		slog.Warn("follower.turned_away", "followers", len(s.watchers))
	}
	if status != 0 {
		c.refuseCall(status)
		return
	}
	s.ids++
	c.id = s.ids
	s.watchers[c] = struct{}{}
	s.mu.Lock()
	s.tracker.Join(c.id, c.peer)
	s.mu.Unlock()
	c.timer.Fire = c.due
	s.loop.Set(&c.timer, s.loop.Now()+callTimeout)
}

// Publish takes in durable events and answers those who wait.
func (s *Server) Publish(events []fleet.Event, after fleet.Fleet) {
	if err := s.log.Add(events, after); err != nil { // a fault of the program: what was sent can't be trusted to go on
		s.owner.Failed(err)
		return
	}
	s.mu.Lock()
	s.last = s.log.Last()
	s.tracker.Within(after.Rules().NotifiedWithinMS)
	s.mu.Unlock()
	for c := range s.watchers {
		if c.waiting {
			c.offer()
		}
	}
	s.owner.AcknowledgedChanged()
}

// PublishHealth answers those who wait and share in what is seen of caches.
func (s *Server) PublishHealth() {
	for c := range s.watchers {
		if c.waiting && c.call.Announcement != nil && len(c.call.Announcement.HealthReport) > 0 {
			c.offer()
		}
	}
}

// CheckLease closes all watchers once the owner's lease is over, so that they go where the log goes on, and looks again soon.
func (s *Server) CheckLease() {
	if !s.owner.HasLease() && len(s.watchers) > 0 {
		slog.Warn("followers.let_go", "followers", len(s.watchers), "after", s.log.Last())
		for c := range s.watchers {
			c.close()
		}
	}
	s.loop.Set(&s.lease, s.loop.Now()+leaseInterval)
}

// Replace goes on with another log, which has all of this one or what took its place.
func (s *Server) Replace(log *eventlog.Log, after fleet.Fleet) {
	s.log = log
	s.Publish(nil, after)
}

// Acknowledged is the revision up to which the directors that watch here have all events. It may be called from any goroutine.
func (s *Server) Acknowledged() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Told(s.last, s.owner.ClockMS())
}

// Count is how many watch. It may be called from any goroutine.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Len()
}
