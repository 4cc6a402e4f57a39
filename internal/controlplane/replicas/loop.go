package replicas

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	maxCallsAtOnce = 256                  // functions that the loop runs before it serves the driver
	flushDelay     = 3 * time.Millisecond // applied batches are written with the next entries, or after this
)

// Run runs the replica until Stop.
func (g *Group) Run() {
	defer close(g.ended)
	for _, p := range g.peers {
		go p.run()
	}
	go g.introduceDisk()
	go g.keepLease()
	ticker := time.NewTicker(g.settings.Tick)
	defer ticker.Stop()
	if g.phase == Introducing && g.introduction.timedOut() {
		g.startDriver()
	}
	for g.waitForEvent(ticker.C) {
		g.serveDriver()
	}
}

// Stop ends Run and waits for that. The goroutines beside the loop end on their own.
func (g *Group) Stop() {
	close(g.stop)
	<-g.ended
}

// waitForEvent handles the next event of the loop; false after Stop.
func (g *Group) waitForEvent(ticks <-chan time.Time) (isRunning bool) {
	var requests <-chan *store.Request
	if g.takesRequests() {
		requests = g.store.Requests()
	}
	select {
	case <-g.stop:
		g.shutDown()
		return false
	case <-ticks:
		g.tick()
	case f := <-g.calls:
		f()
		g.runQueuedCalls()
	case r := <-requests:
		g.propose(r)
	case <-g.flush.timer.C:
		g.flush.isArmed = false
		g.flushApplied()
	}
	return true
}

// runQueuedCalls runs the functions that have come meanwhile, so that the driver is served once for
// all of them.
func (g *Group) runQueuedCalls() {
	for range maxCallsAtOnce {
		select {
		case f := <-g.calls:
			f()
		default:
			return
		}
	}
}

// shutDown writes what was applied, and fails all that is pending: its outcome is unknown.
func (g *Group) shutDown() {
	if g.driver != nil && g.store.HasUnpersisted() {
		if err := g.persist(nil); err != nil {
			slog.Error("replica.flush_failed", "err", err)
		}
	}
	g.failPending(store.ErrOutcomeUnknown)
	if g.received != nil {
		g.received.Discard()
	}
}

// runOnLoop has the loop run a function, and does not wait for it; false if the replica has
// stopped.
func (g *Group) runOnLoop(f func()) bool {
	select {
	case g.calls <- f:
		return true
	case <-g.stop:
		return false
	}
}

// callLoop has the loop run a function and waits for it; false if the replica has stopped.
func (g *Group) callLoop(f func()) bool {
	done := make(chan struct{})
	if !g.runOnLoop(func() {
		defer close(done)
		f()
	}) {
		return false
	}
	<-done
	return true
}

// flushTimer bounds how long an applied batch is in memory only.
type flushTimer struct {
	timer   *time.Timer
	isArmed bool
}

func newFlushTimer() flushTimer {
	const never = time.Hour // until it is armed
	return flushTimer{timer: time.NewTimer(never)}
}

// scheduleFlush arms the timer if something was applied that is not written.
func (g *Group) scheduleFlush() {
	if g.driver != nil && g.store.HasUnpersisted() && !g.flush.isArmed {
		g.flush.isArmed = true
		g.flush.timer.Reset(flushDelay)
	}
}

func (g *Group) flushApplied() {
	if g.driver == nil || !g.store.HasUnpersisted() {
		return
	}
	if err := g.persist(nil); err != nil {
		g.failDisk(err)
	}
}
