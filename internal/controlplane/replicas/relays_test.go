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

// region is a cluster of replicas with relays, and directors that know only the relays.
type region struct {
	t         *testing.T
	cluster   *testharness.Cluster
	relays    []*testharness.Relay
	directors []*testharness.Director
	client    *api.Client
	ids       []string // of the directors
}

// withRelays lets a cluster admit relays.
func withRelays(cluster *testharness.Cluster) { cluster.Relays = true }

// startRegion starts replicas, relays and directors, which are spread over the relays, and waits
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
	r.until("all directors are members", func(members api.Members) bool { return len(members.Directors) == directors })
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

// members returns the IDs of the directors that are announced to all.
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

// purge purges a group of objects and returns the event's number.
func (r *region) purge() int64 {
	r.t.Helper()
	number := 1
	p, err := r.client.Purge(fleet.Purge{Group: &number})
	check(r.t, err)
	return p.Revision
}

// arrived waits until all directors have an event, from a line of their logs on, and returns when
// the last of them had it.
func (r *region) arrived(no int64, from []int) (last time.Time) {
	r.t.Helper()
	for i, d := range r.directors {
		for at := from[i]; ; {
			event, next, err := d.Event("purge.applied", at, patience)
			if err != nil {
				r.t.Errorf("event %d: %v", no, err)
				break
			}
			if at = next; event["no"] != float64(no) {
				continue
			}
			text, _ := event["time"].(string)
			came, err := time.Parse(time.RFC3339Nano, text)
			check(r.t, err)
			if came.After(last) {
				last = came
			}
			break
		}
	}
	return last
}

// slowestPurge purges several times with a pause between two, and returns how long the slowest took
// to reach all directors.
func (r *region) slowestPurge(count int, pause time.Duration) (slowest time.Duration) {
	r.t.Helper()
	from := r.lines()
	begun := map[int64]time.Time{}
	for range count {
		began := time.Now()
		begun[r.purge()] = began
		time.Sleep(pause)
	}
	for no, began := range begun {
		slowest = max(slowest, r.arrived(no, from).Sub(began))
	}
	return slowest
}

// lines returns the lengths of the directors' logs.
func (r *region) lines() (all []int) {
	for _, d := range r.directors {
		all = append(all, d.EventCount())
	}
	return all
}

// during makes a fault, and purges all the while until every director is served by one of the given
// relays again. All purges must arrive, and all directors stay members.
func (r *region) during(what string, fault func(), by ...*testharness.Relay) {
	r.t.Helper()
	from := r.lines()
	fault()
	began := time.Now()
	var purges []int64
	for len(purges) < 10 || !r.servedBy(by) {
		if time.Since(began) > patience {
			r.t.Fatalf("%s: not all directors are served by the relays that are left", what)
		}
		purges = append(purges, r.purge())
		time.Sleep(30 * time.Millisecond)
	}
	r.t.Logf("%s: all directors are back after at most %v", what, time.Since(began).Round(time.Millisecond))
	for _, no := range purges {
		r.arrived(no, from)
	}
	if ids := r.members(); !slices.Equal(ids, r.ids) {
		r.t.Errorf("%s: members are %v, not %v", what, ids, r.ids)
	}
}

// servedBy reports whether the leader counts all directors as those of the given relays.
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

// departed returns the directors that were ever announced as having left.
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

// until waits until the leader's list of directors and relays is as it must become.
func (r *region) until(what string, is func(api.Members) bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		members, err := r.client.Members()
		check(r.t, err)
		if is(members) {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("%s: never; %+v", what, members)
		}
	}
}

// awaitAllocations waits until the given holders and no others have allocations of a quota that add
// up to most of it. At no moment may they add up to more than all of it.
func (r *region) awaitAllocations(when string, holders ...string) {
	r.t.Helper()
	var allocations []quota.Allocation
	sum := 0.0
	r.until("allocations "+when, func(api.Members) bool {
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

// Directors know only two relays. Purges reach all of them in time. While a relay is killed, the
// leader is killed, and a relay is cut off, all purges arrive, and no director is ever announced as
// having left.
func TestDirectorsBehindRelays(t *testing.T) {
	r := startRegion(t, 2, 4, "")
	first, second := r.relays[0], r.relays[1]
	slowest := r.slowestPurge(21, time.Second/21)
	t.Logf("the slowest of 21 purges in a second reached all directors after %v", slowest.Round(time.Millisecond))
	if slowest > within(300*time.Millisecond) {
		t.Errorf("a purge took %v to reach all directors", slowest)
	}
	r.during("a relay is killed", first.Kill, second)
	check(t, first.Start())
	r.during("the leader is killed", func() {
		leader := r.cluster.Leader(patience)
		leader.Kill()
		t.Cleanup(func() { _ = leader.Wait(patience) })
	}, first, second)
	r.during("a relay is cut off", func() { second.Cut(true) }, first)
	if second.CountEvents("relay.lease_lost") == 0 || second.CountEvents("watcher.lease_lost") == 0 {
		t.Error("the relay that was cut off has closed no watch")
	}
	cutUntil := second.EventCount()
	second.Cut(false)
	if _, _, err := second.Event("relay.lease_gained", cutUntil, patience); err != nil {
		t.Error(err)
	}
	r.during("a relay leaves", func() { check(t, first.Terminate(patience)) }, second)
	r.until("the leader has dropped the session of the relay that left", func(members api.Members) bool { return len(members.Relays) == 1 })
	if departed := r.departed(); len(departed) > 0 {
		t.Errorf("announced as having left: %v", departed)
	}
	r.directors[0].Kill()
	r.until("a director that was killed has left", func(members api.Members) bool { return len(members.Directors) == len(r.directors)-1 })
	if departed := r.departed(); len(departed) != 1 || departed[0][:3] != "d-0" {
		t.Errorf("d-0 was killed; announced as having left: %v", departed)
	}
}

// Guards the division of a quota through relays. A cache that is warming up is added under a load
// of which one director of four has most. The leader allocates its capacity to the relays only, and
// the allocations add up to at most all of it, also once a relay is killed and its directors are at
// the other one. The cache is never sent more than it can bear.
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
		load.Go(func() { requestClips(c, unevenPause(i), stop) })
		t.Cleanup(func() { c.Finish(2 * time.Second) })
	}
	submitPlan(t, r.cluster, withWarmingCache(before, caches[3]))
	r.awaitAllocations("with both relays", "r1/", "r2/")
	sent := len(caches[3].Attempts())
	r.relays[0].Kill()
	r.awaitAllocations("with one relay", "r2/")
	r.until("the cache is sent more", func(api.Members) bool { return len(caches[3].Attempts()) > sent+20 })
	close(stop)
	load.Wait()
	checkFullestWindow(t, caches[3])
}
