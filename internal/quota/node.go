package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Node is an inner node of the tree. It is a holder towards the root, where it demands the sum of its own holders' demands, and an
// allocator towards its holders. It divides only rates; for a semaphore it always grants 0. It grants nothing to other nodes.
//
// At any time, all holders of the tree together may use at most the shared part of a limit, because
//   - grants of a node expire before its own lease: it grants nothing when too little of the lease is left;
//   - after a node's share has decreased, the root counts the previous share until the node's renewals name the new grant as in use,
//     which they do once everything that the node's holders may still use fits into it;
//   - the fallback granted by the root is a reserve that the node divides by the same rules. It is counted in full for the node's
//     lease, within which the node grants from it, and decreases from then on, no faster than that of any of the node's holders.
//
// It is not safe for concurrent use. A node that restarts must use a new ID.
type Node struct {
	divider
	id            string
	parent        *Holder           // the holder towards the root
	inUse         map[string]uint64 // renewal whose grant covers everything that the node's holders may use, by limit
	fallbackInUse uint64            // renewal whose fallback covers those of the node's holders
}

const (
	// maxGroups limits the size of a want. Holders are sorted by demand and divided into that many groups of equal size, so that
	// only similar demands are replaced by their mean.
	maxGroups = 16
	// demandPrecision is the precision of the demands of groups: they are rounded to 1/demandPrecision of a limit to keep renewals short.
	demandPrecision = 1e7
)

// NewNode returns a node without holders or shares.
func NewNode(id string, settings Settings) *Node {
	parentSettings := settings
	parentSettings.Lease = settings.NodeLease
	return &Node{
		divider: newDivider(settings),
		id:      id,
		parent:  NewHolder(id, parentSettings),
		inUse:   map[string]uint64{},
	}
}

// Renewal returns the next renewal to send to the root. It iterates over the accounts of all holders.
func (n *Node) Renewal(now time.Duration) Renewal {
	now = n.clock(now)
	for name, l := range n.limits {
		if l.kind != Semaphore {
			n.updateWant(name, l, now)
		}
	}
	for name := range n.inUse {
		if n.limits[name] == nil { // no holder demands it or may still use any of it
			n.parent.Want(Want{Limit: name})
			delete(n.inUse, name)
		}
	}
	n.reserve.recountAll(now)
	if n.reserve.used <= n.parent.fallback {
		n.fallbackInUse = n.parent.inUse
	}
	r := n.parent.Renewal(now)
	r.InUse = 0 // each want has its own InUse
	r.Node = true
	r.Leaves = n.reserve.activeWeight
	r.FallbackInUse = n.fallbackInUse
	return r
}

// updateWant sets the node's want of a limit to the demands of its holders. The node names the limit as long as it has an account of
// it, even without a demand, because releasing the limit states that no holder uses any of it.
func (n *Node) updateWant(name string, l *limit, now time.Duration) {
	l.recountAll(now)
	if l.used <= n.parent.shares[name].share {
		n.inUse[name] = n.parent.inUse
	}
	want := Want{Limit: name, Kind: Rate, InUse: n.inUse[name]}
	n.inUse[name] = want.InUse
	var demands []Group
	for _, a := range l.order {
		if a.activeWeight > 0 {
			demands = append(demands, a.demands...)
		}
	}
	for _, group := range demands {
		want.Demand += group.Demand * float64(group.Count)
	}
	want.Groups = mergeGroups(demands)
	n.parent.wants[name] = want
}

// mergeGroups merges groups with similar demands into at most maxGroups groups of about the same size.
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

// Apply puts a grant of the root into use.
func (n *Node) Apply(g Grant, now time.Duration) {
	previousShares := n.parent.shares
	if !n.parent.Apply(g, n.clock(now)) {
		return
	}
	for name, l := range n.limits {
		// While the holders still use more than the previous share, the generation of the larger budget continues.
		previous := previousShares[name].share
		if n.parent.shares[name].share < previous && l.used <= previous {
			l.startGeneration()
		}
	}
}

// Renew handles a renewal of one of its holders and returns the grant to reply with. The grant has no Seq if the renewal is a duplicate
// or late or is from a node, or while the node's lease would end before the grant expires.
func (n *Node) Renew(r Renewal, now time.Duration) Grant {
	grant := Grant{Holder: r.Holder, Source: n.id}
	if r.Node || !n.accept(r) {
		return grant
	}
	now = n.clock(now)
	wanted := n.recordWants(r, now)
	if !n.canGrant(now) {
		return grant
	}
	grant.Seq = r.Seq
	for _, name := range wanted {
		grant.Shares = append(grant.Shares, n.grantLimitShare(name, r, now))
	}
	grant.Fallback = n.grantFallback(r, n.parent.fallback, now)
	return grant
}

// canGrant reports whether a grant made now expires before the node's lease.
func (n *Node) canGrant(now time.Duration) bool {
	return n.parent.inUse > 0 && now+n.settings.leaseAtAllocator() <= n.parent.inUseSince+n.settings.NodeLease
}

// grantLimitShare computes a holder's share of a limit and records it as granted. For a semaphore it is 0.
func (n *Node) grantLimitShare(name string, r Renewal, now time.Duration) Share {
	if n.limits[name].kind == Semaphore {
		return Share{Limit: name}
	}
	parentShare := n.parent.shares[name]
	return n.grantShare(name, r, budget{share: parentShare.share, evenShare: parentShare.evenFraction}, now)
}

// Sweep removes expired accounts, and limits without accounts. Each call handles a part of them, so it must be called several times a
// second.
func (n *Node) Sweep(now time.Duration) { n.sweep(now) }
