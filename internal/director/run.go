package director

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/transport"
)

const (
	// After SIGTERM new connections keep coming for up to 0.4 s and requests on open ones for 0.2 s more; what comes
	// later than 0.7 s is lost if it is not answered.
	stillTaking = 700 * time.Millisecond
	lastBytes   = 500 * time.Millisecond // for clients to read their last answers and close
	leavePoll   = 5 * time.Millisecond
	// A link that hangs is given up after both together, sooner than most answers are overdue.
	keepaliveAfter   = 50 * time.Millisecond
	keepaliveTimeout = 100 * time.Millisecond // far more than a working cache takes
	settle           = 5 * time.Millisecond   // more than a working cache takes to notice a close
	silentAfter      = time.Second            // longer than a transfer usually takes; being wrong costs one more connection

	defaultStreams = 32
	defaultIdle    = 15 * time.Second
	defaultDial    = 400 * time.Millisecond
	sayWithin      = 300 * time.Millisecond // for the board to hear that a director leaves

	spareSockets = 32 // for the listener, the loop, the bulletin, logs, and what a round has closed and not yet given back
	mostLinks    = 16 // to one host
	likelyHosts  = 24
)

// Program is one director process.
type Program struct {
	loop       *transport.Loop
	director   *routing.Director
	front      *front
	watch      *watchClient
	config     config.Config // of the start
	leave      transport.Timer
	emptyAt    time.Duration
	leftBy     time.Duration
	core       *core             // nil where it is the only one
	membership *membershipClient // nil: it is on no roll
}

// New builds a director: it listens when New returns and serves in Run.
func New(c config.Config) (*Program, error) { return newProgram(c, nil) }

func newProgram(c config.Config, own *core) (*Program, error) {
	loop, err := transport.NewLoop()
	if err != nil {
		return nil, err
	}
	s := c.Settings
	limits := routing.Limits{
		MaxRequests: s.MaxOpen, StreamsPerConn: c.Pools.Streams, SilentTimeout: silentAfter, DialTimeout: s.DialTimeout,
		KeepaliveAfter: keepaliveAfter, KeepaliveTimeout: keepaliveTimeout, CloseDelay: settle, MaxAttempts: s.MaxAttempts,
		DrainGrace: s.DrainGrace, PurgeGrace: s.PurgeGrace, PurgeTimeout: s.PurgeDone, HedgedRequests: s.HedgedRequests,
	}
	for _, class := range s.Classes {
		limits.MaxDeadline = max(limits.MaxDeadline, class.Deadline)
	}
	s.Directors = orDefault("settings.Balancers", s.Directors, 1)
	limits.StreamsPerConn = orDefault("settings.Limits.Multiplex", limits.StreamsPerConn, defaultStreams)
	limits.DialTimeout = orDefault("settings.Limits.DialTimeout", limits.DialTimeout, defaultDial)
	idle := orDefault("settings.Limits.ConnIdle", c.Pools.ConnIdle, defaultIdle)
	// The other end closes after the same time: an order sent into that close would be lost, so links go before.
	limits.IdleTimeout = idle * 4 / 5
	clients := c.Sockets/3 + c.Sockets/20
	limits.MaxConns = max(likelyHosts, c.Sockets-clients-clients/lingerShare-spareSockets)
	limits.ConnsPerHost = min(mostLinks, max(1, (c.Sockets-clients-spareSockets)/likelyHosts))

	p := &Program{loop: loop, config: c, core: own}
	var hooks routing.Hooks
	if own != nil {
		own.join(p, &hooks)
	}
	if c.Membership != nil {
		if p.membership, err = newMembershipClient(p, c); err != nil {
			return nil, err
		}
		hooks.QuotaExpired = p.membership.shareExpired
		if c.Membership.MaxStaleness > 0 {
			hooks.IsStale = p.membership.stale
		}
		if p.membership.claims != nil {
			hooks.Claims = p.membership.claims
		}
	}
	links := &caches{loop: loop, report: reportMap(c.Pools.Reports)}
	d := routing.New(loop, s, c.Seed, limits, links)
	p.director = d
	d.SetHooks(hooks)
	d.Start()
	crowd := s.Directors
	if own != nil { // the bulletin is followed once for all cores
		crowd /= len(own.group.cores)
	}
	p.watch = newWatchClient(loop, d, append([]netip.AddrPort{c.Discovery}, c.ControlPlanes...), crowd, c.Seed)
	if own != nil {
		p.watch.publish = own.publish
	}
	p.watch.membership = p.membership
	p.watch.apply(c.Known)
	if p.front, err = newFront(loop, d, c.Listen, clients, idle, c.MemoryMB<<20); err != nil {
		return nil, err
	}
	p.front.stuck = max(stuckAfter, limits.MaxDeadline)
	if hooks.IsStale != nil {
		p.front.well = func() bool { return !p.membership.stale() }
	}
	if own == nil || own.index == 0 {
		p.watch.connect()
	}
	if own != nil {
		own.start(p)
	}
	p.leave.Fire = p.leaveIfDone
	return p, nil
}

