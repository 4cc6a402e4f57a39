package eventlog

import (
	"fmt"
	"slices"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

const (
	// MaxAnswer is the maximum size, in bytes, of an answer that consists of events. The events that don't fit are sent in the answer
	// to the watcher's next request. A director accepts at most 4 MB. A snapshot can't be split; 4 MB holds about 20,000 hosts.
	MaxAnswer = 1 << 20

	minTrim  = 1000 // with half of minEvents, the number of surplus events at which the log is trimmed
	maxParts = 16   // per answer, because a single write takes only a few buffers
)

// Log holds the most recent events of a fleet, encoded for watchers.
type Log struct {
	first             int64 // revision of events[0]
	events            [][]byte
	membershipChanges map[int64][]byte // by revision: events with their membership change, for directors that announce themselves
	fleet             fleet.Fleet      // state after the last event
	minEvents         int
	cachedAnswers     map[answerKey]answer
}

// answerKey identifies an answer: it covers the events after a revision, with or without the membership.
type answerKey struct {
	after      int64
	membership bool
}

// answer is the body of a response to a watch request, split into parts.
type answer struct {
	parts [][]byte
	size  int // total size of the parts in bytes
}

// New returns a log of consecutive events that start at revision first and result in fleet f. The log retains at least the last
// minEvents events. It returns an error if the revisions have a gap or an event can't be encoded.
func New(first int64, events []fleet.Event, f fleet.Fleet, minEvents int) (*Log, error) {
	l := &Log{
		first:             first,
		fleet:             f,
		minEvents:         minEvents,
		membershipChanges: map[int64][]byte{},
		cachedAnswers:     map[answerKey]answer{},
	}
	return l, l.append(events)
}

// Last returns the revision of the last event.
func (l *Log) Last() int64 { return l.fleet.Revision }

// HasMembership reports whether the fleet has ever had a member.
func (l *Log) HasMembership() bool { return l.fleet.Membership() != nil }

// Add appends events that result in fleet f. Their revisions must continue from Last without a gap. The log must not be used after an
// error.
func (l *Log) Add(events []fleet.Event, f fleet.Fleet) error {
	l.fleet = f
	clear(l.cachedAnswers)
	return l.append(events)
}

func (l *Log) append(events []fleet.Event) error {
	for _, e := range events {
		if next := l.first + int64(len(l.events)); e.No != next {
			return fmt.Errorf("append event %d to the event log: expected event %d", e.No, next)
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

// trim drops the oldest events once the surplus over minEvents exceeds half of minEvents plus minTrim. Trimming many events at a time
// keeps the amortized cost per event low.
func (l *Log) trim() {
	surplus := len(l.events) - l.minEvents
	if surplus <= l.minEvents/2+minTrim {
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

// Answer returns the response body for a watcher that has all events up to revision after, and the size of the body in bytes. The
// parts of the body are shared and must not be modified; they are nil if there is no newer event. With announced, the body includes
// the membership.
func (l *Log) Answer(after int64, announced bool) (parts [][]byte, size int, err error) {
	if after >= l.Last() {
		return nil, 0, nil
	}
	key := answerKey{after: after, membership: announced}
	if a, found := l.cachedAnswers[key]; found {
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
	l.cachedAnswers[key] = a
	return a.parts, a.size, nil
}

// needsSnapshot reports whether a watcher at revision after has no endpoint list yet or lacks events that were already trimmed.
func (l *Log) needsSnapshot(after int64) bool { return after == 0 || after+1 < l.first }

// eventsAfter returns the encoded events after a revision, and the revision of the last one returned. It returns at least one event and
// no more than fit into MaxAnswer.
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
		size += len(event) + 1 // plus a comma
		if size > MaxAnswer && i > 0 {
			return events[:i], after + int64(i)
		}
	}
	return events, l.Last()
}

// newAnswer builds the body of an answer that brings a watcher to revision last. More than maxParts parts are joined into one.
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
