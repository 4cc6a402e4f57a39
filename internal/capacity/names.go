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

	lawLeaseTime       = "leader.time.lease"
	lawRenewalTime     = "leader.time.renewal"
	lawRenewalColdTime = "leader.time.renewal_8_limits"
	lawRenewalFewTime  = "leader.time.renewal_8_limits_few"
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

// Names of laws of whole processes, by directors. A run of processes gives them; they are added to the file of laws by hand.
const (
	lawProcessDirectorCores  = "process.director.cores"
	lawProcessDirectorMemory = "process.director.memory"
	lawProcessDirectorBytes  = "process.director.bytes"
	lawProcessRelayCores     = "process.relay.cores"    // by directors of one relay
	lawProcessRelayMemory    = "process.relay.memory"   // by directors of one relay
	lawProcessReplicaCores   = "process.replica.cores"  // without relays, by all directors
	lawProcessReplicaMemory  = "process.replica.memory" // without relays, by all directors
	lawProcessLeaderCores    = "process.leader.cores"
	lawProcessLeaderMemory   = "process.leader.memory"
	lawProcessLeaderRelayed  = "process.leader.cores.relays" // with relays, by all directors
	lawProcessPurgeDelay     = "process.delay.purge"
	lawProcessPurgeRelayed   = "process.delay.purge.relays"
	lawProcessChangeDelay    = "process.delay.change"
)
