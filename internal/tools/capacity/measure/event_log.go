package measure

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
)

func historyHeap(events int) (float64, error) {
	var err error
	heap := retainedHeap(func() any {
		var log *eventlog.Log
		log, err = eventlog.New(1, nil, fleet.Fleet{}, unlimitedEvents)
		for revision := int64(1); err == nil && revision <= int64(events); revision++ {
			err = log.Add([]fleet.Event{purgeEvent(revision)}, fleet.Fleet{Revision: revision})
		}
		return log
	})
	return heap, err
}

// answerTime returns the processor time of the watch server for one event, in seconds: it appends the event and answers all waiting
// watchers.
func answerTime(watchers int) (float64, error) {
	log, err := eventlog.New(1, nil, fleet.Fleet{}, 10_000)
	if err != nil {
		return 0, err
	}
	var answerErr error
	var out []byte
	seconds := timePerOperation(func(n int) {
		revision := int64(n + 1)
		if err := log.Add([]fleet.Event{purgeEvent(revision)}, fleet.Fleet{Revision: revision}); err != nil {
			answerErr = err
			return
		}
		for range watchers {
			parts, size, err := log.Answer(revision-1, true)
			if err != nil {
				answerErr = err
				return
			}
			if size == 0 {
				answerErr = errEmptyAnswer
				return
			}
			out = discovery.AppendResponseHead(out[:0], 200, size, false)
			for _, part := range parts {
				out = append(out, part...)
			}
		}
	})
	return seconds, answerErr
}

// snapshotTime returns the processor time, in seconds, of encoding the first answer to a director. The log encodes it again after
// each event.
func snapshotTime(directors int) (float64, error) {
	f, err := newFleet(expectedCaches, directors)
	last := int64(expectedCaches + 1 + retainedPurges)
	for revision := f.Revision + 1; err == nil && revision <= last; revision++ {
		f, err = f.Apply(purgeEvent(revision))
	}
	if err != nil {
		return 0, err
	}
	log, err := eventlog.New(f.Revision+1, nil, f, unlimitedEvents)
	if err != nil {
		return 0, err
	}
	size := 0
	seconds := timePerOperation(func(int) {
		if err = log.Add(nil, f); err != nil { // discards the encoded answer
			return
		}
		_, size, err = log.Answer(0, true)
	})
	if err == nil && size < retainedPurges {
		err = fmt.Errorf("the first answer has only %d bytes", size)
	}
	return seconds, err
}
