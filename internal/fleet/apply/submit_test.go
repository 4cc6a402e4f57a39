package apply

import (
	"errors"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// A stale plan is rejected with the reads that have changed. While an apply is running, the error describes it. A plan that was carried out
// changes nothing.
func TestSubmit(t *testing.T) {
	state, p := drainPlan(t)
	if a, err := Submit(p, state, nil, nil); err != nil || !a.Start {
		t.Fatal(a, err)
	}
	withFailure := state
	withFailure.Observed = map[string]fleet.Observation{"c-2": {Reachability: fleet.Unreachable}}
	_, err := Submit(p, withFailure, nil, nil)
	moved := "box c-2 was in_service at 2:1, share 2, is in_service at 2:1, share 2, not reachable"
	if !errors.Is(err, ErrStale) || !strings.Contains(err.Error(), moved) {
		t.Error(err)
	}
	holder := &Record{ID: 4, Who: "anna", Status: Running}
	if _, err = Submit(p, withFailure, nil, holder); !errors.Is(err, ErrBusy) || !strings.Contains(err.Error(), "apply 4 by anna") {
		t.Error(err)
	}
	if a, err := Submit(p, withFailure, &Record{ID: 3, Status: Done}, nil); err != nil || a.Start || a.CompletedApply.ID != 3 {
		t.Error(a, err)
	}
}
