package decision

import (
	"container/heap"
	"time"
)

// simulation is a discrete-event simulation with its own clock. It runs events in order of time.
type simulation struct {
	now   time.Duration
	queue eventQueue
}

// after schedules an event after a delay.
func (s *simulation) after(delay time.Duration, do func()) {
	heap.Push(&s.queue, scheduledEvent{s.now + delay, do})
}

// run runs the events that are scheduled up to the given time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// scheduledEvent is a function that is to be called at a given time.
type scheduledEvent struct {
	at time.Duration
	do func()
}

// eventQueue implements heap.Interface, ordered by time.
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
