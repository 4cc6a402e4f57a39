package measure

import (
	"stairvane.org/stairvane/internal/tools/capacity"
)

var (
	eventLogLengths    = []int{10_000, 20_000, 40_000, 80_000, 160_000}
	directorsPerServer = []int{97, 194, 389, 778, 1556} // numbers of directors of one relay or replica
)

var replicaMeasures = []Measure{
	{
		Name:    "replica.memory.history",
		About:   "heap of so many events, encoded for answers",
		XUnit:   "event",
		Unit:    capacity.Bytes,
		Sizes:   eventLogLengths,
		ValueAt: historyHeap,
	},
	{
		Name:    "replica.memory.store",
		About:   "heap of an open store whose fleet keeps so many purges",
		XUnit:   "purge kept",
		Unit:    capacity.Bytes,
		Sizes:   []int{2000, 4000, 8000, 16_000, 32_000},
		ValueAt: storeHeap,
	},
	{
		Name:    "replica.time.answer",
		About:   "answering so many watchers after one event, without sockets",
		XUnit:   "watcher",
		Unit:    capacity.Seconds,
		Sizes:   directorsPerServer,
		ValueAt: answerTime,
	},
	{
		Name:    "replica.time.watch_call",
		About:   "taking in a watch call with quotas of so many cold caches, and writing its answer, without sockets",
		XUnit:   "cold cache",
		Unit:    capacity.Seconds,
		Sizes:   coldCacheCounts,
		ValueAt: serverCallTime,
	},
	{
		Name: "replica.time.whole",
		About: "encoding the first answer to a director: 720 caches, 12,600 purges, 256 slots of claims " +
			"and so many directors",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: snapshotTime,
	},
	{
		Name:    "replica.time.acknowledged",
		About:   "finding the lowest acknowledged revision of so many watchers",
		XUnit:   "watcher",
		Unit:    capacity.Seconds,
		Sizes:   directorsPerServer,
		ValueAt: acknowledgedTime,
	},
	{
		Name:    "replica.time.lease",
		About:   "writing a lease call with so many directors, each with a renewal of 8 limits",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorsPerServer,
		ValueAt: leaseEncodingTime,
	},
	{
		Name:  "replica.bytes.lease",
		About: "the body of that lease call",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorsPerServer,
		ValueAt: func(size int) (float64, error) {
			return float64(len(mustJSON(newHeartbeats(size, 8, 1)))), nil
		},
	},
	{
		Name:    "replica.time.commit",
		About:   "making so many purges of 64 writers durable, by the clock, one store without a group",
		XUnit:   "event",
		Unit:    capacity.Seconds,
		Sizes:   []int{500, 1000, 2000, 4000, 8000},
		ValueAt: commitTime,
	},
}
