package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
)

const (
	receivedInfix        = ".incoming-" // in the name of a received snapshot's file, between the store's path and a random suffix
	receivedBytesPerSync = 16 << 20     // bytes between two syncs; a single sync of a large file would block all other writers to the disk
)

var errReceiving = errors.New("store: another snapshot is being received")

// ExportSnapshot calls export with a consistent snapshot of the complete store: its applied state, its
// length in bytes, and a function that writes it. Writes to the store continue during the call.
func (s *Store) ExportSnapshot(export func(applied AppliedState, length int64, write func(io.Writer) error) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.View(func(tx *bolt.Tx) error {
		raw, err := get(tx, replicaBucket, appliedKey)
		if err != nil {
			return err
		}
		var applied AppliedState
		if err := decode(raw, &applied); err != nil {
			return err
		}
		return export(applied, tx.Size(), func(w io.Writer) error {
			_, err := tx.WriteTo(w)
			return err
		})
	})
}

// ReceivedSnapshot is the complete store of another replica, received and verified. It must be
// installed or discarded.
type ReceivedSnapshot struct {
	store   *Store
	Applied AppliedState
}

// ReceiveSnapshot writes a snapshot to a file next to this store's and verifies all its values. It
// returns an error if another snapshot is being received.
func (s *Store) ReceiveSnapshot(r io.Reader) (*ReceivedSnapshot, error) {
	if !s.receiving.TryLock() {
		return nil, errReceiving
	}
	defer s.receiving.Unlock()
	// Each snapshot has a file of its own, because a discarded one is removed in the background, which
	// can take long on a slow disk.
	f, err := os.CreateTemp(filepath.Dir(s.path), filepath.Base(s.path)+receivedInfix+"*")
	if err != nil {
		return nil, fmt.Errorf("store: receive snapshot: %w", err)
	}
	path := f.Name()
	received, err := s.receiveInto(f, r)
	if err != nil {
		removeInBackground(path)
		return nil, fmt.Errorf("store: receive snapshot into %s: %w", path, err)
	}
	return received, nil
}

func (s *Store) receiveInto(f *os.File, r io.Reader) (*ReceivedSnapshot, error) {
	if err := errors.Join(copySynced(f, r), f.Sync(), f.Close()); err != nil {
		return nil, err
	}
	options := s.options
	options.KillPoint = nil
	options.Committed = nil
	received, err := Open(f.Name(), options)
	if err != nil {
		return nil, err
	}
	return &ReceivedSnapshot{store: received, Applied: received.replica.applied}, nil
}

// copySynced copies r to a file and syncs the file after every receivedBytesPerSync bytes.
func copySynced(f *os.File, r io.Reader) error {
	for {
		if _, err := io.CopyN(f, r, receivedBytesPerSync); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
	}
}

// Discard closes a received snapshot and removes its file in the background.
func (r *ReceivedSnapshot) Discard() {
	_ = r.store.Close() // its file is removed anyway
	removeInBackground(r.store.path)
}

// removeLeftoverSnapshots removes, in the background, snapshots that an earlier run of the program
// received but did not install.
func removeLeftoverSnapshots(path string) {
	paths, _ := filepath.Glob(path + receivedInfix + "*") // the pattern is valid
	go func() {
		for _, p := range paths {
			_ = os.Remove(p) // the next start tries again
		}
	}()
}

func removeInBackground(path string) {
	go func() { _ = os.Remove(path) }() // the next start tries again
}

// InstallSnapshot replaces this store by a received snapshot, with this disk's identity and the given
// hard state. On an error the store is unchanged.
func (s *Store) InstallSnapshot(r *ReceivedSnapshot, hardState HardState) error {
	received := r.store
	identity := *s.identity.Load()
	var err error
	if identity.Inode, identity.BornNS, err = fileIdentity(received.path); err != nil {
		return err
	}
	err = received.db.Update(func(tx *bolt.Tx) error {
		if err := clearLog(tx); err != nil {
			return err
		}
		if err := writeReplicaValue(tx, compactedKey, received.replica.applied.At); err != nil {
			return err
		}
		if err := writeReplicaValue(tx, hardStateKey, hardState); err != nil {
			return err
		}
		return writeReplicaValue(tx, identityKey, identity)
	})
	if err == nil {
		err = os.Rename(received.path, s.path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(s.path))
	}
	if err != nil {
		return fmt.Errorf("store: install snapshot: %w", err)
	}
	s.replaceWith(received, identity)
	return nil
}

// replaceWith switches this store to the file of a received store.
func (s *Store) replaceWith(received *Store, identity Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.db
	s.db = received.db
	s.snapshotRevision = received.snapshotRevision
	s.firstEvent = received.firstEvent
	s.tail = received.tail
	s.replica = replicaState{applied: received.replica.applied}
	s.isCloned.Store(false)
	s.identity.Store(&identity)
	s.overlay.Store(nil)
	s.state.Store(received.state.Load())
	go func() { _ = old.Close() }() // freeing the replaced file can take long
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
