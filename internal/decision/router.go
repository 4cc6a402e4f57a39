package decision

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Smoothing and clocks.
const (
	smoothing    = 0.1                    // EWMA weight of a new sample: about the last ten answers speak
	slowly       = smoothing / 4          // for what hardly changes: class means, shares, calm figures
	unheardAfter = 2                      // longest deadlines after which a silent estimate counts as average
	purgeKept    = 2                      // times PurgeDone that a purge is remembered: a fill may end late
	measureOver  = 2.0                    // seconds over which rates are measured: a few large answers
	keepsBest    = 4                      // longest deadlines over which the best rate fades
	sweepEvery   = 250 * time.Millisecond // paces upkeep; nothing urgent waits for it
)

// Further attempts.
const (
	furtherShare      = 0.15 // further attempts that each request earns: a retry budget against storms
	furtherBurst      = 20   // what all dispatchers of a zone can save up in a calm time
	furtherLeast      = 2    // of it that one can
	overdueDeviations = 4    // beyond the usual overhead an answer is overdue, as TCP's timer has it
	slowDeviations    = 2    // beyond the usual overhead a cache is slow; one that is not only loses answers
	strainedShare     = 0.9  // share of busy cores from which a cache has all it can do
)

// Health: hosts are compared with their peers, for what all suffer is no host's fault.
const (
	badShare    = 0.4 // share of bad outcomes that ejects a host whose peers have under half of it
	silentLimit = 2   // overdue attempts in a row, with no answer between, that eject a host
	ejectedMost = 0.5 // share of the peers that may be out at once: the rest must carry their load
	ejectedLong = 3   // ejections in a row up to which the time out grows

	// A cache that turns a request away by itself does so at once; its source's refusal takes a connection.
	atOnce = 25 * time.Millisecond
)

// Load: when a cache passes requests on.
const (
	crowdedBound  = 1.25 // times its share of the open attempts above which a cache passes requests on
	crowdedChance = 3    // standard deviations of a sample of them that are put down to chance
	crowdedFloor  = 4    // open attempts that a cache may always have: fewer compare badly
)

// Windows: how much sending may be out at once over what is shared and may be short.
const (
	lackFrom    = 0.5 // share of fills that had to be fetched from which the parents lack too much
	windowFrom  = 0.2 // share of late or refused ones from which a window limits
	windowRises = 0.2 // of the sending time of each in time
	windowFalls = 0.6 // of that of each late or refused: a quarter that fail is borne
	linkFull    = 2   // reported transfers over those that fit from which the location's link may be short
	windowFree  = 4   // times what is usually out at which the window no longer limits
)

// Cold hosts: capacity is only a guess, and all dispatchers act alike.
const (
	coldSafety   = 0.5  // part of the budget that is planned with
	coldBurst    = 0.4  // part of a window's budget that may be spent at once
	unseenMiss   = 0.35 // stands for the share of misses where answers do not tell hits
	missMargin   = 1.5  // safety on the share of misses
	unseenDemand = 0.3  // part of demand that stands for load before any was carried: clients repeat
)

// Start begins an instance's life.
func (r *Router) Start(now time.Duration) []Action {
	r.now, r.measured, r.acts = now, now, nil
	r.missShare, r.alike = unseenMiss, max(1, float64(r.s.Directors)) // all may serve the zone, unless told
	i := slices.Index(r.s.Zones, r.s.Zone)
	if i >= 0 && i < len(r.s.DirectorsByZone) && r.s.DirectorsByZone[i] > 0 {
		r.alike = float64(r.s.DirectorsByZone[i])
	}
	r.further = r.furtherMost() / 2
	for _, c := range r.s.Classes {
		r.patience, r.longest = min(cmp.Or(r.patience, c.Deadline), c.Deadline), max(r.longest, c.Deadline)
	}
	r.after(sweepEvery, Timer{Kind: TimerUpkeep})
	if r.s.MustWatch {
		r.do(WatchEndpoints{Enabled: true})
	}
	return r.acts
}

// Handle takes one event and gives the actions it calls for.
func (r *Router) Handle(now time.Duration, ev Event) []Action {
	r.now, r.acts = now, nil
	switch e := ev.(type) {
	case Request:
		r.arrive(e)
	case AttemptResult:
		r.answer(e)
	case FirstByte:
		r.first(e)
	case PriorAttempt:
		if q := r.open[e.Request]; q != nil {
			at := &host{Endpoint: Endpoint{Zone: e.Zone, Cell: e.Cell}}
			q.bound = &attempt{req: q, host: at, sentAt: r.now - e.Age, mayRun: true}
		}
	case PeerCounts:
		r.alike, r.s.Directors = max(1, float64(e.InZone)), max(1, e.Total)
	case QuotaShare:
		if h := r.hosts[e.Host]; h != nil {
			h.part = e.Share
		}
	case AggregatedHealth:
		if h := r.hosts[e.Host]; h != nil {
			h.doubt = e.FailureShare
		}
	case ClientGone:
		r.finish(r.open[e.Request])
	case TimerFired:
		r.timerFired(e.Timer)
	case Purge:
		r.purge(e)
	case EndpointUpdate:
		r.topology(e)
	}
	return r.acts
}

