package measure

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"stairvane.org/stairvane/internal/controlplane/adoption"
	"stairvane.org/stairvane/internal/controlplane/api"
	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/health"
	"stairvane.org/stairvane/internal/quota"
	"stairvane.org/stairvane/internal/tools/capacity"
)

// membershipSettings are those of the leader, see internal/controlplane/membership.go.
var membershipSettings = membership.Settings{Lease: 600 * time.Millisecond, Drift: 0.02, Gather: 150 * time.Millisecond}

var holderCounts = []int{250, 500, 1000, 2000, 3500}

const (
	recordedEvents       = 2000
	measuredEvents       = 200 // of the record that is measured
	healthReportInterval = 500 * time.Millisecond
)

func leaderMeasures() []Measure {
	return []Measure{
		{
			Name: "leader.time.lease", About: "taking in a lease call with so many directors, one event applied since the last (renewals are read, not answered)", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorsPerServer, At: leaseTime,
		},
		{
			Name: "leader.time.renewal", About: "one quota renewal without a limit among so many holders", XUnit: "holder",
			Unit: capacity.Seconds, Sizes: holderCounts, At: func(size int) (float64, error) { return renewalTime(size, 0) },
		},
		{
			Name: "leader.time.renewal_8_limits", About: "one quota renewal of 8 limits among so many holders of each", XUnit: "holder",
			Unit: capacity.Seconds, Sizes: holderCounts, At: func(size int) (float64, error) { return renewalTime(size, 8) },
		},
		{
			Name: "leader.time.report", About: "one health report on 27 caches among so many directors", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: reportTime,
		},
		{
			Name: "leader.time.health", About: "finding from reports on 27 caches of so many directors what all see", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: healthTime,
		},
		{
			Name: "leader.time.tick", About: "what is done each 25 ms for so many directors: versions, adoption, and forgetting old evidence and quotas", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: tickTime,
		},
		{
			Name: "leader.time.membership", About: "finding that the membership of so many directors has not changed", XUnit: "director",
			Unit: capacity.Seconds, Sizes: directorCounts, At: membershipCheckTime,
		},
		{
			Name: "leader.memory.adoption", About: "heap of the record of 200 events at 437 to 7,000 directors", XUnit: "director x event",
			Unit: capacity.Bytes, Sizes: scaledBy(directorCounts, measuredEvents), At: appliedHeap,
		},
		{
			Name: "leader.memory.quota", About: "heap of quotas of 8 limits with so many holders", XUnit: "holder",
			Unit: capacity.Bytes, Sizes: holderCounts, At: func(size int) (float64, error) {
				return heapOf(func() any { return allocatorOf(size, 8) }), nil
			},
		},
		{
			Name: "leader.memory.health", About: "heap of evidence of so many directors on 27 caches each", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorCounts, At: func(size int) (float64, error) {
				return heapOf(func() any { return newReportingDirectors(size).aggregator }), nil
			},
		},
		{
			Name: "leader.memory.membership", About: "heap of heartbeats of so many directors", XUnit: "director",
			Unit: capacity.Bytes, Sizes: directorCounts, At: func(size int) (float64, error) {
				return heapOf(func() any { return trackerOf(size) }), nil
			},
		},
	}
}

func scaledBy(sizes []int, factor int) []int {
	var out []int
	for _, size := range sizes {
		out = append(out, size*factor)
	}
	return out
}

// trackerOf is a tracker that has just had a heartbeat of each director.
func trackerOf(directors int) *membership.Tracker {
	tracker := membership.New(membershipSettings)
	for i := range directors {
		d := directorOf(i)
		tracker.RecordHeartbeat(membership.Heartbeat{ID: d.ID(), Director: &d, At: time.Hour, Applied: 1000, Config: "9c1185a5c5e9fc54"})
	}
	return tracker
}

// leaseTime is what the leader does with a lease call, but for the allocator and the answer.
func leaseTime(directors int) (float64, error) {
	var bodies [][]byte
	for seq := range 4 {
		bodies = append(bodies, mustJSON(heartbeatsOf(directors, 8, uint64(seq+1))))
	}
	tracker := trackerOf(directors)
	record := adoption.New(recordedEvents, 0)
	var fault error
	took := timeOf(func(n int) {
		var beats api.Heartbeats
		if err := json.Unmarshal(bodies[n%len(bodies)], &beats); err != nil {
			fault = err
			return
		}
		now := time.Hour + time.Duration(n)*50*time.Millisecond
		applied := int64(n + 1)
		record.Told(applied, now)
		for _, d := range beats.Directors {
			at := now - time.Duration(d.AgeMS)*time.Millisecond
			tracker.RecordHeartbeat(membership.Heartbeat{ID: d.ID, Director: d.Director, At: at, Applied: applied, Config: d.Config})
			record.Heard(d.ID, applied, at)
		}
	})
	return took, fault
}

// allocatorOf is an allocator that so many holders have renewed quotas of so many limits with.
func allocatorOf(holders, cold int) *quota.Allocator {
	allocator := quota.NewAllocator(quotaSettings, 1, time.Hour, true)
	limits := limitNames(cold)
	for i := range holders {
		allocator.Renew(renewalOf(directorOf(i).ID(), 1, limits), time.Hour)
	}
	return allocator
}

