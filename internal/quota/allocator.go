package quota

import "time"

// Allocator divides limits among holders and nodes. It is the root of the tree. It is not safe for concurrent use.
type Allocator struct {
	divider
	epoch   int64
	beganAt time.Duration // since when no earlier allocator grants anything
}

// NewAllocator makes an allocator. An earlier one grants nothing after now, and has a lower epoch. Unless first says that there
// was none, the new one grants nothing until all that was granted before is over.
func NewAllocator(set Settings, epoch int64, now time.Duration, first bool) *Allocator {
	a := &Allocator{divider: newDivider(set), epoch: epoch, beganAt: now}
	if first {
		a.beganAt -= max(set.leaseAtAllocator(), set.nodeLeaseAtRoot()) + set.fadeAtAllocator()
	}
	return a
}

// Renew answers a renewal. A renewal that comes again or late, and each while the allocator waits for the grants of an earlier one,
// is answered with a grant without Seq. No holder takes such a grant, so what it has stays in force and counted. The cost of a
// call does not grow with the number of holders, except for semaphores.
func (a *Allocator) Renew(r Renewal, now time.Duration) Grant {
	answer := Grant{Holder: r.Holder, Epoch: a.epoch}
	if !a.accept(r) {
		return answer
	}
	now = a.clock(now)
	wanted := a.recordWants(r, now)
	if now < a.beganAt+max(a.set.leaseAtAllocator(), a.set.nodeLeaseAtRoot()) {
		return answer
	}
	answer.Seq = r.Seq
	for _, name := range wanted {
		shared := 1 - a.set.Reserve
		of := budget{share: shared, evenShare: shared / float64(max(1, a.limits[name].weight))}
		answer.Shares = append(answer.Shares, a.grantShare(name, r, of, now))
	}
	reserve := a.set.Reserve
	if now < a.beganAt+a.set.nodeLeaseAtRoot()+a.set.fadeAtAllocator() {
		reserve = 0 // fallbacks that an earlier allocator granted have not faded yet
	}
	answer.Fallback = a.grantFallback(r, reserve, now)
	return answer
}

// Allocations lists what is in force and who waits, by limit and holder.
func (a *Allocator) Allocations(now time.Duration) []Allocation { return a.allocations(now) }

// Sweep forgets limits that nobody holds or wants any more, some with each call. It is to be called several times a second.
func (a *Allocator) Sweep(now time.Duration) { a.sweep(now) }
