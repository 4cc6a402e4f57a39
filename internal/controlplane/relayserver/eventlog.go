package relayserver

import (
	"fmt"

	"stairvane.org/stairvane/internal/controlplane/eventlog"
	"stairvane.org/stairvane/internal/fleet"
)

// eventLog is the state of the fleet as the relay knows it, and the last events before it.
type eventLog struct {
	fleet fleet.Fleet
	log   *eventlog.Log
	keep  int
}

// newEventLog makes an empty log that keeps so many events.
func newEventLog(keep int) (*eventLog, error) {
	log, err := eventlog.New(1, nil, fleet.Fleet{}, keep)
	return &eventLog{log: log, keep: keep}, err
}

// replace replaces the state by a snapshot, and all events.
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

// append applies events and returns those that are new, which are to be published. Events that the log has are skipped; the others
// must follow on it without a gap. After an error the state is as before.
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