// arrive takes a request in.
func (r *Router) arrive(e Request) {
	class, known := r.class[e.Class]
	if r.open[e.ID] != nil {
		return
	}
	if !known {
		r.do(Fail{Request: e.ID}) // of a class of unknown effect nothing can be promised
		return
	}
	q := &request{Request: e, class: class, key: objectPart{e.Object, e.Part, class, e.Tenant}, arrived: r.now}
	r.open[e.ID] = q
	c := r.settings(q)
	q.send = r.sendTime(q)
	// Little room is left whenever it matters: by its whole size a large request would hardly ever find any.
	q.room = min(q.send, seconds(math.Cbrt(q.send.Seconds()*math.Pow(r.meanSend[q.class], 2))))
	q.deadline = r.now + e.TimeLeft
	q.aim = c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(q.send))
	q.aimAt = min(r.now+q.aim, q.deadline)
	r.demand.sum += q.send.Seconds()
	r.further = min(r.further+furtherShare, r.furtherMost())
	r.route(q)
}

// furtherMost bounds the saved budget for further attempts. What all dispatchers of a zone may spend at once
// on its caches must not grow with their number.
func (r *Router) furtherMost() float64 { return max(furtherLeast, furtherBurst/r.alike) }

// sendTime is the time one transfer to a client takes, from the size or, untold, the class's usual one.
func (r *Router) sendTime(q *request) time.Duration {
	mean := &r.meanSend[q.class]
	send := q.SizeKB / r.s.FlowKBPerS
	switch {
	case q.SizeKB <= 0 || r.s.FlowKBPerS <= 0:
		return seconds(*mean)
	case *mean == 0:
		*mean = send
	}
	*mean += slowly * (send - *mean)
	return seconds(send)
}

// route takes a request through the table: join or wait where its object has an open attempt, else open one.
// Held, a request burdens no cache, so a full one that answers does not end the holding.
func (r *Router) route(q *request) {
	e := r.table[q.key]
	if e == nil || r.settings(q).Uncacheable || !r.usable(e.cache, q) || q.tried(e.cache) ||
		(r.s.JoinsFills || e.cache.answered < e.owner.sentAt) && !e.cache.link.fits(q.room) {
		r.launch(q, nil)
		return
	}
	if !r.s.JoinsFills {
		until := r.dueBy(q)
		if until <= r.now { // in a jam no attempt of its own would keep the aim, and would add to the jam
			until = q.aimAt
		}
		q.held = e
		e.waiters = append(e.waiters, q)
		r.after(until-r.now, Timer{Kind: TimerCoalescingLimit, Request: q.ID})
		return
	}
	r.launch(q, e)
}

// dueBy is the last moment at which a request can be sent and still keep its aim.
func (r *Router) dueBy(q *request) time.Duration {
	return q.aimAt - q.send - seconds(r.lag+r.lagDev)
}

// launch sends a request: to the cache of the entry it joins, or to the one its object hashes to.
func (r *Router) launch(q *request, join *entry) {
	var cache, source *host
	if join != nil && r.usable(join.cache, q) {
		cache, source = join.cache, join.source
	} else {
		cache = r.pickCache(q)
	}
	if cache == nil {
		r.giveUp(q)
		return
	}
	if source == nil || !r.sourceUsable(source, q) {
		source = r.pickSource(q)
	}
	how, ok := anywhere, true
	if join == nil && !r.settings(q).Uncacheable {
		how, ok = r.reach(q, cache, source)
	}
	if !ok {
		r.giveUp(q)
		return
	}
	if how == keptHere {
		source = cache
	}
	a := r.send(q, cache, source, how, join != nil)
	if !r.settings(q).Uncacheable && r.table[q.key] == nil {
		a.entry = &entry{key: q.key, group: q.PurgeGroup, owner: a, cache: cache, source: source}
		r.table[q.key] = a.entry
	}
}

// reach is how far a request goes for a copy. While fills are limited it first looks at what its cache keeps,
// while fetches are, at what the parents keep; only what was found lacking needs room in the window.
func (r *Router) reach(q *request, cache, source *host) (reach, bool) {
	found := q.found(cache)
	switch {
	case r.now+q.send+seconds(r.lag+r.lagDev) > q.deadline: // its client is hasty: no fill would be in time
		return keptHere, found < keptHere
	case r.isCold(cache, q) && r.fills.fits(q.room) && r.fetches.fits(q.room): // looks spend its budget
		return anywhere, true
	case found < keptHere && r.fills.limit > 0:
		return keptHere, true
	case found < keptBehind && r.fetches.limit > 0 && slices.Contains(r.parents, source):
		return keptBehind, r.fills.fits(q.room)
	case found == keptBehind:
		return anywhere, r.fetches.fits(q.room)
	default:
		return anywhere, r.fills.fits(q.room)
	}
}

// found is how far the last attempt has shown the object to be lacking at a cache, or at any; 0: not at all.
func (q *request) found(cache *host) reach {
	if n := len(q.attempts); n > 0 && (cache == nil || q.attempts[n-1].host == cache) {
		return q.attempts[n-1].lacks
	}
	return 0
}

