package quota

import "time"

// Allocator divides limits among holders and nodes, as the root of the tree. It is not safe for concurrent use.
type Allocator struct {
	divider
	epoch   int64
	beganAt time.Duration // time after which no earlier allocator grants anything
}

// NewAllocator returns an allocator. Earlier allocators must have lower epochs and must not grant anything after now. Unless first
// states that there was none, the new allocator grants nothing until all earlier grants have expired.
func NewAllocator(set Settings, epoch int64, now time.Duration, first bool) *Allocator {
	a := &Allocator{divider: newDivider(set), epoch: epoch, beganAt: now}
	if first {
		a.beganAt -= max(set.leaseAtAllocator(), set.nodeLeaseAtRoot()) + set.fadeAtAllocator()
	}
	return a
}

// Renew handles a renewal and returns the grant to reply with. The grant has no Seq if the renewal is a duplicate or late, or while the
// allocator waits for the grants of an earlier one to expire. Holders ignore such a grant, so the grants they have stay in force and
// counted. The cost of a call does not grow with the number of holders, except for semaphores.
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
		reserve = 0 // fallbacks that an earlier allocator granted have not expired yet
	}
	answer.Fallback = a.grantFallback(r, reserve, now)
	return answer
}

// Allocations returns the shares in force and the demands that wait for one, sorted by limit and holder.
func (a *Allocator) Allocations(now time.Duration) []Allocation { return a.allocations(now) }

// Sweep removes expired accounts, and limits without accounts. Each call handles a part of them, so it must be called several times a
// second.
func (a *Allocator) Sweep(now time.Duration) { a.sweep(now) }
