package store

import (
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// View provides read access to the committed state.
type View struct {
	tx      *bolt.Tx
	overlay *overlay
}

// get returns the value of a key; nil if there is none. It is valid until the transaction ends.
func (v *View) get(bucket, key []byte) ([]byte, error) {
	if value, isSet := v.overlay.find(bucket, key); isSet {
		return value, nil
	}
	return get(v.tx, bucket, key)
}

// number returns a number from the meta bucket; 0 if there is none.
func (v *View) number(key string) (int64, error) {
	raw, err := v.get(metaBucket, []byte(key))
	return parseNumber(raw, err, key)
}

// Tx is the transaction of a change. Its reads return the state before the change, without the
// change's own writes.
type Tx struct {
	View
	NowMS          int64 // Unix milliseconds
	rememberWrites time.Duration
	state          state
	events         []fleet.Event
	puts           []put
}

func (s *Store) newTx(view View, st state) *Tx {
	return &Tx{View: view, NowMS: s.options.Clock(), rememberWrites: s.options.RememberWrites, state: st}
}

func (t *Tx) put(bucket, key, value []byte) {
	t.puts = append(t.puts, put{bucket: bucket, key: key, value: value})
}

func (t *Tx) putNumber(key string, n int64) { t.put(metaBucket, []byte(key), encodeNumber(n)) }

// putEncoded encodes a value and adds it to the puts.
func (t *Tx) putEncoded(bucket, key []byte, value any) error {
	raw, err := fleet.Encode(value)
	if err != nil {
		return fmt.Errorf("store: encode value of %s: %w", bucket, err)
	}
	t.put(bucket, key, raw)
	return nil
}

// Fleet returns the fleet's state including the events that the change has appended so far.
func (t *Tx) Fleet() fleet.Fleet { return t.state.fleet }

// chainedEvent is the stored form of an event.
type chainedEvent struct {
	Event []byte `cbor:"Event"`
	Chain []byte `cbor:"Chain"` // hash of the event log up to and including the event
}

// Append appends an event to the event log, and returns the number that it was given. It sets the
// number and the time of the event.
func (t *Tx) Append(event fleet.Event) (number int64, err error) {
	event.No = t.state.fleet.Revision + 1
	event.AtMS = max(t.NowMS, t.state.atMS)
	next, err := t.state.fleet.Apply(event)
	if err != nil {
		return 0, err
	}
	raw, err := fleet.Encode(event)
	if err != nil {
		return 0, fmt.Errorf("store: encode event %d: %w", event.No, err)
	}
	chain := chainHash(t.state.chain, raw)
	stored, err := fleet.Encode(chainedEvent{Event: raw, Chain: chain[:]})
	if err != nil {
		return 0, fmt.Errorf("store: encode event %d: %w", event.No, err)
	}
	t.state = state{fleet: next, chain: chain, atMS: event.AtMS}
	t.put(eventBucket, encodeNumber(event.No), stored)
	t.put(metaBucket, headKey, encodeHead(t.state))
	t.events = append(t.events, event)
	return event.No, nil
}

// readEvent decodes a stored event.
func readEvent(raw []byte) (event fleet.Event, stored chainedEvent, err error) {
	if err = decode(raw, &stored); err == nil {
		err = decode(stored.Event, &event)
	}
	return event, stored, err
}

// Events returns the events with numbers greater than after, at most limit of them.
func (v *View) Events(after int64, limit int) (events []fleet.Event, err error) {
	c := v.tx.Bucket(eventBucket).Cursor()
	for k, _ := c.Seek(encodeNumber(after + 1)); k != nil && len(events) < limit; k, _ = c.Next() {
		raw, err := v.get(eventBucket, k)
		if err != nil {
			return nil, err
		}
		event, _, err := readEvent(raw)
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	return v.appendOverlaidEvents(events, after, limit)
}

// appendOverlaidEvents appends the following events that are committed but not in the file yet.
func (v *View) appendOverlaidEvents(events []fleet.Event, after int64, limit int) ([]fleet.Event, error) {
	last := after
	if len(events) > 0 {
		last = events[len(events)-1].No
	}
	for len(events) < limit {
		raw, isSet := v.overlay.find(eventBucket, encodeNumber(last+1))
		if !isSet {
			break
		}
		event, _, err := readEvent(raw)
		if err != nil {
			return nil, err
		}
		events = append(events, event)
		last = event.No
	}
	return events, nil
}
