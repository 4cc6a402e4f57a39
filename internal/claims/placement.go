package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCandidate is a director that may be a replica of shards.
type ShardCandidate struct {
	ID      string
	Name    string // unchanged when the process restarts, so that it keeps its shards
	Machine string // failure domain
	Site    string // failure domain
}

// ShardOf returns the shard of a token, from 0 to shards-1.
func ShardOf(token string, shards int) int { return int(xxhash.Sum64String(token) % uint64(shards)) }

// rendezvousWeight returns the weight of a candidate for a shard. With rendezvous hashing, a change of the candidates moves few shards.
func rendezvousWeight(shard int, name string) uint64 {
	return xxhash.Sum64String(string([]byte{byte(shard >> 8), byte(shard)}) + name)
}

// weightedCandidate is a candidate and its weight for a shard.
type weightedCandidate struct {
	ShardCandidate
	weight uint64
}

// rankCandidates returns the candidates in descending order of their weight for a shard.
func rankCandidates(shard int, candidates []ShardCandidate) []weightedCandidate {
	ranked := make([]weightedCandidate, len(candidates))
	for i, p := range candidates {
		ranked[i] = weightedCandidate{ShardCandidate: p, weight: rendezvousWeight(shard, p.Name)}
	}
	slices.SortFunc(ranked, func(a, b weightedCandidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// SelectReplicas returns the IDs of a shard's replicas, at most count, the primary first. The replicas are on different machines and,
// as far as there are enough sites, in different sites.
func SelectReplicas(shard, count int, candidates []ShardCandidate) []string {
	ranked := rankCandidates(shard, candidates)
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

// Reassign returns the shards whose replicas must change so that the candidates hold all shards, each with at most replicaCount
// replicas. PreviousReplicas keeps the replicas of the last ready epoch until the new replicas have all claims.
func Reassign(shards []ShardState, replicaCount int, candidates []ShardCandidate) []ShardState {
	var changed []ShardState
	for i, s := range shards {
		replicas := SelectReplicas(i, replicaCount, candidates)
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
