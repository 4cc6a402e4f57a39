package store

import (
	"errors"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// Errors of a replica's store.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrOutcomeUnknown = errors.New("outcome of the write unknown: the leader changed during the write; retry it with the same id")
	ErrClonedStore    = errors.New("the store is a copy of another disk's: its file is not the one recorded in the disk's identity")
	ErrInGroup        = errors.New("the store belongs to a group of replicas")
	errHasEvents      = errors.New("the store has an event log of its own")
)

// Identity identifies a disk. Inode and BornNS identify the file for which the identity was written;
// they differ in a copy of the file.
type Identity struct {
	Group  uint64 `cbor:"Group"` // 0: the disk is waiting for admission
	Disk   uint64 `cbor:"Disk"`
	Name   string `cbor:"Name"`
	Inode  uint64 `cbor:"Inode"`
	BornNS int64  `cbor:"BornNS"` // Unix nanoseconds; 0 where the file system has no birth times
}

// Position is a position in the group's log.
type Position struct {
	Index uint64 `cbor:"Index"`
	Term  uint64 `cbor:"Term"`
}

// AppliedState is the position of the last applied entry, and the configuration and members at that
// position, encoded by the caller.
type AppliedState struct {
	At        Position `cbor:"At"`
	ConfState []byte   `cbor:"Conf"`
	Members   []byte   `cbor:"Members"`
}

// HardState is raft's hard state.
type HardState struct {
	Term   uint64 `cbor:"Term"`
	Vote   uint64 `cbor:"Vote"`
	Commit uint64 `cbor:"Commit"`
}

// Entry is an entry of the log, encoded by the caller.
type Entry struct {
	Index uint64
	Data  []byte
}

// PersistedState is the complete state of a replica that is stored in the file.
type PersistedState struct {
	Identity
	HardState
	Applied   AppliedState
	Compacted Position // last entry that was deleted from the log
	Entries   []Entry  // the entries after Compacted
}

// replicaState is the state of a replica that is kept in memory. Parts of it may not be in the file
// yet.
type replicaState struct {
	applied         AppliedState
	appliedChanged  bool   // applied differs from the state in the file
	unpersisted     []put  // puts that are applied but not in the file yet
	lastIndex       uint64 // of the last entry in the file
	compactedToDrop uint64 // entries up to this index are deleted with the next Persist
}

// Keys of the replica's bucket. They are stored.
var (
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	appliedKey   = []byte("taken")
	compactedKey = []byte("before")
)

// loadReplica loads the identity and the applied state of the replica.
func (s *Store) loadReplica(tx *bolt.Tx) error {
	var identity Identity
	isReplica, err := readReplicaValue(tx, identityKey, &identity)
	if err != nil || !isReplica {
		return err
	}
	s.identity.Store(&identity)
	if _, err := readReplicaValue(tx, appliedKey, &s.replica.applied); err != nil {
		return err
	}
	if k, _ := tx.Bucket(logBucket).Cursor().Last(); k != nil {
		s.replica.lastIndex = uint64(decodeNumber(k))
	}
	inode, bornNS, err := fileIdentity(s.path)
	if err != nil {
		return err
	}
	birthTimeDiffers := identity.BornNS != 0 && bornNS != 0 && identity.BornNS != bornNS
	s.isCloned.Store(identity.Inode != inode || birthTimeDiffers)
	return nil
}

// readReplicaValue decodes a value of the replica bucket into value, and reports whether it exists.
func readReplicaValue(tx *bolt.Tx, key []byte, value any) (bool, error) {
	raw, err := get(tx, replicaBucket, key)
	if err != nil || raw == nil {
		return false, err
	}
	return true, decode(raw, value)
}

func writeReplicaValue(tx *bolt.Tx, key []byte, value any) error {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return fmt.Errorf("store: encode %s: %w", key, err)
	}
	return write(tx, replicaBucket, key, raw)
}

// fileIdentity returns the properties by which a file can be told from a copy of it. bornNS is 0 if
// the file system has no birth times.
func fileIdentity(path string) (inode uint64, bornNS int64, err error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return 0, 0, fmt.Errorf("store: stat %s: %w", path, err)
	}
	if st.Mask&unix.STATX_BTIME != 0 {
		bornNS = st.Btime.Sec*1e9 + int64(st.Btime.Nsec)
	}
	return st.Ino, bornNS, nil
}