// pickCache is weighted rendezvous hashing over the caches that can take this request and were not tried yet.
// Crowded ones come after the others, and ejected ones last: an unlikely answer is better than none.
func (r *Router) pickCache(q *request) (best *host) {
	for level := 0; level < 3 && best == nil; level++ {
		bestScore := math.Inf(-1)
		for _, h := range r.caches {
			if !h.listed || q.tried(h) || !r.mayRepeat(q, h) || !r.coldFits(h, q) || !h.link.fits(q.room) ||
				level < 2 && !r.healthy(h) || level < 1 && r.crowded(h) {
				continue
			}
			if score := rendezvous(q.key, h, r.weight(h)); score > bestScore {
				best, bestScore = h, score
			}
		}
	}
	return best
}

// tried tells whether the cache has failed the request.
func (q *request) tried(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.host == h && a.spent })
}

// crowded tells whether a cache has far more than its share of the open attempts; then the next in hash order
// serves (hashing with bounded loads). Where others send there too, counts are a sample, given its chance.
func (r *Router) crowded(h *host) bool {
	out, weight := 0.0, 0.0
	for _, o := range r.caches {
		if o.listed && r.now >= o.until {
			out, weight = out+float64(o.out), weight+r.weight(o)
		}
	}
	share := (out + 1) * r.weight(h) / weight
	chance := crowdedChance * math.Sqrt(share*(1-1/r.alike))
	return h.out >= crowdedFloor && float64(h.out+1) > crowdedBound*share+chance
}

// weight compares caches by size where the list tells it in a steady way.
func (r *Router) weight(h *host) float64 {
	if (r.s.WeightMode == WeightModeNominal || r.s.WeightMode == WeightModeRough) && h.Weight > 0 {
		return h.Weight
	}
	return 1
}

// rendezvous scores a host for an object: the highest wins, each in proportion to its weight.
func rendezvous(k objectPart, h *host, weight float64) float64 {
	x := mix(uint64(k.object) ^ mix(uint64(k.part)<<32^uint64(h.Host)))
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// pickSource draws two parents and takes the one that answers sooner; the origin where there are none.
func (r *Router) pickSource(q *request) *host {
	var up []*host
	for _, p := range r.parents {
		if r.sourceUsable(p, q) && !q.triedSource(p) {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		if r.origin == nil || !r.origin.listed {
			return nil
		}
		return r.origin
	}
	if r.fetchTogether(q) {
		slices.SortFunc(up, func(a, b *host) int {
			return cmp.Compare(rendezvous(q.key, b, 1), rendezvous(q.key, a, 1))
		})
	} else {
		r.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	}
	if len(up) > 1 && r.firstByte(up[1]) < r.firstByte(up[0]) {
		return up[1]
	}
	return up[0]
}

func (q *request) triedSource(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.source == h })
}

// fetchTogether tells whether the parents are likely to lack the object: it was purged lately, a parent is
// out, or most fills had to be fetched. Then all dispatchers draw the same two for it, by its hash, and it is
// fetched once or twice, not by each parent anew. It guards the origin against a stampede of many
// dispatchers, whatever emptied the copies; it could do harm where both of a pair are slow.
func (r *Router) fetchTogether(q *request) bool {
	_, purged := r.lastPurge(q)
	return purged || r.fetchShare > lackFrom ||
		slices.ContainsFunc(r.parents, func(p *host) bool { return !p.listed || !r.healthy(p) })
}

// firstByte is a parent's smoothed time to first byte, its fills' drag, and the time likely lost by what all
// see of it; one unheard, or not for long, counts as average.
func (r *Router) firstByte(p *host) float64 {
	sum, n := 0.0, 0.0
	for _, o := range r.parents {
		if r.heardLately(o) && (o == p || !r.heardLately(p)) {
			sum, n = sum+o.ttfb+max(0, o.drag), n+1
		}
	}
	return sum/max(1, n) + p.doubt*r.patience.Seconds()
}

func (r *Router) heardLately(p *host) bool {
	return p.heard > 0 && r.now-p.heard < unheardAfter*r.longest
}

// sourceUsable tells whether a fill may name the host; usable, whether an attempt may go to it.
func (r *Router) sourceUsable(h *host, q *request) bool {
	return h.listed && r.healthy(h) && r.coldFits(h, q)
}

func (r *Router) usable(h *host, q *request) bool { return r.sourceUsable(h, q) && r.mayRepeat(q, h) }

