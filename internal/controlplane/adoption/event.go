package adoption

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AppliedBy states when a reporter applied an event.
type AppliedBy struct {
	Director string `json:"director"` // director ID, or the reporter name of a relay (see RelayReporter)
	AfterMS  int64  `json:"after_ms"` // time from the commit of the event to its application
}

// Event is the adoption of one event across the fleet.
type Event struct {
	No           int64       `json:"no"`
	AgeMS        int64       `json:"age_ms"` // time since the event was committed
	Applied      []AppliedBy `json:"taken,omitempty"`
	Missing      []string    `json:"missing,omitempty"` // current members that have not applied it
	Lost         []string    `json:"lost,omitempty"`    // former members that had not applied it
	HadInitially int         `json:"had"`               // reporters whose first report already included it
	P50MS        int64       `json:"p50_ms"`
	P99MS        int64       `json:"p99_ms"`
	LastMS       int64       `json:"last_ms"`
}

// Event returns the adoption of the event at a revision, and the revisions of the first and last recorded events. found is false if
// the event is not recorded.
func (r *Record) Event(revision int64, now time.Duration) (e Event, first, last int64, found bool) {
	committedAt, found := r.committedAt[revision]
	if !found {
		return e, r.first, r.last, false
	}
	e = Event{No: revision, AgeMS: (now - committedAt).Milliseconds()}
	for reporter, appliedAt := range r.appliedAt[revision] {
		e.Applied = append(e.Applied, AppliedBy{Director: reporter, AfterMS: (appliedAt - committedAt).Milliseconds()})
	}
	slices.SortFunc(e.Applied, func(a, b AppliedBy) int {
		return cmp.Or(cmp.Compare(a.AfterMS, b.AfterMS), cmp.Compare(a.Director, b.Director))
	})
	r.addUnapplied(&e)
	if n := len(e.Applied); n > 0 {
		e.P50MS = e.Applied[n/2].AfterMS
		e.P99MS = e.Applied[n*99/100].AfterMS
		e.LastMS = e.Applied[n-1].AfterMS
	}
	return e, r.first, r.last, true
}

// addUnapplied adds the reporters that are not in e.Applied: those that have not applied the event, and the number of those whose first
// report already included it.
func (r *Record) addUnapplied(e *Event) {
	for _, reporter := range slices.Sorted(maps.Keys(r.applied)) {
		_, applied := r.appliedAt[e.No][reporter]
		switch {
		case applied:
		case r.initial[reporter] >= e.No:
			e.HadInitially++
		case r.goneSince[reporter] > 0:
			e.Lost = append(e.Lost, reporter)
		default:
			e.Missing = append(e.Missing, reporter)
		}
	}
	for relay, directors := range r.stale {
		for _, d := range directors {
			if r.goneSince[relay] == 0 && d.Revision < e.No {
				e.Missing = append(e.Missing, d.Director)
			}
		}
	}
	slices.Sort(e.Missing)
	e.Missing = slices.Compact(e.Missing)
}
