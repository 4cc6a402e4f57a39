package quota

import (
	"math"
	"slices"
	"time"
)

// quantum is the unit of shares. Multiples of it below 2^12 add up without rounding errors, so a running total never drifts.
const quantum = 1.0 / (1 << 40)

func roundDown(share float64) float64 { return math.Floor(share/quantum) * quantum }

func roundUp(share float64) float64 { return math.Ceil(share/quantum) * quantum }

// grantRecord is a granted share that may be in use.
type grantRecord struct {
	seq        uint64
	share      float64
	until      time.Duration
	generation int // of the pool's budget
}

// account is what one holder demands and may use of one limit, or of the reserve.
type account struct {
	id           string
	demands      []Group       // none: it wants nothing
	renewed      time.Duration // when its last renewal came
	expiresAfter time.Duration // time without a renewal after which it wants nothing
	fullFor      time.Duration // time for which a grant to it counts in full
	weight       int           // holders behind it: 1, or those of a node
	records      []grantRecord // oldest first: shares sink, ends rise
	used         float64       // the largest share that may be in use, as counted in the pool
	recent       float64       // the same of records of the pool's generation
	live         int           // weight while it renews, else 0, as counted in the pool
	index        int           // in the pool's order
}

// newest returns the share granted last, 0 if that has ended.
func (a *account) newest() float64 {
	if n := len(a.records); n > 0 {
		return a.records[n-1].share
	}
	return 0
}

// pool has the accounts of one limit, or of the reserve, and running totals of them. A total is never too low: what is in use only
// shrinks while no renewal comes. An account is recounted with each renewal of its own and, in turn, with those of others. So the
// cost of a renewal does not grow with the number of accounts.
type pool struct {
	accounts   map[string]*account
	order      []*account    // in which they are recounted
	next       int           // in order
	used       float64       // total of the accounts' used
	recent     float64       // total of the accounts' recent
	live       int           // total of the accounts' live
	weight     int           // total of the accounts' weights, renewing or not
	fade       time.Duration // time in which a share sinks to nothing at its end; 0: it stays in full up to its end
	generation int           // rises when the budget sinks
}

func newPool(fade time.Duration) pool {
	return pool{accounts: map[string]*account{}, fade: fade}
}

// account returns the account of a holder, a new one if there is none.
func (p *pool) account(id string) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{id: id, index: len(p.order)}
		p.accounts[id] = a
		p.order = append(p.order, a)
	}
	return a
}

// remove forgets an account.
func (p *pool) remove(a *account) {
	a.records = nil
	a.renewed = -a.expiresAfter
	p.setWeight(a, 0)
	p.recount(a, 0)
	last := p.order[len(p.order)-1]
	p.order[a.index] = last
	last.index = a.index
	p.order[len(p.order)-1] = nil
	p.order = p.order[:len(p.order)-1]
	delete(p.accounts, a.id)
}

// setWeight sets how many holders are behind an account.
func (p *pool) setWeight(a *account, weight int) {
	p.weight += weight - a.weight
	a.weight = weight
}

// usable returns how much of a record may be in use.
func (p *pool) usable(r grantRecord, now time.Duration) float64 {
	if p.fade == 0 {
		return r.share
	}
	return roundUp(r.share * min(1, float64(r.until-now)/float64(p.fade)))
}

// recount brings an account, and the totals, up to date.
func (p *pool) recount(a *account, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r grantRecord) bool { return now >= r.until })
	var used, recent float64
	var live int
	for _, r := range a.records {
		value := p.usable(r, now)
		used = max(used, value)
		if r.generation == p.generation {
			recent = max(recent, value)
		}
	}
	if now < a.renewed+a.expiresAfter {
		live = a.weight
	}
	p.used += used - a.used
	p.recent += recent - a.recent
	p.live += live - a.live
	a.used = used
	a.recent = recent
	a.live = live
}

// acknowledge forgets the grants before the one that the holder uses.
func (p *pool) acknowledge(a *account, inUse uint64, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r grantRecord) bool { return r.seq < inUse })
	p.recount(a, now)
}

// grant records that a share was granted. It forgets records of no larger shares, which end earlier.
func (p *pool) grant(a *account, seq uint64, share float64, now time.Duration) {
	n := len(a.records)
	for n > 0 && a.records[n-1].share <= share {
		n--
	}
	a.records = append(a.records[:n], grantRecord{
		seq:        seq,
		share:      share,
		until:      now + a.fullFor + p.fade,
		generation: p.generation,
	})
	p.recount(a, now)
}

// beginGeneration begins a generation: what was granted before does not count as recent.
func (p *pool) beginGeneration() {
	p.generation++
	p.recent = 0
	for _, a := range p.order {
		a.recent = 0
	}
}

// recountNext recounts the next accounts in order, and removes those that have nothing and do not renew. It returns the holders of
// those.
func (p *pool) recountNext(accounts int, now time.Duration) []string {
	var removed []string
	for range min(accounts, len(p.order)) {
		p.next %= max(1, len(p.order))
		a := p.order[p.next]
		p.recount(a, now)
		if len(a.records) > 0 || now < a.renewed+a.expiresAfter+p.fade {
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
