// Package store keeps the board's history and applies in one crash-safe file (bbolt). Every change is a transaction; those
// that come together share one, and with it one sync of the disk. Each value carries a checksum and each event the hash of
// the history before it, so that damage is told and never read as truth. It knows events and applies, and nobody who
// listens.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// Errors of Open. What went wrong in detail is wrapped around them.
var (
	ErrDamaged = errors.New("the store is damaged")
	ErrLocked  = errors.New("the store is held by another process")
	ErrNewer   = errors.New("the store is of a newer version")
	ErrClosed  = errors.New("the store is closed")
)

const (
	version      = 1 // of a board that is alone
	groupVersion = 2 // of a copy in a group, which a program that knows nothing of groups must not write to
	sumLength    = 8
	lockWait     = 500 * time.Millisecond
)

// Buckets.
var (
	metaBucket    = []byte("meta")
	eventBucket   = []byte("events")                                            // number: chained event
	snapBucket    = []byte("snap")                                              // "fleet": the last snapshot
	applyBucket   = []byte("applies")                                           // id: record
	planBucket    = []byte("plans")                                             // id: plan file
	wishBucket    = []byte("before")                                            // id: the fleet as a wish, before the apply
	stepBucket    = []byte("steps")                                             // id and step: state
	planIDBucket  = []byte("by-plan")                                           // checksum of a plan: id of its last apply
	writeBucket   = []byte("writes")                                            // id of a caller's: outcome
	writeAtBucket = []byte("writes-at")                                         // time and id: nothing
	logBucket     = []byte("log")                                               // index: entry of the group's log
	copyBucket    = []byte("copy")                                              // what this copy is, and what it has promised to the others
	later         = [][]byte{writeBucket, writeAtBucket, logBucket, copyBucket} // older files lack them
	buckets       = [][]byte{metaBucket, eventBucket, snapBucket, applyBucket, planBucket, wishBucket, stepBucket, planIDBucket}
)

// Points at which a test may kill the process, in their order.
const (
	BeforeCommit   = "before-commit"
	AfterCommit    = "after-commit" // durable, nobody told
	AfterNotice    = "after-notice"
	BeforeSnapshot = "before-snapshot"
	AfterSnapshot  = "after-snapshot"
)

// Options of a store. Zero values stand for what is in brackets.
type Options struct {
	SnapshotEvery  int                 // events from one snapshot to the next (10,000)
	KeepEvents     int                 // events kept after a snapshot, for those who were away (0)
	Batch          int                 // changes in one transaction, at most (256)
	AcceptOlder    bool                // go on from the older of two heads if the newer can't be read
	NoSync         bool                // for tests and measurements alone
	Clock          func() int64        // Unix milliseconds (the system's)
	Committed      func([]fleet.Event) // told of durable events, in order, before their changes return; must not call the store
	KillPoint      func(point string)  // a test's kill point
	Group          bool                // a copy of a group: nothing is written but what the group has accepted
	RememberWrites time.Duration       // for how long outcomes are kept for repeated writes (10 min)
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	path      string
	mu        sync.RWMutex // of db alone, which a state that is taken over whole replaces
	db        *bolt.DB
	opt       Options
	requests  chan *request
	stop      chan struct{}
	stopped   chan struct{}
	state     atomic.Pointer[state]
	over      atomic.Pointer[layer] // what the group has accepted and the file does not hold yet
	group     group
	identity  atomic.Pointer[Identity]
	copied    atomic.Bool // the file is a copy of another disk's
	receiving sync.Mutex
	snapped   int64 // revision of the last snapshot
	first     int64 // number of the first kept event; revision + 1 if there is none
	tail      []fleet.Event
}

// state is what all committed transactions have led to.
type state struct {
	fleet fleet.Fleet
	chain [32]byte
	atMS  int64 // time of the last event that was read or made; the next is no earlier, whatever the clock says
}

type request struct {
	do   func(*Tx) error
	done chan error
}

// layer is what was written on top of the file, newest first. It is not changed once others may see it.
type layer struct {
	puts map[string][]byte // by bucket, 0 and key; nil: deleted
	next *layer
}

func place(bucket, key []byte) string { return string(bucket) + "\x00" + string(key) }

func (l *layer) find(bucket, key []byte) ([]byte, bool) {
	if l == nil {
		return nil, false
	}
	at := place(bucket, key)
	for ; l != nil; l = l.next {
		if v, is := l.puts[at]; is {
			return v, true
		}
	}
	return nil, false
}

// chained is an event as it is stored.
type chained struct {
	Event []byte `cbor:"Event"`
	Chain []byte `cbor:"Chain"`
}

// snapshot is a fleet as it is stored.
type snapshot struct {
	Fleet fleet.Dump `cbor:"Fleet"`
	Chain []byte     `cbor:"Chain"`
}

