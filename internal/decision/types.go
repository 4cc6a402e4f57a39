// Package decision decides, for the front of a tier of caches that hold large objects behind thin
// links, which cache answers each request, where a missing object is filled from, what is kept, and when
// a request is held, tried again or refused.
//
// This file is the interface: settings, events and actions. All decisions are in router.go.
package decision

import "time"

// HostID names a cache, a parent or the origin.
type HostID uint32

// RequestID names one try of a client's request. It is never reused.
type RequestID string

// ObjectID names an object; all its parts carry it.
type ObjectID uint64

// Idempotency tells whether a class of requests may be repeated.
type Idempotency string

// The effects a class can have.
const (
	Idempotent        Idempotency = "safe"
	IdempotentWithKey Idempotency = "keyed"
	NonIdempotent     Idempotency = "unsafe"
)

// DedupScope names the hosts that drop repeats of a keyed request.
type DedupScope string

// The scopes of de-duplication.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// Class holds the settings of one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // answered within this, a request earns its full worth
	ObjectiveStretch float64       // the aim grows by this many times the request's own sending time
	Deadline         time.Duration // what a client waits in all
	PriorityWeight   float64
	LateWeight       float64 // share of the worth earned after the aim
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration
	Stream           bool
	FreshFor         time.Duration // how long a copy is good; 0: until purged
	StaleFor         time.Duration // how much older than fresh a copy may be when asked for
	StaleWeight      float64       // share of the worth a copy past its fresh time earns
	Uncacheable      bool          // never kept; it runs at the origin
	MultiPart        bool
}

// CacheStatusMode is what answers say about how a request was served.
type CacheStatusMode string

// The kinds of note that a site gives.
const (
	CacheStatusModeAll  CacheStatusMode = "all"
	CacheStatusModeHits CacheStatusMode = "hit"
	CacheStatusModeNone CacheStatusMode = "off"
)

// WeightMode is what Member.Weight stands for.
type WeightMode string

// The kinds of weight that a site lists.
const (
	WeightModeOff     WeightMode = "off"
	WeightModeNominal WeightMode = "nominal"
	WeightModeRough   WeightMode = "rough"
	WeightModeLive    WeightMode = "live"
)

// SiblingMode is which caches may be the source of a fill.
type SiblingMode string

// The caches that may be a source.
const (
	SiblingModeOff      SiblingMode = "off"
	SiblingModeLocation SiblingMode = "location"
	SiblingModeAny      SiblingMode = "any"
)

// Settings is what an instance is told when it starts.
type Settings struct {
	Zone       string
	Zones      []string
	Instance   int // number of this instance among the dispatchers
	Directors  int // how many dispatchers there are
	Kinds      []string
	ParentKind int // place in Kinds; negative: there are no parents
	OriginKind int
	Classes    []Class

	DirectorsByZone []int
	ParentsByZone   []int
	LinkKBPerS      []float64 // a zone's link in; 0: not told
	FlowKBPerS      float64   // pace of one transfer to a client
	WeightMode      WeightMode
	CacheStatusMode CacheStatusMode
	SiblingMode     SiblingMode
	JoinsFills      bool // caches can let a request join a fill under way
	DirectToSource  bool // requests may go straight to a parent or the origin

	MustWatch     bool          // the list comes only when asked for
	NotifiedAfter time.Duration // an instance that has not asked for this long counts as told

	Cancel         bool
	Probes         bool
	HedgedRequests bool // a request may have two attempts out
	RetryAfter     bool // clients are given a hold-off
	MaxAttempts    int
	MaxOpen        int
	MaxRetryAfter  time.Duration
	DialTimeout    time.Duration

	ProbePrice float64
	WastePrice float64

	AnswerGrace time.Duration
	DrainGrace  time.Duration
	PurgeGrace  time.Duration
	PurgeDone   time.Duration

	CacheSlowStart  SlowStart
	ParentSlowStart SlowStart

	OriginLimitFactor float64
	OriginFall        time.Duration
}

// SlowStart is how much a host that has just started can take.
type SlowStart struct {
	InitialShare   float64       // share of its capacity at the start
	WarmUp         time.Duration // by then, rising in a line, it has all of it
	OverloadFactor float64       // asked for more than this times what it can do ...
	Window         time.Duration // ... over this long, it falls over
}

// Readiness is the state of a listed host.
type Readiness string

// The states of a listed host.
const (
	Ready    Readiness = "IN"
	Draining Readiness = "LAME"
	Gone     Readiness = "OUT"
)

// Endpoint is one line of the list of hosts.
type Endpoint struct {
	Host      HostID
	Zone      string
	Kind      string
	Cell      int
	Readiness Readiness
	Weight    float64
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// Event is something that happened to an instance.
type Event interface{ event() }

// EndpointUpdateKind is the kind of a Topology event.
type EndpointUpdateKind string

// The kinds of list event.
const (
	UpdateDelta    EndpointUpdateKind = "changes"
	UpdateSnapshot EndpointUpdateKind = "all"
	UpdateCached   EndpointUpdateKind = "remembered"
	UpdateRejected EndpointUpdateKind = "refused"
)

// EndpointUpdate is what discovery tells of the hosts.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Version   int64
	Endpoints []Endpoint
}

// Request is a client's request; it is owed exactly one final answer.
type Request struct {
	ID         RequestID
	Object     ObjectID
	Part       int
	PurgeGroup int
	Class      string
	Tenant     string
	IsRetry    bool // the client marked it as a repeat
	Write      bool
	SizeKB     float64 // 0: not told
	TimeLeft   time.Duration
}