// send makes one attempt.
func (r *Router) send(q *request, h, source *host, how reach, joins bool) *attempt {
	source = cmp.Or(source, h) // itself: nothing to fill from
	fills := max(r.missRate(), bool01(q.found(h) > 0))
	a := &attempt{req: q, number: len(q.attempts), host: h, source: source, reach: how, sentAt: r.now}
	a.mayRun = true
	if !joins && how != keptHere {
		a.windows = r.windowsOf(q, how)
		for _, w := range a.windows {
			w.out += q.send
		}
		r.after(q.aim, Timer{TimerObjectiveMissed, q.ID, a.number})
	}
	q.attempts = append(q.attempts, a)
	r.flying[attemptKey{q.ID, a.number}] = a
	h.out++
	h.link.out += q.send
	r.coldSpend(h, q, 1)
	if source != h && source != r.origin {
		r.coldSpend(source, q, fills)
	}
	opts := FetchOptions(0)
	c := r.settings(q)
	if how == keptBehind {
		opts |= SourceCachedOnly
	}
	if r.s.JoinsFills && !c.Uncacheable {
		opts |= JoinFill
		if how == keptHere { // a mere look must not hang on a fill that hangs
			opts = 0
		}
		if c.FreshFor > 0 {
			opts |= Revalidate
		}
	}
	r.do(StartAttempt{
		Request: q.ID, Host: h.Host, Options: opts, MaxAge: r.maxAge(q),
		CachePriority: int(bool01(!c.Uncacheable)), Source: source.Host,
	})
	if at := r.overdueAt(q); at < q.deadline {
		r.after(at-r.now, Timer{TimerAttemptOverdue, q.ID, a.number})
	}
	return a
}

// overdueAt is when an attempt sent now has taken longer than its size and the usual overhead explain, and a
// further one must start to keep the aim.
func (r *Router) overdueAt(q *request) time.Duration {
	usual := q.send + seconds(r.lag)
	if n := len(q.attempts); n > 1 { // further ones must not chase each other through a jam
		return r.now + (usual+seconds(overdueDeviations*r.lagDev))<<(n-1)
	}
	late := r.now + usual + seconds(overdueDeviations*r.lagDev)
	return max(late, r.dueBy(q))
}

// timerFired acts on a timer; one whose cause is over does nothing.
func (r *Router) timerFired(t Timer) {
	switch t.Kind {
	case TimerUpkeep:
		r.sweep()
	case TimerWatchEndpoints:
		r.do(WatchEndpoints{Enabled: true})
	case TimerCoalescingLimit:
		q := r.open[t.Request]
		if q == nil || q.held == nil {
			return
		}
		e := q.held
		r.unhold(q)
		if e.cache.link.fits(q.room) {
			r.launch(q, e)
		} else {
			r.giveUp(q)
		}
	case TimerAttemptOverdue, TimerObjectiveMissed:
		switch a := r.flying[attemptKey{t.Request, t.Attempt}]; {
		case a == nil:
		case t.Kind == TimerAttemptOverdue:
			r.overdue(a)
		default:
			r.judge(a, false)
		}
	}
}

// overdue blames an attempt's cache, if that has answered nothing since, or a source that has not. Then it
// calls the attempt off to ask again: an answer may be lost on a connection that serves others, a fill may
// hang. That draws on the budget for further attempts, and a cache that has all it can do is not asked twice.
func (r *Router) overdue(a *attempt) {
	h, q := a.host, a.req
	// While fetches are short or no parent sends, the jam is behind all of them, and asking again would feed it.
	jam := a.source != h && a.reach == anywhere && (r.fetches.limit > 0 || !r.parentSent(a.sentAt))
	again := !jam && (h.answered >= a.sentAt || slices.ContainsFunc(r.caches, func(o *host) bool {
		return o != h && r.usable(o, q) && !q.tried(o)
	}))
	if again && r.s.Cancel && r.further >= 1 && r.open[q.ID] == q && len(q.attempts) < r.s.MaxAttempts &&
		r.now+q.send < q.deadline && r.mayRepeat(q, h) && !r.strained(h) {
		r.judge(a, false) // once called off it can't be late any more, and its windows would learn nothing
		defer r.do(CancelAttempt{Request: q.ID, Attempt: a.number})
	}
	switch {
	case h.answered < a.sentAt:
		h.silent++
		if h.silent >= silentLimit {
			r.eject(h)
		}
	case a.source.answered < a.sentAt && a.source != r.origin && a.source != h:
		r.outcome(a.source, 1)
	case !r.strained(h) && h.lag > r.lag+slowDeviations*r.lagDev: // its peers tell whether it is to blame
		a.late = true
		r.outcome(h, 1)
	}
}

// strained tells whether a cache says that it, or the location's link, has as much to do as it can.
func (r *Router) strained(h *host) bool {
	return h.load.CPUShare > strainedShare || h.load.LinkUse > 1
}

func (r *Router) first(e FirstByte) {
	if a := r.flying[attemptKey{e.Request, e.Attempt}]; a != nil {
		a.host.answered, a.host.silent = r.now, 0
	}
}

// answer ends one attempt.
func (r *Router) answer(e AttemptResult) {
	key := attemptKey{e.Request, e.Attempt}
	a := r.flying[key]
	if a == nil {
		if q := r.open[e.Request]; q != nil && e.Terminal {
			r.finish(q)
		}
		return
	}
	delete(r.flying, key)
	q := a.req
	a.ended, a.host.out = true, a.host.out-1
	if e.Load != nil {
		a.host.load = *e.Load
		if e.Load.HasLinkUse && slices.Contains(r.caches, a.host) {
			r.linkUse += 2 * smoothing * (e.Load.LinkUse - r.linkUse)
		}
	}
	switch e.Status {
	case Full, ConnectFailed, NotSent, Miss:
		a.mayRun = false
	}
	// A failed source does not count against the cache, nor an answer lost by one that answers others.
	a.spent = e.Status != Miss && e.Status != Reset && (e.Status != Cancelled || a.host.answered < a.sentAt) &&
		(e.CacheStatus < CacheStatusSourceRejected || e.CacheStatus == CacheStatusNoSpace)
	if e.Status == Miss && a.reach != anywhere {
		a.lacks = a.reach
	}
	r.learn(a, e)
	r.learnLimits(a, e)
	waiters := r.closeEntry(a)
	if r.open[q.ID] == q {
		if e.Terminal {
			r.finish(q)
		} else {
			r.retry(q, a, e)
		}
	}
	r.release(waiters, a, e.Status == OK)
}

