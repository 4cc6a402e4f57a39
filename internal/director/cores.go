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
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

const (
	beatEvery    = 50 * time.Millisecond
	lookEvery    = 100 * time.Millisecond
	bestFades    = 4           // longest deadlines, as in the decision module
	stalledAfter = time.Second // a core that has not beaten for so long is stalled: heartbeats turn bad
)

// Group is a director on several cores, divided by connection: each core accepts, decides and keeps its own links, and
// nothing of a request crosses. Shared are the news (followed once), the ids that are open, and what the cores think of
// each other's health. Limits are divided.
type Group struct {
	cores   []*core
	news    *events.Log[told]
	owners  *owners.Table
	cold    *budget.Ledger
	healthy atomic.Bool
}

// told is what the first core was told, and when: the graces of the rules run on every core from there.
type told struct {
	discovery.WatchResponse
	at time.Duration
}

// core is what a program knows of being one of several.
type core struct {
	group  *Group
	index  int
	prog   *Program
	cursor *events.Cursor[told]
	beats  atomic.Int64
	beat   transport.Timer
}

// NewGroup builds a director on some cores. With one core it is the director of New, without anything between.
func NewGroup(c config.Config, cores int) (*Group, error) {
	if cores < 1 || cores > 256 {
		return nil, fmt.Errorf("cores: %d is not from 1 to 256", cores)
	}
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	g := &Group{news: events.New[told](), owners: owners.New(), cold: budget.New(cores, bestFades*longest)}
	g.healthy.Store(true)
	if cores == 1 {
		p, err := New(c)
		g.cores = []*core{{group: g, prog: p}}
		return g, err
	}
	c.Settings.Directors = orDefault("settings.Balancers", c.Settings.Directors, 1)
	part := divide(c, cores)
	for i := range cores {
		g.cores = append(g.cores, &core{group: g, index: i, cursor: g.news.Follow()})
	}
	g.news.Start()
	for _, own := range g.cores {
		part.Seed = c.Seed + uint64(own.index)*0x9e3779b97f4a7c15 // no two cores draw alike
		p, err := newProgram(part, own)
		if err != nil {
			for _, o := range g.cores[:own.index] {
				o.prog.loop.Release()
			}
			return nil, err
		}
		own.prog = p
		if part.Listen, err = p.Addr(); err != nil { // where port 0 was given, the others share the one that was found
			return nil, err
		}
	}
	return g, nil
}

