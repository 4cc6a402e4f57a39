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
	leaseInterval   = 50 * time.Millisecond  // from one request of a relay or a replica to the next
	renewalInterval = 100 * time.Millisecond // from one renewal of a director to the next
	demandGroups    = 16                     // of equal demand; the most that a relay sends
	limitCount      = 8
)

var relayMeasures = []Measure{
	{
		Name: "relay.time.renewal_8_limits",
		About: "one quota renewal of 8 limits at a relay with so many directors, each each 100 ms; its " +
			"own renewals each 50 ms and their answers are in it",
		XUnit: "director of a relay",
		Unit:  capacity.Seconds,
		Sizes: directorsPerRelay,
		At:    relayRenewalTime,
	},
	{
		Name:  "relay.bytes.renewal_8_limits",
		About: "the relay's own renewal of 8 limits in JSON",
		XUnit: "director of a relay",
		Unit:  capacity.Bytes,
		Sizes: directorsPerRelay,
		At:    relayRenewalBytes,
	},
	{
		Name:  "leader.time.renewal_8_limits_relays",
		About: "one quota renewal of 8 limits, of 16 groups of demand each, among so many relays",
		XUnit: "relay",
		Unit:  capacity.Seconds,
		Sizes: relayCounts,
		At:    renewalOfRelaysTime,
	},
	{
		Name:  "leader.memory.adoption_relays",
		About: "heap of the record of 2,000 events at so many relays",
		XUnit: "relay",
		Unit:  capacity.Bytes,
		Sizes: relayCounts,
		At:    relayAppliedHeap,
	},
}
