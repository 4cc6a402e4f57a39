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
	classIndex map[string]int // place in Settings.Classes by name
	random     *rand.Rand
	now        time.Duration // clock time of the event that is being handled
	actions    []Action      // what that event has called for so far

	directorsInZone float64 // directors that serve this zone, this one included
	directorsTotal  int     // directors in all zones

	shortestDeadline time.Duration // of all classes
	longestDeadline  time.Duration

	endpoints      endpointTable
	requests       map[RequestID]*request  // those without a final answer
	attempts       map[attemptKey]*attempt // those without a result
	fills          fillTable               // attempts that later requests for the same object may share
	purges         purgeLog                // purges that cached objects may be older than
	retryBudget    retryBudget             // for retries of attempts that may have cost work
	limits         sharedLimits            // concurrency limits of what all caches share
	estimates      estimates               // usual latencies, sizes and shares
	load           loadMeter               // what is demanded and served
	slowStartShare func() float64          // see SetSlowStartShare; may be nil
}

// NewRouter makes a Router. Call Start next. The seed decides all random draws.
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

// Start begins the Router's work.
func (r *Router) Start(now time.Duration) []Action {
	r.begin(now)
	r.load.measuredAt = now
	r.directorsInZone = r.initialDirectorsInZone()
	r.retryBudget.tokens = maxRetryTokens(r.directorsInZone) / 2
	for _, c := range r.settings.Classes { // a shortest deadline of 0 stands for none yet
		r.shortestDeadline = min(cmp.Or(r.shortestDeadline, c.Deadline), c.Deadline)
		r.longestDeadline = max(r.longestDeadline, c.Deadline)
	}
	r.setTimer(upkeepInterval, Timer{Kind: TimerUpkeep})
	if r.settings.MustWatch {
		r.do(WatchEndpoints{Enabled: true})
	}
	return r.actions
}

// initialDirectorsInZone is the number of directors that serve the zone as the settings give it.
// Where they do not, all directors are counted, so that the shares of all together never exceed
// what there is.
func (r *Router) initialDirectorsInZone() float64 {
	i := slices.Index(r.settings.Zones, r.settings.Zone)
	if i >= 0 && i < len(r.settings.DirectorsByZone) && r.settings.DirectorsByZone[i] > 0 {
		return float64(r.settings.DirectorsByZone[i])
	}
	return max(1, float64(r.settings.Directors))
}

// Handle takes one event and returns the actions that it calls for, in the order in which they are
// to be done.
func (r *Router) Handle(now time.Duration, ev Event) []Action {
	r.begin(now)
	switch e := ev.(type) {
	case Request:
		r.admit(e)
	case PriorAttempt:
		r.recordPriorAttempt(e)
	case ClientGone:
		r.finish(r.requests[e.Request])
	case AttemptResult:
		r.endAttempt(e)
	case FirstByte:
		r.recordFirstByte(e)
	case Purge:
		r.purge(e)
	case EndpointUpdate:
		r.updateEndpoints(e)
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
		r.fireTimer(e.Timer)
	}
	return r.actions
}

// fireTimer acts on a timer. One whose request or attempt is over does nothing.
func (r *Router) fireTimer(t Timer) {
	switch t.Kind {
	case TimerUpkeep:
		r.upkeep()
	case TimerWatchEndpoints:
		r.do(WatchEndpoints{Enabled: true})
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

// begin starts the handling of an event.
func (r *Router) begin(now time.Duration) {
	r.now = now
	r.actions = nil
}

func (r *Router) do(a Action) { r.actions = append(r.actions, a) }

func (r *Router) setTimer(delay time.Duration, t Timer) {
	r.do(SetTimer{Delay: max(delay, 0), Timer: t})
}
