package quota

import (
	"math"
	"slices"
	"time"
)

// quantum is the grain of parts. Multiples of it that stay below 2^12 add up without any rounding error, so that a running
// total never drifts from what it is the total of.
const quantum = 1.0 / (1 << 40)

func roundDown(part float64) float64 { return math.Floor(part/quantum) * quantum }

func roundUp(part float64) float64 { return math.Ceil(part/quantum) * quantum }

// record is a grant that may be in use.
type record struct {
	seq        uint64
	part       float64
	until      time.Duration
	generation int // of the pool's budget
}

// account is what one holder wants and may use of one limit, or of the reserve.
type account struct {
	id      string
	demand  []Group       // none: it wants nothing
	renewed time.Duration // when its last renewal came
	waits   time.Duration // without a renewal, after which it wants nothing
	whole   time.Duration // for how long a grant to it is counted whole
	weight  int           // leaf holders behind it
	records []record      // oldest first: parts sink, ends rise
	used    float64       // the most of what may be in use, as the pool counts it
	recent  float64       // the same of records of the pool's generation
	live    int           // weight, as the pool counts it while the account renews
	index   int           // in the pool's order
}

// newest is the part granted last, unless that is over.
func (a *account) newest() float64 {
	if n := len(a.records); n > 0 {
		return a.records[n-1].part
	}
	return 0
}

// pool is the accounts of one limit, or of the reserve, with running totals of them. A total is never under what is true:
// parts in use only shrink while no renewal comes, and an account is counted anew with each renewal of its own and, in turn,
// with those of others. So a renewal costs the same for any number of accounts.
type pool struct {
	accounts   map[string]*account
	order      []*account // in which they are counted anew
	next       int
	used       float64       // total of the accounts' used
	recent     float64       // total of the accounts' recent
	live       int           // total of the accounts' live
	weight     int           // total of the accounts' weights, renewing or not
	fades      time.Duration // in which a part sinks to nothing at its end; 0: it is in force whole up to there
	generation int           // rises when the budget sinks
}

func newPool(fades time.Duration) pool {
	return pool{accounts: map[string]*account{}, fades: fades}
}

// open gives the account of a holder, a new one if there is none.
func (p *pool) open(id string) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{id: id, index: len(p.order)}
		p.accounts[id] = a
		p.order = append(p.order, a)
	}
	return a
}

// close forgets an account.
func (p *pool) close(a *account) {
	a.records, a.renewed = nil, -a.waits
	p.setWeight(a, 0)
	p.count(a, 0)
	last := p.order[len(p.order)-1]
	p.order[a.index] = last
	last.index = a.index
	p.order[len(p.order)-1] = nil
	p.order = p.order[:len(p.order)-1]
	delete(p.accounts, a.id)
}

func (p *pool) setWeight(a *account, weight int) {
	p.weight += weight - a.weight
	a.weight = weight
}

// value is what of a record may be in use.
func (p *pool) value(r record, now time.Duration) float64 {
	if p.fades == 0 {
		return r.part
	}
	return roundUp(r.part * min(1, float64(r.until-now)/float64(p.fades)))
}

// count counts an account anew.
func (p *pool) count(a *account, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r record) bool { return now >= r.until })
	used, recent, live := 0.0, 0.0, 0
	for _, r := range a.records {
		value := p.value(r, now)
		used = max(used, value)
		if r.generation == p.generation {
			recent = max(recent, value)
		}
	}
	if now < a.renewed+a.waits {
		live = a.weight
	}
	p.used += used - a.used
	p.recent += recent - a.recent
	p.live += live - a.live
	a.used, a.recent, a.live = used, recent, live
}

// settle forgets the grants before the one that the holder has taken.
func (p *pool) settle(a *account, taken uint64, now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(r record) bool { return r.seq < taken })
	p.count(a, now)
}

// grant records that a part was granted. Records that it covers to their end are forgotten.
func (p *pool) grant(a *account, seq uint64, part float64, now time.Duration) {
	n := len(a.records)
	for n > 0 && a.records[n-1].part <= part {
		n--
	}
	a.records = append(a.records[:n], record{seq, part, now + a.whole + p.fades, p.generation})
	p.count(a, now)
}

// sank begins a generation: what was granted before counts no more as recent.
func (p *pool) sank() {
	p.generation++
	p.recent = 0
	for _, a := range p.order {
		a.recent = 0
	}
}

// advance counts so many accounts anew, those next in turn, and forgets those that have nothing and do not renew.
func (p *pool) advance(accounts int, now time.Duration) (forgotten []string) {
	for range min(accounts, len(p.order)) {
		p.next %= max(1, len(p.order))
		a := p.order[p.next]
		p.count(a, now)
		if len(a.records) > 0 || now < a.renewed+a.waits+p.fades {
			p.next++
			continue
		}
		p.close(a)
		forgotten = append(forgotten, a.id)
	}
	return forgotten
}

// countAll counts all accounts anew.
func (p *pool) countAll(now time.Duration) {
	for _, a := range p.order {
		p.count(a, now)
	}
}
