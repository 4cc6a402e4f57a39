package store

import (
	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// snapshot is the stored form of the fleet's state.
type snapshot struct {
	Fleet fleet.Dump `cbor:"Fleet"`
	Chain []byte     `cbor:"Chain"`
}

// snapshotIfDue takes a snapshot if at least SnapshotEvery events were appended since the last one.
// If that fails, the events are kept, and it is retried after the next change.
func (s *Store) snapshotIfDue() {
	if s.Fleet().Revision-s.snapshotRevision < int64(s.options.SnapshotEvery) {
		return
	}
	st := s.state.Load()
	s.options.KillPoint(BeforeSnapshot)
	err := s.db.Update(func(tx *bolt.Tx) error { return s.writeSnapshot(tx, st) })
	if err == nil {
		s.snapshotRevision = st.fleet.Revision
	}
	s.options.KillPoint(AfterSnapshot)
}

// writeSnapshot writes the state, and deletes all but the last KeepEvents events. Only watchers that
// were disconnected for long would need the deleted ones.
func (s *Store) writeSnapshot(tx *bolt.Tx, st *state) error {
	raw, err := fleet.Encode(snapshot{Fleet: st.fleet.Dump(), Chain: st.chain[:]})
	if err != nil {
		return err
	}
	if err := write(tx, snapBucket, fleetKey, raw); err != nil {
		return err
	}
	lastDropped := st.fleet.Revision - int64(s.options.KeepEvents)
	c := tx.Bucket(eventBucket).Cursor()
	for k, _ := c.First(); k != nil && decodeNumber(k) <= lastDropped; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
