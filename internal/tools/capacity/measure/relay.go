package measure

import (
	"time"

	"stairvane.org/stairvane/internal/tools/capacity"
)

var (
	directorsPerRelay = []int{50, 100, 200, 400, 800}
	relayCounts       = []int{4, 8, 16, 32, 64}
)

const (
	leaseInterval   = 50 * time.Millisecond  // interval between two requests of a relay or a replica
	renewalInterval = 100 * time.Millisecond // interval between two renewals of a director
	demandGroups    = 16                     // maximum number of groups of equal demand that a relay sends
	limitCount      = 8
)

var relayMeasures = []Measure{
	{
		Name: "relay.time.renewal_8_limits",
		About: "one quota renewal of 8 limits at a relay with so many directors, each each 100 ms; its " +
			"own renewals each 50 ms and their answers are in it",
		XUnit:   "director of a relay",
		Unit:    capacity.Seconds,
		Sizes:   directorsPerRelay,
		ValueAt: relayRenewalTime,
	},
	{
		Name:    "relay.bytes.renewal_8_limits",
		About:   "the relay's own renewal of 8 limits in JSON",
		XUnit:   "director of a relay",
		Unit:    capacity.Bytes,
		Sizes:   directorsPerRelay,
		ValueAt: relayRenewalBytes,
	},
	{
		Name:    "leader.time.renewal_8_limits_relays",
		About:   "one quota renewal of 8 limits, of 16 groups of demand each, among so many relays",
		XUnit:   "relay",
		Unit:    capacity.Seconds,
		Sizes:   relayCounts,
		ValueAt: renewalOfRelaysTime,
	},
	{
		Name:    "leader.memory.adoption_relays",
		About:   "heap of the record of 2,000 events at so many relays",
		XUnit:   "relay",
		Unit:    capacity.Bytes,
		Sizes:   relayCounts,
		ValueAt: relayAppliedHeap,
	},
}
