package store

import (
	"errors"
	"path/filepath"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/apply"
)

// Guards against writes of an apply that has lost the apply lock.
func TestFencedApplyCannotWrite(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "s"), Options{})
	check(t, err)
	defer closeStore(t, s)
	var old, now apply.Record
	check(t, s.Do(func(t *Tx) (err error) {
		old, err = t.Create(apply.Record{PlanSum: "x", Status: apply.Running}, nil, fleet.DesiredState{})
		return err
	}))
	check(t, s.Do(func(t *Tx) (err error) {
		now, err = t.AcquireApplyLock(old)
		return err
	}))
	if err := s.Do(func(t *Tx) error { return t.Fence(old) }); !errors.Is(err, apply.ErrFenced) {
		t.Error(err)
	}
	check(t, s.Do(func(t *Tx) error { return t.Fence(now) }))
	now.Status = apply.Done
	check(t, s.Do(func(t *Tx) error { return t.SetRecord(now) }))
	if err := s.Do(func(t *Tx) error { return t.Fence(now) }); !errors.Is(err, apply.ErrFenced) {
		t.Error(err)
	}
}
