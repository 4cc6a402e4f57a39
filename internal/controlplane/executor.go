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
	executorPollInterval  = 50 * time.Millisecond // while a step is waiting for an observation or an acknowledgement
	executorRetryInterval = 500 * time.Millisecond
	executorIdleInterval  = time.Hour // wake interrupts it when there is work
)

// executor executes the apply that holds the apply lock. It performs the I/O for apply.Machine: it commits each decision in one
// transaction and then records it in the machine. In a group only the leader executes.
type executor struct {
	server   *Server
	wakeups  chan struct{} // has a buffer of one
	stopping chan struct{}
	stopped  chan struct{}

	mu              sync.Mutex     // also held while a decision is committed
	machine         *apply.Machine // state of the apply that holds the apply lock; nil if there is none
	recoveredPeriod int64          // the leadership period in which the running apply was recovered

	writeFailed bool // used only by run: the last decision could not be committed

	// In a group, the number of the current leadership period; 0 while this replica is not the leader.
	leadershipPeriod atomic.Int64
	periodCount      atomic.Int64 // number of leadership periods started so far
}

func newExecutor(s *Server) *executor {
	return &executor{
		server:   s,
		wakeups:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// wake makes the executor check for work immediately. It does not block.
func (x *executor) wake() {
	select {
	case x.wakeups <- struct{}{}:
	default:
	}
}

// leadershipChanged is called when this replica becomes the leader or stops being the leader. It does not block.
func (x *executor) leadershipChanged(isLeader bool) {
	if isLeader {
		x.leadershipPeriod.Store(x.periodCount.Add(1))
	} else {
		x.leadershipPeriod.Store(0)
	}
	x.wake()
}

// stop ends run and waits until it has returned.
func (x *executor) stop() {
	close(x.stopping)
	<-x.stopped
}

// run executes decisions until stop is called.
func (x *executor) run() {
	defer close(x.stopped)
	for {
		pause := x.executePending()
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

// executePending executes decisions until none is left, and returns the time after which it should be called again.
func (x *executor) executePending() time.Duration {
	for {
		select {
		case <-x.stopping:
			return 0
		default:
		}
		if !x.syncLeadership() {
			return executorIdleInterval
		}
		if pause := x.executeNext(); pause > 0 {
			return pause
		}
	}
}

// executeNext executes one decision. It returns 0 if there may be another decision, and otherwise the time until the next check.
func (x *executor) executeNext() (pause time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.machine
	if m == nil {
		return executorIdleInterval
	}
	decision := m.Next(x.machineInput())
	if decision.Kind == apply.Wait {
		return x.pollDelay(decision.UntilMS)
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

// pollDelay returns how long the executor sleeps if it has no work before untilMS; an untilMS of 0 means that there is no such time.
// The delay is at most executorPollInterval, because the event that a step is waiting for may occur earlier.
func (x *executor) pollDelay(untilMS int64) time.Duration {
	if untilMS == 0 {
		return executorIdleInterval
	}
	remaining := time.Duration(untilMS-x.server.clock()) * time.Millisecond
	return min(executorPollInterval, max(time.Millisecond, remaining))
}

// machineInput returns the input for the machine's next decision.
func (x *executor) machineInput() apply.Input {
	acknowledged := x.server.acknowledgedRevision()
	return apply.Input{
		State:        x.server.ObservedState(),
		Acknowledged: func(revision int64) bool { return revision <= acknowledged },
		HasObserver:  x.server.observer.enabled(),
	}
}

// syncLeadership recovers the running apply when this replica has become the leader, and drops the machine when it is no longer the
// leader. It reports whether the executor may continue.
func (x *executor) syncLeadership() bool {
	if x.server.group == nil {
		return true
	}
	period := x.leadershipPeriod.Load()
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
		if x.leadershipPeriod.Load() == period {
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

// recover takes over the running apply of an earlier executor, under a new epoch.
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
