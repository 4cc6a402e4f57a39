package capacity

// Names of laws. Those of the first group come from the package measure.
const (
	lawHostMemory       = "director.memory.hosts"
	lawPurgeMemory      = "director.memory.purges"
	lawMembershipMemory = "director.memory.membership"
	lawOpenMemory       = "director.memory.open"
	lawServedMemory     = "director.memory.served"
	lawPurgeTime        = "director.time.purge"
	lawHostChangeTime   = "director.time.host_change"
	lawMemberChangeTime = "director.time.membership_change"
	lawDirectorCallTime = "director.time.watch_call"
	lawCallBytes        = "director.bytes.call"
	lawAnswerBytes      = "director.bytes.answer"
	lawReportBytes      = "director.bytes.report"

	lawPurgeBytes      = "wire.bytes.purges"
	lawHostBytes       = "wire.bytes.hosts"
	lawMemberBytes     = "wire.bytes.members"
	lawGoneBytes       = "wire.bytes.gone"
	lawWholeBytes      = "wire.bytes.whole"
	lawWholeCacheBytes = "wire.bytes.whole_caches"

	lawHistoryMemory  = "replica.memory.history"
	lawStoreMemory    = "replica.memory.store"
	lawAnswerTime     = "replica.time.answer"
	lawServerCallTime = "replica.time.watch_call"
	lawWholeTime      = "replica.time.whole"
	lawAckTime        = "replica.time.acknowledged"
	lawLeaseBytes     = "replica.bytes.lease"
	lawLeaseBuildTime = "replica.time.lease"
	lawCommitTime     = "replica.time.commit"

	lawRelayRenewalTime  = "relay.time.renewal_8_limits"
	lawRelayRenewalBytes = "relay.bytes.renewal_8_limits"
	lawRelayRequestBytes = "relay.bytes.request"

	lawRelayRequestTime    = "leader.time.relay_request"
	lawRelayAdoptionMemory = "leader.memory.adoption_relays"

	lawLeaseTime       = "leader.time.lease"
	lawRenewalTime     = "leader.time.renewal"
	lawRenewalColdTime = "leader.time.renewal_8_limits"
	lawRenewalFewTime  = "leader.time.renewal_8_limits_relays"
	lawReportTime      = "leader.time.report"
	lawHealthTime      = "leader.time.health"
	lawTickTime        = "leader.time.tick"
	lawChangeTime      = "leader.time.membership"
	lawAdoptionMemory  = "leader.memory.adoption"
	lawQuotaMemory     = "leader.memory.quota"
	lawHealthMemory    = "leader.memory.health"
	lawTrackerMemory   = "leader.memory.membership"

	lawMembersBytes  = "operator.bytes.members"
	lawAdoptionBytes = "operator.bytes.adoption"
	lawWorldBytes    = "operator.bytes.world"
)

// What laws of whole processes are of; processLaw gives their names. A scale run gives them.
const (
	processDirectorCores  = "director.cores"
	processDirectorMemory = "director.memory"
	processDirectorBytes  = "director.bytes"
	processRelayCores     = "relay.cores"  // by directors of one relay
	processRelayMemory    = "relay.memory" // by directors of one relay
	processReplicaCores   = "replica.cores"
	processReplicaMemory  = "replica.memory"
	processLeaderCores    = "leader.cores"
	processLeaderMemory   = "leader.memory"
	processPurgeDelay     = "delay.purge"
	processChangeDelay    = "delay.change"
)