// release lets the followers of an ended attempt go: to its cache if it was served, for the copy is there,
// else through the table again, where the first of them opens one new fill for all.
func (r *Router) release(waiters []*request, a *attempt, served bool) {
	for _, q := range waiters {
		if r.open[q.ID] != q || q.held == nil {
			continue
		}
		q.held = nil
		if served && r.usable(a.host, q) && !q.tried(a.host) {
			r.launch(q, a.entry)
		} else {
			r.route(q)
		}
	}
}

// closeEntry takes the entry that an attempt held open off the table.
func (r *Router) closeEntry(a *attempt) []*request {
	e := a.entry
	if e == nil {
		return nil
	}
	if r.table[e.key] == e {
		delete(r.table, e.key)
	}
	return e.waiters
}

// finish forgets a request that has its final answer and calls off what is still out for it.
func (r *Router) finish(q *request) {
	if q == nil {
		return
	}
	r.unhold(q)
	delete(r.open, q.ID)
	if n := len(q.attempts); r.s.Cancel && n > 0 && !q.attempts[n-1].ended {
		r.do(CancelAttempt{Request: q.ID, Attempt: n - 1})
	}
}

// retry follows an attempt that ended without serving. A look that found nothing is free, and so is a broken
// connection, behind which the work was done and the copy is there, so that lost answers strand nobody. What
// failed otherwise draws on the budget for further attempts, so that a jam is not fed.
func (r *Router) retry(q *request, a *attempt, e AttemptResult) {
	over := r.now >= q.deadline || e.Status == TimedOut && r.now+r.s.AnswerGrace >= q.deadline
	free := a.lacks > 0 || e.Status == Reset || e.Status == ConnectFailed
	if over || !free && r.further < 1 || len(q.attempts) >= r.s.MaxAttempts || r.now+q.send >= q.deadline {
		r.giveUp(q)
		return
	}
	if !free {
		r.further--
	}
	r.route(q)
}

// mayRepeat tells whether another attempt at the host can do no effect twice.
func (r *Router) mayRepeat(q *request, h *host) bool {
	c := r.settings(q)
	if c.Idempotency == Idempotent || q.ran() == nil {
		return true
	}
	ran, scope := q.ran(), c.DedupScope
	return c.Idempotency == IdempotentWithKey && r.now-ran.sentAt < c.DedupWindow && (scope == ScopeAll ||
		scope == ScopeZone && h.Zone == ran.host.Zone || scope == ScopeCell && h.Cell == ran.host.Cell)
}

// giveUp gives a request its final answer at once: a refusal where that is true, else a failure.
func (r *Router) giveUp(q *request) {
	c := r.settings(q)
	if c.Idempotency == Idempotent || q.ran() == nil || c.Idempotency == IdempotentWithKey && c.DedupScope == ScopeAll {
		soon := max((q.aimAt-q.send-r.now)/2, time.Millisecond)
		r.do(Reject{Request: q.ID, RetryAfter: min(soon, r.s.MaxRetryAfter)})
	} else {
		r.do(Fail{Request: q.ID})
	}
	r.finish(q)
}

// learn takes from an answer what it says of the cache, the source and the usual times.
func (r *Router) learn(a *attempt, e AttemptResult) {
	if e.Status == Cancelled || e.Status == NotSent {
		return
	}
	if e.Status != TimedOut && e.Status != ConnectFailed {
		a.host.answered, a.host.silent = r.now, 0
	}
	switch {
	case e.Status == OK:
		r.carried.sum += a.req.send.Seconds()
		if !a.late {
			r.outcome(a.host, 0)
		}
		over := max(0, (e.Elapsed - a.req.send).Seconds())
		r.lagDev += smoothing * (math.Abs(over-r.lag) - r.lagDev)
		r.lag += smoothing * (over - r.lag)
		a.host.lag += 2 * smoothing * (over - a.host.lag)
		if e.CacheStatus == CacheStatusHit || a.source == a.host {
			r.hitOver += smoothing * (over - r.hitOver)
		}
		if r.s.CacheStatusMode != CacheStatusModeNone {
			r.missShare += slowly * (bool01(e.CacheStatus != CacheStatusHit && e.CacheStatus != CacheStatusStale) - r.missShare)
		}
		if e.CacheStatus == CacheStatusFilled || e.CacheStatus == CacheStatusFilledByOrigin {
			r.fetchShare += smoothing / 2 * (bool01(e.CacheStatus == CacheStatusFilledByOrigin) - r.fetchShare)
		}
		if e.CacheStatus == CacheStatusFilled || e.CacheStatus == CacheStatusFilledByOrigin || r.s.CacheStatusMode == CacheStatusModeNone {
			r.outcome(a.source, 0)
			r.hear(a.source, a, e)
		}
	case e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusSourceLost:
		r.outcome(a.source, 1)
	case e.CacheStatus == CacheStatusOriginFailed:
		r.outcome(cmp.Or(r.origin, a.source), 1)
	case e.Status == Full && e.CacheStatus == CacheStatusNone && a.source != a.host && e.Elapsed > atOnce:
		r.outcome(a.source, 1)
	case e.Status == TimedOut || e.Status == Miss || e.Status == Reset || e.CacheStatus == CacheStatusNoSpace:
	default:
		r.outcome(a.host, 1)
		if r.s.CacheStatusMode != CacheStatusModeAll && a.source != a.host {
			r.outcome(a.source, 1)
		}
	}
}

