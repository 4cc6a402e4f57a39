package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	"github.com/zeebo/blake3"
	bolt "go.etcd.io/bbolt"
	"stairvane.org/stairvane/internal/fleet"
)

// checkHeads refuses a file that is shorter than its own head says, which no reader of mapped memory survives, and one of
// whose two heads a part is not as it was written: the library would go on from the older one, and the last change would
// be lost without a word. A head is far shorter than what a disk writes at once, so that a crash does not explain it.
func checkHeads(path string, acceptOlder bool) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	// bbolt's file format: two pages with a head each. After 16 bytes of page header come magic, version, page size, flags
	// (4 bytes each), root (16), freelist (8), the count of pages in use (8), the transaction's number (8), and the FNV-1a of
	// all that.
	const magic, header, summed = 0xED0CDAED, 16, 56
	most, pageSize, sound := uint64(0), uint64(os.Getpagesize()), 0
	for i := range 2 {
		page := make([]byte, header+summed+8)
		if n, _ := f.ReadAt(page, int64(i)*int64(pageSize)); n < len(page) || binary.LittleEndian.Uint32(page[header:]) != magic {
			continue
		}
		sum := fnv.New64a()
		sum.Write(page[header : header+summed])
		if binary.LittleEndian.Uint64(page[header+summed:]) != sum.Sum64() {
			continue
		}
		sound++
		pageSize = uint64(binary.LittleEndian.Uint32(page[header+8:]))
		most = max(most, binary.LittleEndian.Uint64(page[header+40:])*pageSize)
	}
	switch {
	case sound == 0:
		return fmt.Errorf("%w: neither of its two heads can be read", ErrDamaged)
	case sound == 1 && !acceptOlder:
		return fmt.Errorf("%w: one of its two heads can't be read, and the last change may be lost", ErrDamaged)
	case uint64(info.Size()) < most:
		return fmt.Errorf("%w: %d bytes long, %d are in use", ErrDamaged, info.Size(), most)
	}
	return nil
}

// prepare makes the buckets of a new file.
func prepare(tx *bolt.Tx, fresh bool) error {
	for _, name := range append(append([][]byte(nil), buckets...), later...) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	if !fresh {
		return nil
	}
	return put(tx, metaBucket, []byte("version"), binary.BigEndian.AppendUint64(nil, version))
}

// lacks tells whether a file was made before there were all of today's buckets.
func lacks(db *bolt.DB) (is bool) {
	_ = db.View(func(tx *bolt.Tx) error {
		for _, name := range later {
			is = is || tx.Bucket(name) == nil
		}
		return nil
	})
	return is
}

// checkForm looks whether a file is one of this program's; fresh tells that nothing is in it yet.
func checkForm(tx *bolt.Tx) (fresh bool, err error) {
	if k, _ := tx.Cursor().First(); k == nil {
		return true, nil
	}
	for _, name := range buckets {
		if tx.Bucket(name) == nil {
			return false, fmt.Errorf("%w: it lacks %s", ErrDamaged, name)
		}
	}
	v, err := number(tx, "version")
	switch {
	case err != nil:
		return false, err
	case v > groupVersion:
		return false, fmt.Errorf("%w: %d, this program reads %d", ErrNewer, v, groupVersion)
	case v < version:
		return false, fmt.Errorf("%w: version %d", ErrDamaged, v)
	}
	return false, nil
}

// load reads the last snapshot and the events after it, and looks at every other value once.
func (s *Store) load(tx *bolt.Tx) error {
	var st state
	raw, err := get(tx, snapBucket, []byte("fleet"))
	if err != nil {
		return err
	}
	if raw != nil {
		var snap snapshot
		if err := decode(raw, &snap); err != nil {
			return err
		}
		if st.fleet, err = fleet.Restore(snap.Fleet); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		copy(st.chain[:], snap.Chain)
	}
	s.snapped, s.first = st.fleet.Revision, 0
	if err := s.replay(tx, &st); err != nil {
		return err
	}
	if err := checkHead(tx, &st); err != nil {
		return err
	}
	if s.first == 0 {
		s.first = st.fleet.Revision + 1
	}
	s.state.Store(&st)
	for _, name := range [][]byte{applyBucket, planBucket, wishBucket, stepBucket, planIDBucket, metaBucket, writeBucket, logBucket, copyBucket} {
		if err := tx.Bucket(name).ForEach(func(k, _ []byte) error {
			_, err := get(tx, name, k)
			return err
		}); err != nil {
			return err
		}
	}
	if err := s.loadGroup(tx); err != nil {
		return err
	}
	return checkApplies(tx)
}

func (s *Store) replay(tx *bolt.Tx, st *state) error {
	snapped, chain, last := st.fleet.Revision, [32]byte{}, int64(0)
	c := tx.Bucket(eventBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		raw, err := get(tx, eventBucket, k)
		if err != nil {
			return err
		}
		e, stored, err := readEvent(raw)
		if err != nil {
			return err
		}
		no := int64(binary.BigEndian.Uint64(k))
		if e.No != no || last != 0 && no != last+1 {
			return fmt.Errorf("%w: event %d stands where %d is wanted", ErrDamaged, e.No, no)
		}
		if last == 0 {
			s.first = no
			copy(chain[:], stored.Chain)
			if no == 1 {
				chain = link([32]byte{}, stored.Event)
			}
		} else {
			chain = link(chain, stored.Event)
		}
		if [32]byte(stored.Chain) != chain || no == snapped && chain != st.chain {
			return fmt.Errorf("%w: event %d does not follow the history before it", ErrDamaged, no)
		}
		if no > snapped {
			if st.fleet, err = st.fleet.Apply(e); err != nil {
				return fmt.Errorf("%w: %w", ErrDamaged, err)
			}
			st.chain = chain
		}
		st.atMS = max(st.atMS, e.AtMS)
		s.tail = append(s.tail, e)
		if most := s.opt.KeepEvents + 1000; len(s.tail) > 2*most { // without a snapshot there may be a million
			s.first += int64(len(s.tail) - most)
			s.tail = append([]fleet.Event(nil), s.tail[len(s.tail)-most:]...)
		}
		last = no
	}
	if last != 0 && last < snapped {
		return fmt.Errorf("%w: events end at %d, before the snapshot at %d", ErrDamaged, last, snapped)
	}
	return nil
}

// link is the hash of a history with one more event.
func link(chain [32]byte, event []byte) [32]byte {
	h := blake3.New()
	h.Write(chain[:])
	h.Write(event)
	return [32]byte(h.Sum(nil))
}
