// Package news carries events from the one core that follows the bulletin to all cores, without a lock: an append-only list
// whose nodes never change, and a number that tells each core at the cost of one load whether it lags. A core that was
// stalled finds everything it missed, in order; what all have read the collector frees. It knows no event's meaning.
package events

import "sync/atomic"

// Log is written by one core and read by any. Make it with New.
type Log[T any] struct {
	number atomic.Int64
	last   *node[T] // the writer's
	first  *node[T]
}

type node[T any] struct {
	value T
	next  atomic.Pointer[node[T]]
}

// New makes an empty log.
func New[T any]() *Log[T] {
	n := &node[T]{}
	return &Log[T]{last: n, first: n}
}

// Publish appends a value. One goroutine alone may call it. The value must not be changed any more.
func (l *Log[T]) Publish(v T) {
	n := &node[T]{value: v}
	l.last.next.Store(n)
	l.last = n
	l.number.Add(1)
}

// Number is how many values were published.
func (l *Log[T]) Number() int64 { return l.number.Load() }

// Cursor is one core's place in a log.
type Cursor[T any] struct {
	log *Log[T]
	at  *node[T]
	n   int64
}

// Follow gives a cursor that stands before the first value. All cursors must be made before the first Publish.
func (l *Log[T]) Follow() *Cursor[T] { return &Cursor[T]{log: l, at: l.first} }

// Start lets the collector free what all cursors have read. It is called once they are made.
func (l *Log[T]) Start() { l.first = nil }

// Behind tells whether there is anything new: one load, for the way of every attempt.
func (c *Cursor[T]) Behind() bool { return c.n < c.log.number.Load() }

// Number is how many values were read.
func (c *Cursor[T]) Number() int64 { return c.n }

// Next is the next value, if there is one.
func (c *Cursor[T]) Next() (v T, ok bool) {
	n := c.at.next.Load()
	if n == nil {
		return v, false
	}
	c.at = n
	c.n++
	return n.value, true
}
