// Package events distributes events from the core that watches the event stream to all cores of a process, without locks.
//
// The log is an append-only linked list of immutable values. Each core reads it with its own cursor. A core that was stalled
// reads all events that it missed, in order, once it runs again. The garbage collector frees the values that all cursors have
// read.
package events

import "sync/atomic"

// Log is a list of values that is written by one goroutine and read by any number of goroutines. To set it up, call New,
// then NewCursor for each reader, then Seal.
type Log[T any] struct {
	published atomic.Int64 // number of published values
	first     *node[T]     // nil once the log is sealed
	last      *node[T]     // used by the writer only
}

type node[T any] struct {
	value T
	next  atomic.Pointer[node[T]]
}

// New returns an empty log.
func New[T any]() *Log[T] {
	n := &node[T]{}
	return &Log[T]{first: n, last: n}
}

// Publish appends a value, which must not be modified afterwards. Only one goroutine may call it.
func (l *Log[T]) Publish(v T) {
	n := &node[T]{value: v}
	l.last.next.Store(n)
	l.last = n
	l.published.Add(1)
}

// NewCursor returns a cursor positioned before the first value. It must be called before Seal and the first Publish.
func (l *Log[T]) NewCursor() *Cursor[T] { return &Cursor[T]{log: l, position: l.first} }

// Seal allows the garbage collector to free the values that all cursors have read. NewCursor must not be called afterwards.
func (l *Log[T]) Seal() { l.first = nil }

// Cursor is a reader's position in a Log. It is not safe for concurrent use.
type Cursor[T any] struct {
	log      *Log[T]
	position *node[T]
	read     int64 // number of values read
}

// HasNext reports whether there are unread values. It costs one atomic load.
func (c *Cursor[T]) HasNext() bool { return c.read < c.log.published.Load() }

// Next returns the next value and advances the cursor. If there is no unread value, ok is false.
func (c *Cursor[T]) Next() (v T, ok bool) {
	n := c.position.next.Load()
	if n == nil {
		return v, false
	}
	c.position = n
	c.read++
	return n.value, true
}
