package replicas

import (
	"context"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// barriers tracks the calls of Barrier that wait until leadership is confirmed. It is owned by the
// loop.
type barriers struct {
	waiting   map[uint64]chan<- error // by the tag of the ReadIndex request; each channel is buffered
	confirmed []replica.ReadState     // reads with confirmed leadership whose index is not applied yet
}

func (b *barriers) anyWaiting() bool { return len(b.waiting) > 0 }

// confirm adds reads whose leadership is confirmed, and completes the barriers whose index is
// applied.
func (b *barriers) confirm(reads []replica.ReadState, applied uint64) {
	b.confirmed = append(b.confirmed, reads...)
	remaining := b.confirmed[:0]
	for _, read := range b.confirmed {
		if read.Index > applied {
			remaining = append(remaining, read)
			continue
		}
		b.answer(read.Tag, nil)
	}
	b.confirmed = remaining
}

func (b *barriers) failAll() {
	for tag := range b.waiting {
		b.answer(tag, store.ErrNotLeader)
	}
	b.confirmed = nil
}

func (b *barriers) answer(tag uint64, err error) {
	if answer, ok := b.waiting[tag]; ok {
		answer <- err
		delete(b.waiting, tag)
	}
}

// Barrier waits until a majority has confirmed that this replica is the leader and all entries
// committed before the call are applied. It returns store.ErrNotLeader, store.ErrClosed, or the
// error of the context.
func (g *Group) Barrier(ctx context.Context) error {
	answer := make(chan error, 1)
	if !g.runOnLoop(func() { g.startBarrier(answer) }) {
		return store.ErrClosed
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stop:
		return store.ErrClosed
	}
}

func (g *Group) startBarrier(answer chan<- error) {
	if g.driver == nil {
		answer <- store.ErrNotLeader
		return
	}
	tag, err := g.driver.ReadIndex()
	if err != nil {
		answer <- store.ErrNotLeader
		return
	}
	g.barriers.waiting[tag] = answer
}
