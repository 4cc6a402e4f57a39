package controlplane

import (
	"errors"
	"fmt"
	"log/slog"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// The methods in this file are called with executor.mu locked.

// execute makes one decision durable and marks it in the machine.
func (x *executor) execute(m *apply.Machine, d apply.Decision) error {
	switch d.Kind {
	case apply.BeginStep:
		return x.beginStep(m, d.Step)
	case apply.CompleteStep:
		return x.completeStep(m, d.Step)
	case apply.Finish:
		return x.setStatus(m, apply.Done, "")
	case apply.Fault:
		slog.Warn("apply.fault_detected", "apply", m.Record.ID, "step", d.Step, "reason", d.Reason, "revert", d.Revert)
		if d.Revert {
			return x.revert(m, d.Reason)
		}
		return x.setStatus(m, apply.Paused, d.Reason)
	}
	return fmt.Errorf("apply %d: unknown decision %q", m.Record.ID, d.Kind)
}

// beginStep appends the step's event and sets the step's state in one transaction. The transaction gives the event its number and
// time, for another event may have been appended since the decision.
func (x *executor) beginStep(m *apply.Machine, step int) error {
	var revision, atMS int64
	err := x.fenced(m.Record, func(t *store.Tx) (err error) {
		event := m.Plan.Steps[step-1].Event(0, t.NowMS, m.Record.Who, m.Record.ID)
		if revision, err = t.Append(event); err != nil {
			return err
		}
		atMS = t.NowMS
		return t.SetStep(m.Record.ID, step, apply.StepState{Phase: apply.Waiting, EventNo: revision, EffectMS: atMS})
	})
	if err != nil {
		return err
	}
	m.MarkStarted(step, revision, atMS)
	slog.Info("apply.step_started", "apply", m.Record.ID, "step", step, "of", m.Record.Steps, "event", revision,
		"what", m.Plan.Steps[step-1].String())
	return nil
}

// completeStep ends a step whose wait is over.
func (x *executor) completeStep(m *apply.Machine, step int) error {
	nowMS := x.server.clock()
	state := m.Step(step)
	state.Phase = apply.Completed
	state.DoneMS = nowMS
	if err := x.fenced(m.Record, func(t *store.Tx) error { return t.SetStep(m.Record.ID, step, state) }); err != nil {
		return err
	}
	m.MarkCompleted(step, nowMS)
	slog.Info("apply.step_completed", "apply", m.Record.ID, "step", step, "of", m.Record.Steps, "what", m.Plan.Steps[step-1].String())
	return nil
}

// fenced runs a transaction of an apply, unless another has the lease by now.
func (x *executor) fenced(r apply.Record, f func(*store.Tx) error) error {
	return x.server.store.Do(func(t *store.Tx) error {
		if err := t.Fence(r); err != nil {
			return err
		}
		return f(t)
	})
}

// setStatus gives an apply another status. One that has ended gives the lease back.
func (x *executor) setStatus(m *apply.Machine, status apply.Status, reason string) error {
	r := m.Record
	r.Status = status
	r.Reason = reason
	if status.Ended() {
		r.EndedMS = x.server.clock()
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

// revert ends an apply after a fault and begins one that leads back to the state before it, in one transaction. If there is no plan
// back the apply pauses.
func (x *executor) revert(m *apply.Machine, reason string) error {
	var next *apply.Machine
	reverted := m.Record
	err := x.fenced(m.Record, func(t *store.Tx) error {
		p, state, err := x.planBack(t, m.Record.ID)
		if err != nil {
			return err
		}
		record, err := createApply(t, p, reverted.Who, state)
		if err != nil {
			return err
		}
		reverted.Status = apply.Reverted
		reverted.Reason = reason
		reverted.EndedMS = t.NowMS
		reverted.RevertedBy = record.ID
		// The ended apply gives the lease back, and so its record is set before the new apply takes the lease.
		if err := t.SetRecord(reverted); err != nil {
			return err
		}
		t.KeepApplyLock(record)
		next, err = apply.New(record, p, nil)
		return err
	})
	var impossible *plan.ImpossibleError
	if errors.As(err, &impossible) {
		return x.setStatus(m, apply.Paused, reason+"; and there is no plan back: "+impossible.Error())
	}
	if err != nil {
		return err
	}
	m.Record = reverted
	x.machine = next
	slog.Warn("apply.reverted", "apply", reverted.ID, "by", next.Record.ID, "reason", reason)
	return nil
}

// planBack makes the plan that leads back to the state before an apply, and gives the state that it was made against.
func (x *executor) planBack(t *store.Tx, applyID int64) (*plan.Plan, fleet.ObservedState, error) {
	before, err := t.DesiredBefore(applyID)
	if err != nil {
		return nil, fleet.ObservedState{}, err
	}
	state := x.stateIn(t)
	p, err := plan.Make(state, before, "")
	if err != nil {
		return nil, state, err
	}
	p.RevertOf = applyID
	return p, state, nil
}

// stateIn is the observed state with the fleet as a transaction sees it.
func (x *executor) stateIn(t *store.Tx) fleet.ObservedState {
	state := x.server.ObservedState()
	state.Fleet = t.Fleet()
	return state
}

// createApply stores a new apply of a plan that was made against a state.
func createApply(t *store.Tx, p *plan.Plan, who string, state fleet.ObservedState) (apply.Record, error) {
	file, err := plan.Encode(p)
	if err != nil {
		return apply.Record{}, err
	}
	sum, err := plan.Sum(p)
	if err != nil {
		return apply.Record{}, err
	}
	return t.Create(apply.Record{
		PlanSum:   sum,
		Who:       who,
		StartedMS: t.NowMS,
		Status:    apply.Running,
		RevertOf:  p.RevertOf,
		Steps:     len(p.Steps),
	}, file, state.DesiredState())
}
