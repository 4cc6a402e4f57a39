package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Create stores a new apply with its plan and the fleet's state before it, acquires the apply lock,
// and returns the record with its ID and epoch set.
func (t *Tx) Create(r apply.Record, planFile []byte, before fleet.DesiredState) (apply.Record, error) {
	last, err := t.number(lastApplyKey)
	if err != nil {
		return r, err
	}
	r.ID = last + 1
	t.putNumber(lastApplyKey, r.ID)
	if r, err = t.AcquireApplyLock(r); err != nil {
		return r, err
	}
	t.put(planBucket, encodeNumber(r.ID), planFile)
	if err := t.putEncoded(desiredBucket, encodeNumber(r.ID), before); err != nil {
		return r, err
	}
	t.put(planIDBucket, []byte(r.PlanSum), encodeNumber(r.ID))
	return r, nil
}

// AcquireApplyLock gives the apply lock to an apply under a new epoch. A holder under an older epoch
// is fenced off.
func (t *Tx) AcquireApplyLock(r apply.Record) (apply.Record, error) {
	epoch, err := t.number(epochKey)
	if err != nil {
		return r, err
	}
	r.Epoch = epoch + 1
	t.putNumber(epochKey, r.Epoch)
	t.putNumber(holderKey, r.ID)
	return r, t.SetRecord(r)
}

// KeepApplyLock makes an apply that acquired the apply lock in this change the holder again, after
// SetRecord has released the lock because another apply ended.
func (t *Tx) KeepApplyLock(r apply.Record) { t.putNumber(holderKey, r.ID) }

// Fence returns an error that wraps apply.ErrFenced unless the apply holds the apply lock under its
// epoch.
func (t *Tx) Fence(r apply.Record) error {
	holder, err := t.number(holderKey)
	if err != nil {
		return err
	}
	epoch, err := t.number(epochKey)
	if err != nil {
		return err
	}
	if holder == r.ID && epoch == r.Epoch {
		return nil
	}
	return &apply.RejectedError{
		Err:    apply.ErrFenced,
		Detail: fmt.Sprintf("apply %d in epoch %d; the holder is apply %d in epoch %d", r.ID, r.Epoch, holder, epoch),
	}
}

// SetRecord stores the record of an apply. If the apply has ended, SetRecord releases the apply lock.
func (t *Tx) SetRecord(r apply.Record) error {
	if err := t.putEncoded(applyBucket, encodeNumber(r.ID), r); err != nil {
		return err
	}
	if r.Status.Ended() {
		t.putNumber(holderKey, 0)
	}
	return nil
}

// SetStep stores the state of a step.
func (t *Tx) SetStep(applyID int64, step int, s apply.StepState) error {
	return t.putEncoded(stepBucket, stepKey(applyID, step), s)
}

func stepKey(applyID int64, step int) []byte {
	return binary.BigEndian.AppendUint32(encodeNumber(applyID), uint32(step))
}

// RunningApply returns the apply that holds the apply lock; nil if there is none.
func (v *View) RunningApply() (*apply.Record, error) {
	id, err := v.number(holderKey)
	if err != nil || id == 0 {
		return nil, err
	}
	return v.Record(id)
}

// Record returns an apply's record; nil if there is none.
func (v *View) Record(applyID int64) (*apply.Record, error) {
	raw, err := v.get(applyBucket, encodeNumber(applyID))
	if err != nil || raw == nil {
		return nil, err
	}
	r := &apply.Record{}
	return r, decode(raw, r)
}

// Records returns the records of all applies, ordered by ID.
func (v *View) Records() (all []apply.Record, err error) {
	last, err := v.number(lastApplyKey)
	if err != nil {
		return nil, err
	}
	for id := int64(1); id <= last; id++ {
		r, err := v.Record(id)
		if err != nil {
			return nil, err
		}
		if r == nil {
			return nil, fmt.Errorf("%w: apply %d is missing", ErrDamaged, id)
		}
		all = append(all, *r)
	}
	return all, nil
}

// LastApplyOfPlan returns the last apply of the plan with the given checksum; nil if there is none.
func (v *View) LastApplyOfPlan(sum string) (*apply.Record, error) {
	raw, err := v.get(planIDBucket, []byte(sum))
	if err != nil || raw == nil {
		return nil, err
	}
	return v.Record(decodeNumber(raw))
}

// Plan returns the plan file of an apply.
func (v *View) Plan(applyID int64) ([]byte, error) {
	raw, err := v.get(planBucket, encodeNumber(applyID))
	if err == nil && raw == nil {
		err = fmt.Errorf("store: apply %d has no plan", applyID)
	}
	return bytes.Clone(raw), err
}

// DesiredBefore returns the fleet's state at the start of an apply, as a desired state.
func (v *View) DesiredBefore(applyID int64) (desired fleet.DesiredState, err error) {
	raw, err := v.get(desiredBucket, encodeNumber(applyID))
	if err != nil {
		return desired, err
	}
	if raw == nil {
		return desired, fmt.Errorf("store: there is no apply %d", applyID)
	}
	return desired, decode(raw, &desired)
}

// Machine returns the state machine of an apply, built from the committed step states.
func (v *View) Machine(r apply.Record) (*apply.Machine, error) {
	raw, err := v.Plan(r.ID)
	if err != nil {
		return nil, err
	}
	p, err := plan.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("apply %d: %w", r.ID, err)
	}
	states := make([]apply.StepState, len(p.Steps))
	for i := range states {
		states[i].Phase = apply.Pending
		raw, err := v.get(stepBucket, stepKey(r.ID, i+1))
		if err != nil {
			return nil, err
		}
		if raw == nil {
			continue
		}
		if err := decode(raw, &states[i]); err != nil {
			return nil, err
		}
	}
	return apply.New(r, p, states)
}

// checkApplies returns an error if an apply, or a step state of the running apply, is missing.
func checkApplies(tx *bolt.Tx) error {
	v := &View{tx: tx}
	if _, err := v.Records(); err != nil {
		return err
	}
	holder, err := v.RunningApply()
	if err != nil || holder == nil {
		return err
	}
	m, err := v.Machine(*holder)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if holder.StepsDone > m.Record.StepsDone {
		return fmt.Errorf("%w: step states of apply %d are missing", ErrDamaged, holder.ID)
	}
	return nil
}
