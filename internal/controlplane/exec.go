package controlplane

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

const (
	execTick  = 50 * time.Millisecond // while a step waits for what is seen or told
	execRetry = 500 * time.Millisecond
)

// executor is the shell of apply.Machine: it makes each decision durable in one transaction, then tells the machine.
type executor struct {
	board  *Server
	wakes  chan struct{}
	ending chan struct{}
	ended  chan struct{}

	mu      sync.Mutex
	machine *apply.Machine // of the apply that has the lease; nil if there is none
	failing bool

	leads    atomic.Int64 // in a group: which time of leading this is, counted; 0: the copy does not lead
	times    atomic.Int64
	tookOver int64 // the time of leading in which it has looked for an apply that is under way
}

func newExecutor(b *Server) *executor {
	return &executor{board: b, wakes: make(chan struct{}, 1), ending: make(chan struct{}), ended: make(chan struct{})}
}

// wake has the executor look again; it never blocks.
func (x *executor) wake() {
	select {
	case x.wakes <- struct{}{}:
	default:
	}
}

// lead tells that the copy begins or ceases to lead. It does not block.
func (x *executor) lead(leads bool) {
	if leads {
		x.leads.Store(x.times.Add(1))
	} else {
		x.leads.Store(0)
	}
	x.wake()
}

// follow takes an apply over when the copy begins to lead, and lets it go when it ceases to. It tells whether the executor
// may go on.
func (x *executor) follow() bool {
	if x.board.group == nil {
		return true
	}
	now := x.leads.Load()
	x.mu.Lock()
	same := x.tookOver == now
	if !same {
		x.machine = nil
	}
	x.mu.Unlock()
	if now == 0 || same {
		return now != 0
	}
	if err := x.recover(); err != nil {
		if x.leads.Load() == now {
			slog.Warn("apply.not_taken_over", "err", err)
		}
		x.retry()
		return false
	}
	x.mu.Lock()
	x.tookOver = now
	x.mu.Unlock()
	return true
}

// retry has the executor look again soon.
func (x *executor) retry() { time.AfterFunc(execTick, x.wake) }