// Purge is a purge of an object or, where Whole is set, of a group.
type Purge struct {
	Object  ObjectID
	Group   int
	ByGroup bool
	Age     time.Duration // how long ago it was made
}

// PriorAttempt tells that a keyed request's token was sent before, by another director: an attempt may have run at caches of this
// zone and cell.
type PriorAttempt struct {
	Request RequestID
	Zone    string
	Cell    int
	Age     time.Duration // since then, or a little longer
}

// PeerCounts tells how many instances there are now, itself counted: in its zone, and in all.
type PeerCounts struct{ InZone, Total int }

// QuotaShare tells what part of a host's cold budget is this instance's, of 1 for all; 0: an even one.
type QuotaShare struct {
	Host  HostID
	Share float64
}

// AggregatedHealth tells what share of attempts at a host all instances together see go wrong by its fault; 0: nothing is held against
// it. It fades, and is told anew as it does.
type AggregatedHealth struct {
	Host         HostID
	FailureShare float64
}

// ClientGone tells that a request is over: its client went away.
type ClientGone struct{ Request RequestID }

// Status is how an attempt or a probe ended.
type Status string

// The ends of an attempt.
const (
	OK            Status = "ok"
	Failed        Status = "error"
	Full          Status = "full"
	TimedOut      Status = "timeout"
	ConnectFailed Status = "connect_failed"
	Reset         Status = "reset"
	Cancelled     Status = "cancelled"
	NotSent       Status = "moot"
	Miss          Status = "miss"
)

// CacheStatus is what an answer says about the fill.
type CacheStatus int

// The notes of an answer.
const (
	CacheStatusNone CacheStatus = iota
	CacheStatusHit
	CacheStatusFilled
	CacheStatusFilledByOrigin
	CacheStatusCoalesced
	CacheStatusStale
	CacheStatusSourceRejected
	CacheStatusSourceLost
	CacheStatusSourceMissing
	CacheStatusNoSpace
	CacheStatusOriginFailed
)

// LoadReport is what a cache reports of its load with an answer. Values that were not reported are 0.
type LoadReport struct {
	CPUShare   float64 // share of its cores that is busy, 0 to 1
	LinkUse    float64 // transfers on its location's link over those that fit; over 1 the link is full
	HasLinkUse bool    // LinkUse was reported
}

// AttemptResult is how one attempt ended.
type AttemptResult struct {
	Request     RequestID
	Terminal    bool // the request has its final answer
	FirstByte   time.Duration
	Host        HostID
	Attempt     int
	CacheStatus CacheStatus
	Status      Status
	Elapsed     time.Duration
	Load        *LoadReport // nil: none came
}

// FirstByte tells that a streamed answer has started.
type FirstByte struct {
	Request RequestID
	Attempt int
	Host    HostID
	Elapsed time.Duration
}

// HealthCheckResult is the result of a Probe.
type HealthCheckResult struct {
	Host    HostID
	Status  Status
	Elapsed time.Duration
	Load    *LoadReport
}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From    int
	Payload []byte
}

// TimerFired is a timer that has come due.
type TimerFired struct{ Timer Timer }

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

// Timer identifies a timer of the module. It is comparable.
type Timer struct {
	Kind    TimerKind
	Request RequestID // of TimerCoalescingLimit, TimerAttemptOverdue and TimerObjectiveMissed
	Attempt int       // number of the request's attempt, from 0; of TimerAttemptOverdue and TimerObjectiveMissed
}

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (Purge) event()             {}
func (PriorAttempt) event()      {}
func (PeerCounts) event()        {}
func (QuotaShare) event()        {}
func (AggregatedHealth) event()  {}
func (ClientGone) event()        {}
func (AttemptResult) event()     {}
func (FirstByte) event()         {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (TimerFired) event()        {}

// Action is something an instance wants done.
type Action interface{ action() }

// FetchOptions are the bits of an Obtain.
type FetchOptions int

// The options of an Obtain.
const (
	JoinFill         FetchOptions = 1 // join a fill under way
	SourceCachedOnly FetchOptions = 2 // the source gives only what it holds
	ParentNoStore    FetchOptions = 4 // the parent keeps no copy
	Revalidate       FetchOptions = 8 // an ageing copy is served and fetched anew behind
)

// StartAttempt is an attempt at a host that says how a miss is filled.
type StartAttempt struct {
	Request       RequestID
	Host          HostID
	Options       FetchOptions
	MaxAge        time.Duration // oldest copy that will do; 0: the class's fresh time
	CachePriority int           // 0: pass through, 1 to 3: keep at that rank
	Timeout       time.Duration // 0: until the client gives up
	Source        HostID
}

// Reject turns a request away; trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration
}

// Fail ends a request in failure and promises nothing.
type Fail struct{ Request RequestID }

// CancelAttempt calls off one attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// HealthCheck checks on a host.
type HealthCheck struct{ Host HostID }

// SetTimer asks for an Alarm.
type SetTimer struct {
	Delay time.Duration
	Timer Timer
}

// WatchEndpoints asks discovery for changes from now on.
type WatchEndpoints struct{ Enabled bool }

// PollEndpoints asks discovery for the whole list once.
type PollEndpoints struct{}

// LogLine records a line in the report.
type LogLine struct{ Text string }

func (StartAttempt) action()   {}
func (Reject) action()         {}
func (Fail) action()           {}
func (CancelAttempt) action()  {}
func (HealthCheck) action()    {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (PollEndpoints) action()  {}
func (LogLine) action()        {}
