package measure

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/store"
	"stairvane.org/stairvane/internal/fleet"
)

// storeWriters write at the same time, so that changes share syncs of the disk.
const storeWriters = 64

// fillStore has all writers together put purges into a store.
func fillStore(s *store.Store, purges int) error {
	errs := make([]error, storeWriters)
	var group sync.WaitGroup
	for writer := range storeWriters {
		group.Go(func() {
			for i := writer; i < purges && errs[writer] == nil; i += storeWriters {
				errs[writer] = appendPurge(s, objectName(i))
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

func appendPurge(s *store.Store, object string) error {
	return s.Do(func(t *store.Tx) error {
		purge := &fleet.Purge{Object: object, IssuedMS: t.NowMS}
		_, err := t.Append(fleet.Event{Who: "operator@example", Purge: purge})
		return err
	})
}

// openTemporary opens a store in a folder that remove deletes.
func openTemporary(options store.Options) (s *store.Store, remove func(), err error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, nil, err
	}
	remove = func() { _ = os.RemoveAll(folder) } // a temporary file that is left does no harm
	s, err = store.Open(filepath.Join(folder, "store"), options)
	if err != nil {
		remove()
		return nil, nil, fmt.Errorf("open store: %w", err)
	}
	return s, remove, nil
}

// storeHeap is the heap of an open store. It is filled in less time than it retains a purge.
func storeHeap(purges int) (float64, error) {
	var s *store.Store
	remove := func() {}
	var err error
	heap := heapOf(func() any {
		s, remove, err = openTemporary(store.Options{KeepEvents: unlimitedEvents, NoSync: true})
		if err == nil {
			err = fillStore(s, purges)
		}
		return s
	})
	if s == nil {
		return 0, err
	}
	defer remove()
	return heap, errors.Join(err, s.Close())
}

// commitTime is by the clock, since a sync of the disk takes no processor time.
func commitTime(purges int) (float64, error) {
	s, remove, err := openTemporary(store.Options{})
	if err != nil {
		return 0, err
	}
	defer remove()
	begin := time.Now()
	err = fillStore(s, purges)
	took := time.Since(begin)
	return took.Seconds(), errors.Join(err, s.Close())
}
