// Package events carries events from the one core that watches the event stream to all cores of a process, without a lock.
//
// The log is an append-only list whose nodes never change. Each core reads it with a cursor of its own. A core that was
// stalled finds everything that it missed, in order; the garbage collector frees what all cursors have read.
package events

import "sync/atomic"

// Log is written by one goroutine and read by any number. Make it with New, then all cursors, then call Seal.
type Log[T any] struct {
	published atomic.Int64 // number of values
	first     *node[T]     // nil once the log is sealed
	last      *node[T]     // belongs to the writer
}

type node[T any] struct {
	value T
	next  atomic.Pointer[node[T]]
}

// New makes an empty log.
func New[T any]() *Log[T] {
	n := &node[T]{}
	return &Log[T]{first: n, last: n}
}

// Publish appends a value, which must not be changed any more. Only one goroutine may call it.
func (l *Log[T]) Publish(v T) {
	n := &node[T]{value: v}
	l.last.next.Store(n)
	l.last = n
	l.published.Add(1)
}

// NewCursor makes a cursor that stands before the first value. It must be called before Seal and the first Publish.
func (l *Log[T]) NewCursor() *Cursor[T] { return &Cursor[T]{log: l, position: l.first} }

// Seal lets the garbage collector free what all cursors have read. No cursor may be made after it.
func (l *Log[T]) Seal() { l.first = nil }

// Cursor is one reader's position in a Log. It belongs to one goroutine.
type Cursor[T any] struct {
	log      *Log[T]
	position *node[T]
	read     int64 // number of values
}

// HasNext reports whether there are values that were not read. It costs one atomic load.
func (c *Cursor[T]) HasNext() bool { return c.read < c.log.published.Load() }

// Next reads the next value, if there is one.
func (c *Cursor[T]) Next() (v T, ok bool) {
	n := c.position.next.Load()
	if n == nil {
		return v, false
	}
	c.position = n
	c.read++
	return n.value, true
}
