package capacity

// Names of laws that the package measure produces.
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

	lawPurgeBytes         = "wire.bytes.purges"
	lawHostBytes          = "wire.bytes.hosts"
	lawMemberJoinedBytes  = "wire.bytes.members"
	lawMemberLeftBytes    = "wire.bytes.gone"
	lawSnapshotBytes      = "wire.bytes.whole"
	lawSnapshotCacheBytes = "wire.bytes.whole_caches"

	lawHistoryMemory      = "replica.memory.history"
	lawStoreMemory        = "replica.memory.store"
	lawAnswerTime         = "replica.time.answer"
	lawServerCallTime     = "replica.time.watch_call"
	lawSnapshotTime       = "replica.time.whole"
	lawAcknowledgedTime   = "replica.time.acknowledged"
	lawLeaseBytes         = "replica.bytes.lease"
	lawLeaseEncodingTime  = "replica.time.lease"
	lawCommitTime         = "replica.time.commit"
	lawRelayRenewalTime   = "relay.time.renewal_8_limits"
	lawRelayRenewalBytes  = "relay.bytes.renewal_8_limits"
	lawRelayRequestBytes  = "relay.bytes.request"
	lawRelayRequestTime   = "leader.time.relay_request"
	lawRelayAppliedMemory = "leader.memory.adoption_relays"

	lawLeaseTime                  = "leader.time.lease"
	lawUnlimitedRenewalTime       = "leader.time.renewal"
	lawLimitedRenewalTime         = "leader.time.renewal_8_limits"
	lawLimitedRenewalOfRelaysTime = "leader.time.renewal_8_limits_relays"
	lawReportTime                 = "leader.time.report"
	lawHealthTime                 = "leader.time.health"
	lawTickTime                   = "leader.time.tick"
	lawMembershipEventTime        = "leader.time.membership"
	lawAppliedMemory              = "leader.memory.adoption"
	lawQuotaMemory                = "leader.memory.quota"
	lawHealthMemory               = "leader.memory.health"
	lawMembershipServiceMemory    = "leader.memory.membership"

	lawMembersAnswerBytes  = "operator.bytes.members"
	lawAdoptionAnswerBytes = "operator.bytes.adoption"
	lawStateAnswerBytes    = "operator.bytes.world"
)

// processCost identifies a cost of real processes, which scale runs measure. processLawName returns the name of its law.
type processCost string

const (
	processDirectorCores  processCost = "director.cores"
	processDirectorMemory processCost = "director.memory"
	processDirectorBytes  processCost = "director.bytes"
	processRelayCores     processCost = "relay.cores"  // as a function of the directors of one relay
	processRelayMemory    processCost = "relay.memory" // as a function of the directors of one relay
	processReplicaCores   processCost = "replica.cores"
	processReplicaMemory  processCost = "replica.memory"
	processLeaderCores    processCost = "leader.cores"
	processLeaderMemory   processCost = "leader.memory"
	processPurgeDelay     processCost = "delay.purge"
	processChangeDelay    processCost = "delay.change"
)
