package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/fleet"
)

// A copy of a group writes nothing of its own accord. Changes are evaluated into a batch of plain puts, which the group
// decides on; what it has accepted is taken over in memory at once, and written together with the next entries of the
// log, so that a batch costs one sync of the disk. The log, the promises to the other copies and the state that the log
// has led to are in one file, and one transaction moves them together.

const groupMap = 8 << 30 // bytes of address space, not of memory

// Errors of a copy.
var (
	ErrNotLeader      = errors.New("this copy does not lead")
	ErrOutcomeUnknown = errors.New("nobody knows whether it was written: the leader changed meanwhile; repeat it under the same id")
	ErrClonedStore    = errors.New("the store is a copy of another disk's: it is not what it was when this disk last wrote it")
	ErrInGroup        = errors.New("the store belongs to a group of copies")
)

// Identity is what a disk is. Inode and BornNS mark the very file that it was made in: a copy of the file has others.
type Identity struct {
	Group  uint64 `cbor:"Group"` // 0: it waits to be let in
	Disk   uint64 `cbor:"Disk"`
	Name   string `cbor:"Name"`
	Inode  uint64 `cbor:"Inode"`
	BornNS int64  `cbor:"BornNS"` // 0 where the file system does not tell
}

// Position is a place in the group's log.
type Position struct {
	Index uint64 `cbor:"Index"`
	Term  uint64 `cbor:"Term"`
}

// AppliedState is what the log has led to: a position, and who the members are there, in bytes of the caller's.
type AppliedState struct {
	At        Position `cbor:"At"`
	ConfState []byte   `cbor:"Conf"`
	Members   []byte   `cbor:"Members"`
}

// HardState is what the copy has promised to the others.
type HardState struct {
	Term   uint64 `cbor:"Term"`
	Vote   uint64 `cbor:"Vote"`
	Commit uint64 `cbor:"Commit"`
}

// Entry is an entry of the log, in bytes of the caller's.
type Entry struct {
	Index uint64
	Data  []byte
}

// PersistedState are all that the group's part of a file holds.
type PersistedState struct {
	Identity
	HardState
	Applied   AppliedState
	Compacted Position // of the entry before the first one kept
	Entries   []Entry
}

// group is the copy's part of a store. It is used by the one who drives the group alone.
type group struct {
	taken   AppliedState
	last    uint64 // index of the last entry in the file
	pending []pair // accepted and not in the file
	moved   bool   // taken is not what the file says
	drop    uint64 // entries up to this are deleted next
}

// batch is what the group decides on.
type batch struct {
	Base int64      `cbor:"Base"` // the revision that it builds on
	Puts []wirePair `cbor:"Puts"`
}

type wirePair struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint8
	Key    []byte
	Value  []byte // nil: deleted
}

// replicated are the buckets that batches may write to. Their order is part of the form of a batch.
var replicated = [][]byte{metaBucket, eventBucket, applyBucket, planBucket, wishBucket, stepBucket, planIDBucket, writeBucket, writeAtBucket}

func bucketNumber(name []byte) (uint8, error) {
	for i, b := range replicated {
		if bytes.Equal(b, name) {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("store: %s is not shared with other copies", name)
}

var (
	identityKey = []byte("identity")
	hardKey     = []byte("hard")
	takenKey    = []byte("taken")
	beforeKey   = []byte("before")
)

// loadGroup reads what a copy is.
func (s *Store) loadGroup(tx *bolt.Tx) error {
	raw, err := get(tx, copyBucket, identityKey)
	if err != nil || raw == nil {
		return err
	}
	var own Identity
	if err := decode(raw, &own); err != nil {
		return err
	}
	s.identity.Store(&own)
	if raw, err = get(tx, copyBucket, takenKey); err != nil {
		return err
	}
	if raw != nil {
		if err := decode(raw, &s.group.taken); err != nil {
			return err
		}
	}
	if k, _ := tx.Bucket(logBucket).Cursor().Last(); k != nil {
		s.group.last = binary.BigEndian.Uint64(k)
	}
	inode, born, err := mark(s.path)
	if err != nil {
		return err
	}
	s.copied.Store(own.Inode != inode || own.BornNS != 0 && born != 0 && own.BornNS != born)
	return nil
}

// mark is what tells a file from a copy of it.
func mark(path string) (inode uint64, bornNS int64, err error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return 0, 0, fmt.Errorf("store: %s: %w", path, err)
	}
	if st.Mask&unix.STATX_BTIME != 0 {
		bornNS = st.Btime.Sec*1e9 + int64(st.Btime.Nsec)
	}
	return st.Ino, bornNS, nil
}

// Identity is what the disk is; the zero Identity for a store that was never a copy. copied tells that the file is not the
// one that the disk's program made.
func (s *Store) Identity() (i Identity, copied bool) { return *s.identity.Load(), s.copied.Load() }

// FileMissing tells that the file is no longer where it was, or is another: what is written then is lost with the process.
func (s *Store) FileMissing() bool {
	i := s.identity.Load()
	inode, _, err := mark(s.path)
	return i.Disk != 0 && (errors.Is(err, os.ErrNotExist) || err == nil && inode != i.Inode)
}

// BecomeReplica makes the store a copy: the first of a group if it is given one, which has its history as far as the store has
// it, or one that waits to be let in.
func (s *Store) BecomeReplica(i Identity, first *AppliedState) (err error) {
	if was := s.identity.Load(); was.Disk != 0 {
		return fmt.Errorf("%w already: disk %x", ErrInGroup, was.Disk)
	}
	if first == nil && s.Fleet().Revision > 0 {
		return fmt.Errorf("the store holds a history of its own, up to event %d: found a group with it, or give another path", s.Fleet().Revision)
	}
	if i.Inode, i.BornNS, err = mark(s.path); err != nil {
		return err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := put(tx, metaBucket, []byte("version"), binary.BigEndian.AppendUint64(nil, groupVersion)); err != nil {
			return err
		}
		if first != nil {
			if err := putValue(tx, takenKey, *first); err != nil {
				return err
			}
			if err := putValue(tx, beforeKey, first.At); err != nil {
				return err
			}
			if err := putValue(tx, hardKey, HardState{Term: first.At.Term, Commit: first.At.Index}); err != nil {
				return err
			}
		}
		return putValue(tx, identityKey, i)
	})
	if err != nil {
		return err
	}
	s.identity.Store(&i)
	if first != nil {
		s.group.taken = *first
	}
	return nil
}

