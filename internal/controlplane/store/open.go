package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Versions of the file's form.
const (
	singleVersion  = 1 // of a control plane without replicas
	replicaVersion = 2 // of a replica: a program that knows no replicas must not write to it
)

const (
	lockTimeout = 500 * time.Millisecond
	// replicaMmapBytes is address space, not memory. All of the file is read while it grows, which
	// must not block the writer.
	replicaMmapBytes = 8 << 30
)

// Open opens or makes the store at a path. The error wraps ErrLocked, ErrDamaged or ErrNewer where
// it is one of them; the file is then left as it is.
func Open(path string, options Options) (*Store, error) {
	options.setDefaults()
	s := &Store{
		path:     path,
		options:  options,
		requests: make(chan *request, 4*options.Batch),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	s.identity.Store(&Identity{})
	if err := s.open(); err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	if options.IsReplica {
		removeReceivedSnapshots(path)
		close(s.stopped) // there is no writer: the replica's owner writes
	} else {
		go s.runWriter()
	}
	return s, nil
}

// open opens the file and verifies all of it. The file is mapped to memory: one that was cut short
// causes a memory fault, and a flipped bit a panic of the library. Both are damage.
func (s *Store) open() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
		if err != nil && s.db != nil {
			_ = s.db.Close() // the first error counts
		}
	}()
	if err := checkFileHeaders(s.path, s.options.AcceptOlder); err != nil {
		return err
	}
	if err := s.openFile(); err != nil {
		return err
	}
	if err := s.prepareBuckets(); err != nil {
		return err
	}
	return s.db.View(s.load)
}

func (s *Store) openFile() error {
	options := &bolt.Options{Timeout: lockTimeout, NoSync: s.options.NoSync, FreelistType: bolt.FreelistMapType}
	if s.options.IsReplica {
		options.InitialMmapSize = replicaMmapBytes
	}
	db, err := bolt.Open(s.path, 0o600, options)
	switch {
	case err == nil:
		s.db = db
		return nil
	case errors.Is(err, bolterrors.ErrTimeout):
		return ErrLocked
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return err
}

// prepareBuckets checks the form of the file, and makes the buckets that it lacks.
func (s *Store) prepareBuckets() error {
	var isNew, isComplete bool
	err := s.db.View(func(tx *bolt.Tx) (err error) {
		isNew, err = checkForm(tx)
		isComplete = hasBuckets(tx, laterBuckets)
		return err
	})
	if err != nil || !isNew && isComplete {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		for _, name := range slices.Concat(buckets, laterBuckets) {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return fmt.Errorf("make bucket %s: %w", name, err)
			}
		}
		if !isNew {
			return nil
		}
		return writeVersion(tx, singleVersion)
	})
}

func writeVersion(tx *bolt.Tx, version uint64) error {
	return write(tx, metaBucket, []byte(versionKey), binary.BigEndian.AppendUint64(nil, version))
}

// hasBuckets reports whether a file has all of some buckets.
func hasBuckets(tx *bolt.Tx, names [][]byte) bool {
	for _, name := range names {
		if tx.Bucket(name) == nil {
			return false
		}
	}
	return true
}

// checkForm checks that a file is one of this program's. isNew reports that nothing is in it yet.
func checkForm(tx *bolt.Tx) (isNew bool, err error) {
	if k, _ := tx.Cursor().First(); k == nil {
		return true, nil
	}
	for _, name := range buckets {
		if tx.Bucket(name) == nil {
			return false, fmt.Errorf("%w: it lacks %s", ErrDamaged, name)
		}
	}
	version, err := readNumber(tx, versionKey)
	switch {
	case err != nil:
		return false, err
	case version > replicaVersion:
		return false, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, version, replicaVersion)
	case version < singleVersion:
		return false, fmt.Errorf("%w: version %d", ErrDamaged, version)
	}
	return false, nil
}
