package eventlog

import (
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

const (
	// MaxAnswer bounds an answer of events, in bytes. A watcher gets the events beyond it with its next request. A director accepts
	// 4 MB at most. A snapshot can't be divided: 4 MB is about 20,000 hosts.
	MaxAnswer = 1 << 20

	minSurplus = 1000 // events beyond those to keep, before the log is trimmed
	maxParts   = 16   // of an answer; one write takes few
)

// Log has the last events of a fleet, encoded for watchers.
type Log struct {
	first              int64 // revision of events[0]
	events             [][]byte
	membershipChanges  map[int64][]byte // by revision: events with their change of the membership, for those who announce themselves
	fleet              fleet.Fleet      // after the last event
	keep               int
	answersSinceChange map[question]answer
}

// question is what a watcher asks for: the events after a revision, with or without the membership.
type question struct {
	after      int64
	membership bool
}

// answer is the body of an answer, in parts.
type answer struct {
	parts [][]byte
	size  int // of all parts, in bytes
}

// New makes a log of events that begin with revision first and lead to a fleet. The log keeps at least so many events.
func New(first int64, events []fleet.Event, f fleet.Fleet, keep int) (*Log, error) {
	l := &Log{
		first:              first,
		fleet:              f,
		keep:               keep,
		membershipChanges:  map[int64][]byte{},
		answersSinceChange: map[question]answer{},
	}
	return l, l.append(events)
}

// Last is the revision of the last event.
func (l *Log) Last() int64 { return l.fleet.Revision }

// HasMembership tells whether there was ever a member.
func (l *Log) HasMembership() bool { return l.fleet.Membership() != nil }

// Add appends events, which lead to a fleet. Their revisions must follow on the last one without a gap; after an error the log can't be
// used.
func (l *Log) Add(events []fleet.Event, f fleet.Fleet) error {
	l.fleet = f
	clear(l.answersSinceChange)
	return l.append(events)
}

func (l *Log) append(events []fleet.Event) error {
	for _, e := range events {
		if next := l.first + int64(len(l.events)); e.No != next {
			return fmt.Errorf("append event %d to the event log: the next one is %d", e.No, next)
		}
		if err := l.appendEvent(e); err != nil {
			return fmt.Errorf("append event %d to the event log: %w", e.No, err)
		}
	}
	l.trim()
	return nil
}

func (l *Log) appendEvent(e fleet.Event) error {
	encoded, err := discovery.EncodeEvent(DiscoveryEvent(e))
	if err != nil {
		return err
	}
	l.events = append(l.events, encoded)
	if e.Membership == nil {
		return nil
	}
	withMembership := DiscoveryEvent(e)
	withMembership.Membership = membershipChange(e)
	l.membershipChanges[e.No], err = discovery.EncodeEvent(withMembership)
	return err
}

// trim drops the oldest events. It does so seldom, so that the cost for each event is small.
func (l *Log) trim() {
	surplus := len(l.events) - l.keep
	if surplus <= l.keep/2+minSurplus {
		return
	}
	l.events = append([][]byte(nil), l.events[surplus:]...)
	l.first += int64(surplus)
	for revision := range l.membershipChanges {
		if revision < l.first {
			delete(l.membershipChanges, revision)
		}
	}
}

// Answer is the body for a watcher that has the events up to a revision, in parts that must not be changed, and its size in bytes. It
// is nil if there is nothing newer. Watchers that announce themselves get the membership, too.
func (l *Log) Answer(after int64, announced bool) (parts [][]byte, size int, err error) {
	if after >= l.Last() {
		return nil, 0, nil
	}
	q := question{after: after, membership: announced}
	if a, found := l.answersSinceChange[q]; found {
		return a.parts, a.size, nil
	}
	var events [][]byte
	last := l.Last()
	if l.needsSnapshot(after) {
		if events, err = l.snapshot(after, announced); err != nil {
			return nil, 0, err
		}
	} else {
		events, last = l.eventsAfter(after, announced)
	}
	a := newAnswer(events, last)
	l.answersSinceChange[q] = a
	return a.parts, a.size, nil
}

// needsSnapshot tells whether a watcher has no endpoint list yet, or lacks events that the log does not have any more.
func (l *Log) needsSnapshot(after int64) bool { return after == 0 || after+1 < l.first }

// eventsAfter are the events after a revision, as many as an answer may have and at least one, and the revision that they lead to.
func (l *Log) eventsAfter(after int64, announced bool) (events [][]byte, last int64) {
	events = l.events[after+1-l.first:]
	if announced && len(l.membershipChanges) > 0 {
		events = slices.Clone(events)
		for i := range events {
			if changed := l.membershipChanges[after+1+int64(i)]; changed != nil {
				events[i] = changed
			}
		}
	}
	size := 0
	for i, event := range events {
		size += len(event) + 1 // with a comma
		if size > MaxAnswer && i > 0 {
			return events[:i], after + int64(i)
		}
	}
	return events, l.Last()
}

// newAnswer makes the body of an answer that brings a watcher to a revision.
func newAnswer(events [][]byte, last int64) answer {
	parts := make([][]byte, 0, 2*len(events)+2)
	parts = append(parts, discovery.ResponseStart(last))
	for i, event := range events {
		if i > 0 {
			parts = append(parts, []byte{','})
		}
		parts = append(parts, event)
	}
	parts = append(parts, []byte(discovery.ResponseEnd))
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if len(parts) > maxParts {
		joined := make([]byte, 0, size)
		for _, part := range parts {
			joined = append(joined, part...)
		}
		parts = [][]byte{joined}
	}
	return answer{parts: parts, size: size}
}
