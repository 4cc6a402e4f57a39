package decision

import (
	"cmp"
	"time"
)

// Attempts: a request is sent to a cache, together with the source from which the cache fills a
// miss, and the result of the attempt is processed. A request has at most one attempt in flight.
// Results update the state of outliers.go, limits.go and latency.go; retries.go decides how to
// proceed after a failure.

// attempt is a single try of a request at a cache.
type attempt struct {
	request             *request
	number              int // index among the request's attempts, from 0
	cache               *host
	source              *host // equal to cache if the cache must not fill a miss
	sentAt              time.Duration
	depth               fetchDepth
	fill                *fill // fill that this attempt opened; nil: none
	ended               bool
	mayHaveRun          bool
	cacheFailed         bool                // the request must not be sent to this cache again
	knownMiss           fetchDepth          // deepest level at which the attempt found the object missing; 0: it found no miss
	countedAgainstCache bool                // the overdue attempt was recorded as a failure of its cache; a later success is not recorded
	limits              []*concurrencyLimit // shared limits that the attempt counts against while in flight
	limitsUpdated       bool                // the shared limits already reflect the outcome of the attempt
}

// attemptKey identifies an attempt.
type attemptKey struct {
	request RequestID
	number  int
}

// dispatch starts an attempt. If join is not nil and the cache of that fill can be used, the request
// goes there and joins the fill. Otherwise dispatch selects a cache. If no cache can serve the
// request, or no fill is allowed, dispatch ends the request.
func (r *Router) dispatch(q *request, join *fill) {
	var cache, source *host
	if join != nil && r.canSendTo(join.cache, q) {
		cache = join.cache
		source = join.source
	} else {
		cache = r.pickCache(q)
	}
	if cache == nil {
		r.rejectOrFail(q)
		return
	}
	if source == nil || !r.isAvailable(source, q) {
		source = r.pickSource(q)
	}
	depth := fetchAnywhere
	if join == nil && !r.class(q).Uncacheable {
		var ok bool
		if depth, ok = r.chooseDepth(q, cache, source); !ok {
			r.rejectOrFail(q)
			return
		}
	}
	if depth == fetchFromCache {
		source = cache
	}
	a := r.startAttempt(q, cache, source, depth, join != nil)
	if !r.class(q).Uncacheable && r.fills[q.key] == nil {
		a.fill = &fill{key: q.key, group: q.PurgeGroup, attempt: a, cache: cache, source: source}
		r.fills[q.key] = a.fill
	}
}

// startAttempt sends a request to a cache and reserves its share of the limits and budgets that
// apply. A nil source stands for the cache itself.
func (r *Router) startAttempt(q *request, cache, source *host, depth fetchDepth, joinsFill bool) *attempt {
	source = cmp.Or(source, cache)
	fillShare := r.estimates.plannedMissShare()
	if q.knownMiss(cache) > 0 {
		fillShare = 1
	}
	a := &attempt{
		request:    q,
		number:     len(q.attempts),
		cache:      cache,
		source:     source,
		sentAt:     r.now,
		depth:      depth,
		mayHaveRun: true,
	}
	if !joinsFill && depth != fetchFromCache {
		a.limits = r.limits.limitsFor(q, depth)
		for _, l := range a.limits {
			l.acquire(q.sendTime)
		}
		r.setTimer(q.objective, Timer{TimerObjectiveMissed, q.ID, a.number})
	}
	q.attempts = append(q.attempts, a)
	r.attempts[attemptKey{q.ID, a.number}] = a
	cache.attemptsInFlight++
	cache.limit.acquire(q.sendTime)
	r.spendSlowStart(cache, q, 1)
	if source != cache && source != r.endpoints.origin {
		r.spendSlowStart(source, q, fillShare)
	}
	class := r.class(q)
	priority := defaultCachePriority
	if class.Uncacheable {
		priority = doNotCache
	}
	r.emit(StartAttempt{
		Request:       q.ID,
		Host:          cache.Host,
		Options:       r.fetchOptions(class, depth),
		MaxAge:        r.maxAge(q),
		CachePriority: priority,
		Source:        source.Host,
	})
	if at := r.overdueAt(q); at < q.deadline {
		r.setTimer(at-r.now, Timer{TimerAttemptOverdue, q.ID, a.number})
	}
	return a
}

// Values of StartAttempt.CachePriority.
const (
	doNotCache           = 0
	defaultCachePriority = 1
)

// fetchOptions returns the options of an attempt for a class and a fetch depth.
func (r *Router) fetchOptions(class *Class, depth fetchDepth) FetchOptions {
	var options FetchOptions
	if depth == fetchFromSource {
		options |= SourceCachedOnly
	}
	if !r.settings.JoinsFills || class.Uncacheable {
		return options
	}
	if depth != fetchFromCache { // a cache-only lookup must not wait for a fill that may hang
		options |= JoinFill
	}
	if class.FreshFor > 0 {
		options |= Revalidate
	}
	return options
}

// handleFirstByte records that a cache has responded.
func (r *Router) handleFirstByte(e FirstByte) {
	if a := r.attempts[attemptKey{e.Request, e.Attempt}]; a != nil {
		a.cache.recordAnswer(r.now)
	}
}

// handleAttemptResult processes the result of an attempt: it updates the state of the hosts and
// limits, ends or retries the request, and sends the requests that waited for the attempt.
func (r *Router) handleAttemptResult(e AttemptResult) {
	key := attemptKey{e.Request, e.Attempt}
	a := r.attempts[key]
	if a == nil {
		if q := r.requests[e.Request]; q != nil && e.Terminal {
			r.finish(q)
		}
		return
	}
	delete(r.attempts, key)
	a.ended = true
	a.cache.attemptsInFlight--
	r.recordLoad(a.cache, e.Load)
	a.recordResult(e)
	r.observeResult(a, e)
	r.updateLimits(a, e)
	waiting := r.closeFill(a)
	if q := a.request; r.requests[q.ID] == q {
		if e.Terminal {
			r.finish(q)
		} else {
			r.handleFailure(q, a, e)
		}
	}
	r.releaseWaiting(waiting, a, e.Status == OK)
}

// recordResult updates the attempt from its result.
func (a *attempt) recordResult(e AttemptResult) {
	switch e.Status {
	case Full, ConnectFailed, NotSent, Miss:
		a.mayHaveRun = false
	}
	switch { // the cases that are not failures of the cache come first
	case e.Status == Miss || e.Status == Reset:
	case e.Status == Cancelled && a.cache.lastAnswerAt >= a.sentAt: // the cache responds to other attempts; only this response was lost
	case e.CacheStatus >= CacheStatusSourceRejected && e.CacheStatus != CacheStatusNoSpace: // the source failed, not the cache
	default:
		a.cacheFailed = true
	}
	if e.Status == Miss && a.depth != fetchAnywhere {
		a.knownMiss = a.depth
	}
}

// observeResult updates the health of the hosts and the latency estimates from a result.
func (r *Router) observeResult(a *attempt, e AttemptResult) {
	if e.Status == Cancelled || e.Status == NotSent {
		return
	}
	if e.Status != TimedOut && e.Status != ConnectFailed {
		a.cache.recordAnswer(r.now)
	}
	if e.Status == OK {
		r.load.served.add(a.request.sendTime)
		r.observeLatency(a, e)
		r.recordSuccess(a, e)
	} else {
		r.recordFailure(a, e)
	}
}
