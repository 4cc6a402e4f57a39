package routing

import (
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// A client whose connection ended may come again at once, on another, with the same id: what crossed a close is sent again as it
// was. That is a request of its own; neither answers or cancels the other. But caches know attempts by the id alone, so it starts
// only when nothing of the first is out any more, keeps off the links on which the first may still be answered, and repeats only
// what the class allows.

const (
	// mostRepeats is how often one id may come again. Some clients send one id hundreds of times, and each would take more links.
	mostRepeats = 2
	// mostFormer bounds what is remembered of requests whose clients have gone.
	mostFormer = 4096
)

// repeat is a request that waits for an earlier one of its id to end.
type repeat struct {
	*Request
	deadline time.Duration
	timer    transport.Timer
}

// former is what a repeat must know of a request whose client has gone.
type former struct {
	id      decision.RequestID
	spoiled []*link
	unread  []*link
	ranAt   time.Duration
	times   int // that the id has come
	until   time.Duration
}

// again takes in a request whose id is another's that is known still. That one's client may have gone in the very round that
// brings this: whether it has is clear at the end of it.
func (d *Director) again(first *request, r *Request) {
	if first.next != nil {
		d.Counts.Failed++
		r.Caller.Fail(r)
		return
	}
	p := &repeat{Request: r, deadline: d.loop.Now() + r.Budget}
	p.timer.Fire = func() { d.failRepeat(first) }
	first.next = p
	d.open++
	d.loop.Later(func() {
		if first.next == p && !first.answered {
			d.failRepeat(first)
		}
	})
	if first.next == p {
		d.loop.Set(&p.timer, p.deadline)
	}
}

// takeRepeat takes the repeat that waits for a request, or nil.
func (d *Director) takeRepeat(first *request) *repeat {
	p := first.next
	if p != nil {
		p.timer.Stop()
		first.next = nil
		d.open--
	}
	return p
}

func (d *Director) failRepeat(first *request) {
	if p := d.takeRepeat(first); p != nil {
		d.Counts.Failed++
		p.Caller.Fail(p.Request)
	}
}

// remember keeps what a repeat of a request must know of it, when its client has gone and nothing of it is out any more.
func (d *Director) remember(q *request) {
	if !q.left || len(q.spoiled) == 0 && q.ranAt == 0 {
		return
	}
	f := &former{id: q.key, spoiled: q.spoiled, unread: q.unread, ranAt: q.ranAt, times: q.times + 1, until: d.loop.Now() + d.limits.LongestAnswer}
	if len(d.formerOrder) >= mostFormer {
		d.forgetFormer(d.formerOrder[:1])
	}
	d.former[q.key] = f
	d.formerOrder = append(d.formerOrder, f)
}

func (d *Director) forgetFormer(old []*former) {
	for _, f := range old {
		if d.former[f.id] == f {
			delete(d.former, f.id)
		}
	}
	d.formerOrder = slices.Delete(d.formerOrder, 0, len(old))
}

// tidyFormer forgets the requests whose clients will not come again.
func (d *Director) tidyFormer(now time.Duration) {
	n := 0
	for n < len(d.formerOrder) && d.formerOrder[n].until <= now {
		n++
	}
	d.forgetFormer(d.formerOrder[:n])
}

// inherit has a request know what is known of an earlier one of its id; it tells whether it may be sent at all.
func (d *Director) inherit(q *request) bool {
	f := d.former[q.key]
	if f == nil {
		return true
	}
	d.Counts.Repeats++
	q.spoiled, q.unread, q.ranAt, q.times = slices.Clone(f.spoiled), slices.Clone(f.unread), f.ranAt, f.times
	k := d.classes[q.Class]
	return f.times <= mostRepeats && (f.ranAt == 0 || k.effect == decision.Idempotent ||
		k.effect == decision.IdempotentWithKey && k.scope == decision.ScopeAll && d.loop.Now()-f.ranAt < k.resendWithin)
}
