// Package claims keeps idempotency claims for keyed requests: a token runs in one group of caches only within its window,
// even if the director that sent it is lost. The event log assigns the replicas of each shard, by epochs; the claims
// themselves are replicated between directors and never enter the event log. The package does no I/O: messages, membership
// and time come in; messages and verdicts go out.
package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a director that holds claims: its ID, the name by which replicas are drawn, and its failure domains.
type Place struct {
	ID, Name, Machine, Site string
}

// SlotOf is the shard of a token among a number of shards.
func SlotOf(token string, slots int) int { return int(xxhash.Sum64String(token) % uint64(slots)) }

// weight is the rendezvous hash of a place for a shard, so that a change of places moves few shards.
func weight(slot int, name string) uint64 {
	return xxhash.Sum64String(string([]byte{byte(slot >> 8), byte(slot)}) + name)
}

// Homes are the IDs of a shard's replicas, at most a number of them, the primary first. Each is on another machine, and in
// another site as far as there are sites.
func Homes(slot, most int, places []Place) []string {
	type drawn struct {
		Place
		weight uint64
	}
	all := make([]drawn, len(places))
	for i, p := range places {
		all[i] = drawn{p, weight(slot, p.Name)}
	}
	slices.SortFunc(all, func(a, b drawn) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	machines, sites := map[string]bool{}, map[string]bool{}
	var homes []string
	for _, fresh := range []bool{true, false} { // first those in sites that have none
		for _, d := range all {
			if len(homes) == most {
				return homes
			}
			if machines[d.Machine] || fresh && sites[d.Site] {
				continue
			}
			machines[d.Machine], sites[d.Site] = true, true
			homes = append(homes, d.ID)
		}
	}
	return homes
}

// Reassign lists the changes after which the places hold all shards, each with at most a number of replicas. The replicas
// of the last complete epoch stay named until the new ones are filled.
func Reassign(slots []ShardState, most int, places []Place) (changed []ShardState) {
	for i := range slots {
		s := slots[i]
		homes := Homes(i, most, places)
		if slices.Equal(homes, s.Replicas) {
			continue
		}
		from := s.PreviousReplicas
		if len(from) == 0 {
			from = s.Replicas
		}
		changed = append(changed, ShardState{Shard: i, Replicas: homes, PreviousReplicas: from})
	}
	return changed
}
