package replicas_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/tools/fakes"
	"stairvane.org/stairvane/internal/tools/testharness"
)

// region is a cluster of replicas with relays, and directors that are configured with the relays only.
type region struct {
	t         *testing.T
	cluster   *testharness.Cluster
	relays    []*testharness.Relay
	directors []*testharness.Director
	client    *api.Client
	ids       []string // of the directors
}

// withRelays makes a cluster admit relays.
func withRelays(cluster *testharness.Cluster) { cluster.Relays = true }

// startRegion starts replicas, relays, and directors that are distributed over the relays, and waits
// until all directors are members.
func startRegion(t *testing.T, relays, directors int, forms string) *region {
	t.Helper()
	r := &region{t: t, cluster: startGroup(t, 3, 0, withRelays)}
	for i := range relays {
		relay, err := r.cluster.NewRelay(fmt.Sprintf("r%d", i+1), "west", "")
		check(t, err)
		check(t, relay.Start())
		t.Cleanup(relay.Close)
		r.relays = append(r.relays, relay)
	}
	for i := range directors {
		d, err := r.cluster.StartDirectorOnRelays(fmt.Sprintf("d-%d", i), "west", r.relays, i, forms)
		check(t, err)
		t.Cleanup(d.Kill)
		r.directors = append(r.directors, d)
	}
	var err error
	r.client, err = r.cluster.Client()
	check(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			r.printLogs()
		}
	})
	r.awaitMembers("all directors are members", func(members api.Members) bool { return len(members.Directors) == directors })
	r.ids = r.members()
	return r
}

func (r *region) printLogs() {
	for _, relay := range r.relays {
		r.t.Logf("%s:\n%s", relay.Name, strings.Join(relay.Log(), "\n"))
	}
	for _, d := range r.directors {
		r.t.Logf("%s:\n%s", d.Name, strings.Join(d.Log(), "\n"))
	}
}

// members returns the sorted IDs of the directors that are members.
func (r *region) members() (ids []string) {
	r.t.Helper()
	members, err := r.client.Members()
	check(r.t, err)
	for _, d := range members.Directors {
		ids = append(ids, d.ID())
	}
	slices.Sort(ids)
	return ids
}

// purgeGroup purges a purge group and returns the event's number.
func (r *region) purgeGroup() int64 {
	r.t.Helper()
	number := 1
	p, err := r.client.Purge(fleet.Purge{Group: &number})
	check(r.t, err)
	return p.Revision
}

// awaitArrival waits until all directors have applied the purge with an event number, and returns the
// time at which the last of them did. It searches each director's log from the given line on.
func (r *region) awaitArrival(no int64, from []int) (last time.Time) {
	r.t.Helper()
	for i, d := range r.directors {
		for at := from[i]; ; {
			event, next, err := d.Event("purge.applied", at, waitTimeout)
			if err != nil {
				r.t.Errorf("event %d: %v", no, err)
				break
			}
			if at = next; event["no"] != float64(no) {
				continue
			}
			text, _ := event["time"].(string)
			appliedAt, err := time.Parse(time.RFC3339Nano, text)
			check(r.t, err)
			if appliedAt.After(last) {
				last = appliedAt
			}
			break
		}
	}
	return last
}

// slowestPurge makes count purges with a pause after each, and returns the longest time that a purge
// took to reach all directors.
func (r *region) slowestPurge(count int, pause time.Duration) (slowest time.Duration) {
	r.t.Helper()
	from := r.logLengths()
	startedAt := map[int64]time.Time{}
	for range count {
		began := time.Now()
		startedAt[r.purgeGroup()] = began
		time.Sleep(pause)
	}
	for no, began := range startedAt {
		slowest = max(slowest, r.awaitArrival(no, from).Sub(began))
	}
	return slowest
}

// logLengths returns the number of lines in each director's log.
func (r *region) logLengths() (all []int) {
	for _, d := range r.directors {
		all = append(all, d.EventCount())
	}
	return all
}

// purgeDuring injects a fault, and purges repeatedly until every director is served by one of the
// given relays again. All purges must reach all directors, and all directors must stay members.
func (r *region) purgeDuring(what string, fault func(), by ...*testharness.Relay) {
	r.t.Helper()
	from := r.logLengths()
	fault()
	began := time.Now()
	var purges []int64
	for len(purges) < 10 || !r.servedBy(by) {
		if time.Since(began) > waitTimeout {
			r.t.Fatalf("%s: not all directors are served by the remaining relays", what)
		}
		purges = append(purges, r.purgeGroup())
		time.Sleep(30 * time.Millisecond)
	}
	r.t.Logf("%s: all directors were served again after at most %v", what, time.Since(began).Round(time.Millisecond))
	for _, no := range purges {
		r.awaitArrival(no, from)
	}
	if ids := r.members(); !slices.Equal(ids, r.ids) {
		r.t.Errorf("%s: members are %v, not %v", what, ids, r.ids)
	}
}

// servedBy reports whether, according to the leader, all directors are served by the given relays.
func (r *region) servedBy(by []*testharness.Relay) bool {
	r.t.Helper()
	members, err := r.client.Members()
	check(r.t, err)
	served := 0
	for _, relay := range members.Relays {
		if slices.ContainsFunc(by, func(b *testharness.Relay) bool { return b.Name == relay.Name }) {
			served += relay.Directors
		}
	}
	return served == len(r.directors)
}

