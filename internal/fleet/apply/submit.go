package apply

import (
	"fmt"
	"strings"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/plan"
)

// maxStaleReadsInDetail is the number of stale reads that an error text lists.
const maxStaleReadsInDetail = 3

// Answer is the response to a submitted plan. Exactly one of its fields is set.
type Answer struct {
	Start          bool    // a new apply starts
	CompletedApply *Record // the earlier apply that has carried out the same plan: nothing changes
}

// Submit decides whether a submitted plan is applied. earlier is the last apply of the same plan and holder the apply that holds the lease;
// both may be nil. The order of the checks matters: a plan that was carried out changes nothing even if the fleet has changed since, and a
// plan is not compared with a fleet that is being changed. A rejection is a *RejectedError; other errors come from reading the state.
func Submit(p *plan.Plan, state fleet.ObservedState, earlier, holder *Record) (Answer, error) {
	if holder != nil {
		return Answer{}, busyError(holder, earlier)
	}
	if earlier != nil && earlier.Status == Done {
		return Answer{CompletedApply: earlier}, nil
	}
	moved, err := p.Stale(state)
	if err != nil {
		return Answer{}, err
	}
	if len(moved) > 0 {
		return Answer{}, &RejectedError{Err: ErrStale, StaleReads: moved, Detail: describeStaleReads(moved)}
	}
	return Answer{Start: true}, nil
}

// busyError returns the error that describes the apply that holds the lease.
func busyError(holder, earlier *Record) error {
	same := ""
	if earlier != nil && earlier.ID == holder.ID {
		same = " of this same plan"
	}
	detail := fmt.Sprintf("apply %d%s by %s since %d, %s, %d of %d steps done",
		holder.ID, same, holder.Who, holder.StartedMS, holder.Status, holder.StepsDone, holder.Steps)
	return &RejectedError{Err: ErrBusy, Holder: holder, Detail: detail}
}

// describeStaleReads describes the first stale reads of a plan.
func describeStaleReads(moved []plan.StaleRead) string {
	var parts []string
	for _, m := range moved[:min(len(moved), maxStaleReadsInDetail)] {
		parts = append(parts, m.String())
	}
	if more := len(moved) - len(parts); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, "; ")
}
