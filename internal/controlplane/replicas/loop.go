package replicas

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
)

const (
	maxCallsAtOnce = 256                  // queued functions that the loop runs before it serves the driver
	flushDelay     = 3 * time.Millisecond // applied batches are written together with the next entries, or after this delay
)

// Run runs the replica until Stop is called.
func (g *Group) Run() {
	defer close(g.done)
	for _, p := range g.peers {
		go p.run()
	}
	go g.introduceDisk()
	go g.maintainLease()
	ticker := time.NewTicker(g.settings.Tick)
	defer ticker.Stop()
	if g.phase == Introducing && g.introduction.timedOut() {
		g.startDriver()
	}
	for g.waitForEvent(ticker.C) {
		g.serveDriver()
	}
}

// Stop stops the loop and waits until Run returns. It does not wait for the background goroutines,
// which end by themselves.
func (g *Group) Stop() {
	close(g.stop)
	<-g.done
}

// waitForEvent waits for the next event of the loop and handles it. It returns false after Stop.
func (g *Group) waitForEvent(ticks <-chan time.Time) (isRunning bool) {
	var requests <-chan *store.Request
	if g.acceptsRequests() {
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

// runQueuedCalls runs the functions that are queued already, so that the driver is served once for
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

// shutDown flushes the applied batches and fails all pending proposals and barriers. The outcome of
// a pending proposal is unknown.
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

// runOnLoop queues a function for the loop and does not wait until it has run. It returns false if
// the replica has stopped.
func (g *Group) runOnLoop(f func()) bool {
	select {
	case g.calls <- f:
		return true
	case <-g.stop:
		return false
	}
}

// callLoop runs a function on the loop and waits until it returns. It returns false if the replica
// has stopped.
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

// flushTimer limits how long an applied batch is held only in memory.
type flushTimer struct {
	timer   *time.Timer
	isArmed bool
}

func newFlushTimer() flushTimer {
	const never = time.Hour // a placeholder until scheduleFlush resets the timer
	return flushTimer{timer: time.NewTimer(never)}
}

// scheduleFlush starts the timer if applied batches are not persisted yet.
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
