package relayserver

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
)

// eventLog is the fleet state that the relay has received, and the last events that led to it.
type eventLog struct {
	fleet     fleet.Fleet
	log       *eventlog.Log
	maxEvents int
}

// newEventLog returns an empty log that keeps up to maxEvents events.
func newEventLog(maxEvents int) (*eventLog, error) {
	log, err := eventlog.New(1, nil, fleet.Fleet{}, maxEvents)
	return &eventLog{log: log, maxEvents: maxEvents}, err
}

// replace replaces the state with a snapshot and discards all events.
func (l *eventLog) replace(snapshot fleet.Dump) error {
	after, err := fleet.Restore(snapshot)
	if err != nil {
		return fmt.Errorf("snapshot at event %d: %w", snapshot.Revision, err)
	}
	log, err := eventlog.New(after.Revision+1, nil, after, l.maxEvents)
	if err != nil {
		return err
	}
	l.fleet, l.log = after, log
	return nil
}

// append applies events to the state and returns the new ones, which the caller must publish. It skips events that the log already
// has; the remaining events must follow without a gap. If append returns an error, the state is unchanged.
func (l *eventLog) append(events []fleet.Event) (applied []fleet.Event, err error) {
	for len(events) > 0 && events[0].No <= l.fleet.Revision {
		events = events[1:]
	}
	after := l.fleet
	for _, e := range events {
		if after, err = after.Apply(e); err != nil {
			return nil, fmt.Errorf("event %d: %w", e.No, err)
		}
	}
	l.fleet = after
	return events, nil
}
