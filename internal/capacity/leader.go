package capacity

var leaderFormulas = []formula{
	{role: Leader, name: "heartbeats, without relays", unit: Cores, budget: loopCores,
		mechanism: "each lease call of a replica carries all its directors; reading its JSON is in it, writing the grants is not",
		working:   "replicas x lease calls/s x time of a call with so many directors",
		value:     (*calculation).heartbeatCores},
	{role: Leader, name: "quota renewals without a limit, without relays", unit: Cores, budget: loopCores,
		mechanism: "each renewal goes over all holders for its part of the reserve; under the same lock",
		working:   "directors x renewals/s x renewal among all holders",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalTime, float64(c.Directors), c.renewalsPerSecond())
		}},
	{role: Leader, name: "quota renewals with 8 limits, without relays", unit: Cores, budget: loopCores,
		mechanism: "each renewal goes over all holders of each limit it names; under the same lock",
		working:   "directors x renewals/s x renewal among all holders",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalColdTime, float64(c.Directors), c.renewalsPerSecond())
		}},
	{role: Leader, name: "quota renewals with 8 limits, with relays, by the law", unit: Cores, budget: loopCores,
		mechanism: "a relay renews for the sum of its directors",
		working:   "relays x lease calls/s x renewal among relays",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalFewTime, float64(c.Relays), perSecond(c.LeaseEvery))
		}},
	{role: Leader, name: "health reports, without relays", unit: Cores, budget: loopCores,
		mechanism: "reports of all directors are merged by cache; under the same lock",
		working:   "directors x reports/s x time of one + findings/s x finding what all see",
		value:     (*calculation).healthCores},
	{role: Leader, name: "membership, ticks", unit: Cores, budget: loopCores,
		mechanism: "each 25 ms all directors are gone over, and all evidence of caches; each 150 ms the membership",
		working:   "ticks/s x time of one + changes/s x time of one",
		value:     (*calculation).tickCores},
	{role: Leader, name: "the four together, with 8 limits, without relays", unit: Cores, budget: loopCores,
		mechanism: "heartbeats, renewals, reports and ticks wait for each other: all but reading JSON is under one lock",
		working:   "the sum of the four",
		value: func(c *calculation) float64 {
			renewals := c.renewalCores(lawRenewalColdTime, float64(c.Directors), c.renewalsPerSecond())
			return c.heartbeatCores() + renewals + c.healthCores() + c.tickCores()
		}},
	{role: Leader, name: "longest hold of the lock", unit: Seconds,
		budget:    func(_ Size, d Design) float64 { return d.ReplicaLease.Seconds() },
		mechanism: "finding what all see goes over all evidence in one piece, and every lease call waits for it",
		working:   "by directors; against the replica's lease",
		value:     func(c *calculation) float64 { return c.at(lawHealthTime, float64(c.Directors)) }},
	{role: Leader, name: "memory of the adoption record", unit: Bytes,
		mechanism: "when each director applied each of the last 2,000 events",
		working:   "by directors x events",
		value: func(c *calculation) float64 {
			return c.at(lawAdoptionMemory, float64(c.Directors)*float64(c.AdoptionKept))
		}},
	{role: Leader, name: "memory of quotas, health and membership", unit: Bytes,
		mechanism: "a holder for each director and limit, evidence for each director and cache, a heartbeat for each director",
		working:   "by directors",
		value: func(c *calculation) float64 {
			directors := float64(c.Directors)
			return c.at(lawQuotaMemory, directors) + c.at(lawHealthMemory, directors) + c.at(lawTrackerMemory, directors)
		}},
	{role: Leader, name: "memory beyond a replica's", unit: Bytes,
		mechanism: "the two above",
		working:   "sum",
		value:     (*calculation).leaderMemory},
	{role: Leader, name: "processor time, whole process, without relays", unit: Cores, budget: loopCores,
		mechanism: "the leader with replicas alone",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessLeaderCores, float64(c.Directors)) }},
	{role: Leader, name: "processor time, whole process, with relays", unit: Cores, budget: loopCores,
		mechanism: "the leader behind relays",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessLeaderRelayed, float64(c.Directors)) }},
	{role: Leader, name: "memory, whole process, without relays", unit: Bytes,
		mechanism: "the leader with replicas alone",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessLeaderMemory, float64(c.Directors)) }},
}

var operatorFormulas = []formula{
	{role: Operator, name: "answer of `stairvane roll`", unit: Bytes,
		mechanism: "one JSON answer with all directors",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.at(lawMembersBytes, float64(c.Directors)) }},
	{role: Operator, name: "answer of `stairvane audit` for one event", unit: Bytes,
		mechanism: "one JSON answer with when each director applied it",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.at(lawAdoptionBytes, float64(c.Directors)) }},
	{role: Operator, name: "answer of `stairvane world`", unit: Bytes,
		mechanism: "one JSON answer with all caches; locations, the membership and kept purges come on top",
		working:   "by caches",
		value:     func(c *calculation) float64 { return c.at(lawWorldBytes, float64(c.Caches)) }},
	{role: Operator, name: "a purge everywhere, without relays", unit: Seconds,
		budget:    func(s Size, _ Design) float64 { return s.PurgeWithin.Seconds() },
		mechanism: "from the write to the last director's acknowledgement, without failures",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessPurgeDelay, float64(c.Directors)) }},
	{role: Operator, name: "a purge everywhere, with relays", unit: Seconds,
		budget:    func(s Size, _ Design) float64 { return s.PurgeWithin.Seconds() },
		mechanism: "the same through relays",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessPurgeRelayed, float64(c.Directors)) }},
	{role: Operator, name: "a configuration change everywhere", unit: Seconds,
		budget:    func(s Size, _ Design) float64 { return s.ChangeWithin.Seconds() },
		mechanism: "from the write to the last director's acknowledgement, without failures",
		working:   "a run of processes",
		value:     func(c *calculation) float64 { return c.at(lawProcessChangeDelay, float64(c.Directors)) }},
}
