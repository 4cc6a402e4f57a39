package controlplane

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet/apply"
)

const (
	executorPollInterval  = 50 * time.Millisecond // while a step waits for an observation or an acknowledgement
	executorRetryInterval = 500 * time.Millisecond
	executorIdleInterval  = time.Hour // it is woken when there is something to do
)

// executor carries out the apply that has the lease. It is the I/O around apply.Machine: it makes each decision durable in one
// transaction and then marks it in the machine. Only the leader of a group executes.
type executor struct {
	server   *Server
	wakeups  chan struct{} // buffers one
	stopping chan struct{}
	stopped  chan struct{}

	mu              sync.Mutex     // also locked while a decision is made durable
	machine         *apply.Machine // of the apply that has the lease; nil if there is none
	recoveredPeriod int64          // the period of leadership in which the running apply was recovered

	writeFailed bool // owned by run: the last decision could not be made durable

	// In a group, the number of the current period of leadership; 0 while the replica does not lead.
	currentPeriod atomic.Int64
	periods       atomic.Int64 // begun so far
}

func newExecutor(s *Server) *executor {
	return &executor{
		server:   s,
		wakeups:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// wake has the executor decide again. It does not block.
func (x *executor) wake() {
	select {
	case x.wakeups <- struct{}{}:
	default:
	}
}

// setLeader is called when the replica begins or ceases to lead. It does not block.
func (x *executor) setLeader(isLeader bool) {
	if isLeader {
		x.currentPeriod.Store(x.periods.Add(1))
	} else {
		x.currentPeriod.Store(0)
	}
	x.wake()
}

// stop ends run and waits for its end.
func (x *executor) stop() {
	close(x.stopping)
	<-x.stopped
}

// run carries out decisions until stop.
func (x *executor) run() {
	defer close(x.stopped)
	for {
		pause := x.work()
		timer := time.NewTimer(pause)
		select {
		case <-x.stopping:
			timer.Stop()
			return
		case <-x.wakeups:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// work carries out decisions until there is nothing to do, and gives the time until it is to be called again.
func (x *executor) work() time.Duration {
	for {
		select {
		case <-x.stopping:
			return 0
		default:
		}
		if !x.followLeadership() {
			return executorIdleInterval
		}
		if pause := x.step(); pause > 0 {
			return pause
		}
	}
}

// step carries out one decision. A pause above 0 tells that nothing more is to be done before it is over.
func (x *executor) step() (pause time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.machine
	if m == nil {
		return executorIdleInterval
	}
	decision := m.Next(x.input())
	if decision.Kind == apply.Wait {
		return x.pauseUntil(decision.UntilMS)
	}
	if err := x.execute(m, decision); err != nil {
		if !x.writeFailed {
			slog.Error("apply.write_failed", "apply", m.Record.ID, "err", err)
		}
		x.writeFailed = true
		return executorRetryInterval
	}
	x.writeFailed = false
	return 0
}

// pauseUntil is how long the executor pauses when nothing is to be done before a time; 0 is no time at all. The pause is short, for
// what a step waits for may come earlier.
func (x *executor) pauseUntil(untilMS int64) time.Duration {
	if untilMS == 0 {
		return executorIdleInterval
	}
	remaining := time.Duration(untilMS-x.server.clock()) * time.Millisecond
	return min(executorPollInterval, max(time.Millisecond, remaining))
}

// input is what the machine decides by.
func (x *executor) input() apply.Input {
	acknowledged := x.server.acknowledgedRevision()
	return apply.Input{
		State:        x.server.ObservedState(),
		Acknowledged: func(revision int64) bool { return revision <= acknowledged },
		HasObserver:  x.server.observer.enabled(),
	}
}

// followLeadership recovers the running apply when the replica has begun to lead, and drops it when the replica has ceased to.
// It tells whether the executor may go on.
func (x *executor) followLeadership() bool {
	if x.server.group == nil {
		return true
	}
	period := x.currentPeriod.Load()
	x.mu.Lock()
	unchanged := x.recoveredPeriod == period
	if !unchanged {
		x.machine = nil
	}
	x.mu.Unlock()
	if period == 0 || unchanged {
		return period != 0
	}
	if err := x.recover(); err != nil {
		if x.currentPeriod.Load() == period {
			slog.Warn("apply.recovery_failed", "err", err)
		}
		time.AfterFunc(executorPollInterval, x.wake)
		return false
	}
	x.mu.Lock()
	x.recoveredPeriod = period
	x.mu.Unlock()
	return true
}

// recover goes on with the apply that an executor before this one was carrying out, under a new epoch.
func (x *executor) recover() error {
	var m *apply.Machine
	err := x.server.store.Do(func(t *store.Tx) error {
		holder, err := t.RunningApply()
		if err != nil || holder == nil {
			return err
		}
		record, err := t.AcquireApplyLock(*holder)
		if err != nil {
			return err
		}
		if m, err = t.Machine(record); err != nil {
			return err
		}
		slog.Info("apply.taken_over", "apply", record.ID, "status", record.Status,
			"steps_done", m.Record.StepsDone, "steps", m.Record.Steps)
		return nil
	})
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.machine = m
	return nil
}
