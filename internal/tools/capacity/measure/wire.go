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

// unlimitedEvents is more events than any measure has, so that a log retains them all.
const unlimitedEvents = 1 << 20

var wireMeasures = []Measure{
	{
		Name:  "wire.bytes.purges",
		About: "the answer with so many purges",
		XUnit: "purge",
		Unit:  capacity.Bytes,
		Sizes: eventCounts,
		At:    purgeBytes,
	},
	{
		Name:  "wire.bytes.hosts",
		About: "the answer with so many changes of a cache each",
		XUnit: "host change",
		Unit:  capacity.Bytes,
		Sizes: eventCounts,
		At:    hostBytes,
	},
	{
		Name:  "wire.bytes.members",
		About: "the answer with so many directors that join in one event",
		XUnit: "director that joins",
		Unit:  capacity.Bytes,
		Sizes: eventCounts,
		At: func(size int) (float64, error) {
			return eventBytes(fleet.MembershipChange{Joined: directorsOf(size)})
		},
	},
	{
		Name:  "wire.bytes.gone",
		About: "the answer with so many directors that leave in one event",
		XUnit: "director that leaves",
		Unit:  capacity.Bytes,
		Sizes: eventCounts,
		At:    membersLeftBytes,
	},
	{
		Name:  "wire.bytes.whole",
		About: "the first answer to a director: 720 caches, 256 slots of claims and so many directors",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorCounts,
		At: func(size int) (float64, error) {
			return snapshotBytes(expectedCaches, size)
		},
	},
	{
		Name:  "wire.bytes.whole_caches",
		About: "the first answer to a director: so many caches, no director",
		XUnit: "cache",
		Unit:  capacity.Bytes,
		Sizes: cacheCounts,
		At: func(size int) (float64, error) {
			return snapshotBytes(size, 0)
		},
	},
}

// maxOverhead is what an answer has besides its events, in bytes.
const maxOverhead = 1000

// logOf is an event log that begins after one event, which the watcher has applied.
func logOf(events []fleet.Event) (*eventlog.Log, error) {
	after := fleet.Fleet{Revision: int64(1 + len(events))}
	base := fleet.Event{No: 1, Rules: &fleet.Rules{}}
	return eventlog.New(1, append([]fleet.Event{base}, events...), after, unlimitedEvents)
}

// answerBytes is the size of the answer to a watcher that announces itself and has applied all events up to a revision.
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
	return answersOf(events)
}

func hostBytes(count int) (float64, error) {
	var events []fleet.Event
	for i := range count {
		events = append(events, fleet.Event{
			No:   int64(i + 2),
			AtMS: 1,
			Who:  "operator@example",
			Host: hostOf(i % expectedCaches),
		})
	}
	return answersOf(events)
}

func membersLeftBytes(count int) (float64, error) {
	var left []string
	for _, d := range directorsOf(count) {
		left = append(left, d.ID())
	}
	return eventBytes(fleet.MembershipChange{Left: left})
}

func eventBytes(change fleet.MembershipChange) (float64, error) {
	return answersOf([]fleet.Event{{No: 2, AtMS: 1, Who: "leader", Membership: &change}})
}

// answersOf is the size of the answer that carries events. It is an error if one answer can't carry them all.
func answersOf(events []fleet.Event) (float64, error) {
	log, err := logOf(events)
	if err != nil {
		return 0, err
	}
	size, err := answerBytes(log, 1)
	if err == nil && size > eventlog.MaxAnswer+maxOverhead && len(events) > 1 {
		err = fmt.Errorf("%d events take more than one answer", len(events))
	}
	return size, err
}

func snapshotBytes(caches, directors int) (float64, error) {
	f, err := fleetOf(caches, directors)
	if err != nil {
		return 0, err
	}
	log, err := eventlog.New(f.Revision+1, nil, f, unlimitedEvents)
	if err != nil {
		return 0, err
	}
	return answerBytes(log, 0)
}