// renewalTime has holders renew in turn, each after 50 ms.
func renewalTime(holders, cold int) (float64, error) {
	allocator := allocatorOf(holders, cold)
	limits := limitNames(cold)
	renewals := make([]quota.Renewal, holders)
	for i := range renewals {
		renewals[i] = renewalOf(directorOf(i).ID(), 1, limits)
	}
	granted := 0.0
	took := timeOf(func(n int) {
		renewal := &renewals[n%holders]
		renewal.Taken = renewal.Seq
		renewal.Seq++
		now := time.Hour + time.Duration(n)*50*time.Millisecond/time.Duration(holders)
		granted += allocator.Renew(*renewal, now).Fallback
	})
	if granted <= 0 {
		return 0, fmt.Errorf("%d holders were granted nothing", holders)
	}
	return took, nil
}

// reportingDirectors are directors that report on the caches of their zones in turn, each twice a second; one cache in 50 fails at times.
type reportingDirectors struct {
	aggregator *health.Aggregator
	ids        []string
	places     []health.Place
	caches     [][]string // by zone
	seq        uint64
	next       int
	now        time.Duration
}

// newReportingDirectors has each director report once.
func newReportingDirectors(directors int) *reportingDirectors {
	r := &reportingDirectors{aggregator: health.NewAggregator(health.DefaultSettings, 1), now: time.Hour, seq: 1}
	for i := range directors {
		d := directorOf(i)
		r.ids = append(r.ids, d.ID())
		r.places = append(r.places, health.Place{Machine: d.Machine, Location: d.Location})
	}
	for zone := range expectedZones {
		var names []string
		for k := range cachesPerZone {
			names = append(names, cacheName(k*expectedZones+zone))
		}
		r.caches = append(r.caches, names)
	}
	for range directors {
		r.reportNext()
	}
	return r
}

func (r *reportingDirectors) reportNext() {
	i := r.next
	zone := i % expectedZones
	report := health.Report{Holder: r.ids[i], Seq: r.seq, Caches: make([]health.Outcomes, 0, cachesPerZone)}
	for k, name := range r.caches[zone] {
		evidence := health.Outcomes{Cache: name, Attempts: 12, LagMS: 12}
		if (k*expectedZones+zone)%50 == 0 {
			evidence.Failures = float64((i + int(r.seq)) % 12)
		}
		report.Caches = append(report.Caches, evidence)
	}
	r.aggregator.Take(report, r.places[i], r.now)
	r.now += healthReportInterval / time.Duration(len(r.ids))
	if r.next = (r.next + 1) % len(r.ids); r.next == 0 {
		r.seq++
	}
}

func reportTime(directors int) (float64, error) {
	r := newReportingDirectors(directors)
	return timeOf(func(int) { r.reportNext() }), nil
}

// healthTime looks two seconds after the last report, for what all see is kept for a while.
func healthTime(directors int) (float64, error) {
	r := newReportingDirectors(directors)
	again := func() {
		r.now += 2 * time.Second
		for range directors {
			r.reportNext()
		}
	}
	found := 0
	took := timeOnce(again, func() { found += len(r.aggregator.Aggregated(r.now).Caches) })
	if found == 0 {
		return 0, fmt.Errorf("%d directors see no cache that fails", directors)
	}
	return took, nil
}

func tickTime(directors int) (float64, error) {
	tracker := trackerOf(directors)
	record := adoption.New(recordedEvents, 0)
	for i := range directors {
		record.Heard(directorOf(i).ID(), 0, time.Hour)
	}
	reports := newReportingDirectors(directors)
	allocator := quota.NewAllocator(quotaSettings, 1, time.Hour, true)
	took := timeOf(func(int) {
		allocator.Sweep(time.Hour)
		reports.aggregator.Sweep(reports.now)
		record.Gone(func(id string) bool { _, known := tracker.LastHeard(id); return known }, time.Hour)
		tracker.Observe(1000, time.Hour)
	})
	if known := len(tracker.Versions()); known != directors {
		return 0, fmt.Errorf("%d of %d directors have a version", known, directors)
	}
	return took, nil
}

func membershipCheckTime(directors int) (float64, error) {
	f, err := fleetOf(0, directors)
	if err != nil {
		return 0, err
	}
	tracker := trackerOf(directors)
	var changed *fleet.MembershipChange
	took := timeOf(func(int) { changed = tracker.Change(f, time.Hour) })
	if changed != nil {
		return 0, fmt.Errorf("the membership of %d directors has changed", directors)
	}
	return took, nil
}

// appliedHeap is of directors x events.
func appliedHeap(size int) (float64, error) {
	directors := size / measuredEvents
	ids := make([]string, 0, directors)
	for i := range directors {
		ids = append(ids, directorOf(i).ID())
	}
	heap := heapOf(func() any {
		record := adoption.New(recordedEvents, 0)
		for _, id := range ids {
			record.Heard(id, 0, time.Hour)
		}
		for event := int64(1); event <= measuredEvents; event++ {
			at := time.Hour + time.Duration(event)*47*time.Millisecond
			record.Told(event, at)
			for i, id := range ids {
				record.Heard(id, event, at+time.Duration(i%100)*time.Millisecond)
			}
		}
		return record
	})
	runtime.KeepAlive(ids)
	return heap, nil
}
