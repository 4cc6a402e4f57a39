package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Node is the middle of a tree: one holder towards the root, for the sum of what its own holders demand, and an allocator towards
// them. It divides rates only; a want of a semaphore is answered with 0. It does not answer other nodes.
//
// At each moment, all holders of the tree may use at most what is shared of a limit, because
//   - what a node grants ends before its own lease: it grants nothing when too little of the lease is left;
//   - a share that sank counts at the root at its old size until the node's renewals name the new grant as in use, which they do
//     once what the node's holders may still use fits into it;
//   - the fallback that the root grants is a reserve that the node divides by the same rules. It counts in full for the node's
//     lease, within which the node grants from it, and fades from then on, not faster than that of any of the node's holders.
//
// It is not safe for concurrent use. A node that starts again has to take another id.
type Node struct {
	divider
	id            string
	parent        *Holder           // the side towards the root
	inUse         map[string]uint64 // the renewal whose grant covers all that holders may use, by limit
	fallbackInUse uint64
}

const (
	// maxGroups bounds the size of a want. Holders are put into so many groups of equal size by demand, so that only the
	// demands within one group are taken for their mean where it matters.
	maxGroups = 16
	// demandPrecision: demands of groups are rounded to 1/demandPrecision of a limit, to keep renewals short.
	demandPrecision = 1e7
)

// NewNode makes a node that has nothing.
func NewNode(id string, set Settings) *Node {
	upwards := set
	upwards.Lease = set.NodeLease
	return &Node{
		divider: newDivider(set),
		id:      id,
		parent:  NewHolder(id, upwards),
		inUse:   map[string]uint64{},
	}
}

// Renewal returns what is to be sent to the root now. It looks at all holders.
func (n *Node) Renewal(now time.Duration) Renewal {
	now = n.clock(now)
	for name, l := range n.limits {
		if l.kind != Semaphore {
			n.updateWant(name, l, now)
		}
	}
	for name := range n.inUse {
		if n.limits[name] == nil { // no holder wants it or may use any of it
			n.parent.Want(Want{Limit: name})
			delete(n.inUse, name)
		}
	}
	n.reserve.recountAll(now)
	if n.reserve.used <= n.parent.fallback {
		n.fallbackInUse = n.parent.inUse
	}
	r := n.parent.Renewal(now)
	r.InUse = 0 // each want names its own
	r.Node = true
	r.Leaves = n.reserve.live
	r.FallbackInUse = n.fallbackInUse
	return r
}

// updateWant sets what the node wants of a limit, which is what its holders demand. It names the limit for as long as it has an
// account of it, also without a demand: to give it up is to say that nobody uses it.
func (n *Node) updateWant(name string, l *limit, now time.Duration) {
	l.recountAll(now)
	if l.used <= n.parent.shares[name].share {
		n.inUse[name] = n.parent.inUse
	}
	want := Want{Limit: name, Kind: Rate, InUse: n.inUse[name]}
	n.inUse[name] = want.InUse
	var demands []Group
	for _, a := range l.order {
		if a.live > 0 {
			demands = append(demands, a.demands...)
		}
	}
	for _, group := range demands {
		want.Demand += group.Demand * float64(group.Count)
	}
	want.Groups = mergeGroups(demands)
	n.parent.wants[name] = want
}

// mergeGroups puts groups with about the same demand together, so that there are at most maxGroups of about the same size.
func mergeGroups(groups []Group) []Group {
	if len(groups) <= maxGroups {
		return groups
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Demand, b.Demand) })
	merged := make([]Group, maxGroups)
	for i := range merged {
		similar := groups[i*len(groups)/maxGroups : (i+1)*len(groups)/maxGroups]
		sum := 0.0
		for _, group := range similar {
			sum += group.Demand
		}
		mean := sum / float64(len(similar))
		merged[i] = Group{
			Demand: max(1, math.Round(mean*demandPrecision)) / demandPrecision,
			Count:  len(similar),
		}
	}
	return merged
}

// Take takes a grant of the root into use.
func (n *Node) Take(g Grant, now time.Duration) {
	before := n.parent.shares
	if !n.parent.Take(g, n.clock(now)) {
		return
	}
	for name, l := range n.limits {
		// While the holders still use more than the share before, the generation of that one goes on.
		previous := before[name].share
		if n.parent.shares[name].share < previous && l.used <= previous {
			l.beginGeneration()
		}
	}
}

// Renew answers a renewal of one of its holders. The grant has no Seq where that of Allocator.Renew has none, and while the node's
// lease does not outlast what would be granted.
func (n *Node) Renew(r Renewal, now time.Duration) Grant {
	answer := Grant{Holder: r.Holder, Source: n.id}
	if r.Node || !n.accept(r) {
		return answer
	}
	now = n.clock(now)
	wanted := n.recordWants(r, now)
	if !n.canGrant(now) {
		return answer
	}
	answer.Seq = r.Seq
	for _, name := range wanted {
		answer.Shares = append(answer.Shares, n.shareOf(name, r, now))
	}
	answer.Fallback = n.grantFallback(r, n.parent.fallback, now)
	return answer
}

// canGrant reports whether the node's lease outlasts what would be granted now.
func (n *Node) canGrant(now time.Duration) bool {
	return n.parent.inUse > 0 && now+n.set.leaseAtAllocator() <= n.parent.inUseSince+n.set.NodeLease
}

// shareOf decides what a holder gets of a limit.
func (n *Node) shareOf(name string, r Renewal, now time.Duration) Share {
	if n.limits[name].kind == Semaphore {
		return Share{Limit: name}
	}
	from := n.parent.shares[name]
	return n.grantShare(name, r, budget{share: from.share, evenShare: from.even}, now)
}

// Sweep forgets limits that nobody holds or wants any more, some with each call. It is to be called several times a second.
func (n *Node) Sweep(now time.Duration) { n.sweep(now) }
