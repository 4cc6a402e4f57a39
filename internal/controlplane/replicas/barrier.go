package replicas

import (
	"context"

	"stairvane.org/stairvane/internal/controlplane/replica"
	"stairvane.org/stairvane/internal/controlplane/store"
)

// barriers are the callers of Barrier who wait for a proof of leadership. They are owned by the
// loop.
type barriers struct {
	waiting map[uint64]chan<- error // by the tag of their ReadIndex; each channel is buffered
	proven  []replica.ReadState     // whose index is not applied yet
}

func (b *barriers) anyWaiting() bool { return len(b.waiting) > 0 }

// prove takes in proofs of leadership, and answers the callers whose index is applied.
func (b *barriers) prove(reads []replica.ReadState, applied uint64) {
	b.proven = append(b.proven, reads...)
	remaining := b.proven[:0]
	for _, read := range b.proven {
		if read.Index > applied {
			remaining = append(remaining, read)
			continue
		}
		b.answer(read.Tag, nil)
	}
	b.proven = remaining
}

func (b *barriers) failAll() {
	for tag := range b.waiting {
		b.answer(tag, store.ErrNotLeader)
	}
	b.proven = nil
}

func (b *barriers) answer(tag uint64, err error) {
	if answer, is := b.waiting[tag]; is {
		answer <- err
		delete(b.waiting, tag)
	}
}

// Barrier waits until it is proven that this replica leads, and until all that was committed before
// is applied. The error is store.ErrNotLeader, store.ErrClosed, or that of the context.
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
