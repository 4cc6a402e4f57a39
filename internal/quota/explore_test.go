package quota

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
	"time"
)

// world is two allocators, the second of which takes over at some moment, three holders of one limit, and what is on its way.
// Holders' clocks run fast, right and slow by the drift.
type world struct {
	now        time.Duration
	allocators [2]*Allocator
	leads      int
	holders    [3]*Holder
	wants      [3]float64
	net        []flight
	renewals   int
	renewing   int     // holders that renew
	most       int     // renewals of all together
	before     [3]bool // guard taken out: parts count from when they come
}

var rates = [3]float64{1 - 0.02, 1, 1 + 0.02}

func (w *world) clock(i int) time.Duration { return time.Duration(float64(w.now) * rates[i]) }

func (p pool) clone() pool {
	p.accounts, p.order = make(map[string]*account, len(p.accounts)), slices.Clone(p.order)
	for i, a := range p.order {
		c := *a
		c.records = slices.Clone(a.records)
		p.accounts[c.id], p.order[i] = &c, &c
	}
	return p
}

func (w *world) clone() *world {
	c := *w
	for i, g := range w.allocators {
		if g == nil {
			continue
		}
		n := *g
		n.last, n.reserve, n.limits = maps.Clone(g.last), g.reserve.clone(), map[string]*limit{}
		for name, l := range g.limits {
			k := *l
			k.pool, k.queue = l.pool.clone(), slices.Clone(l.queue)
			n.limits[name] = &k
		}
		c.allocators[i] = &n
	}
	for i, h := range w.holders {
		n := *h
		n.asked, n.parts, n.wants, n.releasedAt = maps.Clone(h.asked), maps.Clone(h.parts), maps.Clone(h.wants), maps.Clone(h.releasedAt)
		c.holders[i] = &n
	}
	c.net = slices.Clone(w.net)
	return &c
}

// step gives the worlds that may follow: a holder renews, whatever is on its way comes, in any order, or never; time passes,
// up to more than a lease; the second allocator takes over, and the first may still answer.
func (w *world) step(visit func(*world)) {
	for i := range w.holders {
		if i < w.renewing && w.renewals < w.most {
			c := w.clone()
			c.renewals++
			c.holders[i].Want(Want{Limit: "box", Kind: Rate, Demand: c.wants[i]})
			b := c.holders[i].Renewal(c.clock(i))
			c.net = append(c.net, flight{from: i, renewal: &b})
			visit(c)
		}
	}
	for n := range w.net {
		for _, at := range []int{0, 1} {
			c := w.clone()
			x := c.net[n]
			c.net = slices.Delete(c.net, n, n+1)
			switch {
			case x.renewal == nil && at == 0:
				if c.before[x.from] {
					c.holders[x.from].asked[x.grant.Seq] = c.clock(x.from)
				}
				c.holders[x.from].Take(*x.grant, c.clock(x.from))
			case x.renewal != nil && c.allocators[at] != nil && at <= c.leads:
				g := c.allocators[at].Renew(*x.renewal, c.now)
				c.net = append(c.net, flight{from: x.from, grant: &g})
			default:
				continue
			}
			visit(c)
		}
	}
	for _, d := range []time.Duration{200 * ms, 430 * ms} {
		if w.now < time.Second {
			c := w.clone()
			c.now += d
			visit(c)
		}
	}
	if w.leads == 0 {
		c := w.clone()
		c.leads, c.allocators[1] = 1, NewAllocator(exploreSet, 2, c.now, false)
		visit(c)
	}
}

var exploreSet = Settings{Lease: 400 * ms, Drift: 0.02, Reserve: 0.2, Fades: 900 * ms, Floor: 0.2, Hold: 0.05}

var exploreSeed = maphash.MakeSeed()

func (w *world) key() uint64 {
	var h maphash.Hash
	h.SetSeed(exploreSeed)
	fmt.Fprint(&h, w.now, w.leads, w.renewals)
	for _, g := range w.allocators {
		if g != nil {
			fmt.Fprint(&h, g.since, g.last)
			for _, p := range []pool{g.reserve, g.box()} {
				fmt.Fprint(&h, p.next)
				for _, a := range p.order {
					fmt.Fprint(&h, *a)
				}
			}
		}
	}
	for _, x := range w.holders {
		fmt.Fprint(&h, x.seq, x.epoch, x.taken, x.asked, x.parts, x.fallback, x.takenFrom)
	}
	for _, f := range w.net {
		if f.renewal != nil {
			fmt.Fprint(&h, f.from, *f.renewal)
		} else {
			fmt.Fprint(&h, f.from, *f.grant)
		}
	}
	return h.Sum64()
}

func (g *Allocator) box() pool {
	if l := g.limits["box"]; l != nil {
		return l.pool
	}
	return pool{}
}

func explore(depth, renewing, most int, before bool) (states int, worst float64) {
	w := &world{renewing: renewing, most: most, wants: [3]float64{1, 1, 0.1}, before: [3]bool{before, before, before}}
	w.allocators[0] = NewAllocator(exploreSet, 1, 0, true)
	for i := range w.holders {
		w.holders[i] = NewHolder(fmt.Sprint("d", i), exploreSet)
	}
	seen := map[uint64]bool{}
	level := []*world{w}
	for range depth {
		var next []*world
		for _, w := range level {
			w.step(func(c *world) {
				k := c.key()
				if seen[k] {
					return
				}
				seen[k] = true
				sum := 0.0
				for i, h := range c.holders {
					sum += h.Part("box", c.clock(i))
				}
				worst = max(worst, sum)
				next = append(next, c)
			})
		}
		level = next
	}
	return len(seen), worst
}

// Every order of renewals, grants, loss, delay, pauses and deaths (whoever renews no more) for two allocators, three holders
// and one limit, to a depth: the sum of what may be used never passes the limit. STAIRVANE_DEPTH goes deeper.
func TestExploreTurns(t *testing.T) {
	depth := fromEnv("STAIRVANE_DEPTH", 6)
	states, worst := explore(depth, 3, 3, false)
	t.Logf("%d states to a depth of %d, at worst %.3f of the limit", states, depth, worst)
	if worst > 1+1e-9 || worst < 0.5 {
		t.Errorf("%.3f of the limit may be used", worst)
	}
	if states, worst = explore(7, 2, 2, false); worst > 1+1e-9 {
		t.Errorf("%.3f of the limit may be used by two", worst)
	}
	t.Logf("two holders: %d states, at worst %.3f", states, worst)
	if _, worst := explore(7, 2, 2, true); worst <= 1+1e-9 {
		t.Errorf("parts counted from when they come pass the limit nowhere: %.3f", worst)
	}
}
