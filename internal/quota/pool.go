package quota

import (
	"math"
	"slices"
	"time"
)

// quantum is the unit of shares. Multiples of it below 2^12 are added without rounding errors, so running totals stay exact.
const quantum = 1.0 / (1 << 40)

// roundDown rounds a share down to a multiple of quantum.
func roundDown(share float64) float64 { return math.Floor(share/quantum) * quantum }

// roundUp rounds a share up to a multiple of quantum.
func roundUp(share float64) float64 { return math.Ceil(share/quantum) * quantum }

// grantRecord is a granted share that may be in use.
type grantRecord struct {
	seq        uint64
	share      float64
	expiresAt  time.Duration
	generation int // the pool's generation when the share was granted
}

// account records what one holder demands and may use of one limit or of the reserve.
type account struct {
	id           string
	demands      []Group       // empty if the holder demands nothing
	renewedAt    time.Duration // when its last renewal was received
	expiresAfter time.Duration // time after the last renewal at which its demands expire
	fullDuration time.Duration // time for which a grant to it is counted in full
	weight       int           // number of holders behind it: 1, or that of a node's holders
	records      []grantRecord // oldest first; shares decrease and expiry times increase
	used         float64       // the largest share that may be in use, as included in the pool's total
	recentlyUsed float64       // the same for records of the pool's current generation
	activeWeight int           // weight until the demands expire, then 0, as included in the pool's total
	index        int           // index in the pool's order
}

// newestShare returns the share granted last, or 0 if it has expired.
func (a *account) newestShare() float64 {
	if n := len(a.records); n > 0 {
		return a.records[n-1].share
	}
	return 0
}

// pool holds the accounts of one limit, or of the reserve, and running totals over them. A total is never too low, because between
// renewals the amount in use can only decrease. An account is recounted with each of its own renewals and, in turn, with those of
// other holders. So the cost of a renewal does not grow with the number of accounts.
type pool struct {
	accounts     map[string]*account
	order        []*account    // the order in which accounts are recounted
	next         int           // index in order of the next account to recount
	used         float64       // total of the accounts' used
	recentlyUsed float64       // total of the accounts' recentlyUsed
	activeWeight int           // total of the accounts' activeWeight
	weight       int           // total of the accounts' weights, including accounts whose demands have expired
	fade         time.Duration // time over which a share decreases to 0 before it expires; 0: it is counted in full until it expires
	generation   int           // incremented when the budget decreases
}

// newPool returns a pool without accounts.
func newPool(fade time.Duration) pool {
	return pool{accounts: map[string]*account{}, fade: fade}
}

// account returns the account of a holder. It is created if there is none.
func (p *pool) account(id string) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{id: id, index: len(p.order)}
		p.accounts[id] = a
		p.order = append(p.order, a)
	}
	return a
}

// remove removes an account from the pool and its totals.
func (p *pool) remove(a *account) {
	a.records = nil
	a.renewedAt = -a.expiresAfter
	p.setWeight(a, 0)
	p.recount(a, 0)
	last := p.order[len(p.order)-1]
	p.order[a.index] = last
	last.index = a.index
	p.order[len(p.order)-1] = nil
	p.order = p.order[:len(p.order)-1]
	delete(p.accounts, a.id)
}

// setWeight sets the number of holders behind an account.
func (p *pool) setWeight(a *account, weight int) {
	p.weight += weight - a.weight
	a.weight = weight
}

// usableShare returns how much of a granted share may be in use.
func (p *pool) usableShare(r grantRecord, now time.Duration) float64 {
	if p.fade == 0 {
		return r.share
	}
	return roundUp(r.share * min(1, float64(r.expiresAt-now)/float64(p.fade)))
}

// recount removes the expired records of an account and updates its counts and the pool's totals.
func (p *pool) recount(a *account, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r grantRecord) bool { return now >= r.expiresAt })
	var used, recentlyUsed float64
	var activeWeight int
	for _, r := range a.records {
		value := p.usableShare(r, now)
		used = max(used, value)
		if r.generation == p.generation {
			recentlyUsed = max(recentlyUsed, value)
		}
	}
	if now < a.renewedAt+a.expiresAfter {
		activeWeight = a.weight
	}
	p.used += used - a.used
	p.recentlyUsed += recentlyUsed - a.recentlyUsed
	p.activeWeight += activeWeight - a.activeWeight
	a.used = used
	a.recentlyUsed = recentlyUsed
	a.activeWeight = activeWeight
}

// acknowledge removes the records of grants before the one that the holder uses.
func (p *pool) acknowledge(a *account, inUse uint64, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r grantRecord) bool { return r.seq < inUse })
	p.recount(a, now)
}

// grant records a granted share. It removes the records of shares that are no larger, since those expire earlier.
func (p *pool) grant(a *account, seq uint64, share float64, now time.Duration) {
	n := len(a.records)
	for n > 0 && a.records[n-1].share <= share {
		n--
	}
	a.records = append(a.records[:n], grantRecord{
		seq:        seq,
		share:      share,
		expiresAt:  now + a.fullDuration + p.fade,
		generation: p.generation,
	})
	p.recount(a, now)
}

// startGeneration starts a new generation: shares granted before it are not included in recentlyUsed.
func (p *pool) startGeneration() {
	p.generation++
	p.recentlyUsed = 0
	for _, a := range p.order {
		a.recentlyUsed = 0
	}
}

// recountNext recounts the next accounts in order, and removes those without records whose demands have expired. It returns the IDs of
// the holders of removed accounts.
func (p *pool) recountNext(count int, now time.Duration) []string {
	var removed []string
	for range min(count, len(p.order)) {
		p.next %= max(1, len(p.order))
		a := p.order[p.next]
		p.recount(a, now)
		if len(a.records) > 0 || now < a.renewedAt+a.expiresAfter+p.fade {
			p.next++
			continue
		}
		p.remove(a)
		removed = append(removed, a.id)
	}
	return removed
}

// recountAll recounts all accounts.
func (p *pool) recountAll(now time.Duration) {
	for _, a := range p.order {
		p.recount(a, now)
	}
}
