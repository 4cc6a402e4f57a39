package decision

import "time"

// Settings is the configuration of a Router and of the director that calls it. It is fixed while
// the Router lives, but for the numbers of directors, which PeerCounts events replace.
type Settings struct {
	Zone       string   // own zone; its caches answer the requests
	Zones      []string // all zones, in the order of the lists by zone below
	Directors  int      // directors in all zones
	Kinds      []string // kinds of hosts, as Endpoint.Kind names them
	ParentKind int      // index in Kinds of the parent caches; negative: there are none
	OriginKind int      // index in Kinds of the origin; negative: there is none
	Classes    []Class

	DirectorsByZone []int           // directors that serve each zone; 0: not known, all directors may
	FlowKBPerS      float64         // pace of one transfer to a client, in kB/s; 0: not known
	WeightMode      WeightMode      // meaning of Endpoint.Weight
	CacheStatusMode CacheStatusMode // what answers report of how they were served
	JoinsFills      bool            // a cache can let a request join a fill under way

	MustWatch     bool          // discovery sends changes only to who watches
	NotifiedAfter time.Duration // discovery counts a director that has not polled for this long as notified

	Cancel         bool          // attempts can be cancelled
	HedgedRequests bool          // a request may have two attempts out; for the caller
	MaxAttempts    int           // attempts of one request
	MaxOpen        int           // requests open at once; 0: no limit; for the caller
	MaxRetryAfter  time.Duration // longest Retry-After
	DialTimeout    time.Duration // connecting to a host; for the caller

	AnswerGrace time.Duration // an attempt that timed out this close to the deadline has no time for a retry
	DrainGrace  time.Duration // a draining host finishes what it was sent within this; for the caller
	PurgeGrace  time.Duration // a purge is notified to all within this; for the caller
	PurgeDone   time.Duration // a purge is carried out by all caches within this

	CacheSlowStart  SlowStart
	ParentSlowStart SlowStart
}

// Class is the configuration of one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a request answered within this has its full weight
	ObjectiveStretch float64       // the objective grows by this many times the request's sending time
	Deadline         time.Duration // how long a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope    // hosts that drop repeats of a request with an idempotency key
	DedupWindow      time.Duration // for this long after the first attempt
	FreshFor         time.Duration // how long a cached object is fresh; 0: until it is purged
	StaleFor         time.Duration // how much older than that a cached object may be served; for the caller
	Uncacheable      bool          // answers are never cached; the origin makes each
}

// Idempotency tells whether a class of requests may be repeated.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent        Idempotency = "safe"   // may be repeated anywhere
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

// CacheStatusMode is what answers report of how a request was served.
type CacheStatusMode string

// The modes of cache status.
const (
	CacheStatusModeAll  CacheStatusMode = "all" // every CacheStatus
	CacheStatusModeHits CacheStatusMode = "hit" // hits; fills are all CacheStatusFilled and failures CacheStatusNone
	CacheStatusModeNone CacheStatusMode = "off" // always CacheStatusNone
)

// WeightMode is what Endpoint.Weight stands for.
type WeightMode string

// The modes of weights.
const (
	WeightModeOff     WeightMode = "off"     // nothing
	WeightModeNominal WeightMode = "nominal" // transfers at full pace that the host's link carries
	WeightModeRough   WeightMode = "rough"   // relative size
	WeightModeLive    WeightMode = "live"    // relative size that changes with load; not used for placement
)

// SlowStart is how much load a host that has just started can bear.
type SlowStart struct {
	InitialShare   float64       // share of its capacity at the start
	WarmUp         time.Duration // by then it has all of its capacity, rising linearly
	OverloadFactor float64       // it fails when load exceeds this many times its capacity
	Window         time.Duration // over this long
}
