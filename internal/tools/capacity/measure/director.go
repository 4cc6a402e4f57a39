package measure

import (
	"stairvane.org/stairvane/internal/tools/capacity"
)

var (
	cacheCounts     = []int{90, 180, 360, 720, 1440}
	directorCounts  = []int{437, 875, 1750, 3500, 7000}
	coldCacheCounts = []int{0, 2, 4, 8, 16}
)

var directorMeasures = []Measure{
	{
		Name:  "director.memory.hosts",
		About: "heap of a director that knows so many caches (constant: the process with none)",
		XUnit: "cache",
		Unit:  capacity.Bytes,
		Sizes: cacheCounts,
		ValueAt: func(size int) (float64, error) {
			return directorHeap(endpointsBody(size))
		},
	},
	{
		Name:  "director.memory.purges",
		About: "heap of a director that keeps so many purges",
		XUnit: "purge kept",
		Unit:  capacity.Bytes,
		Sizes: []int{200, 400, 800, 1600, 3200},
		ValueAt: func(size int) (float64, error) {
			return directorHeap(purgesBody(size))
		},
	},
	{
		Name:  "director.memory.membership",
		About: "heap of a director that knows so many directors",
		XUnit: "director",
		Unit:  capacity.Bytes,
		Sizes: directorCounts,
		ValueAt: func(size int) (float64, error) {
			return directorHeap(membershipBody(size, 0))
		},
	},
	{
		Name:    "director.time.host_change",
		About:   "taking in the change of one cache in a list of so many",
		XUnit:   "cache",
		Unit:    capacity.Seconds,
		Sizes:   cacheCounts,
		ValueAt: hostChangeTime,
	},
	{
		Name:    "director.time.membership_change",
		About:   "taking in a director that joins among so many",
		XUnit:   "director",
		Unit:    capacity.Seconds,
		Sizes:   directorCounts,
		ValueAt: membershipChangeTime,
	},
	{
		Name:    "director.time.watch_call",
		About:   "writing a watch call with quotas of so many cold caches, and reading its answer",
		XUnit:   "cold cache",
		Unit:    capacity.Seconds,
		Sizes:   coldCacheCounts,
		ValueAt: directorCallTime,
	},
	{
		Name:  "director.bytes.call",
		About: "a watch call with quotas of so many cold caches",
		XUnit: "cold cache",
		Unit:  capacity.Bytes,
		Sizes: coldCacheCounts,
		ValueAt: func(size int) (float64, error) {
			return float64(len(newWatchClient(size).nextRequest())), nil
		},
	},
	{
		Name:  "director.bytes.answer",
		About: "its answer with as many grants and no event",
		XUnit: "cold cache",
		Unit:  capacity.Bytes,
		Sizes: coldCacheCounts,
		ValueAt: func(size int) (float64, error) {
			return float64(len(newWatchClient(size).answer())), nil
		},
	},
	{
		Name:    "director.bytes.report",
		About:   "a health report on so many caches, in the call",
		XUnit:   "cache reported",
		Unit:    capacity.Bytes,
		Sizes:   []int{4, 8, 16, 24, 32},
		ValueAt: reportBytes,
	},
}
