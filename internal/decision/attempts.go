package decision

import (
	"cmp"
	"time"
)

// Attempts: a request is sent to a cache with a source for what the cache does not have, and the
// attempt's result is taken in. A request has at most one attempt out. What is learnt from a result
// is decided in outliers.go, limits.go and latency.go, what follows from a failure in retries.go.

// attempt is one sending of a request to a cache.
type attempt struct {
	request       *request
	number        int // among the request's attempts, from 0
	cache         *host
	source        *host // cache itself: there is nothing to fill from
	sentAt        time.Duration
	depth         fetchDepth
	fill          *fill // the fill that this attempt opened; nil: none
	ended         bool
	mayHaveRun    bool
	cacheFailed   bool                // the cache is not asked again for this request
	knownMiss     fetchDepth          // how deep it has shown the object not to be cached
	cacheBlamed   bool                // it was overdue and counted against its cache; its success does not count for it
	limits        []*concurrencyLimit // shared limits under which it is in flight
	limitsUpdated bool                // its shared limits have been updated for it
}

// attemptKey identifies an attempt.
type attemptKey struct {
	request RequestID
	number  int
}

// launch sends a request to the cache of the fill that it joins, or to a cache of its own choice;
// for nil it joins none.
func (r *Router) launch(q *request, join *fill) {
	var cache, source *host
	if join != nil && r.usable(join.cache, q) {
		cache = join.cache
		source = join.source
	} else {
		cache = r.pickCache(q)
	}
	if cache == nil {
		r.giveUp(q)
		return
	}
	if source == nil || !r.isAvailable(source, q) {
		source = r.pickSource(q)
	}
	depth := fetchAnywhere
	if join == nil && !r.class(q).Uncacheable {
		var ok bool
		if depth, ok = r.chooseDepth(q, cache, source); !ok {
			r.giveUp(q)
			return
		}
	}
	if depth == fetchFromCache {
		source = cache
	}
	a := r.send(q, cache, source, depth, join != nil)
	if !r.class(q).Uncacheable && r.fills[q.key] == nil {
		a.fill = &fill{key: q.key, group: q.PurgeGroup, attempt: a, cache: cache, source: source}
		r.fills[q.key] = a.fill
	}
}

// send makes one attempt.
func (r *Router) send(q *request, cache, source *host, depth fetchDepth, joins bool) *attempt {
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
	if !joins && depth != fetchFromCache {
		a.limits = r.limits.forAttempt(q, depth)
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
	r.do(StartAttempt{
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

func (r *Router) fetchOptions(class *Class, depth fetchDepth) FetchOptions {
	var options FetchOptions
	if depth == fetchFromSource {
		options |= SourceCachedOnly
	}
	if !r.settings.JoinsFills || class.Uncacheable {
		return options
	}
	if depth != fetchFromCache { // a cache-only lookup must not wait for a fill that hangs
		options |= JoinFill
	}
	if class.FreshFor > 0 {
		options |= Revalidate
	}
	return options
}

// recordFirstByte notes that a host answers.
func (r *Router) recordFirstByte(e FirstByte) {
	if a := r.attempts[attemptKey{e.Request, e.Attempt}]; a != nil {
		a.cache.recordAnswer(r.now)
	}
}

// endAttempt takes in the result of an attempt.
func (r *Router) endAttempt(e AttemptResult) {
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
	a.recordEnd(e)
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
	r.release(waiting, a, e.Status == OK)
}

// recordEnd notes what a result says of the attempt itself.
func (a *attempt) recordEnd(e AttemptResult) {
	switch e.Status {
	case Full, ConnectFailed, NotSent, Miss:
		a.mayHaveRun = false
	}
	switch { // what is no failure of the cache comes first
	case e.Status == Miss || e.Status == Reset:
	case e.Status == Cancelled && a.cache.lastAnswerAt >= a.sentAt: // the cache answers others; this answer was lost
	case e.CacheStatus >= CacheStatusSourceRejected && e.CacheStatus != CacheStatusNoSpace: // the source failed, not the cache
	default:
		a.cacheFailed = true
	}
	if e.Status == Miss && a.depth != fetchAnywhere {
		a.knownMiss = a.depth
	}
}

// observeResult learns from a result how the cache and the source do, and what is usual.
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
