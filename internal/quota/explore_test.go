package quota

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
	"time"
)

// state is the state of two allocators, the second of which takes over at some time, three holders of one limit, and the messages in
// flight. One holder's clock is slow by the drift, one is exact, and one is fast by the drift.
type state struct {
	now               time.Duration
	allocators        [2]*Allocator
	leader            int
	holders           [3]*Holder
	wants             [3]float64
	inFlight          []inFlightMessage
	renewals          int
	renewingHolders   int     // number of holders that renew, from the first on
	maxRenewals       int     // limit of renewals of all holders together
	countsFromReceipt [3]bool // disables a guard: leases start at the receipt of a grant
}

var rates = [3]float64{1 - 0.02, 1, 1 + 0.02}

func (s *state) clock(i int) time.Duration { return time.Duration(float64(s.now) * rates[i]) }

func (p pool) clone() pool {
	p.accounts, p.order = make(map[string]*account, len(p.accounts)), slices.Clone(p.order)
	for i, a := range p.order {
		c := *a
		c.records = slices.Clone(a.records)
		p.accounts[c.id], p.order[i] = &c, &c
	}
	return p
}

func (s *state) clone() *state {
	c := *s
	for i, g := range s.allocators {
		if g == nil {
			continue
		}
		n := *g
		n.lastSeq, n.reserve, n.limits = maps.Clone(g.lastSeq), g.reserve.clone(), map[string]*limit{}
		for name, l := range g.limits {
			k := *l
			k.pool = l.clone()
			k.queue = slices.Clone(l.queue)
			n.limits[name] = &k
		}
		c.allocators[i] = &n
	}
	for i, h := range s.holders {
		n := *h
		n.requestedAt = maps.Clone(h.requestedAt)
		n.shares = maps.Clone(h.shares)
		n.wants = maps.Clone(h.wants)
		n.releasedAt = maps.Clone(h.releasedAt)
		c.holders[i] = &n
	}
	c.inFlight = slices.Clone(s.inFlight)
	return &c
}

// step visits the possible next states: a holder renews; one of the messages in flight arrives, in any order or never; time passes, up
// to more than a lease; or the second allocator takes over, while the first may still reply.
func (s *state) step(visit func(*state)) {
	for i := range s.holders {
		if i < s.renewingHolders && s.renewals < s.maxRenewals {
			c := s.clone()
			c.renewals++
			c.holders[i].Want(Want{Limit: "box", Kind: Rate, Demand: c.wants[i]})
			renewal := c.holders[i].Renewal(c.clock(i))
			c.inFlight = append(c.inFlight, inFlightMessage{from: i, renewal: &renewal})
			visit(c)
		}
	}
	for n := range s.inFlight {
		for _, at := range []int{0, 1} {
			c := s.clone()
			x := c.inFlight[n]
			c.inFlight = slices.Delete(c.inFlight, n, n+1)
			switch {
			case x.renewal == nil && at == 0:
				if c.countsFromReceipt[x.from] {
					c.holders[x.from].requestedAt[x.grant.Seq] = c.clock(x.from)
				}
				c.holders[x.from].Apply(*x.grant, c.clock(x.from))
			case x.renewal != nil && c.allocators[at] != nil && at <= c.leader:
				g := c.allocators[at].Renew(*x.renewal, c.now)
				c.inFlight = append(c.inFlight, inFlightMessage{from: x.from, grant: &g})
			default:
				continue
			}
			visit(c)
		}
	}
	for _, d := range []time.Duration{200 * ms, 430 * ms} {
		if s.now < time.Second {
			c := s.clone()
			c.now += d
			visit(c)
		}
	}
	if s.leader == 0 {
		c := s.clone()
		c.leader, c.allocators[1] = 1, NewAllocator(exploreSettings, 2, c.now, false)
		visit(c)
	}
}

var exploreSettings = Settings{Lease: 400 * ms, Drift: 0.02, Reserve: 0.2, FallbackFade: 900 * ms, Floor: 0.2, MinChange: 0.05}

var exploreSeed = maphash.MakeSeed()

// key returns a hash that identifies a state.
func (s *state) key() uint64 {
	var h maphash.Hash
	h.SetSeed(exploreSeed)
	write := func(values ...any) { _, _ = fmt.Fprint(&h, values...) } // a hash returns no error
	write(s.now, s.leader, s.renewals)
	for _, g := range s.allocators {
		if g != nil {
			write(g.startedAt, g.lastSeq)
			for _, p := range []pool{g.reserve, g.accountsOfLimit()} {
				write(p.next)
				for _, a := range p.order {
					write(*a)
				}
			}
		}
	}
	for _, x := range s.holders {
		write(x.seq, x.epoch, x.inUse, x.requestedAt, x.shares, x.fallback, x.inUseSince)
	}
	for _, f := range s.inFlight {
		if f.renewal != nil {
			write(f.from, *f.renewal)
		} else {
			write(f.from, *f.grant)
		}
	}
	return h.Sum64()
}

// accountsOfLimit returns the accounts of the only limit.
func (a *Allocator) accountsOfLimit() pool {
	if l := a.limits["box"]; l != nil {
		return l.pool
	}
	return pool{}
}

// explore visits all states up to a depth. It returns their number and the largest sum of shares in force.
func explore(depth, renewing, maxRenewals int, countsFromReceipt bool) (states int, worst float64) {
	s := &state{
		renewingHolders:   renewing,
		maxRenewals:       maxRenewals,
		wants:             [3]float64{1, 1, 0.1},
		countsFromReceipt: [3]bool{countsFromReceipt, countsFromReceipt, countsFromReceipt},
	}
	s.allocators[0] = NewAllocator(exploreSettings, 1, 0, true)
	for i := range s.holders {
		s.holders[i] = NewHolder(fmt.Sprint("d", i), exploreSettings)
	}
	visited := map[uint64]bool{}
	level := []*state{s}
	for range depth {
		var next []*state
		for _, s := range level {
			s.step(func(c *state) {
				k := c.key()
				if visited[k] {
					return
				}
				visited[k] = true
				sum := 0.0
				for i, h := range c.holders {
					sum += h.Available("box", c.clock(i))
				}
				worst = max(worst, sum)
				next = append(next, c)
			})
		}
		level = next
	}
	return len(visited), worst
}

// TestExploreMessageOrders explores all orders of renewals, grants, losses, delays, pauses and failures of two allocators and three
// holders up to a depth: the shares in force must never exceed the limit. STAIRVANE_DEPTH overrides the depth.
func TestExploreMessageOrders(t *testing.T) {
	depth := intFromEnv("STAIRVANE_DEPTH", 6)
	states, worst := explore(depth, 3, 3, false)
	t.Logf("%d states to a depth of %d, at worst %.3f of the limit", states, depth, worst)
	if worst > 1+1e-9 || worst < 0.5 {
		t.Errorf("%.3f of the limit is in force", worst)
	}
	if states, worst = explore(7, 2, 2, false); worst > 1+1e-9 {
		t.Errorf("two holders: %.3f of the limit is in force", worst)
	}
	t.Logf("two holders: %d states, at worst %.3f", states, worst)
	if _, worst := explore(7, 2, 2, true); worst <= 1+1e-9 {
		t.Errorf("no state exceeds the limit if leases start at receipt: %.3f", worst)
	}
}
