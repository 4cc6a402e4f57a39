package quota

import (
	"maps"
	"slices"
	"time"
)

// divider divides budgets among holders: what an allocator does, whoever it has the budgets from.
type divider struct {
	set     Settings
	now     time.Duration // the latest that it was called with: it never goes back
	limits  map[string]*limit
	last    map[string]uint64 // the last renewal, by holder
	reserve pool              // what of it each may fall back to
	demands []Group           // to find a filling in, over and over
}

// limit is one limit, what is in force of it, and how it is divided at the moment.
type limit struct {
	pool
	kind   Kind
	most   int
	queue  []string // turns: who waits, in order
	filled filling

	// When that was found, and for what.
	filledAt     time.Duration
	filledWeight int
	filledBudget float64
}

// budget is what is to be divided of one limit.
type budget struct {
	part float64
	even float64 // an even part for each leaf holder of the whole limit: the floor is a share of it
}

// A filling takes a look at all accounts, and renewals come several times a second from each. So it holds for a time that
// grows with their number: 225 ms at 3,500, where it costs some 100 us a limit.
const (
	fillsFor        = 50 * time.Millisecond
	fillsForAccount = 50 * time.Microsecond
	fillsWeight     = 8    // it is found anew when the number of leaf holders has changed by one of so many
	countedAnew     = 2    // accounts, with each renewal, besides the one that renews
	sweptAnew       = 0.25 // of all accounts, with each sweep
)

func newDivider(set Settings) divider {
	return divider{set: set, limits: map[string]*limit{}, last: map[string]uint64{}, reserve: newPool(set.fades())}
}

// clock gives the time to count with. Callers read their clock before they wait for their turn, so that one may come with an
// older time than the one before it.
func (d *divider) clock(now time.Duration) time.Duration {
	d.now = max(d.now, now)
	return d.now
}

// accept tells whether a renewal is later than all that came of its holder.
func (d *divider) accept(r Renewal) bool {
	if r.Seq <= d.last[r.Holder] {
		return false
	}
	d.last[r.Holder] = r.Seq
	return true
}

// note takes in what a holder wants and has taken, and gives the names of the limits that it wants.
func (d *divider) note(r Renewal, now time.Duration) (wanted []string) {
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
		l.most = max(1, want.Most)
		d.noteWant(l, want, r, now)
		for _, id := range l.advance(countedAnew, now) {
			l.leave(id)
		}
	}
	d.noteFallback(r, now)
	for _, id := range d.reserve.advance(countedAnew, now) {
		delete(d.last, id)
	}
	for name, l := range d.limits { // what it does not name any more it has given up
		if a := l.accounts[r.Holder]; a != nil && !slices.Contains(wanted, name) {
			d.drop(name, l, a) // it uses nothing that was given before this renewal, and will not
		}
	}
	return wanted
}

func (d *divider) noteWant(l *limit, want Want, r Renewal, now time.Duration) {
	a := l.open(r.Holder)
	a.demand = want.groups(r.Node)
	a.renewed, a.waits = now, d.counts(r)
	a.whole = a.waits
	weight := 1
	if r.Node {
		weight = 0
		for _, group := range a.demand {
			weight += group.Count
		}
	}
	l.setWeight(a, weight)
	l.settle(a, max(r.Taken, want.Taken), now)
}

// noteFallback keeps the account of the reserve. A leaf holder's fallback fades from when it was asked for; what a node's
// holders fall back to may begin to fade as late as the end of the node's lease.
func (d *divider) noteFallback(r Renewal, now time.Duration) {
	a := d.reserve.open(r.Holder)
	a.renewed, a.waits = now, d.counts(r)
	weight := 1
	if r.Node {
		a.whole, weight = a.waits, max(0, r.Leaves)
	}
	d.reserve.setWeight(a, weight)
	d.reserve.settle(a, max(r.Taken, r.TakenFallback), now)
}

// counts is how long a part is counted that answers a renewal.
func (d *divider) counts(r Renewal) time.Duration {
	if r.Node {
		return d.set.nodeWaits()
	}
	return d.set.waits()
}

// drop forgets what a holder has of a limit, and the limit with the last of them.
func (d *divider) drop(name string, l *limit, a *account) {
	l.close(a)
	l.leave(a.id)
	if len(l.accounts) == 0 {
		delete(d.limits, name)
	}
}

