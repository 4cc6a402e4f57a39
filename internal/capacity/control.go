package capacity

import "time"

func loopCores(_ Size, d Design) float64 { return d.LoopCores }

// watchCores is the time of a watch server with so many directors.
func (c *calculation) watchCores(directors float64) float64 {
	calls := directors * c.callsPerSecond() * c.at(lawServerCallTime, float64(c.ColdCaches))
	return calls + c.eventsPerSecond()*c.at(lawAnswerTime, directors)
}

// replicaMemory is the event log of a replica: the history in the form of answers, and the store's own.
func (c *calculation) replicaMemory() float64 {
	return c.at(lawHistoryMemory, c.historyMost()) + c.at(lawStoreMemory, c.purgesRetold())
}

// leaseCores is the time in which a replica writes its lease calls.
func (c *calculation) leaseCores(directors float64) float64 {
	return perSecond(c.LeaseEvery) * (c.at(lawLeaseBuildTime, directors) + c.at(lawAckTime, directors))
}

// leaderParts is what of the leader's time grows with directors, without relays.
func (c *calculation) heartbeatCores() float64 {
	return float64(c.Replicas) * perSecond(c.LeaseEvery) * c.at(lawLeaseTime, c.directorsPer(c.Replicas))
}

// renewalCores is the time of quota renewals of holders with a rate each, by a law.
func (c *calculation) renewalCores(law string, holders, rate float64) float64 {
	return holders * rate * c.at(law, holders)
}

func (c *calculation) healthCores() float64 {
	directors := float64(c.Directors)
	reports := directors * perSecond(c.HealthEvery) * c.at(lawReportTime, directors)
	between := max(c.HealthFoundEvery, time.Duration(c.Directors)*c.HealthFoundEach)
	return reports + perSecond(between)*c.at(lawHealthTime, directors)
}

func (c *calculation) tickCores() float64 {
	directors := float64(c.Directors)
	return perSecond(c.TickEvery)*c.at(lawTickTime, directors) + perSecond(c.GatherEvery)*c.at(lawChangeTime, directors)
}

func (c *calculation) leaderMemory() float64 {
	directors := float64(c.Directors)
	return c.at(lawAdoptionMemory, directors*float64(c.AdoptionKept)) + c.at(lawQuotaMemory, directors) +
		c.at(lawHealthMemory, directors) + c.at(lawTrackerMemory, directors)
}

var relayFormulas = []formula{
	{role: Relay, name: "machines of control", unit: Machines, budget: func(s Size, _ Design) float64 { return float64(s.ControlMachines) },
		mechanism: "a relay for each region and the replicas, each on a machine of its own",
		working:   "relays + replicas",
		value:     func(c *calculation) float64 { return float64(c.Relays + c.Replicas) }},
	{role: Relay, name: "processor time of watches", unit: Cores, budget: loopCores,
		mechanism: "the watch server of a replica, which a relay takes over; one loop",
		working:   "directors/relays x calls/s x time of a call + events/s x answer to all",
		value:     func(c *calculation) float64 { return c.watchCores(c.directorsPer(c.Relays)) }},
	{role: Relay, name: "processor time of quotas", unit: Cores, budget: loopCores,
		mechanism: "an allocator of its own for its directors, as it is at the leader today",
		working:   "directors/relays x renewals/s x renewal among so many holders with 8 limits",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalColdTime, c.directorsPer(c.Relays), c.callsPerSecond())
		}},
	{role: Relay, name: "bytes to and from its directors", unit: BytesPerSecond,
		mechanism: "the unchanged watch protocol; TCP and IP headers are not in it",
		working:   "directors/relays x bytes of control of a director",
		value:     func(c *calculation) float64 { return c.directorsPer(c.Relays) * c.controlBytes() }},
	{role: Relay, name: "memory of the event log", unit: Bytes,
		mechanism: "the history in the form of answers; no store",
		working:   "by events kept",
		value:     func(c *calculation) float64 { return c.at(lawHistoryMemory, c.historyMost()) }},
	{role: Relay, name: "processor time, whole process", unit: Cores, budget: loopCores,
		mechanism: "a relay that runs",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessRelayCores, c.directorsPer(c.Relays)) }},
	{role: Relay, name: "memory, whole process", unit: Bytes,
		mechanism: "a relay that runs",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessRelayMemory, c.directorsPer(c.Relays)) }},
}

var replicaFormulas = []formula{
	{role: Replica, name: "processor time of watches, without relays", unit: Cores, budget: loopCores,
		mechanism: "one loop reads calls and writes answers; an event is encoded once for all",
		working:   "directors/replicas x calls/s x time of a call + events/s x answer to all",
		value:     func(c *calculation) float64 { return c.watchCores(c.directorsPer(c.Replicas)) }},
	{role: Replica, name: "processor time of lease calls, without relays", unit: Cores, budget: loopCores,
		mechanism: "every heartbeat, renewal and report is passed on in the next lease call",
		working:   "lease calls/s x (writing one + lowest acknowledged revision)",
		value:     func(c *calculation) float64 { return c.leaseCores(c.directorsPer(c.Replicas)) }},
	{role: Replica, name: "bytes of lease calls, without relays", unit: BytesPerSecond,
		mechanism: "JSON over HTTP to the leader",
		working:   "lease calls/s x bytes by directors",
		value: func(c *calculation) float64 {
			return perSecond(c.LeaseEvery) * c.at(lawLeaseBytes, c.directorsPer(c.Replicas))
		}},
	{role: Replica, name: "memory of the event log", unit: Bytes,
		mechanism: "10,000 events are kept encoded for answers, half as many more between two cuts; the store keeps the purges of ten minutes",
		working:   "history, by events + store, by purges",
		value:     (*calculation).replicaMemory},
	{role: Replica, name: "share of the time in which events are committed", unit: Share, budget: loopCores,
		mechanism: "changes that come together share one sync of the disk; measured on a store alone, without the group",
		working:   "events/s x time of one among 64 writers",
		value:     func(c *calculation) float64 { return c.eventsPerSecond() * c.each(lawCommitTime) }},
	{role: Replica, name: "processor time, whole process, without relays", unit: Cores, budget: loopCores,
		mechanism: "a replica that follows",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessReplicaCores, float64(c.Directors)) }},
	{role: Replica, name: "memory, whole process, without relays", unit: Bytes,
		mechanism: "a replica that follows",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessReplicaMemory, float64(c.Directors)) }},
}
