package decision

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Router makes the decisions of one director. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	classIndex map[string]int // index in Settings.Classes by name
	random     *rand.Rand
	now        time.Duration // clock time of the current event
	actions    []Action      // actions of the current event so far

	directorsInZone float64 // directors that serve this zone, this one included
	directorsTotal  int     // directors in all zones

	shortestDeadline time.Duration // shortest deadline of all classes
	longestDeadline  time.Duration

	endpoints      endpointTable
	requests       map[RequestID]*request  // open requests
	attempts       map[attemptKey]*attempt // attempts in flight
	fills          fillTable               // fills in flight that later requests may share
	purges         purgeLog                // recent purges
	retryBudget    retryBudget             // for retries of attempts that may have cost work
	limits         sharedLimits            // concurrency limits of what all caches share
	estimates      estimates               // typical latencies, sizes and miss rates
	load           loadMeter               // demanded and served load
	slowStartShare func() float64          // see SetSlowStartShare; may be nil
}

// NewRouter returns a Router, which must be started with Start. The seed determines all random
// numbers that the Router draws.
func NewRouter(s Settings, seed uint64) *Router {
	r := &Router{
		settings:       s,
		classIndex:     make(map[string]int, len(s.Classes)),
		random:         rand.New(rand.NewPCG(seed, 0)),
		directorsTotal: s.Directors,
		endpoints:      endpointTable{byID: map[HostID]*host{}},
		requests:       map[RequestID]*request{},
		attempts:       map[attemptKey]*attempt{},
		fills:          fillTable{},
		purges:         newPurgeLog(),
		limits:         newSharedLimits(),
		estimates:      newEstimates(len(s.Classes)),
	}
	for i, c := range s.Classes {
		r.classIndex[c.Name] = i
	}
	return r
}

// Start initializes the Router at the given clock time and returns its first actions. It must be
// called once, before Handle.
func (r *Router) Start(now time.Duration) []Action {
	r.beginEvent(now)
	r.load.measuredAt = now
	r.directorsInZone = r.initialDirectorsInZone()
	r.retryBudget.tokens = maxRetryTokens(r.directorsInZone) / 2
	for _, c := range r.settings.Classes { // a shortestDeadline of 0 means that none has been seen yet
		r.shortestDeadline = min(cmp.Or(r.shortestDeadline, c.Deadline), c.Deadline)
		r.longestDeadline = max(r.longestDeadline, c.Deadline)
	}
	r.setTimer(upkeepInterval, Timer{Kind: TimerUpkeep})
	if r.settings.MustWatch {
		r.emit(WatchEndpoints{Enabled: true})
	}
	return r.actions
}

// initialDirectorsInZone returns the number of directors that serve the zone according to the
// settings. If the settings do not specify it, all directors are counted, so that the shares of the
// directors never add up to more than the whole.
func (r *Router) initialDirectorsInZone() float64 {
	i := slices.Index(r.settings.Zones, r.settings.Zone)
	if i >= 0 && i < len(r.settings.DirectorsByZone) && r.settings.DirectorsByZone[i] > 0 {
		return float64(r.settings.DirectorsByZone[i])
	}
	return max(1, float64(r.settings.Directors))
}

// Handle processes one event at the given clock time and returns the resulting actions, in the order
// in which the caller must carry them out.
func (r *Router) Handle(now time.Duration, ev Event) []Action {
	r.beginEvent(now)
	switch e := ev.(type) {
	case Request:
		r.handleRequest(e)
	case PriorAttempt:
		r.handlePriorAttempt(e)
	case ClientGone:
		r.finish(r.requests[e.Request])
	case AttemptResult:
		r.handleAttemptResult(e)
	case FirstByte:
		r.handleFirstByte(e)
	case Purge:
		r.handlePurge(e)
	case EndpointUpdate:
		r.handleEndpointUpdate(e)
	case PeerCounts:
		r.directorsInZone = max(1, float64(e.InZone))
		r.directorsTotal = max(1, e.Total)
	case QuotaShare:
		if h := r.endpoints.byID[e.Host]; h != nil {
			h.quotaShare = e.Share
		}
	case AggregatedHealth:
		if h := r.endpoints.byID[e.Host]; h != nil {
			h.health.aggregatedFailures = e.FailureShare
		}
	case TimerFired:
		r.handleTimer(e.Timer)
	}
	return r.actions
}

// handleTimer processes an expired timer. A timer whose request or attempt has ended has no effect.
func (r *Router) handleTimer(t Timer) {
	switch t.Kind {
	case TimerUpkeep:
		r.upkeep()
	case TimerWatchEndpoints:
		r.emit(WatchEndpoints{Enabled: true})
	case TimerCoalescingLimit:
		r.endCoalescing(r.requests[t.Request])
	case TimerAttemptOverdue:
		if a := r.attempts[attemptKey{t.Request, t.Attempt}]; a != nil {
			r.handleOverdue(a)
		}
	case TimerObjectiveMissed:
		if a := r.attempts[attemptKey{t.Request, t.Attempt}]; a != nil {
			r.updateSharedLimits(a, false)
		}
	}
}

// beginEvent sets the clock time of an event and clears the list of actions.
func (r *Router) beginEvent(now time.Duration) {
	r.now = now
	r.actions = nil
}

// emit appends an action to those of the current event.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) setTimer(delay time.Duration, t Timer) {
	r.emit(SetTimer{Delay: max(delay, 0), Timer: t})
}
