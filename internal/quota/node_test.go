package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fakeParent grants a node whatever share it is set to, and counts it.
type fakeParent struct {
	divider
	node *Node
}

func newFakeParent() *fakeParent { return &fakeParent{newDivider(treeSet()), NewNode("n", treeSet())} }

// renew has the node renew.
func (p *fakeParent) renew(part float64, now time.Duration) {
	r := p.node.Renewal(now)
	g := Grant{Holder: "n", Seq: r.Seq}
	for _, name := range p.note(r, now) {
		p.limits[name].grant(p.limits[name].accounts["n"], r.Seq, part, now)
		g.Parts = append(g.Parts, Share{Limit: name, Part: part, Even: part / 4})
	}
	p.node.Take(g, now)
}

// excess is by how much what leaves may use passes what the parent counts.
func (p *fakeParent) excess(leaves []*Holder, now time.Duration) float64 {
	p.sweep(now)
	counted := 0.0
	shares, _ := inForce(leaves, now)
	if l := p.limits["box"]; l != nil {
		counted = l.used
	}
	return shares - counted
}

// inForce sums up shares and fallbacks.
func inForce(leaves []*Holder, now time.Duration) (shares, fallbacks float64) {
	for _, leaf := range leaves {
		if leaf.Granted("box", now) {
			shares += leaf.Part("box", now)
		}
		fallbacks += leaf.fallback * max(0, 1-float64(now-leaf.takenFrom)/float64(leaf.set.Fades))
	}
	return shares, fallbacks
}

func (p *fakeParent) leaf(h *Holder, demand float64, lost bool, now time.Duration) {
	h.Want(Want{Limit: "box", Kind: Rate, Demand: demand})
	if g := p.node.Renew(h.Renewal(now), now); !lost {
		h.Take(g, now)
	}
}

// Two leaves want all in turn, and what each is granted when it wants little is lost, so that the node counts for both what
// they had before the share sank, however long. They are not granted it again, be it that the share sinks on and on.
func TestShareThatSinksIsNotRenewed(t *testing.T) {
	for _, further := range []float64{0, 0.001} {
		p, leaves, part, now := newFakeParent(), []*Holder{NewHolder("a", treeSet()), NewHolder("b", treeSet())}, 0.8, time.Duration(0)
		for i := range 80 {
			now += 60 * ms // longer than a filling holds
			if i == 20 {
				part = 0.4
			} else if i > 20 {
				part -= further
			}
			p.renew(part, now)
			turn, little := leaves[i/2%2], i > 20 && i%2 == 1
			demand := 1.0
			if little {
				demand = 0.001
			}
			p.leaf(turn, demand, little, now)
			if excess := p.excess(leaves, now); excess > 1e-9 {
				t.Fatalf("sinking by %v: at %v %v more than the parent counts", further, now, excess)
			}
		}
		if shares, _ := inForce(leaves, now); shares < part/2 {
			t.Errorf("sinking by %v: only %v of %v is in use", further, shares, part)
		}
	}
}

// fakeLeaf is a leaf that renews, without any delay, with the root or a node.
type fakeLeaf struct {
	leaf *Holder
	with func(Renewal, time.Duration) Grant
	rate float64
}

func (p *fakeLeaf) renew(now time.Duration, demand float64) {
	at := time.Duration(float64(now) * p.rate)
	p.leaf.Want(Want{Limit: "box", Kind: Rate, Demand: demand})
	p.leaf.Take(p.with(p.leaf.Renewal(at), now), at)
}

func (p *fakeLeaf) share(now time.Duration) float64 {
	shares, _ := inForce([]*Holder{p.leaf}, time.Duration(float64(now)*p.rate))
	return shares
}

// newFakes is a root, and leaves with it and with nodes: so many with each.
func newFakes(atRoot int, withNodes ...int) (root *Allocator, nodes []*Node, leaves []*fakeLeaf) {
	root = NewAllocator(treeSet(), 1, 0, true)
	add := func(n int, with func(Renewal, time.Duration) Grant) {
		for range n {
			leaves = append(leaves, &fakeLeaf{NewHolder(fmt.Sprint("d", len(leaves)), treeSet()), with, 1})
		}
	}
	add(atRoot, root.Renew)
	for i, leaves := range withNodes {
		nodes = append(nodes, NewNode(fmt.Sprint("n", i), treeSet()))
		add(leaves, nodes[i].Renew)
	}
	return root, nodes, leaves
}

// Each has its max-min part of the whole, whatever node it is with, up to 10 %: the parts that are kept within 5 % of what is
// fair, at the root and at the node, and the groups.
func TestTreeIsFair(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		root, nodes, leaves := newFakes(3, 1, 10, 60)
		demands := make([]float64, len(leaves))
		for i := range demands {
			demands[i] = min(1, 0.03*rng.ExpFloat64()*rng.ExpFloat64())
		}
		now := time.Duration(0)
		for range 100 {
			now += 50 * ms
			for _, node := range nodes {
				node.Take(root.Renew(node.Renewal(now), now), now)
			}
			for i, p := range leaves {
				p.renew(now, demands[i])
			}
		}
		want := MaxMin(demands, treeSet().Floor/float64(len(demands)))
		for i, p := range leaves {
			if got := p.share(now) / (1 - treeSet().Reserve); got < 0.9*want[i] || got > 1.1*want[i] {
				t.Errorf("seed %d: leaf %d, demand %.4f, has %.4f, fair is %.4f", seed, i, demands[i], got, want[i])
			}
		}
	}
}

