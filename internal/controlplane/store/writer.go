package store

import (
	"fmt"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// request is a change that waits to be written.
type request struct {
	change func(*Tx) error
	done   chan error // buffered
}

// Do runs a change and returns once it is durable. Changes run one after the other; what one has
// written is dropped if it returns an error, which Do returns.
func (s *Store) Do(change func(*Tx) error) error {
	r := &request{change: change, done: make(chan error, 1)}
	select {
	case s.requests <- r:
	case <-s.stop:
		return ErrClosed
	}
	if s.options.IsReplica {
		select {
		case err := <-r.done:
			return err
		case <-s.stop:
			return ErrClosed
		}
	}
	select {
	case err := <-r.done:
		return err
	case <-s.stopped:
		select { // the writer may have answered before it ended
		case err := <-r.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// runWriter writes changes until the store is closed. It is the only writer of a store without a
// group.
func (s *Store) runWriter() {
	defer close(s.stopped)
	for {
		select {
		case <-s.stop:
			return
		case r := <-s.requests:
			s.commit(s.collectBatch(r))
			s.snapshotIfDue()
		}
	}
}

// collectBatch returns a request and those that wait behind it, up to the size of a batch.
func (s *Store) collectBatch(first *request) []*request {
	batch := []*request{first}
	for len(batch) < s.options.Batch {
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// commit runs changes in one transaction, notifies of their events, and answers them.
func (s *Store) commit(batch []*request) {
	next := *s.state.Load()
	var events []fleet.Event
	results := make([]error, len(batch))
	err := s.db.Update(func(tx *bolt.Tx) error {
		for i, r := range batch {
			t := s.newTx(View{tx: tx}, next)
			results[i] = r.change(t)
			if results[i] != nil {
				continue
			}
			for _, p := range t.puts {
				if err := p.write(tx); err != nil {
					return err
				}
			}
			next = t.state
			events = append(events, t.events...)
		}
		s.options.KillPoint(BeforeCommit)
		return nil
	})
	if err == nil {
		s.state.Store(&next)
		s.options.KillPoint(AfterCommit)
		if len(events) > 0 {
			s.options.Committed(events)
		}
		s.options.KillPoint(AfterNotice)
	}
	for i, r := range batch {
		if results[i] == nil && err != nil {
			results[i] = fmt.Errorf("store: not written: %w", err)
		}
		r.done <- results[i]
	}
}
