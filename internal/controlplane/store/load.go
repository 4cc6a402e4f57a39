package store

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/zeebo/blake3"
	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// tailSlack is how many events beyond KeepEvents may be in memory while the log is replayed:
// without a snapshot there may be a million.
const tailSlack = 1000

// load reads the last snapshot and the events after it, and verifies every other value.
func (s *Store) load(tx *bolt.Tx) error {
	r, err := startReplay(tx, s.options.KeepEvents+tailSlack)
	if err != nil {
		return err
	}
	if err := r.replayEvents(tx); err != nil {
		return err
	}
	if err := checkHead(tx, r.state); err != nil {
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

// replay builds the state from the last snapshot and the events in the file, and verifies the chain
// of their hashes.
type replay struct {
	state            state
	snapshotRevision int64
	chain            [32]byte // up to lastEvent
	firstEvent       int64    // of tail; 0: none
	lastEvent        int64    // 0: none
	tail             []fleet.Event
	tailLength       int // events in tail, at least
}

// startReplay reads the last snapshot.
func startReplay(tx *bolt.Tx, tailLength int) (*replay, error) {
	r := &replay{tailLength: tailLength}
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
		if err := r.add(decodeNumber(k), raw); err != nil {
			return err
		}
	}
	if r.lastEvent != 0 && r.lastEvent < r.snapshotRevision {
		return fmt.Errorf("%w: events end at %d, before the snapshot at %d", ErrDamaged, r.lastEvent, r.snapshotRevision)
	}
	return nil
}

// add verifies the next event, and applies it if the snapshot does not hold it.
func (r *replay) add(number int64, raw []byte) error {
	event, stored, err := readEvent(raw)
	if err != nil {
		return err
	}
	if event.No != number || r.lastEvent != 0 && number != r.lastEvent+1 {
		return fmt.Errorf("%w: event %d stands where %d is wanted", ErrDamaged, event.No, number)
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
	r.keep(event)
	return nil
}

// verifyChain verifies the hash of the log up to an event. The first event in the file is the base,
// unless it is the first of all.
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
		return fmt.Errorf("%w: event %d does not follow the history before it", ErrDamaged, number)
	}
	return nil
}

// keep adds an event to the tail, and drops the oldest ones if the tail is too long.
func (r *replay) keep(event fleet.Event) {
	if r.firstEvent == 0 {
		r.firstEvent = event.No
	}
	r.tail = append(r.tail, event)
	if len(r.tail) > 2*r.tailLength {
		dropped := len(r.tail) - r.tailLength
		r.firstEvent += int64(dropped)
		r.tail = slices.Clone(r.tail[dropped:])
	}
}

// chainHash is the hash of a log with one more event.
func chainHash(chain [32]byte, event []byte) [32]byte {
	h := blake3.New()
	_, _ = h.Write(chain[:]) // a hash never fails
	_, _ = h.Write(event)
	return [32]byte(h.Sum(nil))
}

// checkHead compares the end of the log with the head that was written with it.
func checkHead(tx *bolt.Tx, st state) error {
	head, err := get(tx, metaBucket, headKey)
	if err != nil {
		return err
	}
	if head == nil && st.fleet.Revision == 0 || bytes.Equal(head, encodeHead(st)) {
		return nil
	}
	return fmt.Errorf("%w: the history ends at event %d, and not where it was left", ErrDamaged, st.fleet.Revision)
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
