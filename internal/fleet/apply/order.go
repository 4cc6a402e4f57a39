package apply

import "fmt"

// Order is an operator's request to change the status of an apply.
type Order string

// Orders.
const (
	OrderPause  Order = "pause"
	OrderResume Order = "resume"
	OrderCancel Order = "cancel"
)

// StatusAfter returns the status of an apply after an order. A paused apply can't be paused again, so that the reason of the first pause
// is kept. The error is a *RejectedError if the status of the apply does not allow the order.
func StatusAfter(r Record, o Order) (Status, error) {
	switch {
	case r.Status.Ended():
		return "", statusError(ErrEnded, r)
	case o == OrderPause && r.Status != Running:
		return "", statusError(ErrNotRunning, r)
	case o == OrderPause:
		return Paused, nil
	case o == OrderResume && r.Status != Paused:
		return "", statusError(ErrNotPaused, r)
	case o == OrderResume:
		return Running, nil
	case o == OrderCancel:
		return Cancelled, nil
	}
	return "", fmt.Errorf("unknown order %q", o)
}

func statusError(err error, r Record) error {
	return &RejectedError{Err: err, Detail: fmt.Sprintf("apply %d is %s", r.ID, r.Status)}
}
