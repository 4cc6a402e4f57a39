package quota

import "time"

// Allocator divides limits. It is not safe for concurrent use.
type Allocator struct {
	divider
	epoch int64
	since time.Duration // when it began
}

// NewAllocator makes an allocator, the root. One that takes over from another gives nothing until what that one gave is over,
// to holders and to nodes.
func NewAllocator(set Settings, epoch int64, now time.Duration, first bool) *Allocator {
	a := &Allocator{divider: newDivider(set), epoch: epoch, since: now}
	if first {
		a.since -= max(set.waits(), set.nodeWaits()) + set.fades()
	}
	return a
}

// Renew takes a renewal in and answers it. One that comes again, or after a later one, is answered with nothing, and so are
// all while the allocator waits for what the one before it gave: such an answer has no Seq, and no holder takes it, so that
// what it has stays in force and counted. The cost of a call does not grow with the number of holders, but for Turns.
func (a *Allocator) Renew(r Renewal, now time.Duration) Grant {
	answer := Grant{Holder: r.Holder, Epoch: a.epoch}
	if !a.accept(r) {
		return answer
	}
	now = a.clock(now)
	wanted := a.note(r, now)
	if now < a.since+max(a.set.waits(), a.set.nodeWaits()) {
		return answer
	}
	answer.Seq = r.Seq
	for _, name := range wanted {
		shared := 1 - a.set.Reserve
		of := budget{part: shared, even: shared / float64(max(1, a.limits[name].weight))}
		answer.Parts = append(answer.Parts, a.share(name, r, of, now))
	}
	reserve := a.set.Reserve
	if now < a.since+a.set.nodeWaits()+a.set.fades() { // what the one before it gave has not faded yet
		reserve = 0
	}
	answer.Fallback = a.fallback(r, reserve, now)
	return answer
}

// Allocations lists what is in force and who waits.
func (a *Allocator) Allocations(now time.Duration) []Allocation { return a.held(now) }

// Sweep forgets, in some calls, limits that nobody holds or wants any more. It is to be called several times a second.
func (a *Allocator) Sweep(now time.Duration) { a.sweep(now) }
