package capacity

import (
	"slices"
	"time"
)

func leaseBudget(_ Size, d Design) float64 { return d.ReplicaLease.Seconds() }

// relayRequestCores returns the leader's processor time for the requests of all relays, in cores.
func (c *calculation) relayRequestCores() float64 {
	return float64(c.Relays) * c.leasesPerSecond() * c.valueAt(lawRelayRequestTime, c.directorsPer(c.Relays))
}

// heartbeatCores returns the leader's processor time for the lease renewals of all replicas, in cores. The renewals carry the
// heartbeats of directors.
func (c *calculation) heartbeatCores() float64 {
	return float64(c.Replicas) * c.leasesPerSecond() * c.valueAt(lawLeaseTime, c.directorsPer(c.Replicas))
}

// renewalCores returns the processor time of quota renewals, in cores. Each holder renews at the given rate, in renewals per second.
func (c *calculation) renewalCores(law string, holders, rate float64) float64 {
	return holders * rate * c.valueAt(law, holders)
}

// unlimitedRenewalCores returns the leader's processor time for quota renewals of directors without relays and without limits, in
// cores.
func (c *calculation) unlimitedRenewalCores() float64 {
	return c.renewalCores(lawUnlimitedRenewalTime, c.directorCount(), c.renewalsPerSecond())
}

// limitedRenewalCores returns the leader's processor time for quota renewals of directors without relays, with 8 limits, in cores.
func (c *calculation) limitedRenewalCores() float64 {
	return c.renewalCores(lawLimitedRenewalTime, c.directorCount(), c.renewalsPerSecond())
}

// limitedRenewalCoresOfRelays returns the leader's processor time for quota renewals of relays with 8 limits, in cores.
func (c *calculation) limitedRenewalCoresOfRelays() float64 {
	return c.renewalCores(lawLimitedRenewalOfRelaysTime, float64(c.Relays), c.leasesPerSecond())
}

// healthCores returns the leader's processor time for health reports and their aggregation, in cores.
func (c *calculation) healthCores() float64 {
	reports := c.directorCount() * perSecond(c.HealthReportInterval) * c.valueAt(lawReportTime, c.directorCount())
	aggregationInterval := max(c.HealthAggregationInterval, time.Duration(c.Directors)*c.HealthPerDirector)
	return reports + perSecond(aggregationInterval)*c.valueAt(lawHealthTime, c.directorCount())
}

// membershipCores returns the processor time of the membership service, in cores.
func (c *calculation) membershipCores() float64 {
	return perSecond(c.MembershipTick)*c.valueAt(lawTickTime, c.directorCount()) +
		perSecond(c.MembershipEventInterval)*c.valueAt(lawMembershipEventTime, c.directorCount())
}

// lockedCoresWithoutRelays returns the leader's processor time under its lock without relays, in cores.
func (c *calculation) lockedCoresWithoutRelays() float64 {
	renewals := c.limitedRenewalCores()
	return c.heartbeatCores() + renewals + c.healthCores() + c.membershipCores()
}

// lockedCoresWithRelays returns the leader's processor time under its lock with relays, in cores.
func (c *calculation) lockedCoresWithRelays() float64 {
	renewals := c.limitedRenewalCoresOfRelays()
	return c.relayRequestCores() + renewals + c.healthCores() + c.membershipCores()
}

// appliedMemory returns the memory of the record of when each director applied the latest events, in bytes.
func (c *calculation) appliedMemory() float64 {
	return c.valueAt(lawAppliedMemory, c.directorCount()*float64(c.AppliedRecordLength))
}

// healthAndMembershipMemory returns the memory of the leader's health and membership state, in bytes.
func (c *calculation) healthAndMembershipMemory() float64 {
	return c.valueAt(lawHealthMemory, c.directorCount()) + c.valueAt(lawMembershipServiceMemory, c.directorCount())
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
		value:     (*calculation).lockedCoresWithoutRelays,
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
		value:     valueAtDirectors(lawHealthTime),
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
		value:     valueAtDirectors(lawQuotaMemory),
	},
	{
		name:      "memory of health and membership, with relays or without",
		unit:      Bytes,
		mechanism: "evidence for each director and cache, a heartbeat for each director",
		working:   "by directors",
		value:     (*calculation).healthAndMembershipMemory,
	},
}