// departed returns the IDs of all directors whose departure was announced in an event.
func (r *region) departed() (ids []string) {
	r.t.Helper()
	h, err := r.client.History(0)
	check(r.t, err)
	for _, e := range h.Events {
		if e.Membership != nil {
			ids = append(ids, e.Membership.Left...)
		}
	}
	return ids
}

// awaitMembers waits until the leader's list of directors and relays satisfies a condition.
func (r *region) awaitMembers(what string, reached func(api.Members) bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		members, err := r.client.Members()
		check(r.t, err)
		if reached(members) {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("timed out waiting until %s: %+v", what, members)
		}
	}
}

// awaitAllocations waits until only the given holders have allocations of a quota and these add up to
// most of it. The allocations must never add up to more than the quota.
func (r *region) awaitAllocations(when string, holders ...string) {
	r.t.Helper()
	var allocations []quota.Allocation
	sum := 0.0
	r.awaitMembers("allocations "+when, func(api.Members) bool {
		var err error
		allocations, err = r.client.Quotas()
		check(r.t, err)
		sum = 0
		for _, a := range allocations {
			sum += a.Fraction
		}
		if sum > 1.000001 {
			r.t.Errorf("%s: the allocations add up to %f: %+v", when, sum, allocations)
		}
		isOther := func(a quota.Allocation) bool { return !slices.Contains(holders, a.Holder[:3]) }
		return sum > 0.5 && len(allocations) == len(holders) && !slices.ContainsFunc(allocations, isOther)
	})
	r.t.Logf("%s: %d allocations add up to %.2f", when, len(allocations), sum)
}

// TestDirectorsBehindRelays guards the propagation of events to directors that are configured with
// two relays only. Purges must reach all directors in time. All purges must arrive while a relay
// is killed, the leader is killed, and a relay is cut off, and no director may be announced as
// having left.
func TestDirectorsBehindRelays(t *testing.T) {
	r := startRegion(t, 2, 4, "")
	first, second := r.relays[0], r.relays[1]
	slowest := r.slowestPurge(21, time.Second/21)
	t.Logf("the slowest of 21 purges in a second reached all directors after %v", slowest.Round(time.Millisecond))
	if slowest > within(300*time.Millisecond) {
		t.Errorf("a purge took %v to reach all directors", slowest)
	}
	r.purgeDuring("a relay is killed", first.Kill, second)
	check(t, first.Start())
	r.purgeDuring("the leader is killed", func() {
		leader := r.cluster.Leader(waitTimeout)
		leader.Kill()
		t.Cleanup(func() { _ = leader.Wait(waitTimeout) })
	}, first, second)
	r.purgeDuring("a relay is cut off", func() { second.Cut(true) }, first)
	if second.CountEvents("relay.lease_lost") == 0 || second.CountEvents("watcher.lease_lost") == 0 {
		t.Error("the relay that was cut off has not closed its watches")
	}
	cutUntil := second.EventCount()
	second.Cut(false)
	if _, _, err := second.Event("relay.lease_gained", cutUntil, waitTimeout); err != nil {
		t.Error(err)
	}
	r.purgeDuring("a relay leaves", func() { check(t, first.Terminate(waitTimeout)) }, second)
	r.awaitMembers("the leader has dropped the session of the relay that left", func(members api.Members) bool {
		return len(members.Relays) == 1
	})
	if departed := r.departed(); len(departed) > 0 {
		t.Errorf("announced as having left: %v", departed)
	}
	r.directors[0].Kill()
	r.awaitMembers("a director that was killed has left", func(members api.Members) bool {
		return len(members.Directors) == len(r.directors)-1
	})
	if departed := r.departed(); len(departed) != 1 || departed[0][:3] != "d-0" {
		t.Errorf("d-0 was killed; announced as having left: %v", departed)
	}
}

// TestRelaysDivideTheQuotaOfAWarmingCache guards the division of a quota through relays. A cache
// that is warming up is added while one of four directors has most of the load. The leader must
// allocate the cache's capacity to the relays only, and the allocations must not add up to more
// than the capacity, not even after a relay was killed and its directors have moved to the other
// one. The cache must never be sent more than its capacity.
func TestRelaysDivideTheQuotaOfAWarmingCache(t *testing.T) {
	r := startRegion(t, 2, 4, "")
	caches := startCaches(t, 5)
	before, _ := desiredStates(caches)
	awaitApply(t, r.cluster, submitPlan(t, r.cluster, before))
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i, d := range r.directors {
		awaitServing(t, d)
		c, err := fakes.Connect(d.Addr)
		check(t, err)
		load.Go(func() { requestObjects(c, unevenPause(i), stop) })
		t.Cleanup(func() { c.Finish(2 * time.Second) })
	}
	submitPlan(t, r.cluster, withWarmingCache(before, caches[3]))
	r.awaitAllocations("with both relays", "r1/", "r2/")
	sent := len(caches[3].Attempts())
	r.relays[0].Kill()
	r.awaitAllocations("with one relay", "r2/")
	r.awaitMembers("the cache is sent more", func(api.Members) bool { return len(caches[3].Attempts()) > sent+20 })
	close(stop)
	load.Wait()
	checkFullestWindow(t, caches[3])
}
