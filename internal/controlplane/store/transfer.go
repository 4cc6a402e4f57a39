package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
)

// ExportSnapshot hands out the whole store as it is at this moment, while writes go on: what it has taken over, its length in
// bytes, and what writes it.
func (s *Store) ExportSnapshot(f func(t AppliedState, length int64, write func(io.Writer) error) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.View(func(tx *bolt.Tx) error {
		raw, err := get(tx, copyBucket, takenKey)
		if err != nil {
			return err
		}
		var t AppliedState
		if err := decode(raw, &t); err != nil {
			return err
		}
		return f(t, tx.Size(), func(w io.Writer) error {
			_, err := tx.WriteTo(w)
			return err
		})
	})
}

// ReceivedSnapshot is a whole store that came from another copy and was checked. It is to be adopted or dropped.
type ReceivedSnapshot struct {
	store   *Store
	Applied AppliedState
}

// ReceiveSnapshot keeps a whole store beside this one and checks every value of it.
func (s *Store) ReceiveSnapshot(r io.Reader) (c *ReceivedSnapshot, err error) {
	if !s.receiving.TryLock() {
		return nil, errors.New("store: another whole state is on its way")
	}
	defer s.receiving.Unlock()
	// Each has a file of its own: one that is given up is removed beside, which takes a disk long, and nobody waits for that.
	f, err := os.CreateTemp(filepath.Dir(s.path), filepath.Base(s.path)+incoming+"*")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	path := f.Name()
	defer func() {
		if err != nil {
			go os.Remove(path)
		}
	}()
	for err == nil { // in pieces: the sync of a large file would hold up whoever else writes to the disk
		if _, err = io.CopyN(f, r, receivePiece); err == nil {
			err = f.Sync()
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	opt := s.opt
	opt.KillPoint, opt.Committed = nil, nil
	in, err := Open(path, opt)
	if err != nil {
		return nil, err
	}
	return &ReceivedSnapshot{in, in.group.taken}, nil
}

// Discard gives a candidate up.
func (c *ReceivedSnapshot) Discard() {
	_ = c.store.Close()
	go os.Remove(c.store.path)
}

const (
	incoming     = ".incoming-"
	receivePiece = 16 << 20 // bytes from one sync to the next
)

// sweepIncoming removes what a start before this one has received and not taken over.
func sweepIncoming(path string) {
	left, _ := filepath.Glob(path + incoming + "*")
	go func() {
		for _, p := range left {
			os.Remove(p)
		}
	}()
}

// InstallSnapshot puts a candidate in this store's place, under this disk's identity and promises. After an error the store is what
// it was.
func (s *Store) InstallSnapshot(c *ReceivedSnapshot, hard HardState) error {
	in := c.store
	i := *s.identity.Load()
	var err error
	if i.Inode, i.BornNS, err = mark(in.path); err != nil {
		return err
	}
	err = in.db.Update(func(tx *bolt.Tx) error {
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(logBucket); err != nil {
			return err
		}
		if err := putValue(tx, beforeKey, in.group.taken.At); err != nil {
			return err
		}
		if err := putValue(tx, hardKey, hard); err != nil {
			return err
		}
		return putValue(tx, identityKey, i)
	})
	if err == nil {
		err = os.Rename(in.path, s.path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(s.path))
	}
	if err != nil {
		return fmt.Errorf("store: not taken over: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.db
	s.db, s.snapped, s.first, s.tail = in.db, in.snapped, in.first, in.tail
	s.group = group{taken: in.group.taken}
	s.copied.Store(false)
	s.identity.Store(&i)
	s.over.Store(nil)
	s.state.Store(in.state.Load())
	go old.Close() // the last that holds the old file: a disk may take long to free it
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
