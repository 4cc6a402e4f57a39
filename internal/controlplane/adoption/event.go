package adoption

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AppliedBy is a reporter that has applied an event.
type AppliedBy struct {
	Director string `json:"director"` // or a relay, by the name that it reports by
	AfterMS  int64  `json:"after_ms"` // since the event was committed
}

// Event is what is recorded of one event.
type Event struct {
	No           int64       `json:"no"`
	AgeMS        int64       `json:"age_ms"` // since it was committed
	Applied      []AppliedBy `json:"taken,omitempty"`
	Missing      []string    `json:"missing,omitempty"` // members that have not applied it
	Lost         []string    `json:"lost,omitempty"`    // members no more, and had not applied it
	HadInitially int         `json:"had"`               // reporters that had it with their first report
	P50MS        int64       `json:"p50_ms"`
	P99MS        int64       `json:"p99_ms"`
	LastMS       int64       `json:"last_ms"`
}

// Event returns what is recorded of an event. It also returns the first and the last event of the record; without the event,
// found is false.
func (r *Record) Event(no int64, now time.Duration) (e Event, first, last int64, found bool) {
	committedAt, found := r.committedAt[no]
	if !found {
		return e, r.first, r.last, false
	}
	e = Event{No: no, AgeMS: (now - committedAt).Milliseconds()}
	for reporter, appliedAt := range r.appliedAt[no] {
		e.Applied = append(e.Applied, AppliedBy{Director: reporter, AfterMS: (appliedAt - committedAt).Milliseconds()})
	}
	slices.SortFunc(e.Applied, func(a, b AppliedBy) int {
		return cmp.Or(cmp.Compare(a.AfterMS, b.AfterMS), cmp.Compare(a.Director, b.Director))
	})
	r.addOthers(&e)
	if n := len(e.Applied); n > 0 {
		e.P50MS = e.Applied[n/2].AfterMS
		e.P99MS = e.Applied[n*99/100].AfterMS
		e.LastMS = e.Applied[n-1].AfterMS
	}
	return e, r.first, r.last, true
}

// addOthers adds who has not applied an event, and who had it from the beginning.
func (r *Record) addOthers(e *Event) {
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
