package decision

import "slices"

// Request coalescing: while an attempt fetches an object, later requests of the same class and
// tenant for the same part share its work. Where caches can let requests join a fill
// (Settings.JoinsFills), they are sent to the same cache with the same source. Elsewhere they wait
// until the attempt ends, or until the last moment at which they can still meet their latency
// objective.
//
// A waiting request costs the cache nothing. A full cache that still answers is therefore no reason
// to stop waiting.

// fillKey identifies what a fill is for: a part of an object as one class and one tenant ask for
// it. Classes and tenants may use the same object numbers for different objects.
type fillKey struct {
	object ObjectID
	part   int
	class  int // place in Settings.Classes
	tenant string
}

// fill is an attempt that later requests with the same key may share.
type fill struct {
	key     fillKey
	group   int // purge group
	attempt *attempt
	cache   *host
	source  *host
	waiting []*request
}

// fillTable is the in-flight table: for each key the fill that was opened last, unless it has ended
// or was purged.
type fillTable map[fillKey]*fill

// close takes a fill off the table, if it is still there.
func (t fillTable) close(f *fill) {
	if t[f.key] == f {
		delete(t, f.key)
	}
}

// closePurged takes the fills that a purge covers off the table: what they fetch may be older than
// the purge.
func (t fillTable) closePurged(p Purge) {
	for key, f := range t {
		if p.ByGroup && f.group == p.Group || !p.ByGroup && key.object == p.Object {
			delete(t, key)
		}
	}
}

func (q *request) stopWaiting() {
	f := q.waitingFor
	if f == nil {
		return
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(w *request) bool { return w == q })
	q.waitingFor = nil
}

// route joins a request to the fill under way for its object, has it wait for that fill, or
// launches an attempt of its own.
func (r *Router) route(q *request) {
	f := r.fills[q.key]
	switch {
	case !r.canShare(q, f):
		r.launch(q, nil)
	case r.settings.JoinsFills:
		r.launch(q, f)
	default:
		r.wait(q, f)
	}
}

// canShare reports whether a request may join or wait for a fill. For nil it may not.
func (r *Router) canShare(q *request, f *fill) bool {
	if f == nil || r.class(q).Uncacheable || !r.usable(f.cache, q) || q.failedAt(f.cache) {
		return false
	}
	cacheAnswers := f.cache.lastAnswerAt >= f.attempt.sentAt
	if !r.settings.JoinsFills && cacheAnswers {
		return true // waiting costs the cache nothing
	}
	return f.cache.limit.fits(q.requiredFree)
}

// wait has a request wait for a fill.
func (r *Router) wait(q *request, f *fill) {
	until := r.lastSendAt(q)
	if until <= r.now { // an attempt of its own could not meet the objective either, and would add load
		until = q.objectiveAt
	}
	q.waitingFor = f
	f.waiting = append(f.waiting, q)
	r.setTimer(until-r.now, Timer{Kind: TimerCoalescingLimit, Request: q.ID})
}

// endCoalescing sends a request that has waited for as long as it may.
func (r *Router) endCoalescing(q *request) {
	if q == nil || q.waitingFor == nil {
		return
	}
	f := q.waitingFor
	q.stopWaiting()
	if f.cache.limit.fits(q.requiredFree) {
		r.launch(q, f)
	} else {
		r.giveUp(q)
	}
}

// closeFill closes the fill of an attempt that has ended, and returns the requests that wait for
// it.
func (r *Router) closeFill(a *attempt) []*request {
	if a.fill == nil {
		return nil
	}
	r.fills.close(a.fill)
	return a.fill.waiting
}

// release sends the requests that have waited for an attempt. If it was served, its cache has the
// object now. Otherwise the first of them opens a new fill, which the others share again.
func (r *Router) release(waiting []*request, a *attempt, served bool) {
	for _, q := range waiting {
		if r.requests[q.ID] != q || q.waitingFor == nil {
			continue
		}
		q.waitingFor = nil
		if served && r.usable(a.cache, q) && !q.failedAt(a.cache) {
			r.launch(q, a.fill)
		} else {
			r.route(q)
		}
	}
}
