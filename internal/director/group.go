package director

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/director/config"
	"stairvane.org/stairvane/internal/director/cores/budget"
	"stairvane.org/stairvane/internal/director/cores/events"
	"stairvane.org/stairvane/internal/director/cores/owners"
	"stairvane.org/stairvane/internal/director/cores/stalls"
	"stairvane.org/stairvane/internal/director/routing"
)

const (
	maxCores           = 256
	stallCheckInterval = 100 * time.Millisecond
	// stallTimeout is the time without a heartbeat after which a core counts as stalled.
	stallTimeout = time.Second
	// peakRateDecayDeadlines is the time in which the peak served rate decays to 1/e, as a multiple of the longest deadline. The
	// decision module uses the same value.
	peakRateDecayDeadlines = 4
	// seedStep is 2^64 divided by the golden ratio. It distributes the seeds of the cores over all 64 bits.
	seedStep   = 0x9e3779b97f4a7c15
	stackBytes = 64 << 10 // limit of the stacks of all goroutines that are logged with a stalled core
)

// Group is a director that runs on one or more cores. Work is divided by connection: each core accepts clients, makes its own
// decisions, and has its own connections to caches. The cores share the event stream, which one of them watches, the request
// IDs in flight, the slow start budget and their health status. Limits are divided among them.
type Group struct {
	cores           []*core
	events          *events.Log[publishedEvents]
	owners          *owners.Table
	watchOwner      *watchOwner
	clients         atomic.Int64 // connections of clients on all cores
	slowStartBudget *budget.Ledger
	healthy         atomic.Bool
}

// NewGroup returns a director that runs on the given number of cores. With one core it is equivalent to New.
func NewGroup(c config.Config, cores int) (*Group, error) {
	if cores < 1 || cores > maxCores {
		return nil, fmt.Errorf("cores: %d is out of the range from 1 to %d", cores, maxCores)
	}
	maxDeadline := time.Duration(0)
	for _, class := range c.Settings.Classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	g := &Group{
		events:          events.New[publishedEvents](),
		owners:          owners.New(),
		watchOwner:      newWatchOwner(cores),
		slowStartBudget: budget.New(cores, peakRateDecayDeadlines*maxDeadline),
	}
	g.healthy.Store(true)
	if cores == 1 {
		p, err := New(c)
		g.cores = []*core{{group: g, prog: p}}
		return g, err
	}
	if err := g.addCores(c, cores); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Group) addCores(c config.Config, cores int) error {
	c.Settings.Directors = orDefault("settings.Balancers", c.Settings.Directors, defaultDirectors)
	share := divideLimits(c, cores)
	for i := range cores {
		g.cores = append(g.cores, &core{group: g, index: i})
		if i != g.watchOwner.current() { // the one that publishes reads nothing, and its cursor would keep all events alive
			g.cores[i].cursor = g.events.NewCursor()
		}
	}
	g.events.Seal()
	for _, owner := range g.cores {
		share.Seed = c.Seed + uint64(owner.index)*seedStep
		p, err := newProgram(share, owner)
		if err != nil {
			for _, other := range g.cores[:owner.index] {
				other.prog.loop.Release()
			}
			return err
		}
		owner.prog = p
		// If the configured port is 0, the other cores listen on the port chosen for the first one.
		if share.Listen, err = p.Addr(); err != nil {
			return err
		}
	}
	return nil
}

// divideLimits returns the configuration of one core, with its share of the limits. Each core counts as a director where
// directors divide a common limit.
func divideLimits(c config.Config, cores int) config.Config {
	c.MemoryMB /= cores
	c.Sockets /= cores
	if c.Settings.MaxOpen > 0 {
		c.Settings.MaxOpen = max(1, c.Settings.MaxOpen/cores)
	}
	c.Settings.Directors = max(1, c.Settings.Directors) * cores
	c.Settings.DirectorsByZone = slices.Clone(c.Settings.DirectorsByZone)
	for i := range c.Settings.DirectorsByZone {
		c.Settings.DirectorsByZone[i] *= cores
	}
	return c
}

