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

// The caller of the methods in this file must hold executor.mu.

// execute commits one decision and records it in the machine.
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

// beginStep appends the step's event and sets the step's state in one transaction. The transaction assigns the number and the time of
// the event, because another event may have been appended since the decision was made.
func (x *executor) beginStep(m *apply.Machine, step int) error {
	var revision, atMS int64
	err := x.doFenced(m.Record, func(t *store.Tx) (err error) {
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

// completeStep marks a step as completed once its wait condition is met.
func (x *executor) completeStep(m *apply.Machine, step int) error {
	nowMS := x.server.clock()
	state := m.Step(step)
	state.Phase = apply.Completed
	state.DoneMS = nowMS
	if err := x.doFenced(m.Record, func(t *store.Tx) error { return t.SetStep(m.Record.ID, step, state) }); err != nil {
		return err
	}
	m.MarkCompleted(step, nowMS)
	slog.Info("apply.step_completed", "apply", m.Record.ID, "step", step, "of", m.Record.Steps, "what", m.Plan.Steps[step-1].String())
	return nil
}

// doFenced runs f in a transaction. It returns an error without running f if the apply no longer holds the apply lock under its epoch.
func (x *executor) doFenced(r apply.Record, f func(*store.Tx) error) error {
	return x.server.store.Do(func(t *store.Tx) error {
		if err := t.Fence(r); err != nil {
			return err
		}
		return f(t)
	})
}

// setStatus changes the status of an apply. An apply that has ended releases the apply lock.
func (x *executor) setStatus(m *apply.Machine, status apply.Status, reason string) error {
	r := m.Record
	r.Status = status
	r.Reason = reason
	if status.Ended() {
		r.EndedMS = x.server.clock()
	}
	if err := x.doFenced(m.Record, func(t *store.Tx) error { return t.SetRecord(r) }); err != nil {
		return err
	}
	m.Record = r
	if status.Ended() {
		x.machine = nil
	}
	slog.Info("apply."+string(status), "apply", r.ID, "steps_done", r.StepsDone, "steps", r.Steps, "reason", reason)
	return nil
}

// revert ends an apply after a fault and starts another one that restores the previous state, in one transaction. If no such plan is
// possible, it pauses the apply instead.
func (x *executor) revert(m *apply.Machine, reason string) error {
	var next *apply.Machine
	reverted := m.Record
	err := x.doFenced(m.Record, func(t *store.Tx) error {
		p, state, err := x.planRevert(t, m.Record.ID)
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
		// SetRecord releases the apply lock because this apply has ended, although createApply has already passed the lock to the
		// new apply. KeepApplyLock must therefore follow it.
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

// planRevert makes the plan that restores the state before an apply. It also returns the state against which the plan was made.
func (x *executor) planRevert(t *store.Tx, applyID int64) (*plan.Plan, fleet.ObservedState, error) {
	before, err := t.DesiredBefore(applyID)
	if err != nil {
		return nil, fleet.ObservedState{}, err
	}
	state := x.stateInTx(t)
	p, err := plan.Make(state, before, "")
	if err != nil {
		return nil, state, err
	}
	p.RevertOf = applyID
	return p, state, nil
}

// stateInTx returns the observed state with the fleet as seen by a transaction.
func (x *executor) stateInTx(t *store.Tx) fleet.ObservedState {
	state := x.server.ObservedState()
	state.Fleet = t.Fleet()
	return state
}

// createApply stores a new apply of a plan that was made against state, and returns its record.
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
