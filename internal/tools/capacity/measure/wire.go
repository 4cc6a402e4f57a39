package measure

import (
	"errors"
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/tools/capacity"
)

var errEmptyAnswer = errors.New("the answer is empty")

var eventCounts = []int{1, 10, 100, 1000, 3000}

// unlimitedEvents is a retention length that exceeds the number of events in any measure, so that a log retains all events.
const unlimitedEvents = 1 << 20

var wireMeasures = []Measure{
	{
		Name:    "wire.bytes.purges",
		About:   "the answer with so many purges",
		XUnit:   "purge",
		Unit:    capacity.Bytes,
		Sizes:   eventCounts,
		ValueAt: purgeBytes,
	},
	{
		Name:    "wire.bytes.hosts",
		About:   "the answer with so many changes of a cache each",
		XUnit:   "host change",
		Unit:    capacity.Bytes,
		Sizes:   eventCounts,
		ValueAt: hostBytes,
	},
	{
		Name:  "wire.bytes.members",
		About: "the answer with so many directors that join in one event",
		XUnit: "director that joins",
		Unit:  capacity.Bytes,
		Sizes: eventCounts,
		ValueAt: func(size int) (float64, error) {
			return eventBytes(fleet.MembershipChange{Joined: newDirectors(size)})
		},
	},
	{
		Name:    "wire.bytes.gone",
		About:   "the answer with so many directors that leave in one event",
		XUnit:   "director that leaves",
		Unit:    capacity.Bytes,
		Sizes:   eventCounts,
		ValueAt: membersLeftBytes,
	},
	{
		Name:  "wire.bytes.whole",
		About: "the first answer to a director: 720 caches, 256 slots of claims and so many directors",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorCounts,
		ValueAt: func(size int) (float64, error) {
			return snapshotBytes(expectedCaches, size)
		},
	},
	{
		Name:  "wire.bytes.whole_caches",
		About: "the first answer to a director: so many caches, no director",
		XUnit: "cache",
		Unit:  capacity.Bytes,
		Sizes: cacheCounts,
		ValueAt: func(size int) (float64, error) {
			return snapshotBytes(size, 0)
		},
	},
}

// maxOverhead is the maximum number of bytes in an answer besides its events.
const maxOverhead = 1000

// newEventLog returns an event log with one initial event, which the watcher has applied, followed by the given events.
func newEventLog(events []fleet.Event) (*eventlog.Log, error) {
	after := fleet.Fleet{Revision: int64(1 + len(events))}
	base := fleet.Event{No: 1, Rules: &fleet.Rules{}}
	return eventlog.New(1, append([]fleet.Event{base}, events...), after, unlimitedEvents)
}

// answerBytes returns the size, in bytes, of the answer to a watcher that announces itself and has applied all events up to the
// given revision.
func answerBytes(log *eventlog.Log, after int64) (float64, error) {
	_, size, err := log.Answer(after, true)
	if err == nil && size == 0 {
		err = errEmptyAnswer
	}
	return float64(size), err
}

func purgeBytes(count int) (float64, error) {
	var events []fleet.Event
	for i := range count {
		events = append(events, purgeEvent(int64(i+2)))
	}
	return eventsAnswerBytes(events)
}

func hostBytes(count int) (float64, error) {
	var events []fleet.Event
	for i := range count {
		events = append(events, fleet.Event{
			No:   int64(i + 2),
			AtMS: 1,
			Who:  "operator@example",
			Host: newHost(i % expectedCaches),
		})
	}
	return eventsAnswerBytes(events)
}

func membersLeftBytes(count int) (float64, error) {
	var left []string
	for _, d := range newDirectors(count) {
		left = append(left, d.ID())
	}
	return eventBytes(fleet.MembershipChange{Left: left})
}

func eventBytes(change fleet.MembershipChange) (float64, error) {
	return eventsAnswerBytes([]fleet.Event{{No: 2, AtMS: 1, Who: "leader", Membership: &change}})
}

// eventsAnswerBytes returns the size, in bytes, of the answer that contains the events. It returns an error if they do not fit into
// one answer.
func eventsAnswerBytes(events []fleet.Event) (float64, error) {
	log, err := newEventLog(events)
	if err != nil {
		return 0, err
	}
	size, err := answerBytes(log, 1)
	if err == nil && size > eventlog.MaxAnswer+maxOverhead && len(events) > 1 {
		err = fmt.Errorf("%d events do not fit into one answer", len(events))
	}
	return size, err
}

func snapshotBytes(caches, directors int) (float64, error) {
	f, err := newFleet(caches, directors)
	if err != nil {
		return 0, err
	}
	log, err := eventlog.New(f.Revision+1, nil, f, unlimitedEvents)
	if err != nil {
		return 0, err
	}
	return answerBytes(log, 0)
}
