package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCandidate is a director that holds claims.
type ShardCandidate struct {
	ID      string
	Name    string // stays the same when the process starts again, and so do its shards
	Machine string // failure domains
	Site    string
}

// ShardOf returns the shard of a token.
func ShardOf(token string, shards int) int { return int(xxhash.Sum64String(token) % uint64(shards)) }

// rendezvousWeight is the weight of a place for a shard. With rendezvous hashing a change of the places moves few shards.
func rendezvousWeight(shard int, name string) uint64 {
	return xxhash.Sum64String(string([]byte{byte(shard >> 8), byte(shard)}) + name)
}

// weightedPlace is a place and its weight for a shard.
type weightedPlace struct {
	ShardCandidate
	weight uint64
}

// rank returns the places by falling weight for a shard.
func rank(shard int, places []ShardCandidate) []weightedPlace {
	ranked := make([]weightedPlace, len(places))
	for i, p := range places {
		ranked[i] = weightedPlace{ShardCandidate: p, weight: rendezvousWeight(shard, p.Name)}
	}
	slices.SortFunc(ranked, func(a, b weightedPlace) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// SelectReplicas returns the IDs of a shard's replicas, at most count, the primary first. Each is on another machine, and in
// another site as far as there are sites.
func SelectReplicas(shard, count int, places []ShardCandidate) []string {
	ranked := rank(shard, places)
	machines := map[string]bool{}
	sites := map[string]bool{}
	var replicas []string
	for _, otherSite := range []bool{true, false} {
		for _, p := range ranked {
			if len(replicas) == count {
				return replicas
			}
			if machines[p.Machine] || otherSite && sites[p.Site] {
				continue
			}
			machines[p.Machine] = true
			sites[p.Site] = true
			replicas = append(replicas, p.ID)
		}
	}
	return replicas
}

// Reassign returns the changes after which the places hold all shards, each with at most replicaCount replicas. The replicas of the
// last epoch that was ready stay named as the previous ones until the new ones are filled.
func Reassign(shards []ShardState, replicaCount int, places []ShardCandidate) []ShardState {
	var changed []ShardState
	for i, s := range shards {
		replicas := SelectReplicas(i, replicaCount, places)
		if slices.Equal(replicas, s.Replicas) {
			continue
		}
		previous := s.PreviousReplicas
		if len(previous) == 0 {
			previous = s.Replicas
		}
		changed = append(changed, ShardState{Shard: i, Replicas: replicas, PreviousReplicas: previous})
	}
	return changed
}
