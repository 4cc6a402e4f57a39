// Package quota divides limits that directors share: leased parts of a rate, and turns that only so many may have at a time.
// The allocator is the control plane's leader; holders are directors. A part counts for its holder from before it was asked
// for, and for the allocator until after it was given, with a bound on how far clocks run apart, so that the sum of what is in
// force keeps the limit at each moment without agreeing clocks. The package is pure: renewals, grants and the time come in.
package quota

import "time"

// Settings are the same for allocators and holders.
type Settings struct {
	Lease   time.Duration // for how long a part may be used, by its holder's clock from before it was asked for
	Drift   float64       // by which clocks run apart, as a share
	Reserve float64       // of each rate, set aside for those who can have no part: each knows from its grants what of it is its own
	Fades   time.Duration // in which such a fallback sinks to nothing
	Floor   float64       // of a rate, for each that wants anything, at least, as a share of an even part
	Hold    float64       // a part is not changed for less than this share of it

	// NodeLease is what Lease is for nodes, which lease from the root what they divide. It has to be longer than Lease, by the
	// time that an answer of the root may take and several renewals. 0: there are no nodes.
	NodeLease time.Duration
}

// stretched is how long a clock may count that runs fast, for a time that a slow one counts.
func (s Settings) stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*s.Drift))
}

// waits is how long the allocator counts a part that it gave.
func (s Settings) waits() time.Duration { return s.stretched(s.Lease) }

// nodeWaits is how long the root counts a part that it gave to a node.
func (s Settings) nodeWaits() time.Duration { return s.stretched(s.NodeLease) }

// fades is how long the allocator counts a fallback.
func (s Settings) fades() time.Duration { return s.stretched(s.Fades) }

// Kind is how a limit is shared.
type Kind string

// Kinds of limits.
const (
	Rate  Kind = "rate"  // parts add up to 1 at most
	Turns Kind = "turns" // so many holders at a time, in the order in which they came
)

// Want is what a holder wants of a limit. For a rate, Demand is in parts of the limit; for turns, anything over 0 waits for
// one, and 0 gives it back.
type Want struct {
	Limit  string  `json:"limit"`
	Kind   Kind    `json:"kind"`
	Demand float64 `json:"demand"`
	Most   int     `json:"most,omitempty"` // turns: holders at a time; 0: one

	// Groups are, for a node, the demands of its leaf holders, and Demand their sum. A sum alone would not do: one that wants
	// all of a limit among many that want little would make each of them seem to want more than it does.
	Groups []Group `json:"groups,omitempty"`
	// Taken is, for a node, the renewal whose grant of this limit all that its holders may use fits in.
	Taken uint64 `json:"taken,omitempty"`
}

// groups are the demands behind a want; none for one that can't be meant. Whoever demands a thousand times the
// limit gets what anyone gets who wants all of it.
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

// Renewal is what a holder sends again and again.
type Renewal struct {
	Holder string `json:"holder"`
	Seq    uint64 `json:"seq"`   // rises with each renewal
	Taken  uint64 `json:"taken"` // the renewal whose grant is in use: no older grant will be any more
	Wants  []Want `json:"wants,omitempty"`

	Node          bool   `json:"node,omitempty"`           // the holder is a node
	Leaves        int    `json:"leaves,omitempty"`         // leaf holders behind a node, that have renewed within their lease
	TakenFallback uint64 `json:"taken_fallback,omitempty"` // like Want.Taken, for the fallback
}

// Share is a grant of one limit.
type Share struct {
	Limit string  `json:"limit"`
	Part  float64 `json:"part"`           // turns: 1 or 0
	Even  float64 `json:"even,omitempty"` // to nodes: an even part of what is shared of the limit, of all leaf holders
}

// Grant answers a renewal.
type Grant struct {
	Holder string  `json:"holder"`           // whose renewal: nobody else takes it, and no later process under the same name
	Source string  `json:"source,omitempty"` // the node that grants; empty: the root
	Epoch  int64   `json:"epoch"`            // of the root: a later one's grants are not undone by an older one's; 0 from nodes
	Seq    uint64  `json:"seq"`              // of the renewal; 0: it is answered with nothing
	Parts  []Share `json:"parts,omitempty"`
	// Fallback is the part of each rate that may be used where no part is in force; it fades.
	Fallback float64 `json:"fallback,omitempty"`
}

// Allocation is a part in force, as the allocator counts.
type Allocation struct {
	Limit  string        `json:"limit"`
	Kind   Kind          `json:"kind"`
	Holder string        `json:"holder"`
	Part   float64       `json:"part"`
	Demand float64       `json:"demand"`
	Left   time.Duration `json:"left_ns"`
}
