package apply

import (
	"fmt"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// maxMovedInDetail is how many changed reads an error's text names.
const maxMovedInDetail = 3

// Answer to a plan that was submitted: one of both.
type Answer struct {
	Start   bool    // a new apply begins
	Already *Record // the same plan was carried out before: nothing changes
}

// Submit decides what becomes of a plan. earlier is the last apply of the same plan and holder the apply that has the lease; both may
// be nil. The order of the checks matters: a plan that was carried out changes nothing even if the fleet has changed since, and a plan
// is not compared with a fleet that is being changed. Errors are *RejectedError, besides those of reading the state.
func Submit(p *plan.Plan, state fleet.ObservedState, earlier, holder *Record) (Answer, error) {
	if holder != nil {
		return Answer{}, busyError(holder, earlier)
	}
	if earlier != nil && earlier.Status == Done {
		return Answer{Already: earlier}, nil
	}
	moved, err := p.Stale(state)
	if err != nil {
		return Answer{}, err
	}
	if len(moved) > 0 {
		return Answer{}, &RejectedError{Err: ErrStale, Moved: moved, Detail: describeMoved(moved)}
	}
	return Answer{Start: true}, nil
}

// busyError names the apply that has the lease.
func busyError(holder, earlier *Record) error {
	same := ""
	if earlier != nil && earlier.ID == holder.ID {
		same = " of this same plan"
	}
	detail := fmt.Sprintf("apply %d%s by %s since %d, %s, %d of %d steps done",
		holder.ID, same, holder.Who, holder.StartedMS, holder.Status, holder.StepsDone, holder.Steps)
	return &RejectedError{Err: ErrBusy, Holder: holder, Detail: detail}
}

// describeMoved names the first things that are not as the plan read them.
func describeMoved(moved []plan.StaleRead) string {
	var parts []string
	for _, m := range moved[:min(len(moved), maxMovedInDetail)] {
		parts = append(parts, m.String())
	}
	if more := len(moved) - len(parts); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, "; ")
}
