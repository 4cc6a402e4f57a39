package fleet

import (
	"errors"
	"fmt"
	"iter"
	"slices"

	"github.com/benbjohnson/immutable"
)

// Director is a director that is a member. Name and Incarnation together identify one process: a process that restarts under the same
// name has a new incarnation and is a new member, which takes over nothing from its predecessor.
type Director struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"` // chosen at random when the process starts
	Location    string `json:"location,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Site        string `json:"site,omitempty"`
	Version     string `json:"version,omitempty"`
	Claims      string `json:"claims,omitempty"` // address at which it accepts claims; empty: it accepts none
}

// ID returns the identifier of the process, "name/incarnation".
func (d Director) ID() string { return d.Name + "/" + d.Incarnation }

// MembershipChange is a change of the members and of the replicas of the claim shards.
type MembershipChange struct {
	Joined []Director    `json:"joined,omitempty"`
	Left   []string      `json:"gone,omitempty"`  // IDs
	Shards []ShardChange `json:"slots,omitempty"` // only shards that change
}

// ShardCount is the number of shards into which the claims are divided, by their tokens.
const ShardCount = 256

// Shard is the assignment of one shard of the claims: the first replica decides, the others replicate. Replicas are IDs of directors.
type Shard struct {
	Epoch    int64    `json:"epoch"` // revision that set the replicas
	Replicas []string `json:"homes"`
	// PreviousReplicas are the replicas of the last epoch in which the shard was ready; empty once it is ready in the current epoch.
	PreviousReplicas []string `json:"from,omitempty"`
}

// ShardChange assigns replicas to a shard, whose epoch becomes the revision of the event. With ReadyEpoch it states instead that all
// replicas of that epoch are ready; it has no effect if the shard is in another epoch.
type ShardChange struct {
	Shard            int      `json:"slot"` // 0 to ShardCount-1
	Replicas         []string `json:"homes,omitempty"`
	PreviousReplicas []string `json:"from,omitempty"`
	ReadyEpoch       int64    `json:"complete,omitempty"`
}

type directorMap = immutable.SortedMap[string, *Director]

// Directors returns the members, sorted by ID.
func (f Fleet) Directors() iter.Seq[*Director] { return sortedValues(f.directors) }

// Director returns the member with an ID, or nil if there is none.
func (f Fleet) Director(id string) *Director { return get(f.directors, id) }

// Shard returns the assignment of shard n. It panics if n is not in the range 0 to ShardCount-1.
func (f Fleet) Shard(n int) Shard {
	if f.shards == nil {
		return Shard{}
	}
	return f.shards[n]
}

func (c MembershipChange) check(f Fleet) error {
	for _, d := range c.Joined {
		if d.Name == "" || d.Incarnation == "" {
			return errors.New("a joining director has no name or no incarnation")
		}
	}
	for _, s := range c.Shards {
		switch {
		case s.Shard < 0 || s.Shard >= ShardCount:
			return fmt.Errorf("no such shard: %d", s.Shard)
		case s.ReadyEpoch > f.Revision:
			return fmt.Errorf("shard %d: epoch %d is in the future", s.Shard, s.ReadyEpoch)
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

// MembershipDump is a snapshot of the membership in its stored and transmitted form.
type MembershipDump struct {
	Directors []*Director `json:"directors"`
	Shards    []Shard     `json:"slots,omitempty"`
}

// Membership returns a snapshot of the complete membership, or nil if there has never been a member.
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
			return errors.New("fleet: dump contains a director without a name")
		}
		f.directors = f.directors.Set(director.ID(), director)
	}
	if len(d.Shards) == 0 {
		return nil
	}
	if len(d.Shards) != ShardCount {
		return fmt.Errorf("fleet: dump contains an unexpected number of shards: %d", len(d.Shards))
	}
	f.shards = (*[ShardCount]Shard)(slices.Clone(d.Shards))
	return nil
}
