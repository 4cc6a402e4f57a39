package store

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
)

// PersistedState reads the replica's raft state and log from the file, to start its driver.
func (s *Store) PersistedState() (p PersistedState, err error) {
	p.Identity = *s.identity.Load()
	p.Applied = s.replica.applied
	err = s.db.View(func(tx *bolt.Tx) error {
		if _, err := readReplicaValue(tx, hardStateKey, &p.HardState); err != nil {
			return err
		}
		if _, err := readReplicaValue(tx, compactedKey, &p.Compacted); err != nil {
			return err
		}
		p.Entries, err = readEntries(tx, p.Compacted.Index)
		return err
	})
	p.Commit = max(p.Commit, p.Applied.At.Index)
	if err != nil {
		return p, err
	}
	// lastIndex is taken from the file, because a write whose final sync failed may be in it nevertheless.
	s.replica.lastIndex = p.Compacted.Index
	if n := len(p.Entries); n > 0 {
		s.replica.lastIndex = p.Entries[n-1].Index
	}
	return p, nil
}

// readEntries returns the entries after an index. Entries up to the index were compacted, but may not
// have been deleted yet.
func readEntries(tx *bolt.Tx, after uint64) (entries []Entry, err error) {
	c := tx.Bucket(logBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		index := uint64(decodeNumber(k))
		if index <= after {
			continue
		}
		raw, err := get(tx, logBucket, k)
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Index: index, Data: bytes.Clone(raw)})
	}
	return entries, nil
}

// HasUnpersisted reports whether applied state, a batch or only a position, is not in the file yet.
func (s *Store) HasUnpersisted() bool {
	return s.replica.appliedChanged || len(s.replica.unpersisted) > 0
}

// CompactLog schedules the entries up to a position for deletion by the next Persist.
func (s *Store) CompactLog(compacted Position) {
	raw, err := cbor.Marshal(compacted)
	if err != nil {
		panic(err) // encoding two numbers never fails
	}
	s.replica.compactedToDrop = compacted.Index
	s.replica.unpersisted = append(s.replica.unpersisted, put{bucket: replicaBucket, key: compactedKey, value: raw})
}

// Persist makes entries, the hard state and all previously applied state durable in one transaction.
// The entries replace the stored ones from the index of the first entry on. A nil hardState leaves
// the stored one unchanged.
func (s *Store) Persist(entries []Entry, hardState *HardState) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		if err := s.writeApplied(tx); err != nil {
			return err
		}
		if hardState != nil {
			if err := writeReplicaValue(tx, hardStateKey, *hardState); err != nil {
				return err
			}
		}
		if err := s.writeEntries(tx, entries); err != nil {
			return err
		}
		if err := dropEntries(tx, s.replica.compactedToDrop); err != nil {
			return err
		}
		s.options.KillPoint(BeforeCommit)
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: not written: %w", err)
	}
	if n := len(entries); n > 0 {
		s.replica.lastIndex = entries[n-1].Index
	}
	s.replica.unpersisted = nil
	s.replica.compactedToDrop = 0
	s.replica.appliedChanged = false
	s.overlay.Store(nil)
	s.options.KillPoint(AfterCommit)
	s.snapshotIfDue()
	return nil
}

// writeApplied writes the applied state that is not in the file yet.
func (s *Store) writeApplied(tx *bolt.Tx) error {
	for _, p := range s.replica.unpersisted {
		if err := p.write(tx); err != nil {
			return err
		}
	}
	return writeReplicaValue(tx, appliedKey, s.replica.applied)
}

// writeEntries replaces the stored log entries from the index of the first given entry on.
func (s *Store) writeEntries(tx *bolt.Tx, entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log := tx.Bucket(logBucket)
	for index := entries[0].Index; index <= s.replica.lastIndex; index++ {
		if err := log.Delete(encodeNumber(int64(index))); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := write(tx, logBucket, encodeNumber(int64(entry.Index)), entry.Data); err != nil {
			return err
		}
	}
	return nil
}

// dropEntries deletes the entries up to an index.
func dropEntries(tx *bolt.Tx, last uint64) error {
	c := tx.Bucket(logBucket).Cursor()
	for k, _ := c.First(); k != nil && uint64(decodeNumber(k)) <= last; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
