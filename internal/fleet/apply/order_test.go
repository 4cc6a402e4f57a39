package apply

import (
	"errors"
	"testing"
)

// An order leads to the requested status, or is rejected if the current status does not allow it.
func TestStatusAfter(t *testing.T) {
	for _, c := range []struct {
		status Status
		order  Order
		want   Status
		err    error
	}{
		{Running, OrderPause, Paused, nil},
		{Paused, OrderPause, "", ErrNotRunning},
		{Paused, OrderResume, Running, nil},
		{Running, OrderResume, "", ErrNotPaused},
		{Paused, OrderCancel, Cancelled, nil},
		{Done, OrderCancel, "", ErrEnded},
	} {
		if got, err := StatusAfter(Record{Status: c.status}, c.order); got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s %s: %s, %v", c.status, c.order, got, err)
		}
	}
}
