package quota

import "time"

// Kind is how a limit is shared.
type Kind string

// Kinds of limits.
const (
	// Rate is divided: the shares of all holders add up to 1 at most.
	Rate Kind = "rate"
	// Semaphore is granted to so many holders at a time, in the order in which they came.
	Semaphore Kind = "turns"
)

// Want is what a holder wants of a limit. For a rate, Demand is in parts of the limit. For a semaphore, any Demand over 0 waits
// for it, and 0 gives it back.
type Want struct {
	Limit      string  `json:"limit"`
	Kind       Kind    `json:"kind"`
	Demand     float64 `json:"demand"`
	MaxHolders int     `json:"most,omitempty"` // of a semaphore: holders at a time; 0: one

	// Groups are, for a node, the demands of its holders, and Demand is their sum. The sum alone would not do: one holder that
	// demands all of a limit among many that demand little would make each of them seem to demand more than it does.
	Groups []Group `json:"groups,omitempty"`
	// InUse is, for a node, the renewal whose grant of this limit covers all that its holders may use.
	InUse uint64 `json:"taken,omitempty"`
}

// Group is so many holders that demand about the same of a limit.
type Group struct {
	Demand float64 `json:"demand"` // of each, in parts of the limit
	Count  int     `json:"count"`
}

// groups returns the demands behind a want, without those that are malformed. A demand of more than the limit counts as one of
// all of it.
func (w Want) groups(node bool) (groups []Group) {
	demands := w.Groups
	if !node {
		demands = []Group{{w.Demand, 1}}
	}
	for _, group := range demands {
		if group.Demand > 0 && group.Count > 0 {
			groups = append(groups, Group{min(group.Demand, 1), group.Count})
		}
	}
	return groups
}

// Renewal is what a holder sends again and again. It gives up each limit that it does not name.
type Renewal struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`   // rises with each renewal
	InUse  uint64 `json:"taken"` // the renewal whose grant is in use: the holder uses no older grant any more
	Wants  []Want `json:"wants,omitempty"`

	Node          bool   `json:"node,omitempty"`           // the holder is a node
	Leaves        int    `json:"leaves,omitempty"`         // holders behind a node that have renewed within their lease
	FallbackInUse uint64 `json:"taken_fallback,omitempty"` // the renewal whose fallback covers those of the node's holders
}

// Share is the grant of one limit.
type Share struct {
	Limit        string  `json:"limit"`
	Fraction     float64 `json:"part"`           // of the limit; of a semaphore 1 or 0
	EvenFraction float64 `json:"even,omitempty"` // to nodes: an even share of the limit for each holder of the tree
}

// Grant answers a renewal. It replaces all of the grant before it.
type Grant struct {
	Holder string  `json:"holder"`           // who renewed; nobody else may use it, no later process under the name either
	Source string  `json:"source,omitempty"` // the node that grants; empty: the root
	Epoch  int64   `json:"epoch"`            // of the root: a holder takes no grant of an earlier one; 0 from nodes
	Seq    uint64  `json:"seq"`              // of the renewal; 0: nothing is granted and no holder takes it
	Shares []Share `json:"parts,omitempty"`
	// Fallback is the share of each rate that may be used where no share is in force; it fades.
	Fallback float64 `json:"fallback,omitempty"`
}

// Allocation is a share in force, as the allocator counts it.
type Allocation struct {
	Limit    string        `json:"limit"`
	Kind     Kind          `json:"kind"`
	Holder   string        `json:"holder"`
	Fraction float64       `json:"part"`   // of the limit; of a semaphore 1 or 0
	Demand   float64       `json:"demand"` // in parts of the limit
	Left     time.Duration `json:"left_ns"`
}
