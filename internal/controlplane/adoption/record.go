package adoption

import (
	"slices"
	"strings"
	"time"
)

const (
	// goneExpiry is how long a reporter that is no longer a member is kept, because it may only be paused or partitioned.
	goneExpiry = 10 * time.Minute
	// relayPrefix distinguishes relays from directors in reporter names.
	relayPrefix = "relay:"
)

// Record is the adoption record of one leader since the start of its leadership. Directors report under their IDs, and relays under the
// names that RelayReporter returns. A Record is not safe for concurrent use.
type Record struct {
	maxEvents   int64                              // number of most recent events that are recorded
	first       int64                              // revision of the first recorded event
	last        int64                              // revision of the last recorded event
	committedAt map[int64]time.Duration            // by revision
	appliedAt   map[int64]map[string]time.Duration // by revision and reporter
	applied     map[string]int64                   // last revision that each reporter has applied
	initial     map[string]int64                   // revision in each reporter's first report
	goneSince   map[string]time.Duration           // reporters that are no longer members
	stale       map[string][]Stale                 // stale directors behind each relay, by the relay's reporter name
}

// New returns a record that starts with the event following revision after and retains the last maxEvents events.
func New(maxEvents, after int64) *Record {
	return &Record{
		maxEvents:   maxEvents,
		first:       after + 1,
		last:        after,
		committedAt: map[int64]time.Duration{},
		appliedAt:   map[int64]map[string]time.Duration{},
		applied:     map[string]int64{},
		initial:     map[string]int64{},
		goneSince:   map[string]time.Duration{},
		stale:       map[string][]Stale{},
	}
}

// RecordCommitted records that all events up to last are committed at time now. It must be called before any director receives them.
func (r *Record) RecordCommitted(last int64, now time.Duration) {
	for ; r.last < last; r.last++ {
		r.committedAt[r.last+1] = now
		delete(r.committedAt, r.last+1-r.maxEvents)
		delete(r.appliedAt, r.last+1-r.maxEvents)
	}
	r.first = max(r.first, r.last-r.maxEvents+1)
}

// RecordApplied records that a reporter had applied all events up to a revision at the given time. A revision beyond the last committed
// event is ignored, because it belongs to a different event log.
func (r *Record) RecordApplied(reporter string, applied int64, at time.Duration) {
	previous, known := r.applied[reporter]
	if !known {
		r.initial[reporter] = applied
	}
	if known && applied <= previous || applied > r.last {
		return
	}
	r.applied[reporter] = applied
	if !known {
		return
	}
	for event := max(previous+1, r.first); event <= applied; event++ {
		if r.appliedAt[event] == nil {
			r.appliedAt[event] = map[string]time.Duration{}
		}
		r.appliedAt[event][reporter] = max(at, r.committedAt[event])
	}
}

// RelayReporter returns the reporter name of a relay. A relay counts as having applied an event once all of its directors have applied
// it, except for the stale ones. The size of the record therefore grows with the number of relays and not with the number of directors
// behind them.
func RelayReporter(relayID string) string { return relayPrefix + relayID }

// RelayOf returns the ID of the relay with the given reporter name, or an empty string if the reporter is a director.
func RelayOf(reporter string) string {
	if id, isRelay := strings.CutPrefix(reporter, relayPrefix); isRelay {
		return id
	}
	return ""
}

// Stale is a director that has acknowledged less than the relay that reports for it.
type Stale struct {
	Director string
	Revision int64 // last revision that it has acknowledged
}

// SetStale replaces the stale directors of a relay.
func (r *Record) SetStale(relay string, directors []Stale) {
	if len(directors) == 0 {
		delete(r.stale, relay)
		return
	}
	r.stale[relay] = slices.Clone(directors)
}

// RemoveServedByRelay removes the reporters for which a relay now reports. The events that they have applied stay recorded.
func (r *Record) RemoveServedByRelay(isServed func(id string) bool) {
	for reporter := range r.initial {
		if isServed(reporter) {
			r.remove(reporter)
		}
	}
}

func (r *Record) remove(reporter string) {
	delete(r.applied, reporter)
	delete(r.initial, reporter)
	delete(r.goneSince, reporter)
	delete(r.stale, reporter)
}

// MarkGone marks the reporters that are no longer members, and removes them once goneExpiry has passed. The events that they have
// applied stay recorded.
func (r *Record) MarkGone(isMember func(reporter string) bool, now time.Duration) {
	for reporter := range r.initial {
		since, isGone := r.goneSince[reporter]
		switch {
		case isMember(reporter):
			delete(r.goneSince, reporter)
		case !isGone:
			r.goneSince[reporter] = now
		case now-since > goneExpiry:
			r.remove(reporter)
		}
	}
}
