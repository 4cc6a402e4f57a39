package director

import (
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/transport"
)

// Program is a director on one core.
type Program struct {
	loop       *transport.Loop
	director   *routing.Director
	frontend   *frontend
	watch      *watchClient
	config     config.Config     // of the start
	core       *core             // nil: the process has one core
	membership *membershipClient // nil: the director does not announce itself

	shutdownTimer    transport.Timer
	idleSince        time.Duration // since when no request is in flight during the shutdown; 0: some are
	announceDeadline time.Duration // by which the control plane must know that the director leaves
}

// New builds a director. It listens when New returns and serves in Run.
func New(c config.Config) (*Program, error) { return newProgram(c, nil) }

func newProgram(c config.Config, own *core) (*Program, error) {
	loop, err := transport.NewLoop()
	if err != nil {
		return nil, err
	}
	limits := newProgramLimits(c)
	p := &Program{loop: loop, config: c, core: own}
	p.shutdownTimer.Fire = p.shutdownStep
	var hooks routing.Hooks
	if own != nil {
		own.setHooks(p, &hooks)
	}
	if c.Membership != nil {
		if p.membership, err = newMembershipClient(p, c); err != nil {
			return nil, err
		}
		p.membership.setHooks(&hooks)
	}
	settings := c.Settings
	settings.Directors = limits.directors
	dialer := &cacheDialer{loop: loop, loadNames: loadNamesOf(c.Connections.Reports)}
	p.director = routing.New(loop, settings, c.Seed, limits.routing, dialer)
	p.director.SetHooks(hooks)
	p.director.Start()
	p.initWatch(limits.directors)
	if err := p.initFrontend(limits, hooks.IsStale); err != nil {
		return nil, err
	}
	if own == nil || own.index == 0 {
		p.watch.connect()
	}
	if own != nil {
		own.start(p)
	}
	return p, nil
}

// initWatch makes the watch of the event stream and applies the events of the start.
func (p *Program) initWatch(directors int) {
	if p.core != nil { // the event stream is watched once for all cores
		directors /= len(p.core.group.cores)
	}
	addresses := append([]netip.AddrPort{p.config.Discovery}, p.config.ControlPlanes...)
	p.watch = newWatchClient(p.loop, p.director, addresses, directors, p.config.Seed)
	if p.core != nil {
		p.watch.publish = p.core.publish
	}
	p.watch.membership = p.membership
	p.watch.apply(p.config.InitialEvents)
}

func (p *Program) initFrontend(limits programLimits, isStale func() bool) error {
	frontend, err := newFrontend(p.loop, p.director, p.config.Listen, limits, p.config.MemoryMB<<20)
	if err != nil {
		return err
	}
	p.frontend = frontend
	if isStale != nil {
		frontend.isHealthy = func() bool { return !isStale() }
	}
	return nil
}

// Addr is the address where clients connect.
func (p *Program) Addr() (netip.AddrPort, error) { return p.frontend.listener.Addr() }

// Run serves until the shutdown is complete.
func (p *Program) Run() error {
	addr, err := p.Addr()
	if err != nil {
		return err
	}
	slog.Info("director.started", "name", p.config.Name, "addr", addr.String())
	err = p.loop.Run()
	p.PrintCounts()
	return err
}

// Post runs f on the loop. It may be called from any goroutine.
func (p *Program) Post(f func()) { p.loop.Post(f) }

// Reload applies a configuration that was read again. Only the address of the event stream can change while the process
// runs. Other differences are logged and wait for the next start.
func (p *Program) Reload(c config.Config) {
	for _, key := range p.config.Differs(c) {
		slog.Warn("reload.restart_required", "key", key)
	}
	p.watch.moveTo(c.Discovery)
	slog.Info("reload.applied")
}

// PrintCounts logs the counters.
func (p *Program) PrintCounts() {
	slog.Info("counts", "front", p.frontend.Counters, "director", p.director.Counters, "bulletin_unreadable", p.watch.malformedEvents)
}
