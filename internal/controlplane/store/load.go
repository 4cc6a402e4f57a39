package store

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/zeebo/blake3"
	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// maxExtraTailEvents is how many events beyond KeepEvents the tail keeps in memory when it is trimmed
// during a replay. Without a limit it could hold a million events if there is no snapshot.
const maxExtraTailEvents = 1000

// load reads the last snapshot and the events after it, and verifies every other value.
func (s *Store) load(tx *bolt.Tx) error {
	r, err := startReplay(tx, s.options.KeepEvents+maxExtraTailEvents)
	if err != nil {
		return err
	}
	if err := r.replayEvents(tx); err != nil {
		return err
	}
	if err := verifyHead(tx, r.state); err != nil {
		return err
	}
	s.snapshotRevision = r.snapshotRevision
	s.firstEvent = r.firstEvent
	if s.firstEvent == 0 {
		s.firstEvent = r.state.fleet.Revision + 1
	}
	s.tail = r.tail
	s.state.Store(&r.state)
	if err := verifyValues(tx); err != nil {
		return err
	}
	if err := s.loadReplica(tx); err != nil {
		return err
	}
	return checkApplies(tx)
}

// replay rebuilds the state from the last snapshot and the events in the file, and verifies the hash
// chain of the events.
type replay struct {
	state            state
	snapshotRevision int64
	chain            [32]byte // hash of the event log up to lastEvent
	firstEvent       int64    // number of the first event in tail; 0: none
	lastEvent        int64    // number of the last event; 0: none
	tail             []fleet.Event
	minTailLength    int // events that remain in tail when it is trimmed
}

// startReplay returns a replay that starts from the last snapshot.
func startReplay(tx *bolt.Tx, minTailLength int) (*replay, error) {
	r := &replay{minTailLength: minTailLength}
	raw, err := get(tx, snapBucket, fleetKey)
	if err != nil || raw == nil {
		return r, err
	}
	var snap snapshot
	if err := decode(raw, &snap); err != nil {
		return nil, err
	}
	if r.state.fleet, err = fleet.Restore(snap.Fleet); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	copy(r.state.chain[:], snap.Chain)
	r.snapshotRevision = r.state.fleet.Revision
	return r, nil
}

func (r *replay) replayEvents(tx *bolt.Tx) error {
	c := tx.Bucket(eventBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		raw, err := get(tx, eventBucket, k)
		if err != nil {
			return err
		}
		if err := r.replayEvent(decodeNumber(k), raw); err != nil {
			return err
		}
	}
	if r.lastEvent != 0 && r.lastEvent < r.snapshotRevision {
		return fmt.Errorf("%w: the event log ends at %d, before the snapshot at %d", ErrDamaged, r.lastEvent, r.snapshotRevision)
	}
	return nil
}

// replayEvent verifies the next event, and applies it unless the snapshot includes it.
func (r *replay) replayEvent(number int64, raw []byte) error {
	event, stored, err := readEvent(raw)
	if err != nil {
		return err
	}
	if event.No != number || r.lastEvent != 0 && number != r.lastEvent+1 {
		return fmt.Errorf("%w: found event %d where event %d is expected", ErrDamaged, event.No, number)
	}
	if err := r.verifyChain(number, stored); err != nil {
		return err
	}
	if number > r.snapshotRevision {
		if r.state.fleet, err = r.state.fleet.Apply(event); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		r.state.chain = r.chain
	}
	r.state.atMS = max(r.state.atMS, event.AtMS)
	r.lastEvent = number
	r.appendToTail(event)
	return nil
}

// verifyChain verifies the hash of the event log up to an event. The chain starts with the stored
// hash of the first event in the file, unless that is event 1, whose hash is computed.
func (r *replay) verifyChain(number int64, stored chainedEvent) error {
	switch {
	case r.lastEvent != 0:
		r.chain = chainHash(r.chain, stored.Event)
	case number == 1:
		r.chain = chainHash([32]byte{}, stored.Event)
	default:
		copy(r.chain[:], stored.Chain)
	}
	if [32]byte(stored.Chain) != r.chain || number == r.snapshotRevision && r.chain != r.state.chain {
		return fmt.Errorf("%w: the hash of event %d does not match the event log before it", ErrDamaged, number)
	}
	return nil
}

// appendToTail appends an event to the tail, and drops the oldest events if the tail is too long.
func (r *replay) appendToTail(event fleet.Event) {
	if r.firstEvent == 0 {
		r.firstEvent = event.No
	}
	r.tail = append(r.tail, event)
	if len(r.tail) > 2*r.minTailLength {
		dropped := len(r.tail) - r.minTailLength
		r.firstEvent += int64(dropped)
		r.tail = slices.Clone(r.tail[dropped:])
	}
}

// chainHash returns the hash of an event log extended by one event, given the hash of the log before
// it.
func chainHash(chain [32]byte, event []byte) [32]byte {
	h := blake3.New()
	_, _ = h.Write(chain[:]) // a hash never fails
	_, _ = h.Write(event)
	return [32]byte(h.Sum(nil))
}

// verifyHead returns an error unless the end of the event log matches the stored head.
func verifyHead(tx *bolt.Tx, st state) error {
	head, err := get(tx, metaBucket, headKey)
	if err != nil {
		return err
	}
	if head == nil && st.fleet.Revision == 0 || bytes.Equal(head, encodeHead(st)) {
		return nil
	}
	return fmt.Errorf("%w: the event log ends at event %d, which does not match the stored head", ErrDamaged, st.fleet.Revision)
}

func encodeHead(st state) []byte { return append(encodeNumber(st.fleet.Revision), st.chain[:]...) }

// verifyValues verifies the checksums of all values that are not events.
func verifyValues(tx *bolt.Tx) error {
	for _, name := range [][]byte{
		applyBucket, planBucket, desiredBucket, stepBucket, planIDBucket, metaBucket, writeBucket, logBucket, replicaBucket,
	} {
		if err := tx.Bucket(name).ForEach(func(k, _ []byte) error {
			_, err := get(tx, name, k)
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}
