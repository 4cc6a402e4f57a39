package apply

import "fmt"

// Order is what an operator asks of an apply.
type Order string

// Orders.
const (
	OrderPause  Order = "pause"
	OrderResume Order = "resume"
	OrderCancel Order = "cancel"
)

// Obey decides the status that an order leads to. A paused apply can't be paused again, so that the reason of the first pause stays.
// Errors for orders that the apply's status does not allow are *RejectedError.
func Obey(r Record, o Order) (Status, error) {
	switch {
	case r.Status.Ended():
		return "", orderError(ErrEnded, r)
	case o == OrderPause && r.Status != Running:
		return "", orderError(ErrNotRunning, r)
	case o == OrderPause:
		return Paused, nil
	case o == OrderResume && r.Status != Paused:
		return "", orderError(ErrNotPaused, r)
	case o == OrderResume:
		return Running, nil
	case o == OrderCancel:
		return Cancelled, nil
	}
	return "", fmt.Errorf("no order is called %q", o)
}

func orderError(err error, r Record) error {
	return &RejectedError{Err: err, Detail: fmt.Sprintf("apply %d is %s", r.ID, r.Status)}
}
