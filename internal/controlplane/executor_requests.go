package controlplane

import (
	"errors"
	"fmt"
	"log/slog"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

var errNoApply = errors.New("there is no such apply")

// submission is the outcome of submitting a plan.
type submission struct {
	record         apply.Record
	alreadyApplied bool           // record belongs to an earlier apply that has carried out the same plan
	machine        *apply.Machine // state machine of the new apply; nil if none was started
}

// submit starts an apply of a plan, or returns an error with the reason why it can't. A repeated write returns the answer of the
// original write.
func (x *executor) submit(p *plan.Plan, who string, write store.Write) (submission, error) {
	sum, err := plan.Sum(p)
	if err != nil {
		return submission{}, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var out submission
	err = x.server.store.Do(func(t *store.Tx) (err error) {
		out = submission{}
		repeated, err := t.RepeatedWrite(write, &out.record)
		if repeated || err != nil {
			return err
		}
		out, err = x.submitInTx(t, p, sum, who)
		if err != nil || out.alreadyApplied {
			return err
		}
		return t.RememberWrite(write, out.record)
	})
	if err != nil || out.machine == nil {
		return out, err
	}
	x.machine = out.machine
	slog.Info("apply.accepted", "apply", out.record.ID, "who", who, "steps", out.record.Steps, "plan", sum[:16])
	x.wake()
	return out, nil
}

// submitInTx checks in a transaction whether a plan can be applied, and stores its apply. The caller must hold executor.mu.
func (x *executor) submitInTx(t *store.Tx, p *plan.Plan, sum, who string) (submission, error) {
	earlier, err := t.LastApplyOfPlan(sum)
	if err != nil {
		return submission{}, err
	}
	holder, err := t.RunningApply()
	if err != nil {
		return submission{}, err
	}
	if holder != nil && x.machine != nil {
		holder.StepsDone = x.machine.Record.StepsDone // the stored count dates from the last status change
	}
	state := x.stateInTx(t)
	answer, err := apply.Submit(p, state, earlier, holder)
	if err != nil {
		return submission{}, err
	}
	if !answer.Start {
		return submission{record: *answer.CompletedApply, alreadyApplied: true}, nil
	}
	record, err := createApply(t, p, who, state)
	if err != nil {
		return submission{}, err
	}
	machine, err := apply.New(record, p, nil)
	return submission{record: record, machine: machine}, err
}

// handleOrder executes an operator's order to an apply and returns the resulting record. A repeated write returns the answer of the
// original write.
func (x *executor) handleOrder(id int64, order apply.Order, who string, write store.Write) (apply.Record, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var r apply.Record
	repeated := false
	err := x.server.store.Do(func(t *store.Tx) (err error) {
		if repeated, err = t.RepeatedWrite(write, &r); repeated || err != nil {
			return err
		}
		if r, err = x.handleOrderInTx(t, id, order, who); err != nil {
			return err
		}
		return t.RememberWrite(write, r)
	})
	if err != nil || repeated {
		return r, err
	}
	m := x.machine
	if m == nil { // the apply was started under an earlier leader and has not been recovered here yet
		x.recoveredPeriod = 0
		x.wake()
		return r, nil
	}
	m.Record = r
	if r.Status.Ended() {
		x.machine = nil
	}
	slog.Info("apply.order_accepted", "apply", id, "order", order, "who", who)
	x.wake()
	return r, nil
}

// handleOrderInTx stores the status that results from an order. The caller must hold executor.mu.
func (x *executor) handleOrderInTx(t *store.Tx, id int64, order apply.Order, who string) (apply.Record, error) {
	stored, err := t.Record(id)
	if err != nil {
		return apply.Record{}, err
	}
	if stored == nil {
		return apply.Record{}, errNoApply
	}
	r := *stored
	if m := x.machine; m != nil && m.Record.ID == id {
		r = m.Record
	}
	status, err := apply.StatusAfter(r, order)
	if err != nil {
		return r, err
	}
	if err := t.Fence(r); err != nil {
		return r, err
	}
	r.Status = status
	r.Reason = fmt.Sprintf("%s by %s", order, who)
	switch {
	case status.Ended():
		r.EndedMS = t.NowMS
	case order == apply.OrderResume:
		r.ResumedMS = t.NowMS
		r.Reason = ""
	}
	return r, t.SetRecord(r)
}

// applyState is an apply with its plan and the states of its steps.
type applyState struct {
	record apply.Record
	plan   *plan.Plan
	steps  []apply.StepState
}

// findApply returns the current state of an apply, from the machine if the apply is running here and otherwise from the store. The
// error is errNoApply if there is no such apply.
func (x *executor) findApply(id int64) (applyState, error) {
	if runningApply, found := x.runningApply(id); found {
		return runningApply, nil
	}
	var out applyState
	err := x.server.store.View(func(v *store.View) error {
		record, err := v.Record(id)
		if err != nil {
			return err
		}
		if record == nil {
			return errNoApply
		}
		m, err := v.Machine(*record)
		if err != nil {
			return err
		}
		out = applyState{record: m.Record, plan: m.Plan, steps: m.Steps()}
		return nil
	})
	return out, err
}

// runningApply returns the state of an apply if it is running here.
func (x *executor) runningApply(id int64) (state applyState, found bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := x.machine
	if m == nil || m.Record.ID != id {
		return applyState{}, false
	}
	return applyState{record: m.Record, plan: m.Plan, steps: m.Steps()}, true
}
