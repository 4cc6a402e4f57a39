package measure

import (
	"time"

	"stairvane.org/stairvane/internal/controlplane/membership"
	"stairvane.org/stairvane/internal/tools/capacity"
)

// membershipSettings has the same values as the leader; see internal/controlplane/members.go.
var membershipSettings = membership.Settings{Lease: 600 * time.Millisecond, Drift: 0.02, BatchTime: 150 * time.Millisecond}

var holderCounts = []int{250, 500, 1000, 2000, 3500}

const (
	recordedEvents       = 2000 // latest events for which the leader records when each director applied them
	measuredEvents       = 200  // events in the record that is measured
	healthReportInterval = 500 * time.Millisecond
	purgeInterval        = 47 * time.Millisecond // at 21 purges a second
)

var leaderMeasures = []Measure{
	{
		Name: "leader.time.lease",
		About: "taking in a lease call with so many directors, one event applied since the last (renewals " +
			"are read, not answered)",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorsPerServer,
		ValueAt: leaseTime,
	},
	{
		Name:  "leader.time.renewal",
		About: "one quota renewal without a limit among so many holders",
		XUnit: "holder",
		Unit:  capacity.Seconds,
		Sizes: holderCounts,
		ValueAt: func(size int) (float64, error) {
			return renewalTime(size, 0)
		},
	},
	{
		Name:  "leader.time.renewal_8_limits",
		About: "one quota renewal of 8 limits among so many holders of each",
		XUnit: "holder",
		Unit:  capacity.Seconds,
		Sizes: holderCounts,
		ValueAt: func(size int) (float64, error) {
			return renewalTime(size, 8)
		},
	},
	{
		Name:    "leader.time.report",
		About:   "one health report on 27 caches among so many directors",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: reportTime,
	},
	{
		Name:    "leader.time.health",
		About:   "finding from reports on 27 caches of so many directors what all see",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: healthTime,
	},
	{
		Name: "leader.time.tick",
		About: "what is done each 25 ms for so many directors: versions, adoption, and forgetting old " +
			"evidence and quotas",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: tickTime,
	},
	{
		Name:    "leader.time.membership",
		About:   "finding that the membership of so many directors has not changed",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: membershipCheckTime,
	},
	{
		Name:    "leader.memory.adoption",
		About:   "heap of the record of 200 events at 437 to 7,000 directors",
		XUnit:   "director x event",
		Unit:    capacity.Bytes,
		Sizes:   scaledBy(directorCounts, measuredEvents),
		ValueAt: appliedHeap,
	},
	{
		Name:  "leader.memory.quota",
		About: "heap of quotas of 8 limits with so many holders",
		XUnit: "holder",
		Unit:  capacity.Bytes,
		Sizes: holderCounts,
		ValueAt: func(size int) (float64, error) {
			return retainedHeap(func() any { return newAllocator(size, 8) }), nil
		},
	},
	{
		Name:  "leader.memory.health",
		About: "heap of evidence of so many directors on 27 caches each",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorCounts,
		ValueAt: func(size int) (float64, error) {
			return retainedHeap(func() any { return newReportingDirectors(size).aggregator }), nil
		},
	},
	{
		Name:  "leader.memory.membership",
		About: "heap of heartbeats of so many directors",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorCounts,
		ValueAt: func(size int) (float64, error) {
			return retainedHeap(func() any { return newTracker(size) }), nil
		},
	},
}

func scaledBy(sizes []int, factor int) []int {
	var scaled []int
	for _, size := range sizes {
		scaled = append(scaled, size*factor)
	}
	return scaled
}
