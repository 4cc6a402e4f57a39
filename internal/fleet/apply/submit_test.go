package apply

import (
	"errors"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// A stale plan is rejected with what has changed. While an apply runs, the answer names it. A plan that was carried out changes nothing.
func TestSubmit(t *testing.T) {
	w, p := drainPlan(t)
	if a, err := Submit(p, w, nil, nil); err != nil || !a.Start {
		t.Fatal(a, err)
	}
	died := w
	died.Observed = map[string]fleet.Observation{"c-2": {Sight: fleet.Unreachable}}
	_, err := Submit(p, died, nil, nil)
	moved := "box c-2 was in_service at 2:1, share 2, is in_service at 2:1, share 2, not reachable"
	if !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), moved) {
		t.Error(err)
	}
	holder := &Record{ID: 4, Who: "anna", Status: Running}
	if _, err = Submit(p, died, nil, holder); !errors.Is(err, ErrBusy) || !strings.Contains(err.Error(), "apply 4 by anna") {
		t.Error(err)
	}
	if a, err := Submit(p, died, &Record{ID: 3, Status: Done}, nil); err != nil || a.Start || a.Already.ID != 3 {
		t.Error(a, err)
	}
}
