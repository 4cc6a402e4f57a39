package store

import (
	"fmt"
	"path/filepath"
	"testing"

	"stairvane.org/stairvane/internal/fleet"
)

// Guards against reporting a snapshot as damaged because it contains more purges than the CBOR
// library's default limit of elements.
func TestSnapshotWithManyPurgesIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	const many = 135_000
	s, err := Open(path, Options{NoSync: true, SnapshotEvery: many, Clock: func() int64 { return 1_000_000 }})
	check(t, err)
	for n := 0; n < many; n += 5000 {
		check(t, s.Do(func(t *Tx) error {
			for i := range 5000 {
				purge := &fleet.Purge{Object: fmt.Sprintf("%016x", n+i+1), IssuedMS: t.NowMS}
				if _, err := t.Append(fleet.Event{Who: "test", Purge: purge}); err != nil {
					return err
				}
			}
			return nil
		}))
	}
	check(t, s.Close())
	s, err = Open(path, Options{})
	check(t, err)
	defer closeStore(t, s)
	if s.Fleet().Revision != many || s.snapshotRevision != many {
		t.Errorf("event %d, snapshot at %d", s.Fleet().Revision, s.snapshotRevision)
	}
}
