package quota

import (
	"maps"
	"slices"
	"time"
)

// divider divides budgets among holders. It is what Allocator and Node have in common; they differ in where the budgets are from.
type divider struct {
	set     Settings
	latest  time.Duration // the latest time that it was called with
	limits  map[string]*limit
	lastSeq map[string]uint64 // of the last renewal, by holder
	reserve pool              // the fallbacks
	scratch []Group           // reused by each division
}

// limit is one limit, what of it is in force, and how it is divided at the moment.
type limit struct {
	pool
	kind       Kind
	maxHolders int
	queue      []string // of a semaphore: IDs of those that wait or hold it, in order

	division      division
	dividedAt     time.Duration // when the division was made, and for which weight and budget
	dividedWeight int
	dividedBudget float64
}

// budget is what is to be divided of one limit.
type budget struct {
	share     float64
	evenShare float64 // for each holder of the tree; the floor is a share of it
}

// How many accounts are recounted besides the one that renews.
const (
	recountsPerRenewal    = 2
	recountedShareOfSweep = 0.25 // of all accounts, with each sweep
)

func newDivider(set Settings) divider {
	return divider{
		set:     set,
		limits:  map[string]*limit{},
		lastSeq: map[string]uint64{},
		reserve: newPool(set.fadeAtAllocator()),
	}
}

// clock returns the time to count with, which never goes back. Callers read their clock before they wait for their lock, so a call
// may come with an earlier time than the one before it.
func (d *divider) clock(now time.Duration) time.Duration {
	d.latest = max(d.latest, now)
	return d.latest
}

// accept reports whether a renewal is later than all others of its holder.
func (d *divider) accept(r Renewal) bool {
	if r.Seq <= d.lastSeq[r.Holder] {
		return false
	}
	d.lastSeq[r.Holder] = r.Seq
	return true
}

// recordWants records what a holder wants and which grants it uses. It returns the names of the limits that it wants.
func (d *divider) recordWants(r Renewal, now time.Duration) []string {
	var wanted []string
	for _, want := range r.Wants {
		if slices.Contains(wanted, want.Limit) {
			continue
		}
		wanted = append(wanted, want.Limit)
		l := d.limits[want.Limit]
		if l == nil {
			l = &limit{kind: want.Kind, pool: newPool(0)}
			d.limits[want.Limit] = l
		}
		l.maxHolders = max(1, want.MaxHolders)
		d.recordWant(l, want, r, now)
		for _, id := range l.recountNext(recountsPerRenewal, now) {
			l.leaveQueue(id)
		}
	}
	d.recordFallback(r, now)
	for _, id := range d.reserve.recountNext(recountsPerRenewal, now) {
		delete(d.lastSeq, id)
	}
	for name, l := range d.limits {
		// The holder has given up the limits that it does not name, with all that it was granted of them.
		if a := l.accounts[r.Holder]; a != nil && !slices.Contains(wanted, name) {
			d.release(name, l, a)
		}
	}
	return wanted
}

// recordWant updates the holder's account of one limit.
func (d *divider) recordWant(l *limit, want Want, r Renewal, now time.Duration) {
	a := l.account(r.Holder)
	a.demands = want.groups(r.Node)
	a.renewed = now
	a.expiresAfter = d.grantLifetime(r)
	a.fullFor = a.expiresAfter
	weight := 1
	if r.Node {
		weight = 0
		for _, group := range a.demands {
			weight += group.Count
		}
	}
	l.setWeight(a, weight)
	l.acknowledge(a, max(r.InUse, want.InUse), now)
}

// recordFallback updates the holder's account of the reserve. A holder's fallback fades from when it was requested. Behind a node,
// fallbacks may begin to fade as late as at the end of the node's lease.
func (d *divider) recordFallback(r Renewal, now time.Duration) {
	a := d.reserve.account(r.Holder)
	a.renewed = now
	a.expiresAfter = d.grantLifetime(r)
	weight := 1
	if r.Node {
		a.fullFor = a.expiresAfter
		weight = max(0, r.Leaves)
	}
	d.reserve.setWeight(a, weight)
	d.reserve.acknowledge(a, max(r.InUse, r.FallbackInUse), now)
}

// grantLifetime returns for how long a share counts that answers a renewal.
func (d *divider) grantLifetime(r Renewal) time.Duration {
	if r.Node {
		return d.set.nodeLeaseAtRoot()
	}
	return d.set.leaseAtAllocator()
}

// release forgets what a holder has of a limit, and the limit with its last holder.
func (d *divider) release(name string, l *limit, a *account) {
	l.remove(a)
	l.leaveQueue(a.id)
	if len(l.accounts) == 0 {
		delete(d.limits, name)
	}
}

// grantShare decides what a holder gets of a limit, and counts it.
func (d *divider) grantShare(name string, r Renewal, of budget, now time.Duration) Share {
	l := d.limits[name]
	a := l.accounts[r.Holder]
	var share float64
	if l.kind == Semaphore {
		share = l.semaphoreShare(a, now)
	} else {
		share = d.rateShare(l, a, of, now)
	}
	l.grant(a, r.Seq, share, now)
	answer := Share{Limit: name, Fraction: share}
	if r.Node {
		answer.EvenFraction = of.evenShare
	}
	return answer
}

// grantFallback decides what of the reserve a holder may fall back to: an even share, as far as the fallbacks of the others leave it.
func (d *divider) grantFallback(r Renewal, reserve float64, now time.Duration) float64 {
	a := d.reserve.accounts[r.Holder]
	even := reserve * float64(a.weight) / float64(max(1, d.reserve.live))
	share := max(0, roundDown(min(even, reserve-(d.reserve.used-a.used))))
	d.reserve.grant(a, r.Seq, share, now)
	return share
}

// allocations lists what is in force and who waits, by limit and holder.
func (d *divider) allocations(now time.Duration) []Allocation {
	now = d.clock(now)
	var all []Allocation
	for _, name := range slices.Sorted(maps.Keys(d.limits)) {
		l := d.limits[name]
		for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
			a := l.accounts[id]
			l.recount(a, now)
			x := Allocation{Limit: name, Kind: l.kind, Holder: id, Fraction: a.used}
			for _, group := range a.demands {
				x.Demand += group.Demand * float64(group.Count)
			}
			if n := len(a.records); n > 0 {
				x.Left = a.records[n-1].until - now
			}
			all = append(all, x)
		}
	}
	return all
}

// sweep recounts some of the accounts, and forgets limits that nobody holds or wants any more.
func (d *divider) sweep(now time.Duration) {
	now = d.clock(now)
	for name, l := range d.limits {
		for _, id := range l.recountNext(recountsPerSweep(&l.pool), now) {
			l.leaveQueue(id)
		}
		if len(l.accounts) == 0 {
			delete(d.limits, name)
		}
	}
	for _, id := range d.reserve.recountNext(recountsPerSweep(&d.reserve), now) {
		delete(d.lastSeq, id)
	}
}

// recountsPerSweep returns how many accounts of a pool a sweep recounts.
func recountsPerSweep(p *pool) int {
	return recountsPerRenewal + int(recountedShareOfSweep*float64(len(p.order)))
}
