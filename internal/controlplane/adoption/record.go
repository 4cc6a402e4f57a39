package adoption

import (
	"slices"
	"strings"
	"time"
)

const (
	// goneExpiry is the time for which a director that is no member any more stays recorded: it may only be paused or cut off.
	goneExpiry = 10 * time.Minute
	// relayPrefix tells relays from directors.
	relayPrefix = "relay:"
)

// Record is a leader's record, since it began to lead. Its reporters are directors by their IDs, and relays by names of
// their own. It is not safe for concurrent use.
type Record struct {
	keep        int64                              // how many of the last events it has
	first       int64                              // the first event that it has
	last        int64                              // the last event
	committedAt map[int64]time.Duration            // by event
	appliedAt   map[int64]map[string]time.Duration // by event and reporter
	applied     map[string]int64                   // the last event that each reporter has applied
	initial     map[string]int64                   // the same with its first report
	goneSince   map[string]time.Duration           // of reporters that are no members any more
	stale       map[string][]Stale                 // directors behind a relay that lag, by the relay's name
}

// New makes a record of the last events that begins after one of them.
func New(keep, after int64) *Record {
	return &Record{
		keep:        keep,
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

// RecordCommitted records that all events up to last are committed. It is to be called before any director gets them.
func (r *Record) RecordCommitted(last int64, now time.Duration) {
	for ; r.last < last; r.last++ {
		r.committedAt[r.last+1] = now
		delete(r.committedAt, r.last+1-r.keep)
		delete(r.appliedAt, r.last+1-r.keep)
	}
	r.first = max(r.first, r.last-r.keep+1)
}

// RecordApplied records that a reporter has applied all events up to one, at a moment. A report of more than is committed is ignored: it
// is of another event log.
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

// RelayReporter returns the name by which a relay reports. A relay has applied an event when all of its directors have that are not
// stale. So the size of the record grows with relays, and not with the directors behind them.
func RelayReporter(relayID string) string { return relayPrefix + relayID }

// RelayOf returns the ID of the relay that reports by a name; empty if the reporter is a director.
func RelayOf(reporter string) string {
	if id, isRelay := strings.CutPrefix(reporter, relayPrefix); isRelay {
		return id
	}
	return ""
}

// Stale is a director that has acknowledged less than the relay that reports for it.
type Stale struct {
	Director string
	Revision int64 // that it has acknowledged
}

// SetStale replaces the stale directors of a relay.
func (r *Record) SetStale(relay string, directors []Stale) {
	if len(directors) == 0 {
		delete(r.stale, relay)
		return
	}
	r.stale[relay] = slices.Clone(directors)
}

// ForgetServed forgets directors that relays report for now. What they have applied stays recorded.
func (r *Record) ForgetServed(isServed func(id string) bool) {
	for reporter := range r.initial {
		if isServed(reporter) {
			r.forget(reporter)
		}
	}
}

func (r *Record) forget(reporter string) {
	delete(r.applied, reporter)
	delete(r.initial, reporter)
	delete(r.goneSince, reporter)
	delete(r.stale, reporter)
}

// MarkGone marks the reporters that are no members any more, and forgets them after a while. What they have applied stays recorded.
func (r *Record) MarkGone(isMember func(reporter string) bool, now time.Duration) {
	for reporter := range r.initial {
		since, isGone := r.goneSince[reporter]
		switch {
		case isMember(reporter):
			delete(r.goneSince, reporter)
		case !isGone:
			r.goneSince[reporter] = now
		case now-since > goneExpiry:
			r.forget(reporter)
		}
	}
}
