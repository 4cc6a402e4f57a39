package relayserver

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
)

// eventLog is the fleet as the relay knows it, and the last events that led to it.
type eventLog struct {
	fleet fleet.Fleet
	log   *eventlog.Log
	keep  int
}

// newEventLog makes a log without events that keeps so many of them.
func newEventLog(keep int) (*eventLog, error) {
	log, err := eventlog.New(1, nil, fleet.Fleet{}, keep)
	return &eventLog{log: log, keep: keep}, err
}

// replace goes on from a snapshot, whatever was there before.
func (l *eventLog) replace(snapshot fleet.Dump) error {
	after, err := fleet.Restore(snapshot)
	if err != nil {
		return fmt.Errorf("snapshot at event %d: %w", snapshot.Revision, err)
	}
	log, err := eventlog.New(after.Revision+1, nil, after, l.keep)
	if err != nil {
		return err
	}
	l.fleet, l.log = after, log
	return nil
}

// follow takes events in and gives those that are new, for the log that watchers are answered from. Their numbers must follow
// on those before, without a gap; ones that the relay has are passed over. After an error the fleet is as it was.
func (l *eventLog) follow(events []fleet.Event) (fresh []fleet.Event, err error) {
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
