package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// The operators' sizes, used for every dimension that a law does not vary.
const (
	expectedCaches    = 720
	expectedZones     = 26
	cachesPerZone     = expectedCaches / expectedZones
	expectedDirectors = 3500
	retainedPurges    = 21 * 600 // 21 purges per second, each retained by the control plane for ten minutes (600 s)
	purgeGroups       = 256

	purgeTimeMS = 1_790_000_000_000 // Unix time in milliseconds
)

// quotaSettings has the same values as quota.DirectorSettings, which the directors and the leader use.
var quotaSettings = quota.Settings{
	Lease:        400 * time.Millisecond,
	Drift:        0.02,
	Reserve:      0.2,
	FallbackFade: 20 * time.Second,
	Floor:        0.2,
	MinChange:    0.05,
}

// directorSettings returns the settings of a director in one zone, with the timeouts and deadlines of the operators.
func directorSettings(directors int) decision.Settings {
	return decision.Settings{
		Zone:            zoneName(0),
		Zones:           []string{zoneName(0)},
		Kinds:           []string{"cache", "parent", "origin"},
		ParentKind:      1,
		OriginKind:      2,
		Directors:       directors,
		DirectorsByZone: []int{max(1, directors/expectedZones)},
		FlowKBPerS:      1000,
		WeightMode:      decision.WeightModeOff,
		CacheStatusMode: decision.CacheStatusModeHits,
		JoinsFills:      true,
		Cancel:          true,
		MaxAttempts:     6,
		MaxRetryAfter:   700 * time.Millisecond,
		DialTimeout:     400 * time.Millisecond,
		DrainGrace:      250 * time.Millisecond,
		PurgeGrace:      300 * time.Millisecond,
		PurgeDone:       5300 * time.Millisecond,
		Classes: []decision.Class{{
			Name:             "clips",
			LatencyObjective: 400 * time.Millisecond,
			ObjectiveStretch: 2,
			Deadline:         6 * time.Second,
			Idempotency:      decision.Idempotent,
		}},
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%expectedZones) }

func cacheName(i int) string { return fmt.Sprintf("s-%08x", 0xc41f7a+i) }

func cacheAddress(i int) string { return fmt.Sprintf("10.%d.%d.7:9000", i/250, i%250) }

// wireEndpoints returns caches in the form of the discovery protocol.
func wireEndpoints(caches int) []discovery.Endpoint {
	endpoints := make([]discovery.Endpoint, 0, caches)
	for i := range caches {
		endpoints = append(endpoints, discovery.Endpoint{
			Name:    cacheName(i),
			Address: cacheAddress(i),
			Site:    zoneName(i),
			Class:   "cache",
			Cell:    i % 8,
			Health:  "in_service",
			Weight:  1,
		})
	}
	return endpoints
}

// newDirector returns director i, with names as long as in production.
func newDirector(i int) fleet.Director {
	return fleet.Director{
		Name:        fmt.Sprintf("director-%04d", i),
		Incarnation: fmt.Sprintf("QHTNMB5WJ6RZ3XKDVC2YFA%04d", i),
		Location:    zoneName(i),
		Machine:     fmt.Sprintf("machine-%04d", i),
		Site:        fmt.Sprintf("site-%03d", i%210),
		Version:     "v1.18.0",
	}
}

func newDirectors(count int) []fleet.Director {
	all := make([]fleet.Director, 0, count)
	for i := range count {
		all = append(all, newDirector(i))
	}
	return all
}

func wireDirectors(count int) []discovery.Director {
	all := make([]discovery.Director, 0, count)
	for i := range count {
		all = append(all, discovery.Director(newDirector(i)))
	}
	return all
}

func objectName(i int) string { return fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*uint64(i+1)) }

// purgeEvent returns an event that purges an object. One in 64 events purges a group instead.
func purgeEvent(revision int64) fleet.Event {
	purge := &fleet.Purge{Object: objectName(int(revision)), IssuedMS: purgeTimeMS}
	if revision%64 == 0 {
		group := int(revision/64) % purgeGroups
		purge = &fleet.Purge{Group: &group, IssuedMS: purgeTimeMS}
	}
	return fleet.Event{No: revision, AtMS: purgeTimeMS, Who: "operator@example", Purge: purge}
}

func newHost(i int) *fleet.Host {
	return &fleet.Host{
		HostSpec: fleet.HostSpec{
			Name:    cacheName(i),
			Role:    fleet.Cache,
			Address: cacheAddress(i),
			Site:    zoneName(i),
			Class:   "cache",
			Block:   i % 8,
			Share:   1,
		},
		State:   fleet.InService,
		Serving: 1,
	}
}

// newFleet returns a fleet with caches and directors. Each of the 256 claim shards has three directors as replicas.
func newFleet(caches, directors int) (fleet.Fleet, error) {
	var f fleet.Fleet
	var err error
	for i := range caches {
		if f, err = applyNext(f, fleet.Event{Host: newHost(i)}); err != nil {
			return f, err
		}
	}
	if directors == 0 {
		return f, nil
	}
	joined := newDirectors(directors)
	return applyNext(f, fleet.Event{Membership: &fleet.MembershipChange{Joined: joined, Shards: newShardChanges(joined)}})
}

// applyNext applies an event to the fleet as its next revision.
func applyNext(f fleet.Fleet, event fleet.Event) (fleet.Fleet, error) {
	event.No = f.Revision + 1
	event.AtMS = 1
	event.Who = "operator@example"
	return f.Apply(event)
}

func newShardChanges(directors []fleet.Director) []fleet.ShardChange {
	const replicasPerShard = 3
	var shards []fleet.ShardChange
	for shard := range fleet.ShardCount {
		replicas := make([]string, 0, replicasPerShard)
		for i := range replicasPerShard {
			replicas = append(replicas, directors[(shard+i)%len(directors)].ID())
		}
		shards = append(shards, fleet.ShardChange{Shard: shard, Replicas: replicas})
	}
	return shards
}

// limitNames returns the names of the quota limits of caches that are warming up.
func limitNames(coldCaches int) []string {
	var names []string
	for i := range coldCaches {
		names = append(names, "cold:"+cacheName(i))
	}
	return names
}

// newRenewal returns a renewal of a holder with a demand for each limit.
func newRenewal(holder string, seq uint64, limits []string) quota.Renewal {
	r := quota.Renewal{Holder: holder, Seq: seq, InUse: seq - 1}
	for _, name := range limits {
		r.Wants = append(r.Wants, quota.Want{Limit: name, Kind: quota.Rate, Demand: 0.0123})
	}
	return r
}

// mustJSON encodes a value as JSON. It panics on an error, which cannot occur for the types that are measured.
func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
