package fleet

import (
	"errors"
	"fmt"
	"iter"
	"slices"

	"github.com/benbjohnson/immutable"
)

// Director is a director that is a member. Name and Incarnation together are one process: one that restarts under its name has another
// incarnation, and nothing of the one before belongs to it.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"` // drawn at the start
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // address where it takes claims; empty: it takes none
}

// ID names the process.
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// MembershipChange is a change of the members and of the replicas of claims.
type MembershipChange struct {
	Joined []Director    `json:"joined,omitempty"`
	Left   []string      `json:"gone,omitempty"`  // IDs
	Shards []ShardChange `json:"slots,omitempty"` // only those that change
}

// ShardCount is how many shards the claims are divided into, by their tokens.
const ShardCount = 256

// Shard is who has a part of the claims: the first replica decides, the others replicate. Replicas are IDs of directors.
type Shard struct {
	Epoch    int64    `json:"epoch"` // revision that set the replicas
	Replicas []string `json:"homes"`
	// PreviousReplicas are those of the last epoch in which the shard was ready; empty once it is ready in this one.
	PreviousReplicas []string `json:"from,omitempty"`
}

// ShardChange sets the replicas of a shard, whose epoch is then the event's revision. With ReadyEpoch it says instead that all replicas
// of that epoch are ready; it has no effect in another epoch.
type ShardChange struct {
	Shard            int      `json:"slot"` // 0 to ShardCount-1
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

type directorMap = immutable.SortedMap[string, *Director]

// Directors are the members, by ID.
func (f Fleet) Directors() iter.Seq[*Director] { return values(f.directors) }

// Director finds a member by its ID; nil if there is none.
func (f Fleet) Director(id string) *Director { return get(f.directors, id) }

// Shard is who has a part of the claims. It panics for a number that is none of a shard.
func (f Fleet) Shard(n int) Shard {
	if f.shards == nil {
		return Shard{}
	}
	return f.shards[n]
}

func (c MembershipChange) check(f Fleet) error {
	for _, d := range c.Joined {
		if d.Name == "" || d.Incarnation == "" {
			return errors.New("a director joins without a name or an incarnation")
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

func (f *Fleet) applyMembership(c MembershipChange, revision int64) {
	if f.directors == nil {
		f.directors = &directorMap{}
	}
	for _, id := range c.Left {
		f.directors = f.directors.Delete(id)
	}
	for _, d := range c.Joined {
		f.directors = f.directors.Set(d.ID(), &d)
	}
	if len(c.Shards) > 0 {
		f.applyShards(c.Shards, revision)
	}
}

func (f *Fleet) applyShards(changes []ShardChange, revision int64) {
	next := [ShardCount]Shard{}
	if f.shards != nil {
		next = *f.shards
	}
	for _, c := range changes {
		shard := &next[c.Shard]
		switch {
		case c.ReadyEpoch <= 0:
			*shard = Shard{Epoch: revision, Replicas: c.Replicas, PreviousReplicas: c.PreviousReplicas}
		case c.ReadyEpoch == shard.Epoch:
			shard.PreviousReplicas = nil
		}
	}
	f.shards = &next
}

// MembershipDump is the membership in the form in which it is stored and sent.
type MembershipDump struct {
	Directors []*Director `json:"directors"`
	Shards    []Shard     `json:"slots,omitempty"`
}

// Membership is the complete membership; nil if there was never a member.
func (f Fleet) Membership() *MembershipDump {
	if f.directors == nil && f.shards == nil {
		return nil
	}
	d := &MembershipDump{Directors: slices.Collect(f.Directors())}
	if f.shards != nil {
		d.Shards = f.shards[:]
	}
	return d
}

func (f *Fleet) restoreMembership(d *MembershipDump) error {
	if d == nil {
		return nil
	}
	f.directors = &directorMap{}
	for _, director := range d.Directors {
		if director == nil || director.Name == "" {
			return errors.New("fleet: a dump with a director that is not there")
		}
		f.directors = f.directors.Set(director.ID(), director)
	}
	if len(d.Shards) == 0 {
		return nil
	}
	if len(d.Shards) != ShardCount {
		return fmt.Errorf("fleet: a dump with %d slots", len(d.Shards))
	}
	f.shards = (*[ShardCount]Shard)(slices.Clone(d.Shards))
	return nil
}
