package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Node is the middle of a tree: one holder towards the root, for the sum of what its own holders want, and an allocator
// towards them. It divides rates only; a want of Turns is answered with 0. Its holders are leaves: it does not answer nodes.
//
// At each moment all leaf holders of the tree may use at most what is shared of a limit, since
//   - what a node gives is over before its own lease of what it gives from: it answers nothing when too little of that is left;
//   - a share that sank counts at the root at its old size until the node's renewals name the new one as taken, which is once
//     what its holders may still use fits into it;
//   - the fallback that the root grants is a reserve that the node divides by the same rules. It is counted whole for the
//     node's lease, within which the node grants from it, and fades from then on, not faster than any of its holders'.
//
// It is not safe for concurrent use. A node that starts again has to take another id.
type Node struct {
	divider
	id            string
	parent        *Holder           // its own side towards the root
	taken         map[string]uint64 // for Want.Taken, by limit
	takenFallback uint64
}

// groupsMost bounds the size of a want. Holders are divided by demand into so many groups, so that where the level of the
// division lies within a group, at most that share of the holders is taken for the mean of it.
const groupsMost = 16

const demandGrains = 1e7 // to which demands of groups are rounded, to keep renewals short

// NewNode makes a node that has nothing.
func NewNode(id string, set Settings) *Node {
	upwards := set
	upwards.Lease = set.NodeLease
	return &Node{divider: newDivider(set), id: id, parent: NewHolder(id, upwards), taken: map[string]uint64{}}
}

// Renewal is what is to be sent to the root now. It takes a look at all holders.
func (n *Node) Renewal(now time.Duration) Renewal {
	now = n.clock(now)
	for name, l := range n.limits {
		if l.kind != Turns {
			n.want(name, l, now)
		}
	}
	for name := range n.taken {
		if n.limits[name] == nil { // no holder names it any more, or may use any of it
			n.parent.Want(Want{Limit: name})
			delete(n.taken, name)
		}
	}
	n.reserve.countAll(now)
	if n.reserve.used <= n.parent.fallback {
		n.takenFallback = n.parent.taken
	}
	r := n.parent.Renewal(now)
	r.Taken = 0 // by limit instead
	r.Node, r.Leaves, r.TakenFallback = true, n.reserve.live, n.takenFallback
	return r
}

// want sets what the node wants of a limit: the sum of what its holders do. It names the limit for as long as it has an
// account of it, even if nobody wants any more of it, since to give it up is to say that nobody uses it.
func (n *Node) want(name string, l *limit, now time.Duration) {
	l.countAll(now)
	if l.used <= n.parent.parts[name].share {
		n.taken[name] = n.parent.taken
	}
	want := Want{Limit: name, Kind: Rate, Taken: n.taken[name]}
	n.taken[name] = want.Taken
	var demands []Group
	for _, a := range l.order {
		if a.live > 0 {
			demands = append(demands, a.demand...)
		}
	}
	for _, group := range demands {
		want.Demand += group.Demand * float64(group.Count)
	}
	want.Groups = merged(demands)
	n.parent.wants[name] = want
}

// merged puts groups of one each together, next ones by demand, until there are few enough of about the same size.
func merged(groups []Group) []Group {
	if len(groups) <= groupsMost {
		return groups
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Demand, b.Demand) })
	few := make([]Group, groupsMost)
	for i := range few {
		part := groups[i*len(groups)/groupsMost : (i+1)*len(groups)/groupsMost]
		sum := 0.0
		for _, group := range part {
			sum += group.Demand
		}
		few[i] = Group{max(1, math.Round(sum/float64(len(part))*demandGrains)) / demandGrains, len(part)}
	}
	return few
}

// Take takes in what the root has granted.
func (n *Node) Take(g Grant, now time.Duration) {
	before := n.parent.parts
	if !n.parent.Take(g, n.clock(now)) {
		return
	}
	for name, l := range n.limits {
		// Where the holders have not yet come down to what sank before, that goes on.
		if had := before[name].share; n.parent.parts[name].share < had && l.used <= had {
			l.sank()
		}
	}
}

// Renew answers one of its holders, with nothing where Allocator.Renew does so, and while it has no lease that outlasts what it
// would grant.
func (n *Node) Renew(r Renewal, now time.Duration) Grant {
	answer := Grant{Holder: r.Holder, Source: n.id}
	if r.Node || !n.accept(r) {
		return answer
	}
	now = n.clock(now)
	wanted := n.note(r, now)
	if !n.outlasts(now) {
		return answer
	}
	answer.Seq = r.Seq
	for _, name := range wanted {
		answer.Parts = append(answer.Parts, n.shareOf(name, r, now))
	}
	answer.Fallback = n.fallback(r, n.parent.fallback, now)
	return answer
}

// outlasts tells whether the node's lease lasts longer than what would be granted now.
func (n *Node) outlasts(now time.Duration) bool {
	return n.parent.taken > 0 && now+n.set.waits() <= n.parent.takenFrom+n.set.NodeLease
}

func (n *Node) shareOf(name string, r Renewal, now time.Duration) Share {
	if n.limits[name].kind == Turns {
		return Share{Limit: name}
	}
	from := n.parent.parts[name]
	return n.share(name, r, budget{part: from.share, even: from.even}, now)
}

// Leased tells whether the node may answer its holders at this moment. Where it may not, they do better with another.
func (n *Node) Leased(now time.Duration) bool { return n.outlasts(n.clock(now)) }

// Held lists what of its holders is in force and who waits.
func (n *Node) Held(now time.Duration) []Allocation { return n.held(now) }

// Sweep forgets, in some calls, limits that nobody holds or wants any more. It is to be called several times a second.
func (n *Node) Sweep(now time.Duration) { n.sweep(now) }
