package decision

import "time"

// HostID identifies a cache, a parent cache or the origin.
type HostID uint32

// RequestID identifies a client's request. It is never reused: a client's retry has another.
type RequestID string

// ObjectID identifies an object; its parts share it.
type ObjectID uint64

// Event is something that happened to a director.
type Event interface{ event() }

// Request is a client's request; it is owed exactly one final answer.
type Request struct {
	ID         RequestID
	Object     ObjectID
	Part       int
	PurgeGroup int // the group by which the object can be purged
	Class      string
	Tenant     string
	IsRetry    bool          // the client marked it as a retry; no rule uses it
	Write      bool          // it changes the object; no rule uses it
	SizeKB     float64       // size of the answer in kB; 0: not known
	TimeLeft   time.Duration // until the client gives up
}

// PriorAttempt reports that a request with an idempotency key was sent before, by another director:
// an attempt may have run at caches of this zone and cell.
type PriorAttempt struct {
	Request RequestID
	Zone    string
	Cell    int
	Age     time.Duration // since then, or a little longer
}

// ClientGone reports that a request is over because its client went away.
type ClientGone struct{ Request RequestID }

// AttemptResult is how one attempt ended.
type AttemptResult struct {
	Request     RequestID
	Terminal    bool          // the request has its final answer
	FirstByte   time.Duration // from sending the attempt to the answer's first byte; 0: not known
	Host        HostID
	Attempt     int // number of the request's attempt, from 0
	CacheStatus CacheStatus
	Status      Status
	Elapsed     time.Duration // from sending the attempt to its end
	Load        *LoadReport   // nil: none came
}

// Status is how an attempt or a health check ended.
type Status string

// The ends of an attempt.
const (
	OK            Status = "ok"
	Failed        Status = "error"          // the host answered with a failure
	Full          Status = "full"           // the host rejected it; it did not run
	TimedOut      Status = "timeout"        // the client's deadline passed
	ConnectFailed Status = "connect_failed" // it was never sent
	Reset         Status = "reset"          // the connection broke after sending
	Cancelled     Status = "cancelled"      // by CancelAttempt
	NotSent       Status = "moot"           // the director did not send it
	Miss          Status = "miss"           // not cached as deep as the attempt was allowed to look
)

// CacheStatus is what an answer reports of how it was served, or of why it failed.
type CacheStatus int

// The cache statuses.
const (
	CacheStatusNone           CacheStatus = iota
	CacheStatusHit                        // cached
	CacheStatusFilled                     // filled from the source; with CacheStatusModeAll, the source had it cached
	CacheStatusFilledByOrigin             // filled from the source, which had to fetch it from the origin
	CacheStatusCoalesced                  // joined a fill under way
	CacheStatusStale                      // cached and older than its class's FreshFor
	CacheStatusSourceRejected             // the source was full
	CacheStatusSourceLost                 // the source did not answer
	CacheStatusSourceMissing              // the source does not have it cached
	CacheStatusNoSpace                    // the cache had no space to fill it
	CacheStatusOriginFailed               // the origin failed
)

// LoadReport is what a cache reports of its load with an answer. Values that were not reported are
// 0.
type LoadReport struct {
	CPUShare   float64 // share of its cores that is busy, 0 to 1
	LinkUse    float64 // transfers on its location's link over those that fit; over 1 the link is full
	HasLinkUse bool    // LinkUse was reported
}

// FirstByte reports that a streamed answer has started.
type FirstByte struct {
	Request RequestID
	Attempt int // number of the request's attempt, from 0
	Host    HostID
	Elapsed time.Duration // from sending the attempt
}

// Purge is a purge of an object or, where ByGroup is set, of a group.
type Purge struct {
	Object  ObjectID
	Group   int
	ByGroup bool
	Age     time.Duration // how long ago it was made
}

// EndpointUpdate is an endpoint list, or changes to it, from discovery.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Version   int64
	Endpoints []Endpoint
}

// EndpointUpdateKind is the kind of an EndpointUpdate.
type EndpointUpdateKind string

// The kinds of endpoint updates.
const (
	UpdateDelta    EndpointUpdateKind = "changes"    // changed endpoints
	UpdateSnapshot EndpointUpdateKind = "all"        // the complete list
	UpdateCached   EndpointUpdateKind = "remembered" // the complete list as it was known before a restart
	UpdateRejected EndpointUpdateKind = "refused"    // discovery rejected the watch request
)

// Endpoint is one host of the endpoint list.
type Endpoint struct {
	Host      HostID
	Zone      string
	Kind      string // one of Settings.Kinds
	Cell      int
	Readiness Readiness
	Weight    float64       // size by WeightMode; nominal: transfers at full pace, that is seconds of sending per second
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// Readiness is the state of a listed host.
type Readiness string

// The states of a listed host.
const (
	Ready    Readiness = "IN"
	Draining Readiness = "LAME"
	Gone     Readiness = "OUT"
)

// PeerCounts gives the numbers of directors, this one included.
type PeerCounts struct {
	InZone int // that serve this zone
	Total  int // in all zones
}

// QuotaShare gives this director's share of the load that a host in slow start bears.
type QuotaShare struct {
	Host  HostID
	Share float64 // of 1 for all directors; 0: an even share
}

// AggregatedHealth gives the share of attempts at a host that fail by the host's fault, as all
// directors together see it. The sender lets it fade and sends it again as it does.
type AggregatedHealth struct {
	Host         HostID
	FailureShare float64 // 0 to 1
}

// HealthCheckResult is the result of a HealthCheck. No rule uses it.
type HealthCheckResult struct {
	Host    HostID
	Status  Status
	Elapsed time.Duration
	Load    *LoadReport // nil: none came
}

// PeerMessage is a message from another director. No rule uses it.
type PeerMessage struct {
	From    int // its number
	Payload []byte
}

// TimerFired reports that a timer has come due.
type TimerFired struct{ Timer Timer }

// Timer identifies a timer of the Router. It is comparable.
type Timer struct {
	Kind    TimerKind
	Request RequestID // of TimerCoalescingLimit, TimerAttemptOverdue and TimerObjectiveMissed
	Attempt int       // number of the request's attempt, from 0; of TimerAttemptOverdue and TimerObjectiveMissed
}

// TimerKind is what a timer is for.
type TimerKind int

// The kinds of timers.
const (
	TimerUpkeep          TimerKind = iota + 1 // rates are measured and old state is dropped
	TimerWatchEndpoints                       // discovery rejected the watch; it is asked for again
	TimerCoalescingLimit                      // a coalesced request has waited for another's fill for as long as it may
	TimerAttemptOverdue                       // an attempt has taken longer than its size and the usual overhead explain
	TimerObjectiveMissed                      // an attempt has missed the request's latency objective
)

func (Request) event()           {}
func (PriorAttempt) event()      {}
func (ClientGone) event()        {}
func (AttemptResult) event()     {}
func (FirstByte) event()         {}
func (Purge) event()             {}
func (EndpointUpdate) event()    {}
func (PeerCounts) event()        {}
func (QuotaShare) event()        {}
func (AggregatedHealth) event()  {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (TimerFired) event()        {}