// windowsOf are the windows that a fill is out in: that of fetches alone where the parents are known to lack
// the object, that of fills alone where only what they keep is asked for.
func (r *Router) windowsOf(q *request, how reach) []*window {
	switch {
	case how == keptBehind:
		return []*window{&r.fills}
	case q.found(nil) == keptBehind:
		return []*window{&r.fetches}
	default:
		return []*window{&r.fills, &r.fetches}
	}
}

// learnLimits takes from an answer whether what it needed bears as much as is out: a hit its cache's link, a
// fill the location's link, the parents or the origin. Whichever is short, it shows as late or refused.
func (r *Router) learnLimits(a *attempt, e AttemptResult) {
	q, link, windows := a.req, &a.host.link, a.windows
	link.out -= q.send
	for _, w := range windows {
		w.out -= q.send
	}
	if e.Status == TimedOut && e.Elapsed < q.aim { // its client was hasty, which shows nothing short
		return
	}
	inTime := e.Status == OK && e.Elapsed <= q.aim
	switch {
	case e.CacheStatus == CacheStatusHit, e.CacheStatus == CacheStatusStale, a.reach == keptHere && (e.Status == OK || e.Status == TimedOut):
		r.move(link, q, inTime)
		return
	case e.CacheStatus == CacheStatusFilled && r.s.CacheStatusMode == CacheStatusModeAll:
		// The origin had no part in it. Where only hits are told, the note stands for fetched fills too; then
		// this case would leave the window of fetches to learn from failures alone and never open again.
		a.windows = slices.DeleteFunc(windows, func(w *window) bool { return w == &r.fetches })
	case e.CacheStatus == CacheStatusFilledByOrigin && !inTime && len(windows) > 0: // the origin is to blame, not the link
		a.windows = windows[len(windows)-1:]
	}
	refused := e.Status == Full || e.CacheStatus == CacheStatusSourceRejected || e.CacheStatus == CacheStatusOriginFailed
	if refused || e.Status == OK || e.Status == TimedOut {
		r.judge(a, inTime)
	}
}

// judge moves the windows that a fill is out in, once. The window of fills stands for the location's link: a
// late fill does not narrow it where reports show room there, for then what lies behind is slow.
func (r *Router) judge(a *attempt, inTime bool) {
	if a.judged {
		return
	}
	a.judged = true
	if !inTime && a.source != a.host && a.source.bad > badShare/2 && r.worse(a.source) {
		return // it is bad by itself, and what it refuses shows nothing short
	}
	for _, w := range a.windows {
		if inTime || w != &r.fills || !r.aloneSilent(a) && r.linkUse >= linkFull {
			r.move(w, a.req, inTime)
		}
	}
}

// aloneSilent tells whether an attempt's source has sent nothing since, while another parent has: it hangs.
func (r *Router) aloneSilent(a *attempt) bool {
	return a.source.answered < a.sentAt && r.parentSent(a.sentAt)
}

// parentSent tells whether any parent has sent something since.
func (r *Router) parentSent(since time.Duration) bool {
	return slices.ContainsFunc(r.parents, func(p *host) bool { return p.answered >= since })
}

// move widens a window by a part of each request in time and narrows it by more for each that was not. It has
// no limit until a good part are late, and again when it is far wider than what is out.
func (r *Router) move(w *window, q *request, inTime bool) {
	send := float64(q.send)
	w.mean += smoothing * (float64(w.out) - w.mean)
	w.late += smoothing * (bool01(!inTime) - w.late)
	switch {
	case w.limit == 0 && !inTime && w.late > windowFrom:
		w.limit = max(float64(w.out)/2, send)
	case w.limit == 0:
	case !inTime:
		fall := windowFalls * min(send, w.limit/4) * r.speed()
		w.limit = max(w.limit-fall, min(w.limit, send)) // one may be out anyway
	case w.limit > windowFree*max(w.mean, float64(seconds(r.meanSend[q.class]))):
		w.limit = 0
	default:
		w.limit += windowRises * send * r.speed()
	}
}

// speed is by how much more a window moves where many dispatchers see few answers each.
func (r *Router) speed() float64 { return math.Sqrt(r.alike) }

// fits tells whether one more has room in the window; one at least always has.
func (w *window) fits(send time.Duration) bool {
	return w.limit == 0 || w.out <= 0 || float64(w.out+send) <= w.limit
}

