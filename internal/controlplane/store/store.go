package store

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	bolt "go.etcd.io/bbolt"

	"stairvane.org/stairvane/internal/fleet"
)

// Errors of Open and of a closed store. Returned errors wrap them and add details.
var (
	ErrDamaged = errors.New("the store is damaged")
	ErrLocked  = errors.New("the store is held by another process")
	ErrNewer   = errors.New("the store is of a newer version")
	ErrClosed  = errors.New("the store is closed")
)

// Points at which a test may kill the process, in the order in which a change reaches them.
const (
	BeforeCommit   = "before-commit"
	AfterCommit    = "after-commit" // durable, but watchers not notified yet
	AfterNotice    = "after-notice"
	BeforeSnapshot = "before-snapshot"
	AfterSnapshot  = "after-snapshot"
)

// Options configures a store. Zero values select the defaults given in brackets.
type Options struct {
	SnapshotEvery  int                 // events between two snapshots (10,000)
	KeepEvents     int                 // events that a snapshot leaves in the file, for watchers that reconnect (0)
	Batch          int                 // maximum number of changes in one transaction (256)
	AcceptOlder    bool                // continue from the older of two file headers if the newer can't be read
	NoSync         bool                // for tests and measurements only
	Clock          func() int64        // Unix milliseconds (the system's)
	Committed      func([]fleet.Event) // called with durable events, in order, before their changes return; must not call the store
	KillPoint      func(point string)  // called at each point at which a test may kill the process
	IsReplica      bool                // the store belongs to a replica: only changes committed by the group are written
	RememberWrites time.Duration       // how long outcomes of writes are kept for repeated writes (10 min)
}

func (o *Options) setDefaults() {
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = 10_000
	}
	if o.Batch <= 0 {
		o.Batch = 256
	}
	if o.RememberWrites <= 0 {
		o.RememberWrites = 10 * time.Minute
	}
	if o.Clock == nil {
		o.Clock = func() int64 { return time.Now().UnixMilli() }
	}
	if o.KillPoint == nil {
		o.KillPoint = func(string) {}
	}
	if o.Committed == nil {
		o.Committed = func([]fleet.Event) {}
	}
}

// Store is an open store.
type Store struct {
	path    string
	options Options

	mu sync.RWMutex // guards db against its replacement by a snapshot
	db *bolt.DB

	requests chan *request
	stop     chan struct{} // closed by Close
	stopped  chan struct{} // closed when the writer has ended

	state    atomic.Pointer[state]
	overlay  atomic.Pointer[overlay] // committed by the group but not in the file yet
	identity atomic.Pointer[Identity]
	isCloned atomic.Bool // the file is a copy of another disk's

	replica          replicaState // owned by the goroutine that drives the replica
	receiving        sync.Mutex   // held while a snapshot is received
	snapshotRevision int64        // of the last snapshot; owned by the writer

	firstEvent int64         // number of the first event in the file; revision + 1 if there is none
	tail       []fleet.Event // events found in the file at Open; nil once Tail was called
}

// state is the result of all committed transactions. It is immutable once it is published.
type state struct {
	fleet fleet.Fleet
	chain [32]byte // hash of the event log
	atMS  int64    // Unix milliseconds of the last event; the next one is never earlier, even if the clock goes back
}

// Tail returns the events that were in the file at Open, and the number of the first one. It may be
// called only once.
func (s *Store) Tail() (first int64, events []fleet.Event) {
	events = s.tail
	s.tail = nil
	return s.firstEvent, events
}

// Fleet returns the state after the last committed event.
func (s *Store) Fleet() fleet.Fleet { return s.state.Load().fleet }

// Chain returns the hash of the event log.
func (s *Store) Chain() [32]byte { return s.state.Load().chain }

// View runs read on a consistent view of the committed state.
func (s *Store) View(read func(*View) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for {
		over := s.overlay.Load()
		tx, err := s.db.Begin(false)
		if err != nil {
			return err
		}
		if s.overlay.Load() != over { // the overlay must not be older than the file
			_ = tx.Rollback() // fails only if the transaction is closed
			continue
		}
		err = read(&View{tx: tx, overlay: over})
		return errors.Join(err, tx.Rollback())
	}
}

// Close closes the store. Changes that have not started fail with ErrClosed.
func (s *Store) Close() error {
	close(s.stop)
	<-s.stopped
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db.Close()
}
