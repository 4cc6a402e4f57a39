package measure

import (
	"fmt"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/quota"
)

// Sizes that are set where they are not what a law is measured by: those of the operators.
const (
	expectedCaches    = 720
	expectedZones     = 26
	cachesPerZone     = expectedCaches / expectedZones
	expectedDirectors = 3500
	retainedPurges    = 21 * 600 // of ten minutes
	purgeGroups       = 256
)

// quotaSettings are those of directors and leader, see internal/director.
var quotaSettings = quota.Settings{
	Lease: 400 * time.Millisecond, Drift: 0.02, Reserve: 0.2, Fades: 20 * time.Second, Floor: 0.2, Hold: 0.05,
}

// settings are those of a director of one zone, with the operators' times.
func settings(directors int) decision.Settings {
	return decision.Settings{
		Zone: zoneName(0), Zones: []string{zoneName(0)}, Kinds: []string{"cache", "parent", "origin"}, ParentKind: 1, OriginKind: 2,
		Directors: directors, DirectorsByZone: []int{max(1, directors/expectedZones)}, FlowKBPerS: 1000,
		WeightMode: decision.WeightModeOff, CacheStatusMode: decision.CacheStatusModeHits, JoinsFills: true, Cancel: true, RetryAfter: true,
		MaxAttempts: 6, MaxRetryAfter: 700 * time.Millisecond, DialTimeout: 400 * time.Millisecond,
		DrainGrace: 250 * time.Millisecond, PurgeGrace: 300 * time.Millisecond, PurgeDone: 5300 * time.Millisecond,
		Classes: []decision.Class{{
			Name: "clips", LatencyObjective: 400 * time.Millisecond, ObjectiveStretch: 2, Deadline: 6 * time.Second, PriorityWeight: 1,
			Idempotency: decision.Idempotent,
		}},
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%expectedZones) }

func cacheName(i int) string { return fmt.Sprintf("s-%08x", 0xc41f7a+i) }

func cacheAddress(i int) string { return fmt.Sprintf("10.%d.%d.7:9000", i/250, i%250) }

// wireEndpoints are so many caches as the watch protocol lists them.
func wireEndpoints(caches int) []discovery.Endpoint {
	hosts := make([]discovery.Endpoint, 0, caches)
	for i := range caches {
		hosts = append(hosts, discovery.Endpoint{
			Name: cacheName(i), Address: cacheAddress(i), Site: zoneName(i), Class: "cache", Block: i % 8,
			Health: "in_service", Share: 1,
		})
	}
	return hosts
}

// directorOf is one director with names as long as real ones.
func directorOf(i int) fleet.Director {
	return fleet.Director{
		Name: fmt.Sprintf("director-%04d", i), Incarnation: fmt.Sprintf("QHTNMB5WJ6RZ3XKDVC2YFA%04d", i), Location: zoneName(i),
		Machine: fmt.Sprintf("machine-%04d", i), Site: fmt.Sprintf("site-%03d", i%210), Version: "v1.18.0",
	}
}

func directorsOf(count int) []fleet.Director {
	all := make([]fleet.Director, 0, count)
	for i := range count {
		all = append(all, directorOf(i))
	}
	return all
}

func wireDirectors(count int) []discovery.Director {
	all := make([]discovery.Director, 0, count)
	for i := range count {
		all = append(all, discovery.Director(directorOf(i)))
	}
	return all
}

func objectName(i int) string { return fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*uint64(i+1)) }

// purgeEvent is the purge of an object; one in 64 is that of a group.
func purgeEvent(no int64, atMS int64) fleet.Event {
	p := &fleet.Purge{Object: objectName(int(no)), IssuedMS: atMS}
	if no%64 == 0 {
		group := int(no/64) % purgeGroups
		p = &fleet.Purge{Group: &group, IssuedMS: atMS}
	}
	return fleet.Event{No: no, AtMS: atMS, Who: "operator@example", Purge: p}
}

func hostOf(i int) *fleet.Host {
	return &fleet.Host{
		HostSpec: fleet.HostSpec{Name: cacheName(i), Role: fleet.Cache, Address: cacheAddress(i), Site: zoneName(i), Class: "cache", Block: i % 8, Share: 1},
		State:    fleet.InService, Serving: 1,
	}
}

// fleetOf is a fleet of so many caches and directors, with all 256 slots of claims held by three directors each.
func fleetOf(caches, directors int) (fleet.Fleet, error) {
	f := fleet.Fleet{}
	var err error
	add := func(e fleet.Event) {
		if err == nil {
			e.No, e.AtMS, e.Who = f.Revision+1, 1, "operator@example"
			f, err = f.Apply(e)
		}
	}
	for i := range caches {
		add(fleet.Event{Host: hostOf(i)})
	}
	if directors == 0 {
		return f, err
	}
	all := directorsOf(directors)
	change := &fleet.MembershipChange{Joined: all}
	for slot := range fleet.ShardCount {
		homes := []string{}
		for home := range 3 {
			homes = append(homes, all[(slot+home)%directors].ID())
		}
		change.Shards = append(change.Shards, fleet.ShardChange{Shard: slot, Replicas: homes})
	}
	add(fleet.Event{Membership: change})
	return f, err
}

// limitNames are the names of quotas of so many cold caches.
func limitNames(cold int) []string {
	var names []string
	for i := range cold {
		names = append(names, "cold:"+cacheName(i))
	}
	return names
}

// renewalOf is a holder's renewal with a demand for so many limits.
func renewalOf(holder string, seq uint64, limits []string) quota.Renewal {
	r := quota.Renewal{Holder: holder, Seq: seq, Taken: seq - 1}
	for _, name := range limits {
		r.Wants = append(r.Wants, quota.Want{Limit: name, Kind: quota.Rate, Demand: 0.0123})
	}
	return r
}