// Open opens or makes the store at a path. The error wraps ErrLocked, ErrDamaged or ErrNewer where it is one of them; the
// file is then left as it is.
func Open(path string, opt Options) (s *Store, err error) {
	if opt.SnapshotEvery <= 0 {
		opt.SnapshotEvery = 10_000
	}
	if opt.Batch <= 0 {
		opt.Batch = 256
	}
	if opt.RememberWrites <= 0 {
		opt.RememberWrites = 10 * time.Minute
	}
	if opt.Clock == nil {
		opt.Clock = func() int64 { return time.Now().UnixMilli() }
	}
	if opt.KillPoint == nil {
		opt.KillPoint = func(string) {}
	}
	if opt.Committed == nil {
		opt.Committed = func([]fleet.Event) {}
	}
	s = &Store{path: path, opt: opt, requests: make(chan *request, 4*opt.Batch), stop: make(chan struct{}), stopped: make(chan struct{})}
	s.identity.Store(&Identity{})
	// A file that was cut short is met as a fault of the memory that it is mapped to, a flipped bit as a panic of the library.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
		if err != nil {
			if s.db != nil {
				s.db.Close()
			}
			s, err = nil, fmt.Errorf("store %s: %w", path, err)
		}
	}()
	if err = checkHeads(path, opt.AcceptOlder); err != nil {
		return s, err
	}
	how := &bolt.Options{Timeout: lockWait, NoSync: opt.NoSync, FreelistType: bolt.FreelistMapType}
	if opt.Group {
		how.InitialMmapSize = groupMap // the file is read as a whole while it grows, which must not hold up the writer
	}
	if s.db, err = bolt.Open(path, 0o600, how); err != nil {
		switch {
		case errors.Is(err, bolt.ErrTimeout):
			err = ErrLocked
		case errors.Is(err, bolt.ErrInvalid), errors.Is(err, bolt.ErrChecksum), errors.Is(err, bolt.ErrVersionMismatch):
			err = fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return s, err
	}
	fresh := false
	if err = s.db.View(func(tx *bolt.Tx) (err error) { fresh, err = checkForm(tx); return err }); err != nil {
		return s, err
	}
	if fresh || lacks(s.db) {
		if err = s.db.Update(func(tx *bolt.Tx) error { return prepare(tx, fresh) }); err != nil {
			return s, err
		}
	}
	if err = s.db.View(s.load); err != nil {
		return s, err
	}
	if opt.Group {
		sweepIncoming(path)
		close(s.stopped) // the group writes
	} else {
		go s.write()
	}
	return s, nil
}

// Tail are the events that were kept, as they were found at Open. It may be taken once.
func (s *Store) Tail() (first int64, events []fleet.Event) {
	events, s.tail = s.tail, nil
	return s.first, events
}

// Fleet is the state after the last durable event.
func (s *Store) Fleet() fleet.Fleet { return s.state.Load().fleet }

// Chain is the hash of the whole history.
func (s *Store) Chain() [32]byte { return s.state.Load().chain }

// Do runs a change and returns once it is durable. Changes run one after the other; what one has written is dropped if
// it returns an error, which Do returns.
func (s *Store) Do(f func(*Tx) error) error {
	r := &request{do: f, done: make(chan error, 1)}
	select {
	case s.requests <- r:
	case <-s.stop:
		return ErrClosed
	}
	if s.opt.Group {
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
		select {
		case err := <-r.done:
			return err
		default:
			return ErrClosed
		}
	}
}

// View runs a reader on what is durable.
func (s *Store) View(f func(*View) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for {
		over := s.over.Load()
		tx, err := s.db.Begin(false)
		if err != nil {
			return err
		}
		if s.over.Load() != over { // what lies over the file must not be older than the file
			_ = tx.Rollback()
			continue
		}
		err = f(&View{tx, over})
		return errors.Join(err, tx.Rollback())
	}
}

// Close ends the store; changes that have not begun fail.
func (s *Store) Close() error {
	close(s.stop)
	<-s.stopped
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db.Close()
}

// write is the one writer.
func (s *Store) write() {
	defer close(s.stopped)
	for {
		select {
		case <-s.stop:
			return
		case r := <-s.requests:
			batch := []*request{r}
			for len(batch) < s.opt.Batch {
				select {
				case r = <-s.requests:
					batch = append(batch, r)
					continue
				default:
				}
				break
			}
			s.commit(batch)
			if s.Fleet().Revision-s.snapped >= int64(s.opt.SnapshotEvery) {
				s.snapshot()
			}
		}
	}
}

func (s *Store) commit(batch []*request) {
	next := *s.state.Load()
	var events []fleet.Event
	results := make([]error, len(batch))
	err := s.db.Update(func(tx *bolt.Tx) error {
		for i, r := range batch {
			t := &Tx{View: View{tx: tx}, NowMS: s.opt.Clock(), remember: s.opt.RememberWrites, state: next}
			if results[i] = r.do(t); results[i] != nil {
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
		s.opt.KillPoint(BeforeCommit)
		return nil
	})
	if err == nil {
		s.state.Store(&next)
		s.opt.KillPoint(AfterCommit)
		if len(events) > 0 {
			s.opt.Committed(events)
		}
		s.opt.KillPoint(AfterNotice)
	}
	for i, r := range batch {
		if results[i] == nil && err != nil {
			results[i] = fmt.Errorf("store: not written: %w", err)
		}
		r.done <- results[i]
	}
}

// snapshot keeps the state as a whole and drops the events that only those need who were away for long. If it fails, the
// events stay, and it is tried again later.
func (s *Store) snapshot() {
	st := s.state.Load()
	s.opt.KillPoint(BeforeSnapshot)
	err := s.db.Update(func(tx *bolt.Tx) error {
		raw, err := fleet.Encode(snapshot{Fleet: st.fleet.Dump(), Chain: st.chain[:]})
		if err != nil {
			return err
		}
		if err := put(tx, snapBucket, []byte("fleet"), raw); err != nil {
			return err
		}
		c := tx.Bucket(eventBucket).Cursor()
		for k, _ := c.First(); k != nil && int64(binary.BigEndian.Uint64(k)) <= st.fleet.Revision-int64(s.opt.KeepEvents); k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		s.snapped = st.fleet.Revision
	}
	s.opt.KillPoint(AfterSnapshot)
}
