package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newFaultlessTree makes a tree whose messages come at once and whose clocks are right. leaves is the number of leaves at each node,
// the last that at the root.
func newFaultlessTree(leaves ...int) *tree {
	t := newTree(1, len(leaves)-1, 0)
	t.perfect, t.root.rate = true, 1
	for _, p := range t.nodes {
		p.rate = 1
	}
	for parent, n := range leaves {
		for range n {
			p := t.newLeaf()
			p.parent, p.rate, p.demand = parent, 1, 1
			t.leaves = append(t.leaves, p)
		}
	}
	return t
}

func (t *tree) shares(leaves ...*process) float64 {
	shares, _ := t.inForce(leaves...)
	return shares
}

// Two leaves demand all in turn, and the grants for small demands are lost, so the node counts for both what they had before its own
// share sank. They must not be granted that again, also if the node's share goes on sinking.
func TestShrunkShareIsNotRenewed(t *testing.T) {
	for _, further := range []float64{0, 0.001} {
		tr, part := newFaultlessTree(2, 0), 0.8
		node, counted := tr.nodes[0].node, []float64{0}
		for i := range 80 {
			tr.now += 60 * ms // longer than a filling holds
			if i == 20 {
				part = 0.4
			} else if i > 20 {
				part -= further
			}
			seq := node.Renewal(tr.now).Seq
			node.Take(Grant{Holder: node.id, Seq: seq, Shares: []Share{{"box", part, part / 2}}}, tr.now)
			turn, little := tr.leaves[i/2%2], i > 20 && i%2 == 1
			if turn.demand = 1; little {
				turn.demand = 0.001
				node.Renew(tr.renewal(turn), tr.now)
			} else {
				tr.renewLeaf(turn)
			}
			counted = append(counted, part) // for as long as a root counts it that the node never says to have taken another
			last := counted[max(0, len(counted)-1-int(treeSettings().nodeLeaseAtRoot()/(60*ms))):]
			if shares := tr.shares(tr.leaves...); shares > slices.Max(last)+1e-9 {
				t.Fatalf("sinking by %v: at %v %v is in force, and %v counted", further, tr.now, shares, slices.Max(last))
			}
		}
		if shares := tr.shares(tr.leaves...); shares < part/2 {
			t.Errorf("sinking by %v: only %v of %v is in use", further, shares, part)
		}
	}
}

// Each leaf has its max-min fair share of the limit, whatever node it is with, within 10 %. The root and the node each leave a share
// as it is within 5 %, and groups are approximate.
func TestTreeIsFair(t *testing.T) {
	for seed := range uint64(20) {
		rng, tr := rand.New(rand.NewPCG(seed, 9)), newFaultlessTree(1, 10, 60, 3)
		var demands []float64
		for _, p := range tr.leaves {
			p.demand = min(1, 0.03*rng.ExpFloat64()*rng.ExpFloat64())
			demands = append(demands, p.demand)
		}
		for range 100 {
			tr.now += 50 * ms
			tr.renewAll()
		}
		want := maxMin(demands, treeSettings().Floor/float64(len(demands)))
		for i, p := range tr.leaves {
			if got := tr.shares(p) / (1 - treeSettings().Reserve); got < 0.9*want[i] || got > 1.1*want[i] {
				t.Errorf("seed %d: leaf %d, demand %.4f, has %.4f, fair is %.4f", seed, i, demands[i], got, want[i])
			}
		}
	}
}

func (t *tree) renewAll() {
	for _, p := range t.nodes {
		t.renewNode(p)
	}
	for _, p := range t.leaves {
		t.renewLeaf(p)
	}
}

// The share of a leaf that falls silent, or of a node whose leaf goes on, is not granted to another before it ends by the slowest
// clock, and is in use by another soon after.
func TestSilentShareEndsBySlowestClock(t *testing.T) {
	for _, behindNode := range []bool{false, true} {
		tr := newFaultlessTree(1, 2)
		silent, other := tr.leaves[2], tr.leaves[1]
		if behindNode {
			silent = tr.leaves[0]
		}
		silent.rate, tr.nodes[0].rate, tr.root.rate = 0.99, 0.99, 1.01
		const silence, over = time.Second, 2300 * ms
		for tr.now = ms; tr.now < over; tr.now += ms {
			if tr.now < silence {
				tr.renewNode(tr.nodes[0])
			}
			if tr.now < silence || behindNode {
				tr.renewLeaf(silent)
			}
			if tr.now > silence/2 {
				tr.renewLeaf(other)
			}
			if sum := tr.shares(silent, other); sum > 0.8+1e-9 {
				t.Fatalf("behind a node %v: %v at %v", behindNode, sum, tr.now)
			}
		}
		if got := tr.shares(other); got < 0.79 {
			t.Errorf("behind a node %v: the other has %v", behindNode, got)
		}
	}
}

