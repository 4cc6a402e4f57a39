package apply

import (
	"errors"

	"stairvane.org/stairvane/internal/fleet/plan"
)

// Errors for a submitted plan or an order that is rejected. ErrFenced rejects a transaction of an apply that no longer holds the lease.
var (
	ErrStale      = errors.New("the plan is stale")
	ErrBusy       = errors.New("another apply is under way")
	ErrNotRunning = errors.New("the apply is not running")
	ErrNotPaused  = errors.New("the apply is not paused")
	ErrEnded      = errors.New("the apply has ended")
	ErrFenced     = errors.New("the apply no longer holds the lease")
)

// RejectedError wraps one of the errors above with details for the operator.
type RejectedError struct {
	Err        error
	Detail     string
	StaleReads []plan.StaleRead // for ErrStale: the reads that no longer match
	Holder     *Record          // for ErrBusy: the apply that holds the lease
}

func (r *RejectedError) Error() string {
	if r.Detail == "" {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + r.Detail
}

func (r *RejectedError) Unwrap() error { return r.Err }
