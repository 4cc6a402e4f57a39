package fleet

import (
	"fmt"
	"iter"
	"slices"

	"github.com/benbjohnson/immutable"
)

// Director is a director on the roll. Name and Incarnation together are one process: one that comes back under its name has
// another incarnation, and nothing of the one before it is its own.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"` // drawn at the start
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // where it takes claims; empty: it takes none
}

// ID names the process.
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// MembershipChange is a change of the roll and of who holds which claims, gathered.
type MembershipChange struct {
	Joined []Director    `json:"joined,omitempty"`
	Left   []string      `json:"gone,omitempty"`  // IDs
	Shards []ShardChange `json:"slots,omitempty"` // only those that change
}

// ShardCount is how many parts the claims are divided into, by their tokens.
const ShardCount = 256

// Shard is who holds a part of the claims: the first of the homes decides, the others have copies. Homes are IDs.
type Shard struct {
	Epoch    int64    `json:"epoch"` // number of the event that set the homes
	Replicas []string `json:"homes"`
	// PreviousReplicas are the homes of the last epoch in which all homes had everything; empty once the new ones have it.
	PreviousReplicas []string `json:"from,omitempty"`
}

// ShardChange is a slot as it is from now on. Epoch is set by Apply where homes change; a change that only tells that the
// homes have everything names the epoch of which that is true, and counts for no other.
type ShardChange struct {
	Shard            int      `json:"slot"`
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

type directorMap = immutable.SortedMap[string, *Director]

// Directors are those on the roll, by ID.
func (f Fleet) Directors() iter.Seq[*Director] { return values(f.directors) }

// Director finds one by its ID; nil if it is not on the roll.
func (f Fleet) Director(id string) *Director { return get(f.directors, id) }

// Shard is who holds a part of the claims.
func (f Fleet) Shard(n int) Shard {
	if f.slots == nil {
		return Shard{}
	}
	return f.slots[n]
}

func (c MembershipChange) check(f Fleet) error {
	for _, d := range c.Joined {
		if d.Name == "" || d.Incarnation == "" {
			return fmt.Errorf("a director joins without a name or an incarnation")
		}
	}
	for _, s := range c.Shards {
		switch {
		case s.Shard < 0 || s.Shard >= ShardCount:
			return fmt.Errorf("there is no slot %d", s.Shard)
		case s.ReadyEpoch > f.Revision:
			return fmt.Errorf("slot %d: epoch %d is to come", s.Shard, s.ReadyEpoch)
		}
	}
	return nil
}

func (f *Fleet) applyRoll(c MembershipChange, no int64) {
	if f.directors == nil {
		f.directors = &directorMap{}
	}
	for _, id := range c.Left {
		f.directors = f.directors.Delete(id)
	}
	for _, d := range c.Joined {
		f.directors = f.directors.Set(d.ID(), &d)
	}
	if len(c.Shards) == 0 {
		return
	}
	next := [ShardCount]Shard{}
	if f.slots != nil {
		next = *f.slots
	}
	for _, s := range c.Shards {
		if s.ReadyEpoch > 0 {
			if next[s.Shard].Epoch == s.ReadyEpoch {
				next[s.Shard].PreviousReplicas = nil
			}
			continue
		}
		next[s.Shard] = Shard{Epoch: no, Replicas: s.Replicas, PreviousReplicas: s.PreviousReplicas}
	}
	f.slots = &next
}

// MembershipDump is the roll in the form in which it is stored and sent.
type MembershipDump struct {
	Directors []*Director `json:"directors"`
	Shards    []Shard     `json:"slots,omitempty"`
}

// Membership is the roll as a whole; nil where nobody was ever on it.
func (f Fleet) Membership() *MembershipDump {
	if f.directors == nil && f.slots == nil {
		return nil
	}
	d := &MembershipDump{Directors: slices.Collect(f.Directors())}
	if f.slots != nil {
		d.Shards = f.slots[:]
	}
	return d
}

func (f *Fleet) restoreRoll(d *MembershipDump) error {
	if d == nil {
		return nil
	}
	f.directors = &directorMap{}
	for _, x := range d.Directors {
		if x == nil || x.Name == "" {
			return fmt.Errorf("fleet: a dump with a director that is not there")
		}
		f.directors = f.directors.Set(x.ID(), x)
	}
	if len(d.Shards) > 0 {
		if len(d.Shards) != ShardCount {
			return fmt.Errorf("fleet: a dump with %d slots", len(d.Shards))
		}
		f.slots = (*[ShardCount]Shard)(slices.Clone(d.Shards))
	}
	return nil
}