// Run serves until all cores have shut down. If a core panics or fails, the others shut down gracefully, and the panic or error is
// returned.
func (g *Group) Run() error {
	if len(g.cores) == 1 {
		return g.cores[0].prog.Run()
	}
	errs := make([]error, len(g.cores))
	stop := make(chan struct{})
	go g.checkStalls(stop)
	var wg sync.WaitGroup
	for i, c := range g.cores {
		wg.Go(func() { errs[i] = g.runCore(c) })
	}
	wg.Wait()
	close(stop)
	return errors.Join(errs...)
}

func (g *Group) runCore(c *core) (err error) {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("core.panicked", "core", c.index, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
			err = fmt.Errorf("core %d: %v", c.index, r)
		}
		g.coreEnded(c, err)
	}()
	return c.prog.Run()
}

// coreEnded hands the watch of the event stream on if the core that ended had it, and shuts the others down if the core failed.
func (g *Group) coreEnded(c *core, err error) {
	if successor, ok := g.watchOwner.end(c.index); ok {
		go g.cores[successor].prog.takeOverWatch()
	}
	if err != nil {
		g.healthy.Store(false)
		g.Shutdown()
	}
}

// checkStalls marks the process as unhealthy, which clients see in heartbeats, while a core is stalled. It returns when stop
// is closed.
func (g *Group) checkStalls(stop <-chan struct{}) {
	detector := stalls.New(len(g.cores), stallTimeout)
	start := time.Now()
	heartbeats := make([]int64, len(g.cores))
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i, c := range g.cores {
			if !g.watchOwner.isRunning(i) {
				c.heartbeats.Add(1) // a core that has ended is not stalled
			}
			heartbeats[i] = c.heartbeats.Load()
		}
		stalled, recovered := detector.Check(heartbeats, time.Since(start))
		for _, i := range stalled {
			stacks := make([]byte, stackBytes)
			slog.Error("core.stalled", "core", i, "stacks", string(stacks[:runtime.Stack(stacks, true)]))
		}
		for _, i := range recovered {
			slog.Info("core.recovered", "core", i)
		}
		if len(stalled)+len(recovered) > 0 {
			g.healthy.Store(detector.Healthy())
		}
	}
}

// onAllCores schedules f on the loop of every core without waiting for any of them.
func (g *Group) onAllCores(f func(*Program)) {
	for _, c := range g.cores {
		go c.prog.Post(func() { f(c.prog) })
	}
}

// Addr returns the address on which the director listens for clients.
func (g *Group) Addr() (netip.AddrPort, error) { return g.cores[0].prog.Addr() }

// Shutdown starts the graceful shutdown on all cores.
func (g *Group) Shutdown() { g.onAllCores((*Program).Shutdown) }

// Reload applies a reloaded configuration. The core that watches the event stream logs what changes; the others take the address
// of the event stream, in case that one of them takes over.
func (g *Group) Reload(c config.Config) {
	c = divideLimits(c, len(g.cores))
	owner := g.watchOwner.current()
	address := c.Discovery
	c.Listen = g.cores[owner].prog.config.Listen
	for i, core := range g.cores {
		p := core.prog
		if i == owner {
			go p.Post(func() { p.Reload(c) })
			continue
		}
		go p.Post(func() { p.watch.switchAddress(address) })
	}
}

// LogCounters logs the sum of the counters of all cores.
func (g *Group) LogCounters() {
	if len(g.cores) == 1 {
		g.cores[0].prog.Post(g.cores[0].prog.LogCounters)
		return
	}
	var mu sync.Mutex
	var frontend FrontendCounters
	var director routing.Counters
	missing := len(g.cores)
	g.onAllCores(func(p *Program) {
		mu.Lock()
		defer mu.Unlock()
		addCounters(&frontend, p.frontend.Counters)
		addCounters(&director, p.director.Counters)
		missing--
		if missing == 0 {
			slog.Info("counts", "front", frontend, "director", director, "cores", len(g.cores), "ids_open", g.owners.Len())
		}
	})
}

// addCounters adds a struct of counters, whose fields must all be int64, to a sum.
func addCounters[T any](sum *T, counters T) {
	to := reflect.ValueOf(sum).Elem()
	from := reflect.ValueOf(counters)
	for i := range to.NumField() {
		to.Field(i).SetInt(to.Field(i).Int() + from.Field(i).Int())
	}
}
