package capacity

import "slices"

var leaderFormulas = slices.Concat([]formula{
	{
		role: Leader, name: "requests of relays, with relays", unit: Cores, budget: loopCores,
		mechanism: "one session for each relay: what has changed in its membership, one acknowledged revision; JSON read and written",
		working:   "relays x lease calls/s x time of a request in steady state",
		value:     (*calculation).relayRequestCores,
	},
	{
		role: Leader, name: "heartbeats, without relays", unit: Cores, budget: loopCores,
		mechanism: "each lease call of a replica carries all its directors; reading its JSON is in it, writing the grants is not",
		working:   "replicas x lease calls/s x time of a call with so many directors",
		value:     (*calculation).heartbeatCores,
	},
	{
		role: Leader, name: "quota renewals without a limit, without relays", unit: Cores, budget: loopCores,
		mechanism: "a constant part, whoever else holds; under the same lock",
		working:   "directors x renewals/s x renewal among all holders",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalTime, float64(c.Directors), c.renewalsPerSecond())
		},
	},
	{
		role: Leader, name: "quota renewals with 8 limits, without relays", unit: Cores, budget: loopCores,
		mechanism: "a constant part, and at times a look over all holders of a limit: at most each 50 ms and 50 us a holder; under the same lock",
		working:   "directors x renewals/s x renewal among all holders",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalColdTime, float64(c.Directors), c.renewalsPerSecond())
		},
	},
	{
		role: Leader, name: "quota renewals with 8 limits, with relays", unit: Cores, budget: loopCores,
		mechanism: "a relay renews for the sum of its directors, in up to 16 groups of equal demand",
		working:   "relays x lease calls/s x renewal among relays",
		value: func(c *calculation) float64 {
			return c.renewalCores(lawRenewalFewTime, float64(c.Relays), perSecond(c.LeaseEvery))
		},
	},
	{
		role: Leader, name: "health reports, with relays or without", unit: Cores, budget: loopCores,
		mechanism: "reports of all directors are merged by cache; relays batch them and do not merge them; under the same lock",
		working:   "directors x reports/s x time of one + findings/s x finding what all see",
		value:     (*calculation).healthCores,
	},
	{
		role: Leader, name: "membership, ticks, with relays or without", unit: Cores, budget: loopCores,
		mechanism: "each 25 ms all directors are gone over, and all evidence of caches; each 150 ms the membership; measured without sessions of relays",
		working:   "ticks/s x time of one + changes/s x time of one",
		value:     (*calculation).tickCores,
	},
	{
		role: Leader, name: "the four together, with 8 limits, without relays", unit: Cores, budget: loopCores,
		mechanism: "heartbeats, renewals, reports and ticks wait for each other: all but reading JSON is under one lock",
		working:   "the sum of the four",
		value: func(c *calculation) float64 {
			renewals := c.renewalCores(lawRenewalColdTime, float64(c.Directors), c.renewalsPerSecond())
			return c.heartbeatCores() + renewals + c.healthCores() + c.tickCores()
		},
	},
	{
		role: Leader, name: "the four together, with 8 limits, with relays", unit: Cores, budget: loopCores,
		mechanism: "requests of relays, their renewals, health reports and ticks",
		working:   "the sum of the four",
		value: func(c *calculation) float64 {
			renewals := c.renewalCores(lawRenewalFewTime, float64(c.Relays), perSecond(c.LeaseEvery))
			return c.relayRequestCores() + renewals + c.healthCores() + c.tickCores()
		},
	},
	{
		role: Leader, name: "longest hold of the lock", unit: Seconds,
		budget:    func(_ Size, d Design) float64 { return d.ReplicaLease.Seconds() },
		mechanism: "finding what all see goes over all evidence in one piece, and every lease call waits for it",
		working:   "by directors; against the replica's lease",
		value:     func(c *calculation) float64 { return c.at(lawHealthTime, float64(c.Directors)) },
	},
	{
		role: Leader, name: "memory of the adoption record, without relays", unit: Bytes,
		mechanism: "when each director applied each of the last 2,000 events",
		working:   "by directors x events",
		value: func(c *calculation) float64 {
			return c.at(lawAdoptionMemory, float64(c.Directors)*float64(c.AdoptionKept))
		},
	},
	{
		role: Leader, name: "memory of the adoption record, with relays", unit: Bytes,
		mechanism: "when each relay's last director applied each of the last 2,000 events; directors that lag are kept by name beside it",
		working:   "by relays, of 2,000 events each",
		value:     func(c *calculation) float64 { return c.at(lawRelayAdoptionMemory, float64(c.Relays)) },
	},
	{
		role: Leader, name: "memory of quotas, without relays", unit: Bytes,
		mechanism: "a holder for each director and limit",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.at(lawQuotaMemory, float64(c.Directors)) },
	},
	{
		role: Leader, name: "memory of health and membership, with relays or without", unit: Bytes,
		mechanism: "evidence for each director and cache, a heartbeat for each director",
		working:   "by directors",
		value: func(c *calculation) float64 {
			directors := float64(c.Directors)
			return c.at(lawHealthMemory, directors) + c.at(lawTrackerMemory, directors)
		},
	},
},
	processFormulas(servings, formula{
		role: Leader, name: "processor time, whole process", unit: Cores, budget: loopCores,
		mechanism: "hollow directors send no health reports",
	}, processLeaderCores),
	processFormulas(servings, formula{
		role: Leader, name: "memory, whole process", unit: Bytes,
		mechanism: "hollow directors send no health reports",
	}, processLeaderMemory),
)

var operatorFormulas = slices.Concat([]formula{
	{
		role: Operator, name: "answer of `stairvane roll`", unit: Bytes,
		mechanism: "one JSON answer with all directors",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.at(lawMembersBytes, float64(c.Directors)) },
	},
	{
		role: Operator, name: "answer of `stairvane audit` for one event", unit: Bytes,
		mechanism: "one JSON answer with when each director applied it",
		working:   "by directors",
		value:     func(c *calculation) float64 { return c.at(lawAdoptionBytes, float64(c.Directors)) },
	},
	{
		role: Operator, name: "answer of `stairvane world`", unit: Bytes,
		mechanism: "one JSON answer with all caches; locations, the membership and kept purges come on top",
		working:   "by caches",
		value:     func(c *calculation) float64 { return c.at(lawWorldBytes, float64(c.Caches)) },
	},
},
	processFormulas(servings, formula{
		role: Operator, name: "a purge everywhere, p99", unit: Seconds, budget: purgeWithin,
		mechanism: "from the write's acceptance to its arrival at the last director, without failures, on one machine",
	}, processPurgeDelay),
	processFormulas([]serving{{relayed: true}}, formula{
		role: Operator, name: "a configuration change everywhere", unit: Seconds,
		budget:    func(s Size, _ Design) float64 { return s.ChangeWithin.Seconds() },
		mechanism: "from the write to the last director's acknowledgement, without failures",
	}, processChangeDelay),
)
