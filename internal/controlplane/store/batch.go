package store

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"stairvane.org/stairvane/internal/fleet"
)

// Request is a change that is waiting to be committed by the group.
type Request = request

// Requests returns the channel of waiting changes.
func (s *Store) Requests() <-chan *Request { return s.requests }

// Answer completes a request with its result. It must be called at most once.
func (r *Request) Answer(err error) { r.done <- err }

// batch is the data of a log entry: the puts that one or more changes make. Its encoding is stored.
type batch struct {
	Base int64      `cbor:"Base"` // the revision on which it was evaluated
	Puts []batchPut `cbor:"Puts"`
}

type batchPut struct {
	_      struct{} `cbor:",toarray"`
	Bucket uint8    // index in replicatedBuckets
	Key    []byte
	Value  []byte // nil: deleted
}

// replicatedBuckets are the buckets that batches may write to. Their order is part of the encoding of
// a batch.
var replicatedBuckets = [][]byte{
	metaBucket, eventBucket, applyBucket, planBucket, desiredBucket, stepBucket, planIDBucket, writeBucket, writeAtBucket,
}

func bucketNumber(name []byte) (uint8, error) {
	for i, b := range replicatedBuckets {
		if bytes.Equal(b, name) {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("store: bucket %s is not replicated", name)
}

// Evaluate runs changes one after the other on the committed state, and returns one encoded batch of
// their puts. results contains the result of each change, which is valid only once the batch is
// committed.
func (s *Store) Evaluate(requests []*Request) (data []byte, results []error, err error) {
	next := *s.state.Load()
	b := batch{Base: next.fleet.Revision}
	results = make([]error, len(requests))
	err = s.View(func(v *View) error {
		local := &overlay{puts: map[string][]byte{}, next: v.overlay} // each change sees the writes of the changes before it
		for i, r := range requests {
			t := s.newTx(View{tx: v.tx, overlay: local}, next)
			if results[i] = r.change(t); results[i] != nil {
				continue
			}
			if err := b.appendPuts(t.puts, local); err != nil {
				return err
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

// appendPuts adds a change's puts to the batch and to an overlay.
func (b *batch) appendPuts(puts []put, local *overlay) error {
	for _, p := range puts {
		bucket, err := bucketNumber(p.bucket)
		if err != nil {
			return err
		}
		local.set(p)
		b.Puts = append(b.Puts, batchPut{Bucket: bucket, Key: p.key, Value: p.value})
	}
	return nil
}

// Apply applies a committed entry in memory; Persist writes it. data is nil if the entry holds no
// batch. confState and members are nil unless the entry changed them. An error means that this
// replica's state differs from that of the other replicas.
func (s *Store) Apply(at Position, data, confState, members []byte) error {
	applied := s.replica.applied
	applied.At = at
	if confState != nil {
		applied.ConfState = confState
		applied.Members = members
	}
	s.replica.appliedChanged = true
	if data == nil {
		s.replica.applied = applied
		return nil
	}
	a, err := s.applyBatch(at, data)
	if err != nil {
		return err
	}
	s.replica.applied = applied
	s.replica.unpersisted = append(s.replica.unpersisted, a.puts...)
	s.overlay.Store(a.overlay)
	s.state.Store(&a.next)
	if len(a.events) > 0 {
		s.options.Committed(a.events)
	}
	return nil
}

// appliedBatch is the result of applying a committed batch.
type appliedBatch struct {
	next    state
	events  []fleet.Event
	puts    []put
	overlay *overlay
}

func (s *Store) applyBatch(at Position, data []byte) (*appliedBatch, error) {
	var b batch
	if err := decoder.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("%w: entry %d: %w", ErrDamaged, at.Index, err)
	}
	a := &appliedBatch{
		next:    *s.state.Load(),
		puts:    make([]put, 0, len(b.Puts)),
		overlay: &overlay{puts: make(map[string][]byte, len(b.Puts)), next: s.overlay.Load()},
	}
	if revision := a.next.fleet.Revision; b.Base != revision {
		return nil, fmt.Errorf("%w: entry %d is based on event %d, but the event log ends at %d", ErrDamaged, at.Index, b.Base, revision)
	}
	for _, w := range b.Puts {
		if int(w.Bucket) >= len(replicatedBuckets) {
			return nil, fmt.Errorf("%w: entry %d was written by a newer program", ErrNewer, at.Index)
		}
		p := put{bucket: replicatedBuckets[w.Bucket], key: w.Key, value: w.Value}
		a.puts = append(a.puts, p)
		a.overlay.set(p)
		if !bytes.Equal(p.bucket, eventBucket) {
			continue
		}
		if err := a.addEvent(at, p.value); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// addEvent verifies that an event continues the event log, and applies it.
func (a *appliedBatch) addEvent(at Position, raw []byte) error {
	event, stored, err := readEvent(raw)
	if err != nil {
		return err
	}
	if a.next.fleet, err = a.next.fleet.Apply(event); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrDamaged, at.Index, err)
	}
	a.next.chain = chainHash(a.next.chain, stored.Event)
	if !bytes.Equal(stored.Chain, a.next.chain[:]) {
		return fmt.Errorf("%w: the hash of event %d does not match the event log before it", ErrDamaged, event.No)
	}
	a.next.atMS = max(a.next.atMS, event.AtMS)
	a.events = append(a.events, event)
	return nil
}