// What one has that falls silent, be it a leaf or a node with a leaf that goes on with it, is not given on before it is over
// by the slowest clock, and is in use by another soon after.
func TestSlowClocksAndFastRoot(t *testing.T) {
	for _, behindNode := range []bool{false, true} {
		root, nodes, leaves := newFakes(2, 1)
		silent, other := leaves[0], leaves[1]
		if behindNode {
			silent = leaves[2]
		}
		silent.rate, other.with = 0.99, func(r Renewal, now time.Duration) Grant { return root.Renew(r, now*101/100) }
		silent.with = other.with
		if behindNode {
			silent.with = func(r Renewal, now time.Duration) Grant { return nodes[0].Renew(r, now*99/100) }
		}
		const silence, over = time.Second, 2300 * ms
		for now := ms; now < over; now += ms {
			if now < silence {
				nodes[0].Take(root.Renew(nodes[0].Renewal(now*99/100), now*101/100), now*99/100)
			}
			if now < silence || behindNode {
				silent.renew(now, 1)
			}
			if now > silence/2 {
				other.renew(now, 1)
			}
			if sum := silent.share(now) + other.share(now); sum > 0.8+1e-9 {
				t.Fatalf("behind a node %v: %v at %v", behindNode, sum, now)
			}
		}
		if got := other.share(over); got < 0.79 {
			t.Errorf("behind a node %v: the other has %v", behindNode, got)
		}
	}
}

// Nodes renew each 50 ms and leaves each 100 ms. What the leaves of one want no more, but for their floor of 0.08, is in use by
// those of another within 700 ms, and what a node had that dies with its leaves within 1,600 ms.
func TestTreeMovesCapacity(t *testing.T) {
	for dies, within := range map[bool]time.Duration{false: 700 * ms, true: 1600 * ms} {
		root, nodes, leaves := newFakes(0, 5, 5)
		const change = 2 * time.Second
		now, sum, fair := time.Duration(0), 0.0, 0.72
		if dies {
			fair = 0.8
		}
		for now < change || sum < 0.97*fair && now < 2*change {
			now += 10 * ms
			for i, node := range nodes {
				if (now/ms+30*time.Duration(i))%50 == 0 && (i > 0 || !dies || now < change) {
					node.Take(root.Renew(node.Renewal(now), now), now)
				}
			}
			sum = 0
			for i, p := range leaves {
				first := i < 5
				if (now/ms+20*time.Duration(i))%100 == 0 && (!first || !dies || now < change) {
					demand := 1.0
					if first && now >= change {
						demand = 0.001
					}
					p.renew(now, demand)
				}
				if !first {
					sum += p.share(now)
				}
			}
		}
		t.Logf("node dies %v: %v", dies, now-change)
		if now-change > within {
			t.Errorf("node dies %v: %v until the other's leaves have %v", dies, now-change, sum)
		}
	}
}

// A renewal that comes twice, one of a node at a node, one while nothing is leased, and turns: none of them is granted anything.
func TestNodeAnswersWithNothing(t *testing.T) {
	root, nodes, leaves := newFakes(0, 1)
	node, leaf, now := nodes[0], leaves[0].leaf, 50*ms
	leaf.Want(Want{Limit: "box", Kind: Rate, Demand: 1})
	leaf.Want(Want{Limit: "look", Kind: Turns, Demand: 1})
	if g := node.Renew(leaf.Renewal(now), now); g.Seq != 0 || node.Leased(now) {
		t.Errorf("it grants what it has not: %+v", g)
	}
	for range 3 {
		now += 50 * ms
		r := node.Renewal(now)
		if len(r.Wants) != 1 || r.Wants[0].Limit != "box" {
			t.Errorf("it wants %+v", r.Wants)
		}
		node.Take(root.Renew(r, now), now)
	}
	r := leaf.Renewal(now)
	first, second := node.Renew(r, now), node.Renew(r, now)
	if second.Seq != 0 || leaf.Take(second, now) || !leaf.Take(first, now) {
		t.Errorf("%+v, then %+v", first, second)
	}
	if box, look := leaf.Part("box", now), leaf.Part("look", now); box < 0.79 || look != 0 {
		t.Errorf("%v of the rate, %v of the turns", box, look)
	}
	r = leaf.Renewal(now)
	if first, second = root.Renew(r, now), root.Renew(r, now); first.Seq != r.Seq || second.Seq != 0 {
		t.Errorf("the root: %+v, then %+v", first, second)
	}
	if g := node.Renew(NewNode("other", treeSet()).Renewal(now), now); g.Seq != 0 || node.Renewal(now).Leaves != 1 {
		t.Errorf("it answers a node: %+v", g)
	}
	// A grant that does not name a limit takes the place of the one that did.
	leaf.Renewal(now)
	if !leaf.Take(Grant{Holder: "d0", Seq: r.Seq + 1, Source: "n0"}, now) || leaf.Part("box", now) != 0 {
		t.Error("the part before is still in use")
	}
}

// Epochs order roots; sources are ordered by the holder's renewals.
func TestGrantsOfSeveralSources(t *testing.T) {
	leaf := NewHolder("d", treeSet())
	for i, x := range []struct {
		grant Grant
		taken bool
	}{{Grant{Epoch: 2, Seq: 1}, true}, {Grant{Epoch: 1, Seq: 2}, false}, {Grant{Source: "n", Seq: 3}, true}, {Grant{Source: "n", Seq: 3}, false},
		{Grant{Epoch: 3, Seq: 2}, false}, {Grant{Epoch: 1, Seq: 4}, false}, {Grant{Epoch: 2, Seq: 5}, true}, {Grant{Source: "m", Seq: 4}, false}, {Grant{Source: "m", Seq: 6}, true}} {
		leaf.Renewal(0)
		x.grant.Holder = "d"
		if taken := leaf.Take(x.grant, 0); taken != x.taken {
			t.Errorf("%d: %+v: taken %v", i, x.grant, taken)
		}
	}
}
