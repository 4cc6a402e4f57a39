package decision

import (
	"container/heap"
	"time"
)

// simulation plays events in the order of their times, on a clock of its own.
type simulation struct {
	now   time.Duration
	queue eventQueue
}

// after schedules an event.
func (s *simulation) after(delay time.Duration, do func()) {
	heap.Push(&s.queue, scheduledEvent{s.now + delay, do})
}

// run plays the events up to a time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// scheduledEvent is something that happens at a time.
type scheduledEvent struct {
	at time.Duration
	do func()
}

// eventQueue is a heap.Interface of events by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
