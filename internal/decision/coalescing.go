package decision

import "slices"

// Request coalescing: while an attempt fetches an object, later requests of the same class and
// tenant for the same part share its work. If caches support joining a fill (Settings.JoinsFills),
// later requests are sent to the same cache with the same source. Otherwise they wait until the
// attempt ends, or until the latest time at which they can still meet their latency objective.
//
// A waiting request puts no load on the cache. Requests therefore keep waiting for a cache that has
// reached its concurrency limit, as long as it still responds.

// fillKey identifies the subject of a fill: one part of an object for one class and one tenant.
// Classes and tenants may use the same object IDs for different objects.
type fillKey struct {
	object ObjectID
	part   int
	class  int // index in Settings.Classes
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

// fillTable is the table of fills in flight. It maps each key to the fill that was opened most
// recently, unless that fill has ended or was purged.
type fillTable map[fillKey]*fill

// close removes a fill if it is still in the table, so that no further request shares it.
func (t fillTable) close(f *fill) {
	if t[f.key] == f {
		delete(t, f.key)
	}
}

// closePurged removes the fills that a purge covers: the data that they fetch may predate the purge.
func (t fillTable) closePurged(p Purge) {
	for key, f := range t {
		if p.ByGroup && f.group == p.Group || !p.ByGroup && key.object == p.Object {
			delete(t, key)
		}
	}
}

// stopWaiting removes the request from the fill that it waits for, if any.
func (q *request) stopWaiting() {
	f := q.waitingFor
	if f == nil {
		return
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(w *request) bool { return w == q })
	q.waitingFor = nil
}

// route makes a request join the fill in progress for its key, makes it wait for that fill, or
// starts a separate attempt.
func (r *Router) route(q *request) {
	f := r.fills[q.key]
	switch {
	case !r.canShare(q, f):
		r.dispatch(q, nil)
	case r.settings.JoinsFills:
		r.dispatch(q, f)
	default:
		r.waitForFill(q, f)
	}
}

// canShare reports whether a request may join or wait for a fill. It returns false for a nil fill.
func (r *Router) canShare(q *request, f *fill) bool {
	if f == nil || r.class(q).Uncacheable || !r.canSendTo(f.cache, q) || q.failedAt(f.cache) {
		return false
	}
	cacheAnswers := f.cache.lastAnswerAt >= f.attempt.sentAt
	if !r.settings.JoinsFills && cacheAnswers {
		return true // waiting puts no load on the cache
	}
	return f.cache.limit.fits(q.requiredHeadroom)
}

// waitForFill makes a request wait until a fill ends, and sets a timer that limits the wait.
func (r *Router) waitForFill(q *request, f *fill) {
	until := r.latestSendAt(q)
	if until <= r.now { // a separate attempt could not meet the objective either and would add load
		until = q.objectiveAt
	}
	q.waitingFor = f
	f.waiting = append(f.waiting, q)
	r.setTimer(until-r.now, Timer{Kind: TimerCoalescingLimit, Request: q.ID})
}

// endCoalescing ends the wait of a request when its TimerCoalescingLimit fires. The request is sent
// to the cache of the fill if that has capacity; otherwise it is rejected or fails.
func (r *Router) endCoalescing(q *request) {
	if q == nil || q.waitingFor == nil {
		return
	}
	f := q.waitingFor
	q.stopWaiting()
	if f.cache.limit.fits(q.requiredHeadroom) {
		r.dispatch(q, f)
	} else {
		r.rejectOrFail(q)
	}
}

// closeFill closes the fill of an attempt that has ended and returns the requests that wait for the
// fill.
func (r *Router) closeFill(a *attempt) []*request {
	if a.fill == nil {
		return nil
	}
	r.fills.close(a.fill)
	return a.fill.waiting
}

// releaseWaiting sends the requests that waited for an attempt. If the attempt was served, its cache
// now has the object. Otherwise the first of the requests opens a new fill, and the others share it.
func (r *Router) releaseWaiting(waiting []*request, a *attempt, served bool) {
	for _, q := range waiting {
		if r.requests[q.ID] != q || q.waitingFor == nil {
			continue
		}
		q.waitingFor = nil
		if served && r.canSendTo(a.cache, q) && !q.failedAt(a.cache) {
			r.dispatch(q, a.fill)
		} else {
			r.route(q)
		}
	}
}
