package capacity

import "slices"

func machineBudget(s Size, _ Design) float64 { return float64(s.ControlMachines) }

// watchCores returns the processor time of a watch server with the given number of directors, in cores.
func (c *calculation) watchCores(s scenario, directors float64) float64 {
	calls := directors * c.calls(s) * c.valueAt(lawServerCallTime, float64(c.coldCaches(s)))
	return calls + c.eventsPerSecond()*c.valueAt(lawAnswerTime, directors)
}

// historyMemory returns the memory of the event log of a replica or a relay, encoded for answers, in bytes.
func (c *calculation) historyMemory() float64 {
	return c.valueAt(lawHistoryMemory, c.maxHistoryEvents())
}

// relayRenewalCores returns the processor time that a relay spends on dividing its quotas among its directors, in cores.
func (c *calculation) relayRenewalCores() float64 {
	return c.renewalCores(lawRelayRenewalTime, c.directorsPer(c.Relays), c.callsPerSecond(c.RelayBatchTime))
}

// relayToLeaderBytesPerSecond returns the traffic from one relay to the leader, in bytes per second.
func (c *calculation) relayToLeaderBytesPerSecond() float64 {
	directors := c.directorsPer(c.Relays)
	return c.leasesPerSecond() * (c.valueAt(lawRelayRequestBytes, directors) + c.valueAt(lawRelayRenewalBytes, directors))
}

var relayFormulas = slices.Concat(
	[]formula{{
		name:      "machines of control",
		unit:      Machines,
		budget:    machineBudget,
		mechanism: "a relay for each region and the replicas, each on a machine of its own",
		working:   "relays + replicas",
		value:     func(c *calculation) float64 { return float64(c.Relays + c.Replicas) },
	}},
	forScenarios(relayScenarios, formula{
		name:      "processor time of watches",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "the watch server of a replica, which a relay takes over; one loop; events are gathered",
		working:   "directors/relays x calls/s x time of a call + events/s x answer to all",
	}, func(c *calculation, s scenario) float64 {
		return c.watchCores(s, c.directorsPer(c.Relays))
	}),
	[]formula{
		{
			name:      "processor time of quotas, cold caches",
			unit:      Cores,
			budget:    loopBudget,
			mechanism: "a node of the tree of quotas divides what the leader gave it; its own renewals go over its directors",
			working:   "directors/relays x calls/s x renewal with 8 limits, the node's own renewals in it",
			value:     (*calculation).relayRenewalCores,
		},
		{
			name:      "bytes to the leader, cold caches",
			unit:      BytesPerSecond,
			mechanism: "one session: what has changed, one acknowledged revision, one renewal of the sum; health reports are not in it",
			working:   "lease calls/s x (request + renewal with 8 limits)",
			value:     (*calculation).relayToLeaderBytesPerSecond,
		},
		{
			name:      "memory of the event log",
			unit:      Bytes,
			mechanism: "the history in the form of answers; no store",
			working:   "by events kept",
			value:     (*calculation).historyMemory,
		},
	},
	forScenarios(relayScenarios, formula{
		name:      "bytes to and from its directors",
		unit:      BytesPerSecond,
		mechanism: "the unchanged watch protocol; TCP and IP headers are not in it",
		working:   "directors/relays x bytes of control of a director",
	}, func(c *calculation, s scenario) float64 {
		return c.directorsPer(c.Relays) * c.controlBytesPerSecond(s)
	}),
	relayProcessFormulas(formula{
		name:      "processor time, whole process",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "a relay with hollow directors",
	}, processRelayCores),
	relayProcessFormulas(formula{
		name:      "memory, whole process",
		unit:      Bytes,
		mechanism: "a relay with hollow directors",
	}, processRelayMemory),
)