// orDefault gives what stands in for a setting that is left out, 0 or less, and logs it.
func orDefault[T int | time.Duration](key string, value, standIn T) T {
	if value > 0 {
		return value
	}
	slog.Warn("settings.default", "key", key, "taken", fmt.Sprint(standIn))
	return standIn
}

// Addr is where clients connect.
func (p *Program) Addr() (netip.AddrPort, error) { return p.front.listener.Addr() }

// Run serves until the program has left.
func (p *Program) Run() error {
	addr, err := p.Addr()
	if err != nil {
		return err
	}
	slog.Info("director.serves", "name", p.config.Name, "addr", addr.String())
	err = p.loop.Run()
	p.PrintCounts()
	return err
}

// Post runs f on the loop; it may be called from any goroutine.
func (p *Program) Post(f func()) { p.loop.Post(f) }

// Reload follows a configuration read anew. Only the bulletin's address can change while the process lives; what else
// differs waits for the next start and is named in the log.
func (p *Program) Reload(c config.Config) {
	for _, key := range p.config.Differs(c) {
		slog.Warn("reload.key_waits", "key", key)
	}
	p.watch.moveTo(c.Discovery)
	slog.Info("reload.done")
}

// Leave begins the way out: it goes on taking what still comes, answers all, then ends Run.
func (p *Program) Leave() {
	if p.front.leaving {
		return
	}
	slog.Info("director.leaving", "open", p.director.InFlight())
	p.front.leaving = true
	p.loop.Set(&p.leave, p.loop.Now()+stillTaking)
}

func (p *Program) leaveIfDone() {
	now := p.loop.Now()
	if !p.front.shut {
		p.front.finish()
	}
	if p.director.InFlight() > 0 {
		p.emptyAt = 0
	} else if p.emptyAt == 0 {
		p.emptyAt = now
	}
	if p.emptyAt > 0 && (len(p.front.clients) == 0 || now-p.emptyAt >= lastBytes && p.front.flushed()) {
		if !p.sayLeaving(now) {
			p.loop.Set(&p.leave, now+leavePoll)
			return
		}
		slog.Info("director.left")
		p.loop.Stop()
		return
	}
	p.loop.Set(&p.leave, now+leavePoll)
}

// sayLeaving tells the board that this director holds nothing any more, and whether that was said, or need not be.
func (p *Program) sayLeaving(now time.Duration) bool {
	if p.membership == nil {
		return true
	}
	if !p.membership.leaving {
		p.membership.leave()
		p.watch.announceNow()
		p.leftBy = now + sayWithin
	}
	return p.watch.leaveAcknowledged || now >= p.leftBy
}

func (f *front) flushed() bool {
	for c := range f.clients {
		if c.conn.Queued() > 0 {
			return false
		}
	}
	return true
}

// PrintCounts logs what was taken in, sent and answered.
func (p *Program) PrintCounts() {
	slog.Info("counts", "front", p.front.Counts, "director", p.director.Counters, "bulletin_unreadable", p.watch.unreadable)
}
