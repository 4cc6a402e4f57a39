package quota

import "time"

// Allocator divides limits among holders and nodes, as the root of the tree. It is not safe for concurrent use.
type Allocator struct {
	divider
	epoch     int64
	startedAt time.Duration // time after which no earlier allocator grants anything
}

// NewAllocator returns an allocator. Earlier allocators must have lower epochs and must not grant anything after now. first
// indicates that there was no earlier allocator; if it is false, the new one grants nothing until all earlier grants have expired.
func NewAllocator(settings Settings, epoch int64, now time.Duration, first bool) *Allocator {
	a := &Allocator{divider: newDivider(settings), epoch: epoch, startedAt: now}
	if first {
		a.startedAt -= max(settings.leaseAtAllocator(), settings.nodeLeaseAtRoot()) + settings.fadeAtAllocator()
	}
	return a
}

// Renew handles a renewal and returns the grant to reply with. The grant has no Seq if the renewal is a duplicate or late, or while the
// allocator waits for the grants of an earlier one to expire. Holders ignore such a grant, so their previous grants stay in force and
// are still counted. The cost of a call does not grow with the number of holders, except for semaphores.
func (a *Allocator) Renew(r Renewal, now time.Duration) Grant {
	grant := Grant{Holder: r.Holder, Epoch: a.epoch}
	if !a.accept(r) {
		return grant
	}
	now = a.clock(now)
	wanted := a.recordWants(r, now)
	if now < a.startedAt+max(a.settings.leaseAtAllocator(), a.settings.nodeLeaseAtRoot()) {
		return grant
	}
	grant.Seq = r.Seq
	for _, name := range wanted {
		withoutReserve := 1 - a.settings.Reserve
		available := budget{share: withoutReserve, evenShare: withoutReserve / float64(max(1, a.limits[name].weight))}
		grant.Shares = append(grant.Shares, a.grantShare(name, r, available, now))
	}
	reserve := a.settings.Reserve
	if now < a.startedAt+a.settings.nodeLeaseAtRoot()+a.settings.fadeAtAllocator() {
		reserve = 0 // fallbacks that an earlier allocator granted have not expired yet
	}
	grant.Fallback = a.grantFallback(r, reserve, now)
	return grant
}

// Allocations returns the shares in force and the demands that wait for one, sorted by limit and holder.
func (a *Allocator) Allocations(now time.Duration) []Allocation { return a.allocations(now) }

// Sweep removes expired accounts, and limits without accounts. Each call handles a part of them, so it must be called several times a
// second.
func (a *Allocator) Sweep(now time.Duration) { a.sweep(now) }