// JoinGroup keeps the group that let the disk in.
func (s *Store) JoinGroup(groupID uint64) error {
	i := *s.identity.Load()
	i.Group = groupID
	if err := s.db.Update(func(tx *bolt.Tx) error { return putValue(tx, identityKey, i) }); err != nil {
		return err
	}
	s.identity.Store(&i)
	return nil
}

// PersistedState reads what was promised, for the start of the driver.
func (s *Store) PersistedState() (p PersistedState, err error) {
	p.Identity, p.Applied = *s.identity.Load(), s.group.taken
	err = s.db.View(func(tx *bolt.Tx) error {
		for key, to := range map[string]any{string(hardKey): &p.HardState, string(beforeKey): &p.Compacted} {
			raw, err := get(tx, copyBucket, []byte(key))
			if err != nil {
				return err
			}
			if raw != nil {
				if err := decode(raw, to); err != nil {
					return err
				}
			}
		}
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			index := binary.BigEndian.Uint64(k)
			if index <= p.Compacted.Index { // forgotten, and not yet deleted
				continue
			}
			raw, err := get(tx, logBucket, k)
			if err != nil {
				return err
			}
			p.Entries = append(p.Entries, Entry{index, bytes.Clone(raw)})
		}
		return nil
	})
	p.Commit = max(p.Commit, p.Applied.At.Index)
	if err == nil { // a write that failed at its last sync may be in the file all the same
		s.group.last = p.Compacted.Index
		if n := len(p.Entries); n > 0 {
			s.group.last = p.Entries[n-1].Index
		}
	}
	return p, err
}

// Request is a change that waits for the group.
type Request = request

// Requests are the changes that wait.
func (s *Store) Requests() <-chan *Request { return s.requests }

// Answer ends a request.
func (r *Request) Answer(err error) { r.done <- err }

// Evaluate runs changes one after the other on what was accepted, and gives the batch that they make together. results
// holds what each said of itself; they count once the batch is accepted.
func (s *Store) Evaluate(rs []*Request) (data []byte, results []error, err error) {
	next := *s.state.Load()
	b := batch{Base: next.fleet.Revision}
	results = make([]error, len(rs))
	err = s.View(func(v *View) error {
		local := &layer{puts: map[string][]byte{}, next: v.over}
		for i, r := range rs {
			t := &Tx{View: View{v.tx, local}, NowMS: s.opt.Clock(), remember: s.opt.RememberWrites, state: next}
			if results[i] = r.do(t); results[i] != nil {
				continue
			}
			for _, p := range t.puts {
				n, err := bucketNumber(p.bucket)
				if err != nil {
					return err
				}
				local.puts[place(p.bucket, p.key)] = p.value
				b.Puts = append(b.Puts, wirePair{Bucket: n, Key: p.key, Value: p.value})
			}
			next = t.state
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	data, err = cbor.Marshal(b)
	return data, results, err
}

// Apply takes an accepted batch over in memory; Save writes it. Nil data stands for an entry without a batch. members and
// conf are given where they have changed. An error means that this copy's state is not the others'.
func (s *Store) Apply(at Position, data, conf, members []byte) error {
	taken := s.group.taken
	taken.At = at
	if conf != nil {
		taken.ConfState, taken.Members = conf, members
	}
	s.group.moved = true
	if data == nil {
		s.group.taken = taken
		return nil
	}
	var b batch
	if err := values.Unmarshal(data, &b); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrDamaged, at.Index, err)
	}
	next := *s.state.Load()
	if b.Base != next.fleet.Revision {
		return fmt.Errorf("%w: entry %d builds on event %d, the history ends at %d", ErrDamaged, at.Index, b.Base, next.fleet.Revision)
	}
	var events []fleet.Event
	l := &layer{puts: make(map[string][]byte, len(b.Puts)), next: s.over.Load()}
	puts := make([]pair, len(b.Puts))
	for i, w := range b.Puts {
		if int(w.Bucket) >= len(replicated) {
			return fmt.Errorf("%w: entry %d is of a newer program", ErrNewer, at.Index)
		}
		p := pair{replicated[w.Bucket], w.Key, w.Value}
		puts[i] = p
		l.puts[place(p.bucket, p.key)] = p.value
		if !bytes.Equal(p.bucket, eventBucket) {
			continue
		}
		e, stored, err := readEvent(p.value)
		if err != nil {
			return err
		}
		if next.fleet, err = next.fleet.Apply(e); err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrDamaged, at.Index, err)
		}
		if next.chain = link(next.chain, stored.Event); !bytes.Equal(stored.Chain, next.chain[:]) {
			return fmt.Errorf("%w: event %d does not follow the history before it", ErrDamaged, e.No)
		}
		next.atMS = max(next.atMS, e.AtMS)
		events = append(events, e)
	}
	s.group.taken, s.group.pending = taken, append(s.group.pending, puts...)
	s.over.Store(l)
	s.state.Store(&next)
	if len(events) > 0 {
		s.opt.Committed(events)
	}
	return nil
}

