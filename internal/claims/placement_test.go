package claims

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSelectReplicas checks that replicas are on different machines and, as far as there are enough, in different sites, and that the
// removal of a candidate moves only its own shards.
func TestSelectReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "places")
		var places []ShardCandidate
		for i := range n {
			name := fmt.Sprint("d", i)
			site := rapid.IntRange(0, 4).Draw(t, "site") // a machine belongs to one site
			places = append(places, ShardCandidate{
				ID:      name + "/1",
				Name:    name,
				Machine: fmt.Sprint("m", site, "-", rapid.IntRange(0, 9).Draw(t, "machine")),
				Site:    fmt.Sprint("s", site),
			})
		}
		const shards, count = 256, 3
		machineOf, siteOf := map[string]string{}, map[string]string{}
		machines, sites := map[string]bool{}, map[string]bool{}
		for _, p := range places {
			machineOf[p.ID], siteOf[p.ID] = p.Machine, p.Site
			machines[p.Machine], sites[p.Site] = true, true
		}
		before := make([]ShardState, shards)
		for i := range before {
			h := SelectReplicas(i, count, places)
			before[i] = ShardState{Shard: i, Replicas: h}
			on, in := map[string]bool{}, map[string]bool{}
			for _, id := range h {
				on[machineOf[id]], in[siteOf[id]] = true, true
			}
			if len(on) != len(h) || len(h) != min(count, len(machines)) || len(in) != min(len(h), len(sites)) {
				t.Fatalf("shard %d: %v", i, h)
			}
		}
		removed := places[0]
		affected := 0
		for _, s := range before {
			if slices.Contains(s.Replicas, removed.ID) {
				affected++
			}
		}
		changed := Reassign(before, count, places[1:])
		for _, c := range changed {
			if !slices.Contains(before[c.Shard].Replicas, removed.ID) {
				t.Fatalf("shard %d moves from %v to %v, none of which was removed", c.Shard, before[c.Shard].Replicas, c.Replicas)
			}
		}
		if len(changed) != affected {
			t.Fatalf("%d shards change, the removed candidate had %d", len(changed), affected)
		}
	})
}
