package decision

import "time"

// Settings is the configuration of a Router and of the director that calls it. It does not change
// during the lifetime of the Router, except that PeerCounts events replace the numbers of directors.
type Settings struct {
	Zone       string   // the director's own zone, whose caches serve the requests
	Zones      []string // all zones; the lists by zone below use the same order
	Directors  int      // number of directors in all zones
	Kinds      []string // kinds of hosts, as used in Endpoint.Kind
	ParentKind int      // index in Kinds of the parent caches; negative: there are none
	OriginKind int      // index in Kinds of the origin; negative: there is none
	Classes    []Class

	DirectorsByZone []int           // number of directors that serve each zone; 0: unknown, all directors may serve it
	FlowKBPerS      float64         // rate of one transfer to a client, in kB/s; 0: unknown
	WeightMode      WeightMode      // meaning of Endpoint.Weight
	CacheStatusMode CacheStatusMode // how much answers report about how they were served
	JoinsFills      bool            // caches support joining a fill in progress

	MustWatch     bool          // discovery sends changes only to watchers
	NotifiedAfter time.Duration // discovery assumes that a director that has not polled for this long was notified

	Cancel         bool          // attempts can be cancelled
	HedgedRequests bool          // a request may have two attempts in flight; implemented by the caller
	MaxAttempts    int           // maximum number of attempts per request
	MaxOpen        int           // maximum number of open requests; 0: no limit; implemented by the caller
	MaxRetryAfter  time.Duration // maximum Retry-After
	DialTimeout    time.Duration // timeout for connecting to a host; implemented by the caller

	AnswerGrace time.Duration // an attempt that times out this close to the deadline is not retried
	DrainGrace  time.Duration // time within which a draining host finishes its requests; implemented by the caller
	PurgeGrace  time.Duration // time within which all are notified of a purge; implemented by the caller
	PurgeDone   time.Duration // time within which all caches have carried out a purge

	CacheSlowStart  SlowStart
	ParentSlowStart SlowStart
}

// Class is the configuration of one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a request that is answered within this time counts in full
	ObjectiveStretch float64       // the objective is extended by this many times the request's sending time
	Deadline         time.Duration // total time that a client waits
	Idempotency      Idempotency
	DedupScope       DedupScope    // hosts that drop repeats of a request with an idempotency key
	DedupWindow      time.Duration // time after the first attempt during which repeats are dropped
	FreshFor         time.Duration // time for which a cached object is fresh; 0: until it is purged
	StaleFor         time.Duration // time after FreshFor during which a stale object may be served; implemented by the caller
	Uncacheable      bool          // answers are never cached; the origin generates each one
}

// Idempotency specifies whether requests of a class may be repeated.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent        Idempotency = "safe"   // may be repeated at any host
	IdempotentWithKey Idempotency = "keyed"  // repeats are dropped within DedupScope and DedupWindow
	NonIdempotent     Idempotency = "unsafe" // must run at most once
)

// DedupScope names the hosts that drop repeats of a request with an idempotency key.
type DedupScope string

// The scopes of de-duplication.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// CacheStatusMode is how much answers report about how a request was served.
type CacheStatusMode string

// The modes of cache status.
const (
	CacheStatusModeAll  CacheStatusMode = "all" // every CacheStatus is reported
	CacheStatusModeHits CacheStatusMode = "hit" // only hits are reported; all fills have CacheStatusFilled and all failures CacheStatusNone
	CacheStatusModeNone CacheStatusMode = "off" // always CacheStatusNone
)

// WeightMode is the meaning of Endpoint.Weight.
type WeightMode string

// The modes of weights.
const (
	WeightModeOff     WeightMode = "off"     // weights are not used
	WeightModeNominal WeightMode = "nominal" // number of transfers at full rate that the host's link can carry
	WeightModeRough   WeightMode = "rough"   // relative size
	WeightModeLive    WeightMode = "live"    // relative size that changes with load; not used for placement
)

// SlowStart specifies how much load a host can take after it has started.
type SlowStart struct {
	InitialShare   float64       // share of its capacity at the start
	WarmUp         time.Duration // time over which the share rises linearly to the full capacity
	OverloadFactor float64       // the host fails when its load exceeds this many times its capacity
	Window         time.Duration // time over which that load is averaged
}
