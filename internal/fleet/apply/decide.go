package apply

import (
	"errors"
	"fmt"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// Refusals of a submitted plan and of orders to an apply.
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
	Moved  []plan.StaleRead // of a stale plan
	Holder *Record          // of the apply under way
}

func (r *RejectedError) Error() string {
	if r.Detail == "" {
		return r.Err.Error()
	}
	return r.Err.Error() + ": " + r.Detail
}

func (r *RejectedError) Unwrap() error { return r.Err }

// Answer to a plan that was submitted.
type Answer struct {
	Start   bool    // a new apply begins
	Already *Record // the same plan was carried out before: nothing changes
}

// Submit decides what becomes of a plan: earlier is the last apply of the same plan, if there is one, and holder the one
// that has the lease. The order matters: a plan that was carried out changes nothing even if the world has moved since,
// and a busy board does not judge a plan against a world that is being changed.
func Submit(p *plan.Plan, w fleet.ObservedState, earlier, holder *Record) (Answer, error) {
	if holder != nil {
		same := ""
		if earlier != nil && earlier.ID == holder.ID {
			same = " of this same plan"
		}
		return Answer{}, &RejectedError{Err: ErrBusy, Holder: holder, Detail: fmt.Sprintf("apply %d%s by %s since %d, %s, %d of %d steps done",
			holder.ID, same, holder.Who, holder.StartedMS, holder.Status, holder.StepsDone, holder.Steps)}
	}
	if earlier != nil && earlier.Status == Done {
		return Answer{Already: earlier}, nil
	}
	moved, err := p.Stale(w)
	if err != nil {
		return Answer{}, err
	}
	if len(moved) > 0 {
		detail := ""
		for i, m := range moved {
			if i == 3 {
				detail += fmt.Sprintf("; and %d more", len(moved)-i)
				break
			}
			if i > 0 {
				detail += "; "
			}
			detail += m.String()
		}
		return Answer{}, &RejectedError{Err: ErrStale, Moved: moved, Detail: detail}
	}
	return Answer{Start: true}, nil
}

// Order is what a person asks of an apply.
type Order string

// Orders.
const (
	OrderPause  Order = "pause"
	OrderResume Order = "resume"
	OrderCancel Order = "cancel"
)

// Obey decides the status that an order leads to. A paused apply can't be paused again, so that its reason stays.
func Obey(r Record, o Order) (Status, error) {
	switch {
	case r.Status.Ended():
		return "", &RejectedError{Err: ErrEnded, Detail: fmt.Sprintf("apply %d is %s", r.ID, r.Status)}
	case o == OrderPause && r.Status != Running:
		return "", &RejectedError{Err: ErrNotRunning, Detail: fmt.Sprintf("apply %d is %s", r.ID, r.Status)}
	case o == OrderPause:
		return Paused, nil
	case o == OrderResume && r.Status != Paused:
		return "", &RejectedError{Err: ErrNotPaused, Detail: fmt.Sprintf("apply %d is %s", r.ID, r.Status)}
	case o == OrderResume:
		return Running, nil
	case o == OrderCancel:
		return Cancelled, nil
	}
	return "", fmt.Errorf("no order is called %q", o)
}
