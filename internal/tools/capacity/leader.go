package capacity

import (
	"slices"
	"time"
)

func leaseBudget(_ Size, d Design) float64 { return d.ReplicaLease.Seconds() }

// relayRequestCores is the leader's processor time for the requests of all relays.
func (c *calculation) relayRequestCores() float64 {
	return float64(c.Relays) * c.leasesPerSecond() * c.valueAt(lawRelayRequestTime, c.directorsPer(c.Relays))
}

// heartbeatCores is the leader's processor time for the lease renewals of all replicas, which carry the heartbeats of directors.
func (c *calculation) heartbeatCores() float64 {
	return float64(c.Replicas) * c.leasesPerSecond() * c.valueAt(lawLeaseTime, c.directorsPer(c.Replicas))
}

// renewalCores is the processor time of quota renewals: each of the holders renews at the rate, in renewals a second.
func (c *calculation) renewalCores(law string, holders, rate float64) float64 {
	return holders * rate * c.valueAt(law, holders)
}

// unlimitedRenewalCores is the time for renewals of directors without relays, while no cache limits them.
func (c *calculation) unlimitedRenewalCores() float64 {
	return c.renewalCores(lawUnlimitedRenewalTime, c.directors(), c.renewalsPerSecond())
}

// limitedRenewalCores is the time for renewals of directors without relays, with 8 limits.
func (c *calculation) limitedRenewalCores() float64 {
	return c.renewalCores(lawLimitedRenewalTime, c.directors(), c.renewalsPerSecond())
}

// limitedRenewalCoresOfRelays is the time for renewals of relays, with 8 limits.
func (c *calculation) limitedRenewalCoresOfRelays() float64 {
	return c.renewalCores(lawLimitedRenewalOfRelaysTime, float64(c.Relays), c.leasesPerSecond())
}

// healthCores is the processor time for health reports and their aggregation.
func (c *calculation) healthCores() float64 {
	reports := c.directors() * perSecond(c.HealthReportInterval) * c.valueAt(lawReportTime, c.directors())
	aggregationInterval := max(c.HealthAggregationInterval, time.Duration(c.Directors)*c.HealthPerDirector)
	return reports + perSecond(aggregationInterval)*c.valueAt(lawHealthTime, c.directors())
}

// membershipCores is the processor time of the membership service.
func (c *calculation) membershipCores() float64 {
	return perSecond(c.MembershipTick)*c.valueAt(lawTickTime, c.directors()) +
		perSecond(c.MembershipEventInterval)*c.valueAt(lawMembershipEventTime, c.directors())
}

// lockedCores is the leader's processor time under one lock, without relays.
func (c *calculation) lockedCores() float64 {
	renewals := c.limitedRenewalCores()
	return c.heartbeatCores() + renewals + c.healthCores() + c.membershipCores()
}

// lockedCoresWithRelays is the leader's processor time under one lock, with relays.
func (c *calculation) lockedCoresWithRelays() float64 {
	renewals := c.limitedRenewalCoresOfRelays()
	return c.relayRequestCores() + renewals + c.healthCores() + c.membershipCores()
}

// appliedMemory is the record of when each director applied the last events.
func (c *calculation) appliedMemory() float64 {
	return c.valueAt(lawAppliedMemory, c.directors()*float64(c.AppliedRecordLength))
}

// sessionMemory is the leader's state of health and membership.
func (c *calculation) sessionMemory() float64 {
	return c.valueAt(lawHealthMemory, c.directors()) + c.valueAt(lawMembershipServiceMemory, c.directors())
}

var leaderFormulas = slices.Concat(
	leaderTimeFormulas,
	leaderMemoryFormulas,
	processFormulas(allScenarios, formula{
		name:      "processor time, whole process",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "hollow directors send no health reports",
	}, processLeaderCores),
	processFormulas(allScenarios, formula{
		name:      "memory, whole process",
		unit:      Bytes,
		mechanism: "hollow directors send no health reports",
	}, processLeaderMemory),
)

