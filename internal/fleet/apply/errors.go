package apply

import (
	"errors"

	"stairvane.org/stairvane/internal/fleet/plan"
)

// Reasons why a submitted plan or an order to an apply is rejected. ErrFenced is that of a transaction of an apply.
var (
	ErrStale      = errors.New("the plan is stale")
	ErrBusy       = errors.New("another apply is under way")
	ErrNotRunning = errors.New("the apply does not run")
	ErrNotPaused  = errors.New("the apply is not paused")
	ErrEnded      = errors.New("the apply has ended")
	ErrFenced     = errors.New("the lease is another's")
)

// RejectedError is one of the errors above with what a person needs to know.
type RejectedError struct {
	Err    error
	Detail string
	Moved  []plan.StaleRead // of ErrStale: what has changed
	Holder *Record          // of ErrBusy: the apply that has the lease
}

func (r *RejectedError) Error() string {
	if r.Detail == "" {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + r.Detail
}

func (r *RejectedError) Unwrap() error { return r.Err }
