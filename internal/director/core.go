package director

import (
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/director/cores/events"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// heartbeatInterval is the interval at which a core signals that its loop is running.
const heartbeatInterval = 50 * time.Millisecond

// core is one core of a Group. All fields except heartbeats are owned by the core's loop.
type core struct {
	group          *Group
	index          int
	prog           *Program
	cursor         *events.Cursor[publishedEvents]
	heartbeats     atomic.Int64 // incremented by the core's loop, read by the stall check
	heartbeatTimer transport.Timer
}

// publishedEvents is a response of the event stream as received by the first core. On every core, grace periods start at
// receivedAt.
type publishedEvents struct {
	discovery.WatchResponse
	receivedAt time.Duration
	restarted  bool // the first events of another event log than before
}

// setHooks sets the hooks that are implemented by state shared among the cores.
func (c *core) setHooks(p *Program, hooks *routing.Hooks) {
	p.loop.ShareAddresses()
	hooks.AcquireID = func(id string) bool { return c.group.owners.Acquire(id, c.index) }
	hooks.ReleaseID = func(id string) { c.group.owners.Release(id, c.index) }
	hooks.SlowStartShare = c.group.slowStartBudget.Share
	if c.index > 0 {
		hooks.BeforeSend = func() { c.applyPublished(p) }
		p.loop.OnWake = func() { c.applyPublished(p) }
	}
}

// shareState connects the program to the state that its core shares with the others, and starts the timer that signals the stall check
// and publishes the served rate.
func (c *core) shareState(p *Program) {
	p.frontend.isHealthy = c.group.healthy.Load
	// The kernel distributes clients unevenly, so their number is limited for all cores together.
	p.frontend.clientsOfAll = &c.group.clients
	p.frontend.maxClients *= len(c.group.cores)
	c.heartbeatTimer.Fire = func() {
		c.heartbeats.Add(1)
		current, peak := p.director.ServedRate()
		c.group.slowStartBudget.Publish(c.index, current, peak, p.loop.Now())
		p.loop.Set(&c.heartbeatTimer, p.loop.Now()+heartbeatInterval)
	}
	p.loop.Set(&c.heartbeatTimer, p.loop.Now())
}

// publish publishes events to the other cores and wakes them up. It does not wait for them: a core that was stalled applies
// the events before it writes its next attempt.
func (c *core) publish(response discovery.WatchResponse, restarted bool) {
	c.group.events.Publish(publishedEvents{response, c.prog.loop.Now(), restarted})
	for _, other := range c.group.cores {
		if other != c && other.prog != nil {
			other.prog.loop.Wake()
		}
	}
}

// applyPublished applies the events published since the last call. It costs one atomic load if there are none.
func (c *core) applyPublished(p *Program) {
	if !c.cursor.HasNext() || p.watch == nil {
		return
	}
	for e, ok := c.cursor.Next(); ok; e, ok = c.cursor.Next() {
		if e.restarted {
			p.watch.appliedRevision = 0
		}
		p.director.SetNotifiedAt(e.receivedAt)
		p.watch.apply(e.WatchResponse)
		p.director.SetNotifiedAt(0)
	}
}