// hear feeds a source's smoothed time to first byte, or the attempt's latency where that is not told.
func (r *Router) hear(p *host, a *attempt, e AttemptResult) {
	p.answered = r.now
	sample := e.FirstByte.Seconds()
	if sample <= 0 {
		sample = max(0, (e.Elapsed - a.req.send).Seconds())
	}
	rest := 0.0
	if e.FirstByte > 0 && p != r.origin {
		rest = (e.Elapsed - e.FirstByte - a.req.send).Seconds() - r.hitOver
	}
	if !r.heardLately(p) {
		p.ttfb, p.drag = sample, rest
	}
	p.drag += smoothing * (rest - p.drag)
	p.ttfb += smoothing * (sample - p.ttfb)
	p.heard = r.now
}

// outcome feeds a host's share of bad outcomes. One that does much worse than its peers is ejected; when all
// do badly the cause is something they share, and ejecting helps nobody.
func (r *Router) outcome(h *host, bad float64) {
	h.bad += 2 * smoothing * (bad - h.bad)
	h.tried, h.failed = h.tried+1, h.failed+bad
	if bad == 0 {
		if r.now >= h.until && h.ejected > 0 && h.bad < badShare {
			h.ejected = 0
		}
		return
	}
	onTrial := h.ejected > 0 && r.now >= h.until
	if onTrial || max(h.bad, h.doubt) > badShare && r.worse(h) {
		r.eject(h)
	}
}

// worse tells whether a host does much worse than most of its peers; some may be bad beside it.
func (r *Router) worse(h *host) bool {
	var others []float64
	for _, o := range r.peers(h) {
		if o != h && o.listed {
			others = append(others, o.bad)
		}
	}
	slices.Sort(others)
	return len(others) > 0 && others[(len(others)-1)/2] < h.bad/2
}

// eject keeps a host out for a while, longer each time in a row, unless too many of its peers are out.
func (r *Router) eject(h *host) {
	if r.now < h.until || h == r.origin {
		return
	}
	listed, out := 0, 1
	for _, o := range r.peers(h) {
		if o.listed {
			listed++
			out += int(bool01(o != h && r.now < o.until))
		}
	}
	if float64(out) > ejectedMost*float64(listed) {
		return
	}
	h.ejected, h.silent = h.ejected+1, 0
	h.until = r.now + r.patience*time.Duration(min(h.ejected, ejectedLong))
}

// peers are the hosts with which one is compared.
func (r *Router) peers(h *host) []*host {
	if slices.Contains(r.parents, h) {
		return r.parents
	}
	return r.caches
}

// healthy tells whether a host may be used. After its time out a host is on trial: one attempt at a time.
func (r *Router) healthy(h *host) bool {
	return r.now >= h.until && (h.ejected == 0 || h.out == 0)
}

// ServedRate is what this instance carries, and the most of it lately, in seconds of sending per second.
func (r *Router) ServedRate() (now, best float64) { return r.carried.rate, r.carriedBest }

// SetSlowStartShare has a function tell what part of its budget for cold hosts this instance may spend.
func (r *Router) SetSlowStartShare(part func() float64) { r.coldPart = part }

// coldRate is the part of a cold host's budget that falls to this instance, in seconds of sending per second.
// A listed size is the host's link in transfers, and all dispatchers that send there divide its budget. Where
// none is told, the load carried stands for capacity, shared by as many peers as there ever were at once.
func (r *Router) coldRate(h *host, q *request) (rate, work float64, rule SlowStart, cold bool) {
	carried := max(r.carriedBest, r.demand.rate*unseenDemand)
	if r.coldPart != nil {
		carried *= r.coldPart()
	}
	sharing, peers := r.alike, float64(r.cachesMost)
	rule, work = r.s.CacheSlowStart, r.meanSend[q.class]
	if slices.Contains(r.parents, h) {
		rule, work = r.s.ParentSlowStart, q.send.Seconds()
		sharing, peers, carried = max(1, float64(r.s.Directors)), float64(r.parentsMost), carried*r.missRate()
	}
	capacity := carried / peers
	if r.s.WeightMode == WeightModeNominal && h.Weight > 0 {
		capacity = h.Weight * cmp.Or(h.part, 1/sharing)
	}
	age := max(0, r.now-h.StartedAt)
	if h == r.origin || h.StartedAt <= 0 || rule.WarmUp <= 0 || age >= rule.WarmUp+rule.Window {
		return 0, work, rule, false
	}
	share := min(1, rule.InitialShare+(1-rule.InitialShare)*float64(age)/float64(rule.WarmUp))
	return coldSafety * rule.OverloadFactor * share * capacity, work, rule, true
}

// isCold tells whether a host has a budget that all that reaches it counts against.
func (r *Router) isCold(h *host, q *request) bool {
	_, _, _, cold := r.coldRate(h, q)
	return cold
}

// missRate is the share of attempts whose fills are planned with, on the safe side.
func (r *Router) missRate() float64 { return min(1, missMargin*r.missShare) }