// recover takes over the apply that was under way when the board ended, under a new epoch.
func (x *executor) recover() error {
	var m *apply.Machine
	err := x.board.store.Do(func(t *store.Tx) error {
		holder, err := t.Holder()
		if err != nil || holder == nil {
			return err
		}
		r, err := t.Lease(*holder)
		if err != nil {
			return err
		}
		if m, err = t.Machine(r); err != nil {
			return err
		}
		slog.Info("apply.taken_over", "apply", r.ID, "status", r.Status, "steps_done", m.Record.StepsDone, "steps", m.Record.Steps)
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

func (x *executor) stop() {
	close(x.ending)
	<-x.ended
}

func (x *executor) run() {
	defer close(x.ended)
	for {
		pause := x.work()
		timer := time.NewTimer(pause)
		select {
		case <-x.ending:
			timer.Stop()
			return
		case <-x.wakes:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// work carries out decisions until there is nothing to do, and tells for how long.
func (x *executor) work() time.Duration {
	for {
		select {
		case <-x.ending:
			return 0
		default:
		}
		if !x.follow() {
			return time.Hour
		}
		x.mu.Lock()
		m := x.machine
		if m == nil {
			x.mu.Unlock()
			return time.Hour
		}
		d := m.Next(x.input())
		if d.Kind == apply.Wait {
			x.mu.Unlock()
			if d.UntilMS == 0 {
				return time.Hour
			}
			return min(execTick, max(time.Millisecond, time.Duration(d.UntilMS-x.board.clock())*time.Millisecond))
		}
		err := x.carry(m, d)
		x.mu.Unlock()
		if err != nil {
			if !x.failing {
				slog.Error("apply.not_written", "apply", m.Record.ID, "err", err)
			}
			x.failing = true
			return execRetry
		}
		x.failing = false
	}
}

func (x *executor) input() apply.Input {
	told := x.board.acknowledgedRevision()
	return apply.Input{State: x.board.World(), Acknowledged: func(no int64) bool { return no <= told }, HasObserver: x.board.observer.on()}
}

// carry makes one decision durable and tells the machine.
func (x *executor) carry(m *apply.Machine, d apply.Decision) error {
	switch d.Kind {
	case apply.Effect:
		return x.effect(m, d)
	case apply.StepOver:
		now := x.board.clock()
		state := m.Step(d.Step)
		state.Phase, state.DoneMS = apply.Completed, now
		if err := x.fenced(m.Record, func(t *store.Tx) error { return t.SetStep(m.Record.ID, d.Step, state) }); err != nil {
			return err
		}
		m.MarkFinished(d.Step, now)
		slog.Info("apply.step_done", "apply", m.Record.ID, "step", d.Step, "of", m.Record.Steps, "what", m.Plan.Steps[d.Step-1].String())
		return nil
	case apply.End:
		return x.conclude(m, apply.Done, "")
	case apply.Fault:
		slog.Warn("apply.trouble", "apply", m.Record.ID, "step", d.Step, "reason", d.Reason, "revert", d.Revert)
		if d.Revert {
			return x.planBack(m, d.Reason)
		}
		return x.conclude(m, apply.Paused, d.Reason)
	}
	return fmt.Errorf("unknown decision %q", d.Kind)
}

// effect appends the step's event and keeps its state in one transaction. The event's number and time are those of the
// history, so the world is looked at once more in it: a purge may have come between.
func (x *executor) effect(m *apply.Machine, d apply.Decision) error {
	var no, at int64
	err := x.fenced(m.Record, func(t *store.Tx) (err error) {
		e := m.Plan.Steps[d.Step-1].Event(0, t.NowMS, m.Record.Who, m.Record.ID)
		if no, err = t.Append(e); err != nil {
			return err
		}
		at = t.NowMS
		return t.SetStep(m.Record.ID, d.Step, apply.StepState{Phase: apply.Waiting, EventNo: no, EffectMS: at})
	})
	if err != nil {
		return err
	}
	m.MarkBegun(d.Step, no, at)
	slog.Info("apply.step_begun", "apply", m.Record.ID, "step", d.Step, "of", m.Record.Steps, "event", no, "what", m.Plan.Steps[d.Step-1].String())
	return nil
}

// fenced runs a change of an apply that still has the lease.
func (x *executor) fenced(r apply.Record, f func(*store.Tx) error) error {
	return x.board.store.Do(func(t *store.Tx) error {
		if err := t.Fence(r); err != nil {
			return err
		}
		return f(t)
	})
}

// conclude gives an apply another status.
func (x *executor) conclude(m *apply.Machine, status apply.Status, reason string) error {
	r := m.Record
	r.Status, r.Reason = status, reason
	if status.Ended() {
		r.EndedMS = x.board.clock()
	}
	if err := x.fenced(m.Record, func(t *store.Tx) error { return t.SetRecord(r) }); err != nil {
		return err
	}
	m.Record = r
	if status.Ended() {
		x.machine = nil
	}
	slog.Info("apply."+string(status), "apply", r.ID, "steps_done", r.StepsDone, "steps", r.Steps, "reason", reason)
	return nil
}

// planBack ends an apply in trouble and begins one that leads back to what was before it, in one transaction. If there is
// no way back it pauses.
func (x *executor) planBack(m *apply.Machine, reason string) error {
	var back *apply.Machine
	old := m.Record
	err := x.fenced(m.Record, func(t *store.Tx) error {
		before, err := t.DesiredBefore(old.ID)
		if err != nil {
			return err
		}
		w := x.board.World()
		w.Fleet = t.Fleet()
		p, err := plan.Make(w, before, "")
		if err != nil {
			return err
		}
		p.RevertOf = old.ID
		next, err := x.begin(t, p, old.Who, w)
		if err != nil {
			return err
		}
		old.Status, old.Reason, old.EndedMS, old.RevertedBy = apply.Reverted, reason, t.NowMS, next.ID
		// The record of the old one is kept last, and gives the lease back; the new one takes it again.
		if err := t.SetRecord(old); err != nil {
			return err
		}
		t.Hold(next)
		back, err = apply.New(next, p, nil)
		return err
	})
	var impossible *plan.Impossible
	if errors.As(err, &impossible) {
		return x.conclude(m, apply.Paused, reason+"; and there is no plan back: "+impossible.Error())
	}
	if err != nil {
		return err
	}
	m.Record = old
	x.machine = back
	slog.Warn("apply.reverted", "apply", old.ID, "by", back.Record.ID, "reason", reason)
	return nil
}

// begin keeps a new apply of a plan.
func (x *executor) begin(t *store.Tx, p *plan.Plan, who string, w fleet.ObservedState) (apply.Record, error) {
	file, err := plan.Encode(p)
	if err != nil {
		return apply.Record{}, err
	}
	sum, err := plan.Sum(p)
	if err != nil {
		return apply.Record{}, err
	}
	return t.Create(apply.Record{
		PlanSum: sum, Who: who, StartedMS: t.NowMS, Status: apply.Running, RevertOf: p.RevertOf,
		Steps: len(p.Steps),
	}, file, w.DesiredState())
}

// submit begins an apply of a plan file, or tells why not. already is an apply that has carried the same plan out.
func (x *executor) submit(p *plan.Plan, who string, write store.Write) (r apply.Record, already bool, err error) {
	sum, err := plan.Sum(p)
	if err != nil {
		return r, false, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var m *apply.Machine
	repeated := false
	err = x.board.store.Do(func(t *store.Tx) error {
		if repeated, err = t.RepeatedWrite(write, &r); repeated || err != nil {
			return err
		}
		earlier, err := t.ByPlan(sum)
		if err != nil {
			return err
		}
		holder, err := t.Holder()
		if err != nil {
			return err
		}
		if holder != nil && x.machine != nil {
			holder.StepsDone = x.machine.Record.StepsDone
		}
		w := x.board.World()
		w.Fleet = t.Fleet()
		a, err := apply.Submit(p, w, earlier, holder)
		if err != nil {
			return err
		}
		if already = !a.Start; already {
			r = *a.Already
			return nil
		}
		if r, err = x.begin(t, p, who, w); err != nil {
			return err
		}
		if err := t.RememberWrite(write, r); err != nil {
			return err
		}
		m, err = apply.New(r, p, nil)
		return err
	})
	if err != nil || already || repeated {
		return r, already, err
	}
	x.machine = m
	slog.Info("apply.accepted", "apply", r.ID, "who", who, "steps", r.Steps, "plan", sum[:16])
	x.wake()
	return r, false, nil
}

// obey carries out an order of a person's.
func (x *executor) obey(id int64, o apply.Order, who string, write store.Write) (r apply.Record, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.machine
	repeated := false
	err = x.board.store.Do(func(t *store.Tx) error {
		if repeated, err = t.RepeatedWrite(write, &r); repeated || err != nil {
			return err
		}
		found, err := t.Record(id)
		if err != nil {
			return err
		}
		if found == nil {
			return errNoApply
		}
		r = *found
		if m != nil && m.Record.ID == id {
			r = m.Record
		}
		status, err := apply.Obey(r, o)
		if err != nil {
			return err
		}
		if err := t.Fence(r); err != nil {
			return err
		}
		r.Status, r.Reason = status, fmt.Sprintf("%s by %s", o, who)
		switch {
		case status.Ended():
			r.EndedMS = t.NowMS
		case o == apply.OrderResume:
			r.ResumedMS, r.Reason = t.NowMS, ""
		}
		if err := t.SetRecord(r); err != nil {
			return err
		}
		return t.RememberWrite(write, r)
	})
	if err != nil || repeated {
		return r, err
	}
	if m == nil { // it was begun by the leader before, and this copy has not taken it over yet
		x.tookOver = 0
		x.wake()
		return r, nil
	}
	m.Record = r
	if r.Status.Ended() {
		x.machine = nil
	}
	slog.Info("apply.order", "apply", id, "order", o, "who", who)
	x.wake()
	return r, nil
}

var errNoApply = errors.New("there is no such apply")

// look is an apply as it is now, with the states of its steps.
func (x *executor) look(id int64) (r apply.Record, p *plan.Plan, steps []apply.StepState, err error) {
	x.mu.Lock()
	if m := x.machine; m != nil && m.Record.ID == id {
		defer x.mu.Unlock()
		return m.Record, m.Plan, m.Steps(), nil
	}
	x.mu.Unlock()
	err = x.board.store.View(func(v *store.View) error {
		found, err := v.Record(id)
		if err != nil {
			return err
		}
		if found == nil {
			return errNoApply
		}
		m, err := v.Machine(*found)
		if err != nil {
			return err
		}
		r, p, steps = m.Record, m.Plan, m.Steps()
		return nil
	})
	return r, p, steps, err
}
