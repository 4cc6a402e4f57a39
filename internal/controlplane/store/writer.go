package store

import (
	"fmt"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// request is a change that is waiting to be written.
type request struct {
	change func(*Tx) error
	done   chan error // buffered
}

// Do runs a change and returns once it is durable. Changes run one at a time. If a change returns an
// error, its writes are discarded and Do returns that error.
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
		select { // the writer may have answered before it stopped
		case err := <-r.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// runWriter writes changes until the store is closed. It is the only writer of a store that does not
// belong to a replica.
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

// collectBatch returns a request together with the requests queued after it, up to Options.Batch.
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

// commit runs changes in one transaction, reports their events to Options.Committed, and answers the
// requests.
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