// HasUnpersisted tells whether anything was taken over that is not in the file: a batch, or no more than a place in the log.
func (s *Store) HasUnpersisted() bool { return s.group.moved || len(s.group.pending) > 0 }

// CompactLog has the entries up to a place deleted with the next Save.
func (s *Store) CompactLog(before Position) {
	s.group.drop = before.Index
	s.group.pending = append(s.group.pending, beforePair(before))
}

func beforePair(before Position) pair {
	raw, err := cbor.Marshal(before)
	if err != nil {
		panic(err) // two numbers
	}
	return pair{copyBucket, beforeKey, raw}
}

// Persist makes entries and promises durable, with all that was taken over before, in one transaction. Entries replace those
// from the index of the first one on. A nil hard leaves what was promised as it is.
func (s *Store) Persist(entries []Entry, hard *HardState) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		for _, p := range s.group.pending {
			if err := p.write(tx); err != nil {
				return err
			}
		}
		if err := putValue(tx, takenKey, s.group.taken); err != nil {
			return err
		}
		if hard != nil {
			if err := putValue(tx, hardKey, *hard); err != nil {
				return err
			}
		}
		log := tx.Bucket(logBucket)
		if len(entries) > 0 {
			for n := entries[0].Index; n <= s.group.last; n++ {
				if err := log.Delete(id(int64(n))); err != nil {
					return err
				}
			}
		}
		for _, e := range entries {
			if err := put(tx, logBucket, id(int64(e.Index)), e.Data); err != nil {
				return err
			}
		}
		c := log.Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= s.group.drop; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		s.opt.KillPoint(BeforeCommit)
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: not written: %w", err)
	}
	if n := len(entries); n > 0 {
		s.group.last = entries[n-1].Index
	}
	s.group.pending, s.group.drop, s.group.moved = nil, 0, false
	s.over.Store(nil)
	s.opt.KillPoint(AfterCommit)
	if s.Fleet().Revision-s.snapped >= int64(s.opt.SnapshotEvery) {
		s.snapshot()
	}
	return nil
}

// ChangeDiskID gives the disk another number: it is a copy of another's file and is to go on as one of its own.
func (s *Store) ChangeDiskID(disk uint64) (err error) {
	i := *s.identity.Load()
	i.Disk = disk
	if i.Inode, i.BornNS, err = mark(s.path); err != nil {
		return err
	}
	if err = s.db.Update(func(tx *bolt.Tx) error { return putValue(tx, identityKey, i) }); err == nil {
		s.copied.Store(false)
		s.identity.Store(&i)
	}
	return err
}

// StartNewGroup makes a copy of a group whose majority is lost the first of a new group, with what it has.
func (s *Store) StartNewGroup(groupID uint64, t AppliedState) error {
	i := *s.identity.Load()
	i.Group = groupID
	err := s.db.Update(func(tx *bolt.Tx) error {
		for key, v := range map[string]any{string(takenKey): t, string(beforeKey): t.At, string(hardKey): HardState{Term: t.At.Term, Commit: t.At.Index}, string(identityKey): i} {
			if err := putValue(tx, []byte(key), v); err != nil {
				return err
			}
		}
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucket(logBucket)
		return err
	})
	if err == nil {
		s.group.taken, s.group.last = t, 0
		s.identity.Store(&i)
	}
	return err
}

func putValue(tx *bolt.Tx, key []byte, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return put(tx, copyBucket, key, raw)
}
