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

// storeWriters is the number of concurrent writers, so that several changes share one disk sync.
const storeWriters = 64

// fillStore appends purges to a store from storeWriters concurrent goroutines.
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

// openTemporaryStore opens a store in a temporary directory, which remove deletes.
func openTemporaryStore(options store.Options) (s *store.Store, remove func(), err error) {
	directory, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, nil, err
	}
	remove = func() { _ = os.RemoveAll(directory) } // a remaining temporary file is harmless
	s, err = store.Open(filepath.Join(directory, "store"), options)
	if err != nil {
		remove()
		return nil, nil, fmt.Errorf("open store: %w", err)
	}
	return s, remove, nil
}

// storeHeap returns the heap of an open store, in bytes. Filling the store takes less time than its retention of a purge, so that it
// still holds all purges.
func storeHeap(purges int) (float64, error) {
	var s *store.Store
	remove := func() {}
	var err error
	heap := retainedHeap(func() any {
		s, remove, err = openTemporaryStore(store.Options{KeepEvents: unlimitedEvents, NoSync: true})
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

// commitTime returns the elapsed time, in seconds, in which purges are committed to a store. It is not processor time, because
// waiting for a disk sync uses none.
func commitTime(purges int) (float64, error) {
	s, remove, err := openTemporaryStore(store.Options{})
	if err != nil {
		return 0, err
	}
	defer remove()
	start := time.Now()
	err = fillStore(s, purges)
	elapsed := time.Since(start)
	return elapsed.Seconds(), errors.Join(err, s.Close())
}
