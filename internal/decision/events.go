package decision

import "time"

// HostID identifies a cache, a parent cache or the origin.
type HostID uint32

// RequestID identifies a client's request. IDs are never reused: a retry by the client has a new ID.
type RequestID string

// ObjectID identifies an object. All parts of the object share the ID.
type ObjectID uint64

// Event is an input of a Router: something that happened at a director.
type Event interface{ event() }

// Request reports the arrival of a client's request. Each request receives exactly one final answer.
type Request struct {
	ID         RequestID
	Object     ObjectID
	Part       int
	PurgeGroup int // purge group of the object
	Class      string
	Tenant     string
	IsRetry    bool          // the client marked the request as a retry; not used by any rule
	Write      bool          // the request modifies the object; not used by any rule
	SizeKB     float64       // size of the answer in kB; 0: unknown
	TimeLeft   time.Duration // time until the client gives up
}

// PriorAttempt reports that another director has already sent a request with an idempotency key. The
// attempt may have run at a cache of the given zone and cell.
type PriorAttempt struct {
	Request RequestID
	Zone    string
	Cell    int
	Age     time.Duration // time since that attempt was sent, or slightly more
}

// ClientGone reports that a request ended because its client disconnected.
type ClientGone struct{ Request RequestID }

// AttemptResult reports the end of an attempt.
type AttemptResult struct {
	Request     RequestID
	Terminal    bool          // the request has its final answer
	FirstByte   time.Duration // time from sending the attempt to the first byte of the answer; 0: unknown
	Host        HostID
	Attempt     int // index of the attempt among the request's attempts, from 0
	CacheStatus CacheStatus
	Status      Status
	Elapsed     time.Duration // time from sending the attempt to its end
	Load        *LoadReport   // nil: no report was received
}

// Status is the outcome of an attempt or a health check.
type Status string

// The outcomes of an attempt.
const (
	OK            Status = "ok"
	Failed        Status = "error"          // the host returned an error
	Full          Status = "full"           // the host rejected the attempt; it did not run
	TimedOut      Status = "timeout"        // the client's deadline expired
	ConnectFailed Status = "connect_failed" // the connection failed; the attempt was never sent
	Reset         Status = "reset"          // the connection broke after the attempt was sent
	Cancelled     Status = "cancelled"      // cancelled by CancelAttempt
	NotSent       Status = "moot"           // the director did not send the attempt
	Miss          Status = "miss"           // the object is not cached at the depth that the attempt may fetch from
)

// CacheStatus is how a request was served, or why it failed, as reported in the answer.
type CacheStatus int

// The cache statuses.
const (
	CacheStatusNone           CacheStatus = iota
	CacheStatusHit                        // served from the cache
	CacheStatusFilled                     // filled from the source; with CacheStatusModeAll, the source had it cached
	CacheStatusFilledByOrigin             // filled from the source, which had to fetch it from the origin
	CacheStatusCoalesced                  // joined a fill in progress
	CacheStatusStale                      // served from the cache, but older than FreshFor of its class
	CacheStatusSourceRejected             // the source rejected the fill
	CacheStatusSourceLost                 // the source did not respond
	CacheStatusSourceMissing              // the source does not have the object cached
	CacheStatusNoSpace                    // the cache had no space for the object
	CacheStatusOriginFailed               // the origin failed
)

// LoadReport is the load that a cache reports with an answer. Values that were not reported are 0.
type LoadReport struct {
	CPUShare   float64 // share of its cores that are busy, 0 to 1
	LinkUse    float64 // transfers on its location's link divided by the link's capacity; above 1 the link is full
	HasLinkUse bool    // LinkUse was reported
}

// FirstByte reports that the first byte of a streamed answer has arrived.
type FirstByte struct {
	Request RequestID
	Attempt int // index of the attempt among the request's attempts, from 0
	Host    HostID
	Elapsed time.Duration // time from sending the attempt to the first byte
}

// Purge reports a purge of an object or, if ByGroup is set, of a purge group.
type Purge struct {
	Object  ObjectID
	Group   int
	ByGroup bool
	Age     time.Duration // time since the purge was issued
}

// EndpointUpdate reports an endpoint list, or changes to it, from discovery.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Version   int64
	Endpoints []Endpoint
}

// EndpointUpdateKind is the kind of an EndpointUpdate.
type EndpointUpdateKind string

// The kinds of endpoint updates.
const (
	UpdateDelta    EndpointUpdateKind = "changes"    // only the changed endpoints
	UpdateSnapshot EndpointUpdateKind = "all"        // the complete list
	UpdateCached   EndpointUpdateKind = "remembered" // the complete list as it was stored before a restart
	UpdateRejected EndpointUpdateKind = "refused"    // discovery rejected the watch request
)

// Endpoint is a host in the endpoint list.
type Endpoint struct {
	Host      HostID
	Zone      string
	Kind      string // one of Settings.Kinds
	Cell      int
	Readiness Readiness
	Weight    float64       // size, defined by WeightMode; nominal: transfers at full rate, that is, seconds of sending time per second
	StartedAt time.Duration // clock time of its last start; 0: not recent
}

// Readiness is the state of a listed host.
type Readiness string

// The states of a listed host.
const (
	Ready    Readiness = "IN"
	Draining Readiness = "LAME"
	Gone     Readiness = "OUT"
)

// PeerCounts reports the numbers of directors, including this one.
type PeerCounts struct {
	InZone int // directors that serve this zone
	Total  int // directors in all zones
}

// QuotaShare sets this director's share of the load that a host in slow start can take.
type QuotaShare struct {
	Host  HostID
	Share float64 // the shares of all directors add up to 1; 0: an equal share
}

// AggregatedHealth reports the share of attempts at a host that failed because of the host, over all
// directors. The sender decays the share over time and sends each new value.
type AggregatedHealth struct {
	Host         HostID
	FailureShare float64 // 0 to 1
}

// HealthCheckResult reports the result of a HealthCheck. No rule uses it.
type HealthCheckResult struct {
	Host    HostID
	Status  Status
	Elapsed time.Duration
	Load    *LoadReport // nil: no report was received
}

// PeerMessage is a message from another director. No rule uses it.
type PeerMessage struct {
	From    int // number of the sending director
	Payload []byte
}

// TimerFired reports that a timer has expired.
type TimerFired struct{ Timer Timer }

// Timer identifies a timer of the Router. It is comparable.
type Timer struct {
	Kind    TimerKind
	Request RequestID // for TimerCoalescingLimit, TimerAttemptOverdue and TimerObjectiveMissed
	Attempt int       // index of the attempt, from 0; for TimerAttemptOverdue and TimerObjectiveMissed
}

// TimerKind is the purpose of a timer.
type TimerKind int

// The kinds of timers.
const (
	TimerUpkeep          TimerKind = iota + 1 // measures rates and removes expired state
	TimerWatchEndpoints                       // retries a watch that discovery rejected
	TimerCoalescingLimit                      // ends the wait of a coalesced request for another request's fill
	TimerAttemptOverdue                       // fires when an attempt takes longer than its size and the typical overhead explain
	TimerObjectiveMissed                      // fires when an attempt misses the latency objective of its request
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
