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
	config     config.Config     // as of the start of the process
	core       *core             // nil: the process has one core
	membership *membershipClient // nil: the director does not announce itself

	shutdownTimer    transport.Timer
	idleSince        time.Duration // during shutdown: the time since which no request is in flight; 0: some are in flight
	announceDeadline time.Duration // time until which the shutdown waits for the control plane to acknowledge the leave
}

// New returns a director that runs on one core. It already listens for clients; Run serves them.
func New(c config.Config) (*Program, error) { return newProgram(c, nil) }

func newProgram(c config.Config, owner *core) (*Program, error) {
	loop, err := transport.NewLoop()
	if err != nil {
		return nil, err
	}
	limits := newProgramLimits(c)
	p := &Program{loop: loop, config: c, core: owner}
	p.shutdownTimer.Fire = p.shutdownStep
	var hooks routing.Hooks
	if owner != nil {
		owner.setHooks(p, &hooks)
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
	if owner == nil || owner.index == 0 {
		p.watch.connect()
	}
	if owner != nil {
		owner.shareState(p)
	}
	return p, nil
}

// initWatch creates the watch of the event stream and applies the initial events of the configuration.
func (p *Program) initWatch(directors int) {
	if p.core != nil { // only one core of a process watches the event stream
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

// coreIndex returns the number of the core on which the program runs, from 0.
func (p *Program) coreIndex() int {
	if p.core == nil {
		return 0
	}
	return p.core.index
}

// Addr returns the address on which the director listens for clients.
func (p *Program) Addr() (netip.AddrPort, error) { return p.frontend.listener.Addr() }

// Run runs the loop until the shutdown is complete, then logs the counters.
func (p *Program) Run() error {
	addr, err := p.Addr()
	if err != nil {
		return err
	}
	slog.Info("director.started", "name", p.config.Name, "addr", addr.String())
	err = p.loop.Run()
	p.LogCounters()
	return err
}

// Post schedules f to run on the loop. It may be called from any goroutine.
func (p *Program) Post(f func()) { p.loop.Post(f) }

// takeOverWatch makes the program watch the event stream in place of a core that has failed. It may be called from any goroutine.
func (p *Program) takeOverWatch() {
	p.Post(func() {
		slog.Warn("watch.taken_over", "core", p.coreIndex(), "after", p.watch.appliedRevision)
		p.watch.connect()
	})
}

// Reload applies a reloaded configuration. Only the address of the event stream can change while the process runs. Other
// differences are logged and take effect at the next start.
func (p *Program) Reload(c config.Config) {
	for _, key := range p.config.RestartRequiredKeys(c) {
		slog.Warn("reload.restart_required", "key", key)
	}
	p.watch.switchAddress(c.Discovery)
	slog.Info("reload.applied")
}

// LogCounters logs the counters.
func (p *Program) LogCounters() {
	slog.Info("counts", "front", p.frontend.Counters, "director", p.director.Counters, "bulletin_unreadable", p.watch.malformedEvents)
}
