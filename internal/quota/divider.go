package quota

import (
	"maps"
	"slices"
	"time"
)

// divider divides budgets among holders. It is the common part of Allocator and Node, which differ in the source of the budgets.
type divider struct {
	settings   Settings
	latestTime time.Duration // the latest time passed to any call
	limits     map[string]*limit
	lastSeq    map[string]uint64 // sequence number of the last renewal, by holder
	reserve    pool              // accounts of the fallbacks
	scratch    []Group           // reused by each division
}

// limit is the state of one limit: the shares in force and the current division.
type limit struct {
	pool
	kind       Kind
	maxHolders int
	queue      []string // of a semaphore: IDs of the holders that wait for it or hold it, in order of arrival

	division      division
	dividedAt     time.Duration // when the division was computed
	dividedWeight int           // the weight that it was computed for
	dividedBudget float64       // the budget that it was computed for
}

// budget is the part of one limit that is to be divided.
type budget struct {
	share     float64
	evenShare float64 // an even share for each holder of the tree; Settings.Floor is relative to it
}

// Numbers of accounts to recount in addition to the account that renews.
const (
	recountsPerRenewal        = 2
	recountedFractionPerSweep = 0.25 // fraction of all accounts, with each sweep
)

// newDivider returns a divider without limits.
func newDivider(settings Settings) divider {
	return divider{
		settings: settings,
		limits:   map[string]*limit{},
		lastSeq:  map[string]uint64{},
		reserve:  newPool(settings.fadeAtAllocator()),
	}
}

// clock returns the later of now and the latest time passed so far, so that time never goes backwards. Callers read their clock before
// they acquire their lock, so a call may pass an earlier time than the previous call.
func (d *divider) clock(now time.Duration) time.Duration {
	d.latestTime = max(d.latestTime, now)
	return d.latestTime
}

// accept reports whether a renewal is newer than all previous ones of its holder, and records its sequence number.
func (d *divider) accept(r Renewal) bool {
	if r.Seq <= d.lastSeq[r.Holder] {
		return false
	}
	d.lastSeq[r.Holder] = r.Seq
	return true
}

// recordWants updates the holder's accounts with the demands of a renewal and the grants in use. It returns the names of the limits
// that the holder wants.
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
			l.removeFromQueue(id)
		}
	}
	d.recordFallback(r, now)
	for _, id := range d.reserve.recountNext(recountsPerRenewal, now) {
		delete(d.lastSeq, id)
	}
	for name, l := range d.limits {
		// The holder has released the limits that the renewal does not name, with everything it was granted of them.
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
	a.renewedAt = now
	a.expiresAfter = d.grantLifetime(r)
	a.fullDuration = a.expiresAfter
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

// recordFallback updates the holder's account of the reserve. A holder's fallback starts to decrease when it is requested. Behind a
// node, fallbacks may start to decrease as late as at the end of the node's lease.
func (d *divider) recordFallback(r Renewal, now time.Duration) {
	a := d.reserve.account(r.Holder)
	a.renewedAt = now
	a.expiresAfter = d.grantLifetime(r)
	weight := 1
	if r.Node {
		a.fullDuration = a.expiresAfter
		weight = max(0, r.Leaves)
	}
	d.reserve.setWeight(a, weight)
	d.reserve.acknowledge(a, max(r.InUse, r.FallbackInUse), now)
}

// grantLifetime returns the time for which a share granted for a renewal is counted as in use.
func (d *divider) grantLifetime(r Renewal) time.Duration {
	if r.Node {
		return d.settings.nodeLeaseAtRoot()
	}
	return d.settings.leaseAtAllocator()
}

// release removes a holder's account of a limit, and the limit itself if that was its last account.
func (d *divider) release(name string, l *limit, a *account) {
	l.remove(a)
	l.removeFromQueue(a.id)
	if len(l.accounts) == 0 {
		delete(d.limits, name)
	}
}

// grantShare computes a holder's share of a limit and records it as granted.
func (d *divider) grantShare(name string, r Renewal, available budget, now time.Duration) Share {
	l := d.limits[name]
	a := l.accounts[r.Holder]
	var share float64
	if l.kind == Semaphore {
		share = l.semaphoreShare(a, now)
	} else {
		share = d.rateShare(l, a, available, now)
	}
	l.grant(a, r.Seq, share, now)
	granted := Share{Limit: name, Fraction: share}
	if r.Node {
		granted.EvenFraction = available.evenShare
	}
	return granted
}

// grantFallback computes a holder's fallback and records it as granted. The fallback is an even share of the reserve, limited to what
// the fallbacks of the other holders leave.
func (d *divider) grantFallback(r Renewal, reserve float64, now time.Duration) float64 {
	a := d.reserve.accounts[r.Holder]
	even := reserve * float64(a.weight) / float64(max(1, d.reserve.activeWeight))
	share := max(0, roundDown(min(even, reserve-(d.reserve.used-a.used))))
	d.reserve.grant(a, r.Seq, share, now)
	return share
}

// allocations returns the shares in force and the demands that wait for one, sorted by limit and holder.
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
				x.Left = a.records[n-1].expiresAt - now
			}
			all = append(all, x)
		}
	}
	return all
}

// sweep recounts some of the accounts, which removes expired ones, and removes limits without accounts.
func (d *divider) sweep(now time.Duration) {
	now = d.clock(now)
	for name, l := range d.limits {
		for _, id := range l.recountNext(recountsPerSweep(&l.pool), now) {
			l.removeFromQueue(id)
		}
		if len(l.accounts) == 0 {
			delete(d.limits, name)
		}
	}
	for _, id := range d.reserve.recountNext(recountsPerSweep(&d.reserve), now) {
		delete(d.lastSeq, id)
	}
}

// recountsPerSweep returns the number of accounts of a pool that a sweep recounts.
func recountsPerSweep(p *pool) int {
	return recountsPerRenewal + int(recountedFractionPerSweep*float64(len(p.order)))
}