// share decides what one gets of a limit now.
func (d *divider) share(name string, r Renewal, of budget, now time.Duration) Share {
	l := d.limits[name]
	a := l.accounts[r.Holder]
	part := 0.0
	if l.kind == Turns {
		part = l.turn(a, now)
	} else {
		part = d.part(l, a, of, now)
	}
	l.grant(a, r.Seq, part, now)
	answer := Share{Limit: name, Part: part}
	if r.Node {
		answer.Even = of.even
	}
	return answer
}

// part decides what one gets of a rate.
func (d *divider) part(l *limit, a *account, of budget, now time.Duration) float64 {
	d.find(l, of, now)
	target := l.filled.part(d.scaled(nil, a.demand))
	others := l.used - a.used
	had := a.newest()
	near := target-had < d.set.Hold*had && had-target < d.set.Hold*had
	if had > 0 && len(a.demand) > 0 && near && others+had <= of.part {
		target = had
	}
	// What others were granted since the budget sank leaves room in it. What they had before may go on beside that as long as
	// nothing is added to it: it is over before the budget is that it was granted from.
	room := min(of.part-(l.recent-a.recent), max(of.part-others, a.used))
	return max(0, roundDown(min(target, room)))
}

// scaled appends groups whose demands are in parts of what is shared of a limit, which is less than all of it.
func (d *divider) scaled(to, groups []Group) []Group {
	for _, group := range groups {
		to = append(to, Group{group.Demand * (1 - d.set.Reserve), group.Count})
	}
	return to
}

// find finds how a rate is divided, where what was found is old, or for another budget or number of leaf holders.
func (d *divider) find(l *limit, of budget, now time.Duration) {
	change := max(l.weight-l.filledWeight, l.filledWeight-l.weight)
	holds := fillsFor + time.Duration(len(l.order))*fillsForAccount
	if now-l.filledAt < holds && change*fillsWeight <= l.filledWeight && of.part == l.filledBudget {
		return
	}
	d.demands = d.demands[:0]
	for _, a := range l.order {
		if now < a.renewed+a.waits { // one that did not renew for so long wants nothing
			d.demands = d.scaled(d.demands, a.demand)
		}
	}
	l.filled = fill(d.demands, of.part, d.set.Floor*of.even)
	l.filledAt, l.filledWeight, l.filledBudget = now, l.weight, of.part
}

// fallback decides what of the reserve one may fall back to: an even part, as far as what the others may still fall back to
// leaves room.
func (d *divider) fallback(r Renewal, reserve float64, now time.Duration) float64 {
	a := d.reserve.accounts[r.Holder]
	even := reserve * float64(a.weight) / float64(max(1, d.reserve.live))
	part := max(0, roundDown(min(even, reserve-(d.reserve.used-a.used))))
	d.reserve.grant(a, r.Seq, part, now)
	return part
}

// leave takes one out of the queue.
func (l *limit) leave(id string) {
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { return q == id })
}

// turn gives one of the turns to those who have waited longest. It takes a look at all who wait.
func (l *limit) turn(a *account, now time.Duration) float64 {
	if len(a.demand) == 0 {
		l.leave(a.id)
		return 0
	}
	if !slices.Contains(l.queue, a.id) {
		l.queue = append(l.queue, a.id)
	}
	l.queue = slices.DeleteFunc(l.queue, func(q string) bool { // who is gone waits no more
		x := l.accounts[q]
		return x == nil || now >= x.renewed+x.waits
	})
	others := l.used - a.used // each has a part of 1
	if place := slices.Index(l.queue, a.id); a.used > 0 || place < l.most && others < float64(l.most) {
		return 1
	}
	return 0
}

// held lists what is in force and who waits.
func (d *divider) held(now time.Duration) (all []Allocation) {
	now = d.clock(now)
	for _, name := range slices.Sorted(maps.Keys(d.limits)) {
		l := d.limits[name]
		for _, id := range slices.Sorted(maps.Keys(l.accounts)) {
			a := l.accounts[id]
			l.count(a, now)
			x := Allocation{Limit: name, Kind: l.kind, Holder: id, Part: a.used}
			for _, group := range a.demand {
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

// sweep counts some of the accounts anew, and forgets limits that nobody holds or wants any more.
func (d *divider) sweep(now time.Duration) {
	now = d.clock(now)
	for name, l := range d.limits {
		for _, id := range l.advance(swept(&l.pool), now) {
			l.leave(id)
		}
		if len(l.accounts) == 0 {
			delete(d.limits, name)
		}
	}
	for _, id := range d.reserve.advance(swept(&d.reserve), now) {
		delete(d.last, id)
	}
}

func swept(p *pool) int { return countedAnew + int(sweptAnew*float64(len(p.order))) }