// coldFits is a token bucket: it tells whether a cold host's budget has room for one more attempt.
func (r *Router) coldFits(h *host, q *request) bool {
	rate, work, rule, cold := r.coldRate(h, q)
	if !cold {
		return true
	}
	burst := rate * rule.Window.Seconds() * coldBurst
	limit := max(burst, r.meanSend[q.class])
	if !h.phased && burst < limit { // many have less than one to spend: they must not spend it all at once
		h.tokens, h.refilled = r.rng.Float64()*limit, r.now
	}
	h.phased = true
	h.tokens = min(limit, h.tokens+rate*(r.now-h.refilled).Seconds())
	h.refilled = r.now
	return h.tokens >= work
}

// coldSpend counts an attempt, or the part of one that a fill at a parent is likely to be.
func (r *Router) coldSpend(h *host, q *request, part float64) {
	if _, work, _, cold := r.coldRate(h, q); cold {
		h.tokens -= part * work
	}
}

// purge remembers a purge and closes the entries opened before it to later requests.
func (r *Router) purge(e Purge) {
	if at := r.now - e.Age; e.ByGroup {
		r.flushed[e.Group] = latest(r.flushed, e.Group, at)
	} else {
		r.purged[e.Object] = latest(r.purged, e.Object, at)
	}
	for k, en := range r.table {
		if e.ByGroup && en.group == e.Group || !e.ByGroup && k.object == e.Object {
			delete(r.table, k)
		}
	}
}

// maxAge is the oldest copy that will do: none from before a purge, nor past its fresh time.
func (r *Router) maxAge(q *request) time.Duration {
	age := r.settings(q).FreshFor
	if at, ok := r.lastPurge(q); ok {
		since := max(r.now-at-time.Millisecond, time.Millisecond) // 0 would mean any age
		if age == 0 || since < age {
			age = since
		}
	}
	return age
}

// lastPurge is when the request's object or group was last purged, as far as that is remembered.
func (r *Router) lastPurge(q *request) (time.Duration, bool) {
	object, byObject := r.purged[q.Object]
	group, byGroup := r.flushed[q.PurgeGroup]
	if !byObject || byGroup && group > object {
		return group, byGroup
	}
	return object, true
}

// topology follows the list.
func (r *Router) topology(e EndpointUpdate) {
	if e.Kind == UpdateRejected {
		if r.s.MustWatch {
			r.after(r.s.NotifiedAfter/8+seconds(r.rng.Float64()*r.s.NotifiedAfter.Seconds()/8), Timer{Kind: TimerWatchEndpoints})
		}
		return
	}
	if e.Kind != UpdateDelta {
		for _, h := range r.hosts {
			h.listed, h.Readiness = false, Gone
		}
	}
	for _, m := range e.Endpoints {
		h := r.hosts[m.Host]
		if h == nil {
			h = &host{}
			r.hosts[m.Host] = h
		} else if h.StartedAt != m.StartedAt {
			// A new process: what was learnt of the old one is void.
			*h = host{out: h.out, link: window{out: h.link.out}, refilled: r.now}
		}
		h.Endpoint, h.listed = m, m.Readiness == Ready
	}
	r.index()
}

// index sorts the hosts by what they can be used for.
func (r *Router) index() {
	var origins []*host
	r.caches, r.parents, r.origin = nil, nil, nil
	for _, h := range r.hosts {
		switch {
		case r.kindIs(h, r.s.OriginKind):
			origins = append(origins, h)
		case r.kindIs(h, r.s.ParentKind):
			r.parents = append(r.parents, h)
		case h.Zone == r.s.Zone:
			r.caches = append(r.caches, h)
		}
	}
	byID := func(a, b *host) int { return cmp.Compare(a.Host, b.Host) }
	r.cachesMost, r.parentsMost = max(r.cachesMost, len(r.caches)), max(r.parentsMost, len(r.parents))
	slices.SortFunc(r.caches, byID)
	slices.SortFunc(r.parents, byID)
	slices.SortFunc(origins, byID)
	if i := slices.IndexFunc(origins, func(h *host) bool { return h.listed }); len(origins) > 0 {
		r.origin = origins[max(i, 0)]
	}
}

func (r *Router) kindIs(h *host, kind int) bool {
	return kind >= 0 && kind < len(r.s.Kinds) && h.Kind == r.s.Kinds[kind]
}

// sweep measures the demand and drops what is no longer needed.
func (r *Router) sweep() {
	r.after(sweepEvery, Timer{Kind: TimerUpkeep})
	if dt := (r.now - r.measured).Seconds(); dt > 0 {
		weight := min(1, dt/measureOver)
		r.demand.measure(dt, weight)
		r.carried.measure(dt, weight)
		r.carriedBest = max(r.carried.rate, r.carriedBest*math.Exp(-dt/(keepsBest*r.longest.Seconds())))
		r.measured = r.now
	}
	known := len(r.hosts)
	maps.DeleteFunc(r.hosts, func(_ HostID, h *host) bool { return h.Readiness == Gone && h.out == 0 })
	if len(r.hosts) < known {
		r.index()
	}
	forget(r.purged, r.now-purgeKept*r.s.PurgeDone)
	forget(r.flushed, r.now-purgeKept*r.s.PurgeDone)
}