// divide gives a core its part of the limits. What directors divide among themselves, such as the budget of a cold box
// whose size is listed, each core takes its part of as a director of its own.
func divide(c config.Config, cores int) config.Config {
	c.MemoryMB, c.Sockets = c.MemoryMB/cores, c.Sockets/cores
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

// join sets what a core's director asks of the others.
func (c *core) join(p *Program, hooks *routing.Hooks) {
	p.loop.Share()
	hooks.AcquireID = func(id string) bool { return c.group.owners.Claim(id, c.index) }
	hooks.SlowStartShare = c.group.cold.Part
	hooks.ReleaseID = func(id string) { c.group.owners.Release(id, c.index) }
	if c.index > 0 {
		hooks.BeforeSend = func() { c.catchUp(p) }
		p.loop.OnWake = func() { c.catchUp(p) }
	}
}

// start begins the beats.
func (c *core) start(p *Program) {
	p.front.well = c.group.healthy.Load
	c.beat.Fire = func() {
		c.beats.Add(1)
		now, best := p.director.ServedRate()
		c.group.cold.Publish(c.index, now, best, p.loop.Now())
		p.loop.Set(&c.beat, p.loop.Now()+beatEvery)
	}
	p.loop.Set(&c.beat, p.loop.Now())
}

// publish hands what the first core was told to the others, and wakes them. It waits for none: one that is stalled looks
// at the news itself before it writes an attempt.
func (c *core) publish(f discovery.WatchResponse) {
	c.group.news.Publish(told{f, c.prog.loop.Now()})
	for _, o := range c.group.cores {
		if o != c && o.prog != nil {
			o.prog.loop.Poke()
		}
	}
}

// catchUp takes in the news that are there. It costs one load if there are none.
func (c *core) catchUp(p *Program) {
	if !c.cursor.Behind() || p.watch == nil {
		return
	}
	for f, ok := c.cursor.Next(); ok; f, ok = c.cursor.Next() {
		p.director.SetNotifiedAt(f.at)
		p.watch.apply(f.WatchResponse)
		p.director.SetNotifiedAt(0)
	}
}

// Addr is where clients connect.
func (g *Group) Addr() (netip.AddrPort, error) { return g.cores[0].prog.Addr() }

// Run serves until all cores have left. A core that fails has the others answer what they have, and is the error.
func (g *Group) Run() error {
	if len(g.cores) == 1 {
		return g.cores[0].prog.Run()
	}
	errs := make([]error, len(g.cores))
	stop := make(chan struct{})
	go g.watch(stop)
	var wg sync.WaitGroup
	for i, c := range g.cores {
		wg.Go(func() {
			defer func() {
				if r := recover(); r != nil {
					slog.Error("core.panicked", "core", i, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
					errs[i] = fmt.Errorf("core %d: %v", i, r)
					g.healthy.Store(false)
					g.Leave()
				}
			}()
			errs[i] = c.prog.Run()
		})
	}
	wg.Wait()
	close(stop)
	return errors.Join(errs...)
}

// watch looks at the beats. A stalled core turns the heartbeats bad until it is back.
func (g *Group) watch(stop <-chan struct{}) {
	w, begin := stalls.New(len(g.cores), stalledAfter), time.Now()
	beats := make([]int64, len(g.cores))
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for i, c := range g.cores {
			beats[i] = c.beats.Load()
		}
		stalled, back := w.Look(beats, time.Since(begin))
		for _, i := range stalled {
			stacks := make([]byte, 64<<10)
			slog.Error("core.stalled", "core", i, "stacks", string(stacks[:runtime.Stack(stacks, true)]))
		}
		for _, i := range back {
			slog.Info("core.back", "core", i)
		}
		if len(stalled)+len(back) > 0 {
			g.healthy.Store(w.Well())
		}
	}
}

// post runs f on every core, without waiting for any of them.
func (g *Group) post(f func(*Program)) {
	for _, c := range g.cores {
		go c.prog.Post(func() { f(c.prog) })
	}
}

// Leave begins the way out on all cores.
func (g *Group) Leave() { g.post((*Program).Leave) }

// Reload has all cores follow a configuration read anew. The bulletin is followed by the first alone.
func (g *Group) Reload(c config.Config) {
	c = divide(c, len(g.cores))
	c.Listen = g.cores[0].prog.config.Listen
	g.cores[0].prog.Post(func() { g.cores[0].prog.Reload(c) })
}

// PrintCounts logs the counters of all cores, added up.
func (g *Group) PrintCounts() {
	if len(g.cores) == 1 {
		g.cores[0].prog.Post(g.cores[0].prog.PrintCounts)
		return
	}
	var mu sync.Mutex
	var front FrontCounts
	var director routing.Counters
	left := len(g.cores)
	g.post(func(p *Program) {
		mu.Lock()
		defer mu.Unlock()
		addUp(&front, p.front.Counts)
		addUp(&director, p.director.Counters)
		if left--; left == 0 {
			slog.Info("counts", "front", front, "director", director, "cores", len(g.cores), "ids_open", g.owners.Len())
		}
	})
}

// addUp adds the fields of one set of counters, which are all int64, to another's.
func addUp[T any](sum *T, more T) {
	to, from := reflect.ValueOf(sum).Elem(), reflect.ValueOf(more)
	for i := range to.NumField() {
		to.Field(i).SetInt(to.Field(i).Int() + from.Field(i).Int())
	}
}