// Identity returns the identity of the disk; the zero Identity if the store was never a replica's.
// isCloned reports that the file is a copy of the one for which the identity was written.
func (s *Store) Identity() (identity Identity, isCloned bool) {
	return *s.identity.Load(), s.isCloned.Load()
}

// FileName returns a name that the store's file shares with no copy of it and no file that was there before. It is empty if the system
// does not tell.
func (s *Store) FileName() string {
	inode, bornNS, err := fileIdentity(s.path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("file-%x-%x", inode, bornNS)
}

// FileMissing reports whether the file at the store's path was removed or replaced. Writes are then
// lost when the process ends.
func (s *Store) FileMissing() bool {
	identity := s.identity.Load()
	if identity.Disk == 0 {
		return false
	}
	inode, _, err := fileIdentity(s.path)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	return inode != identity.Inode
}

// BecomeReplica converts the store to a replica's store. If first is not nil, the replica becomes the
// first of a new group, with the events in the store; otherwise the disk waits for admission. The
// error wraps ErrInGroup if the store already belongs to a replica.
func (s *Store) BecomeReplica(identity Identity, first *AppliedState) (err error) {
	if own := s.identity.Load(); own.Disk != 0 {
		return fmt.Errorf("%w already: disk %x", ErrInGroup, own.Disk)
	}
	if revision := s.Fleet().Revision; first == nil && revision > 0 {
		return fmt.Errorf("%w, up to event %d: found a group with it, or give another path", errHasEvents, revision)
	}
	if identity.Inode, identity.BornNS, err = fileIdentity(s.path); err != nil {
		return err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := writeVersion(tx, replicaVersion); err != nil {
			return err
		}
		if first != nil {
			if err := writeFirstState(tx, *first); err != nil {
				return err
			}
		}
		return writeReplicaValue(tx, identityKey, identity)
	})
	if err != nil {
		return err
	}
	s.identity.Store(&identity)
	if first != nil {
		s.replica.applied = *first
	}
	return nil
}

// writeFirstState writes the initial state of a group's first replica. Its log starts after the
// position of that state.
func writeFirstState(tx *bolt.Tx, first AppliedState) error {
	if err := writeReplicaValue(tx, appliedKey, first); err != nil {
		return err
	}
	if err := writeReplicaValue(tx, compactedKey, first.At); err != nil {
		return err
	}
	return writeReplicaValue(tx, hardStateKey, HardState{Term: first.At.Term, Commit: first.At.Index})
}

// JoinGroup records the group that admitted the disk.
func (s *Store) JoinGroup(group uint64) error {
	identity := *s.identity.Load()
	identity.Group = group
	return s.writeIdentity(identity)
}

// ChangeDiskID assigns a new number to the disk, so that a file that was copied from another disk can
// be used as a disk of its own.
func (s *Store) ChangeDiskID(disk uint64) (err error) {
	identity := *s.identity.Load()
	identity.Disk = disk
	if identity.Inode, identity.BornNS, err = fileIdentity(s.path); err != nil {
		return err
	}
	if err := s.writeIdentity(identity); err != nil {
		return err
	}
	s.isCloned.Store(false)
	return nil
}

func (s *Store) writeIdentity(identity Identity) error {
	if err := s.db.Update(func(tx *bolt.Tx) error { return writeReplicaValue(tx, identityKey, identity) }); err != nil {
		return fmt.Errorf("store: write identity: %w", err)
	}
	s.identity.Store(&identity)
	return nil
}

// StartNewGroup makes this replica the first of a new group, with the state that it has, after its
// previous group lost its majority.
func (s *Store) StartNewGroup(group uint64, first AppliedState) error {
	identity := *s.identity.Load()
	identity.Group = group
	err := s.db.Update(func(tx *bolt.Tx) error {
		if err := writeFirstState(tx, first); err != nil {
			return err
		}
		if err := writeReplicaValue(tx, identityKey, identity); err != nil {
			return err
		}
		return clearLog(tx)
	})
	if err != nil {
		return err
	}
	s.replica.applied = first
	s.replica.lastIndex = 0
	s.identity.Store(&identity)
	return nil
}

func clearLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(logBucket); err != nil {
		return err
	}
	_, err := tx.CreateBucket(logBucket)
	return err
}
