package capacity

import "slices"

// replicaWatchCores returns the processor time of a replica's watch server without relays, while directors hold quotas of cold
// caches, in cores.
func (c *calculation) replicaWatchCores() float64 {
	return c.watchCores(scenario{hasColdCaches: true}, c.directorsPer(c.Replicas))
}

// leaseCores returns the processor time that a replica spends on encoding its lease renewals, in cores.
func (c *calculation) leaseCores() float64 {
	directors := c.directorsPer(c.Replicas)
	return c.leasesPerSecond() * (c.valueAt(lawLeaseEncodingTime, directors) + c.valueAt(lawAcknowledgedTime, directors))
}

// leaseBytesPerSecond returns the traffic of the lease renewals of a replica, in bytes per second.
func (c *calculation) leaseBytesPerSecond() float64 {
	return c.leasesPerSecond() * c.valueAt(lawLeaseBytes, c.directorsPer(c.Replicas))
}

// replicaLogMemory returns the memory of the event log of a replica and of its store, in bytes.
func (c *calculation) replicaLogMemory() float64 {
	return c.historyMemory() + c.valueAt(lawStoreMemory, c.purgesRetainedByControlPlane())
}

var replicaFormulas = slices.Concat(
	[]formula{
		{
			name:      "processor time of watches, without relays, cold caches",
			unit:      Cores,
			budget:    loopBudget,
			mechanism: "one loop reads calls and writes answers; an event is encoded once for all",
			working:   "directors/replicas x calls/s x time of a call + events/s x answer to all",
			value:     (*calculation).replicaWatchCores,
		},
		{
			name:      "processor time of lease calls, without relays",
			unit:      Cores,
			budget:    loopBudget,
			mechanism: "where directors watch a replica, every heartbeat, renewal and report is passed on in the next lease call",
			working:   "lease calls/s x (writing one + lowest acknowledged revision)",
			value:     (*calculation).leaseCores,
		},
		{
			name:      "bytes of lease calls, without relays",
			unit:      BytesPerSecond,
			mechanism: "JSON over HTTP to the leader",
			working:   "lease calls/s x bytes by directors",
			value:     (*calculation).leaseBytesPerSecond,
		},
		{
			name: "memory of the event log",
			unit: Bytes,
			mechanism: "10,000 events are kept encoded for answers, half as many more between two cuts; " +
				"the store keeps the purges of ten minutes",
			working: "history, by events + store, by purges",
			value:   (*calculation).replicaLogMemory,
		},
		{
			name:      "share of the time in which events are committed",
			unit:      Share,
			budget:    loopBudget,
			mechanism: "changes that come together share one sync of the disk; measured on a store alone, without the group",
			working:   "events/s x time of one among 64 writers",
			value:     func(c *calculation) float64 { return c.eventsPerSecond() * c.slope(lawCommitTime) },
		},
	},
	processFormulas(allScenarios, formula{
		name:      "processor time, whole process",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "a replica that follows",
	}, processReplicaCores),
	processFormulas(allScenarios, formula{
		name:      "memory, whole process",
		unit:      Bytes,
		mechanism: "a replica that follows",
	}, processReplicaMemory),
)
