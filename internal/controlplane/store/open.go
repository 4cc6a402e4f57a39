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

// Versions of the file format.
const (
	standaloneVersion = 1 // a control plane without replicas
	replicaVersion    = 2 // a replica; a program without support for replicas must not write to the file
)

const (
	lockTimeout = 500 * time.Millisecond
	// replicaMmapBytes is address space, not memory. A snapshot transfer reads the whole file while
	// the file grows, and remapping the file would block the writer until the transfer ends.
	replicaMmapBytes = 8 << 30
)

// Open opens the store at a path, and creates it if it does not exist. The error wraps ErrLocked,
// ErrDamaged or ErrNewer in these cases; the file is then left unchanged.
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
		removeLeftoverSnapshots(path)
		close(s.stopped) // a replica's store has no writer goroutine; its owner calls Persist
	} else {
		go s.runWriter()
	}
	return s, nil
}

// open opens the file and verifies all of it. The file is mapped into memory: a truncated file causes
// a memory fault, and a flipped bit can make the library panic. Both are reported as damage.
func (s *Store) open() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
		if err != nil && s.db != nil {
			_ = s.db.Close() // the first error is returned
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

// prepareBuckets checks the format of the file, and creates missing buckets.
func (s *Store) prepareBuckets() error {
	var isNew, isComplete bool
	err := s.db.View(func(tx *bolt.Tx) (err error) {
		isNew, err = checkFormat(tx)
		isComplete = hasBuckets(tx, laterBuckets)
		return err
	})
	if err != nil || !isNew && isComplete {
		return err
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		for _, name := range slices.Concat(buckets, laterBuckets) {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return fmt.Errorf("create bucket %s: %w", name, err)
			}
		}
		if !isNew {
			return nil
		}
		return writeVersion(tx, standaloneVersion)
	})
}

func writeVersion(tx *bolt.Tx, version uint64) error {
	return write(tx, metaBucket, []byte(versionKey), binary.BigEndian.AppendUint64(nil, version))
}

// hasBuckets reports whether a file contains all of the named buckets.
func hasBuckets(tx *bolt.Tx, names [][]byte) bool {
	for _, name := range names {
		if tx.Bucket(name) == nil {
			return false
		}
	}
	return true
}

// checkFormat checks that this program can read the file. isNew reports that the file is empty.
func checkFormat(tx *bolt.Tx) (isNew bool, err error) {
	if k, _ := tx.Cursor().First(); k == nil {
		return true, nil
	}
	for _, name := range buckets {
		if tx.Bucket(name) == nil {
			return false, fmt.Errorf("%w: bucket %s is missing", ErrDamaged, name)
		}
	}
	version, err := readNumber(tx, versionKey)
	switch {
	case err != nil:
		return false, err
	case version > replicaVersion:
		return false, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, version, replicaVersion)
	case version < standaloneVersion:
		return false, fmt.Errorf("%w: version %d", ErrDamaged, version)
	}
	return false, nil
}