// Nodes renew each 50 ms and leaves each 100 ms. What the leaves of one node stop to demand, but for their floor of 0.08, is in use by
// those of another within 700 ms; what a node had that dies with its leaves, within 1,600 ms.
func TestTreeMovesCapacity(t *testing.T) {
	for dies, within := range map[bool]time.Duration{false: 700 * ms, true: 1600 * ms} {
		tr := newFaultlessTree(5, 5, 0)
		const change = 2 * time.Second
		sum, fair := 0.0, 0.72
		if dies {
			fair = 0.8
		}
		for tr.now < change || sum < 0.97*fair && tr.now < 2*change {
			tr.now += 10 * ms
			if tr.now == change {
				for _, p := range append(tr.leaves[:5:5], tr.nodes[0]) {
					p.demand = 0.001
					if dies {
						p.cutUntil = 1 << 62
					}
				}
			}
			for i, p := range tr.nodes {
				if (tr.now/ms+30*time.Duration(i))%50 == 0 {
					tr.renewNode(p)
				}
			}
			for i, p := range tr.leaves {
				if (tr.now/ms+20*time.Duration(i))%100 == 0 {
					tr.renewLeaf(p)
				}
			}
			sum = tr.shares(tr.leaves[5:]...)
		}
		t.Logf("node dies %v: %v", dies, tr.now-change)
		if tr.now-change > within {
			t.Errorf("node dies %v: %v until the other's leaves have %v", dies, tr.now-change, sum)
		}
	}
}

// Nothing is granted for a renewal that comes twice, one of a node at a node, one while the node has no lease, and for a semaphore at
// a node.
func TestNodeGrantsNothing(t *testing.T) {
	tr, now := newFaultlessTree(1, 0), 50*ms
	root, node, leaf := tr.root.root, tr.nodes[0].node, tr.leaves[0].leaf
	leaf.Want(Want{Limit: "box", Kind: Rate, Demand: 1})
	leaf.Want(Want{Limit: "look", Kind: Semaphore, Demand: 1})
	if g := node.Renew(leaf.Renewal(now), now); g.Seq != 0 || node.canGrant(now) {
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
	if rate, semaphore := leaf.Available("box", now), leaf.Available("look", now); rate < 0.79 || semaphore != 0 {
		t.Errorf("%v of the rate, %v of the semaphore", rate, semaphore)
	}
	r = leaf.Renewal(now)
	if first, second = root.Renew(r, now), root.Renew(r, now); first.Seq != r.Seq || second.Seq != 0 {
		t.Errorf("the root: %+v, then %+v", first, second)
	}
	if g := node.Renew(NewNode("other", treeSettings()).Renewal(now), now); g.Seq != 0 || node.Renewal(now).Leaves != 1 {
		t.Errorf("it answers a node: %+v", g)
	}
	// A grant without a limit replaces the one that had it.
	leaf.Renewal(now)
	if !leaf.Take(Grant{Holder: leaf.id, Seq: r.Seq + 1, Source: node.id}, now) || leaf.Available("box", now) != 0 {
		t.Error("the part before is still in use")
	}
}

// Epochs order the grants of roots; the holder's renewals order those of several sources.
func TestGrantsOfSeveralSources(t *testing.T) {
	leaf := NewHolder("d", treeSettings())
	for i, x := range []struct {
		grant Grant
		taken bool
	}{
		{Grant{Epoch: 2, Seq: 1}, true},
		{Grant{Epoch: 1, Seq: 2}, false},
		{Grant{Source: "n", Seq: 3}, true},
		{Grant{Source: "n", Seq: 3}, false},
		{Grant{Epoch: 3, Seq: 2}, false},
		{Grant{Epoch: 1, Seq: 4}, false},
		{Grant{Epoch: 2, Seq: 5}, true},
		{Grant{Source: "m", Seq: 4}, false},
		{Grant{Source: "m", Seq: 6}, true},
	} {
		leaf.Renewal(0)
		x.grant.Holder = "d"
		if taken := leaf.Take(x.grant, 0); taken != x.taken {
			t.Errorf("%d: %+v: taken %v", i, x.grant, taken)
		}
	}
}
