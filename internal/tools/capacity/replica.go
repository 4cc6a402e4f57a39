package capacity

import (
	"slices"
	"time"
)

func loopCores(_ Size, d Design) float64 { return d.LoopCores }

// watchCores is the time of a watch server with so many directors.
func (c *calculation) watchCores(s serving, directors float64) float64 {
	calls := directors * c.calls(s) * c.at(lawServerCallTime, float64(c.coldCaches(s)))
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

// relayRequestCores is the time of the leader for the requests of all relays.
func (c *calculation) relayRequestCores() float64 {
	return float64(c.Relays) * perSecond(c.LeaseEvery) * c.at(lawRelayRequestTime, c.directorsPer(c.Relays))
}

var relayFormulas = slices.Concat(
	[]formula{{
		role: Relay, name: "machines of control", unit: Machines, budget: func(s Size, _ Design) float64 { return float64(s.ControlMachines) },
		mechanism: "a relay for each region and the replicas, each on a machine of its own",
		working:   "relays + replicas",
		value:     func(c *calculation) float64 { return float64(c.Relays + c.Replicas) },
	}},
	forServings(relayedServings, formula{
		role: Relay, name: "processor time of watches", unit: Cores, budget: loopCores,
		mechanism: "the watch server of a replica, which a relay takes over; one loop; events are gathered",
		working:   "directors/relays x calls/s x time of a call + events/s x answer to all",
	},
		func(c *calculation, s serving) float64 { return c.watchCores(s, c.directorsPer(c.Relays)) }),
	[]formula{
		{
			role: Relay, name: "processor time of quotas, cold caches", unit: Cores, budget: loopCores,
			mechanism: "a node of the tree of quotas divides what the leader gave it; its own renewals go over its directors",
			working:   "directors/relays x calls/s x renewal with 8 limits, the node's own renewals in it",
			value: func(c *calculation) float64 {
				directors := c.directorsPer(c.Relays)
				return directors * c.callsPerSecond(c.RelayGather) * c.at(lawRelayRenewalTime, directors)
			},
		},
		{
			role: Relay, name: "bytes to the leader, cold caches", unit: BytesPerSecond,
			mechanism: "one session: what has changed, one acknowledged revision, one renewal of the sum; health reports are not in it",
			working:   "lease calls/s x (request + renewal with 8 limits)",
			value: func(c *calculation) float64 {
				directors := c.directorsPer(c.Relays)
				return perSecond(c.LeaseEvery) * (c.at(lawRelayRequestBytes, directors) + c.at(lawRelayRenewalBytes, directors))
			},
		},
		{
			role: Relay, name: "memory of the event log", unit: Bytes,
			mechanism: "the history in the form of answers; no store",
			working:   "by events kept",
			value:     func(c *calculation) float64 { return c.at(lawHistoryMemory, c.historyMost()) },
		},
	},
	forServings(relayedServings, formula{
		role: Relay, name: "bytes to and from its directors", unit: BytesPerSecond,
		mechanism: "the unchanged watch protocol; TCP and IP headers are not in it",
		working:   "directors/relays x bytes of control of a director",
	},
		func(c *calculation, s serving) float64 { return c.directorsPer(c.Relays) * c.controlBytes(s) }),
	relayFormulasOf(formula{
		role: Relay, name: "processor time, whole process", unit: Cores, budget: loopCores,
		mechanism: "a relay with hollow directors",
	}, processRelayCores),
	relayFormulasOf(formula{
		role: Relay, name: "memory, whole process", unit: Bytes,
		mechanism: "a relay with hollow directors",
	}, processRelayMemory),
)

var replicaFormulas = slices.Concat([]formula{
	{
		role: Replica, name: "processor time of watches, without relays, cold caches", unit: Cores, budget: loopCores,
		mechanism: "one loop reads calls and writes answers; an event is encoded once for all",
		working:   "directors/replicas x calls/s x time of a call + events/s x answer to all",
		value:     func(c *calculation) float64 { return c.watchCores(serving{cold: true}, c.directorsPer(c.Replicas)) },
	},
	{
		role: Replica, name: "processor time of lease calls, without relays", unit: Cores, budget: loopCores,
		mechanism: "where directors watch a replica, every heartbeat, renewal and report is passed on in the next lease call",
		working:   "lease calls/s x (writing one + lowest acknowledged revision)",
		value:     func(c *calculation) float64 { return c.leaseCores(c.directorsPer(c.Replicas)) },
	},
	{
		role: Replica, name: "bytes of lease calls, without relays", unit: BytesPerSecond,
		mechanism: "JSON over HTTP to the leader",
		working:   "lease calls/s x bytes by directors",
		value: func(c *calculation) float64 {
			return perSecond(c.LeaseEvery) * c.at(lawLeaseBytes, c.directorsPer(c.Replicas))
		},
	},
	{
		role: Replica, name: "memory of the event log", unit: Bytes,
		mechanism: "10,000 events are kept encoded for answers, half as many more between two cuts; the store keeps the purges of ten minutes",
		working:   "history, by events + store, by purges",
		value:     (*calculation).replicaMemory,
	},
	{
		role: Replica, name: "share of the time in which events are committed", unit: Share, budget: loopCores,
		mechanism: "changes that come together share one sync of the disk; measured on a store alone, without the group",
		working:   "events/s x time of one among 64 writers",
		value:     func(c *calculation) float64 { return c.eventsPerSecond() * c.each(lawCommitTime) },
	},
},
	processFormulas(servings, formula{
		role: Replica, name: "processor time, whole process", unit: Cores, budget: loopCores,
		mechanism: "a replica that follows",
	}, processReplicaCores),
	processFormulas(servings, formula{
		role: Replica, name: "memory, whole process", unit: Bytes,
		mechanism: "a replica that follows",
	}, processReplicaMemory),
)