var leaderTimeFormulas = []formula{
	{
		name:      "requests of relays, with relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "one session for each relay: what has changed in its membership, one acknowledged revision; JSON read and written",
		working:   "relays x lease calls/s x time of a request in steady state",
		value:     (*calculation).relayRequestCores,
	},
	{
		name:      "heartbeats, without relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "each lease call of a replica carries all its directors; reading its JSON is in it, writing the grants is not",
		working:   "replicas x lease calls/s x time of a call with so many directors",
		value:     (*calculation).heartbeatCores,
	},
	{
		name:      "quota renewals without a limit, without relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "a constant part, whoever else holds; under the same lock",
		working:   "directors x renewals/s x renewal among all holders",
		value:     (*calculation).unlimitedRenewalCores,
	},
	{
		name:   "quota renewals with 8 limits, without relays",
		unit:   Cores,
		budget: loopBudget,
		mechanism: "a constant part, and at times a look over all holders of a limit: at most each 50 ms and 50 us a holder; " +
			"under the same lock",
		working: "directors x renewals/s x renewal among all holders",
		value:   (*calculation).limitedRenewalCores,
	},
	{
		name:      "quota renewals with 8 limits, with relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "a relay renews for the sum of its directors, in up to 16 groups of equal demand",
		working:   "relays x lease calls/s x renewal among relays",
		value:     (*calculation).limitedRenewalCoresOfRelays,
	},
	{
		name:      "health reports, with relays or without",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "reports of all directors are merged by cache; relays batch them and do not merge them; under the same lock",
		working:   "directors x reports/s x time of one + findings/s x finding what all see",
		value:     (*calculation).healthCores,
	},
	{
		name:   "membership, ticks, with relays or without",
		unit:   Cores,
		budget: loopBudget,
		mechanism: "each 25 ms all directors are gone over, and all evidence of caches; each 150 ms the membership; " +
			"measured without sessions of relays",
		working: "ticks/s x time of one + changes/s x time of one",
		value:   (*calculation).membershipCores,
	},
	{
		name:      "the four together, with 8 limits, without relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "heartbeats, renewals, reports and ticks wait for each other: all but reading JSON is under one lock",
		working:   "the sum of the four",
		value:     (*calculation).lockedCores,
	},
	{
		name:      "the four together, with 8 limits, with relays",
		unit:      Cores,
		budget:    loopBudget,
		mechanism: "requests of relays, their renewals, health reports and ticks",
		working:   "the sum of the four",
		value:     (*calculation).lockedCoresWithRelays,
	},
	{
		name:      "longest hold of the lock",
		unit:      Seconds,
		budget:    leaseBudget,
		mechanism: "finding what all see goes over all evidence in one piece, and every lease call waits for it",
		working:   "by directors; against the replica's lease",
		value:     atDirectors(lawHealthTime),
	},
}

var leaderMemoryFormulas = []formula{
	{
		name:      "memory of the adoption record, without relays",
		unit:      Bytes,
		mechanism: "when each director applied each of the last 2,000 events",
		working:   "by directors x events",
		value:     (*calculation).appliedMemory,
	},
	{
		name: "memory of the adoption record, with relays",
		unit: Bytes,
		mechanism: "when each relay's last director applied each of the last 2,000 events; " +
			"directors that lag are kept by name beside it",
		working: "by relays, of 2,000 events each",
		value:   func(c *calculation) float64 { return c.valueAt(lawRelayAppliedMemory, float64(c.Relays)) },
	},
	{
		name:      "memory of quotas, without relays",
		unit:      Bytes,
		mechanism: "a holder for each director and limit",
		working:   "by directors",
		value:     atDirectors(lawQuotaMemory),
	},
	{
		name:      "memory of health and membership, with relays or without",
		unit:      Bytes,
		mechanism: "evidence for each director and cache, a heartbeat for each director",
		working:   "by directors",
		value:     (*calculation).sessionMemory,
	},
}
