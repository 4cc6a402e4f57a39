package quota

import "time"

// Kind is the way in which a limit is shared.
type Kind string

// Kinds of limits.
const (
	// Rate is a limit that is divided: the shares of all holders add up to at most 1.
	Rate Kind = "rate"
	// Semaphore is a limit that is granted to a bounded number of holders at a time, in order of arrival.
	Semaphore Kind = "turns"
)

// Want is a holder's demand for a limit. For a rate, Demand is a fraction of the limit. For a semaphore, a Demand above 0 acquires it
// or waits for it, and 0 releases it.
type Want struct {
	Limit      string  `json:"limit"`
	Kind       Kind    `json:"kind"`
	Demand     float64 `json:"demand"`
	MaxHolders int     `json:"most,omitempty"` // of a semaphore: maximum number of holders at a time; 0: one

	// Groups are, for a node, the demands of its holders; Demand is their sum. The sum alone is not sufficient: if one holder
	// demands all of a limit and many others demand little, each of the others would appear to demand more than it does.
	Groups []Group `json:"groups,omitempty"`
	// InUse is, for a node, the sequence number of the renewal whose grant of this limit covers everything that its holders may
	// use.
	InUse uint64 `json:"taken,omitempty"`
}

// Group is a number of holders with about the same demand for a limit.
type Group struct {
	Demand float64 `json:"demand"` // of each holder, as a fraction of the limit
	Count  int     `json:"count"`
}

// groups returns the demands that a want represents, without invalid ones. A demand of more than the limit is reduced to the limit.
// node indicates that the want is from a node.
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

// Renewal is the message that a holder sends periodically. It releases each limit that it does not name.
type Renewal struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`   // increases with each renewal
	InUse  uint64 `json:"taken"` // sequence number of the renewal whose grant is in use; the holder no longer uses older grants
	Wants  []Want `json:"wants,omitempty"`

	Node          bool   `json:"node,omitempty"`           // whether the holder is a node
	Leaves        int    `json:"leaves,omitempty"`         // number of holders behind a node that have renewed within their lease
	FallbackInUse uint64 `json:"taken_fallback,omitempty"` // renewal whose fallback covers those of the node's holders
}

// Share is the grant of one limit.
type Share struct {
	Limit        string  `json:"limit"`
	Fraction     float64 `json:"part"`           // of the limit; 1 or 0 for a semaphore
	EvenFraction float64 `json:"even,omitempty"` // for nodes: an even share of the limit for each holder of the tree
}

// Grant is the reply to a renewal. It replaces the previous grant entirely.
type Grant struct {
	// Holder is the ID of the holder that sent the renewal. No other holder may use the grant, not even a later process with the
	// same name.
	Holder string  `json:"holder"`
	Source string  `json:"source,omitempty"` // ID of the granting node; empty: the root
	Epoch  int64   `json:"epoch"`            // epoch of the root; holders ignore grants of earlier epochs; 0 in grants of nodes
	Seq    uint64  `json:"seq"`              // sequence number of the renewal; 0: nothing is granted and holders ignore the grant
	Shares []Share `json:"parts,omitempty"`
	// Fallback is the fraction of each rate that may be used without a share in force; it decreases over time.
	Fallback float64 `json:"fallback,omitempty"`
}

// Allocation is a holder's demand for a limit and its share in force, as counted by the allocator.
type Allocation struct {
	Limit    string        `json:"limit"`
	Kind     Kind          `json:"kind"`
	Holder   string        `json:"holder"`
	Fraction float64       `json:"part"`   // of the limit; 1 or 0 for a semaphore
	Demand   float64       `json:"demand"` // as a fraction of the limit
	Left     time.Duration `json:"left_ns"`
}
