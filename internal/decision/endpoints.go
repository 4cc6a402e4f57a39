package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Endpoints: the hosts that discovery lists, what is known of each, and what each can be used for.
// A snapshot replaces the list, a delta changes it. A host that has left the list stays known until
// its attempts have ended. A host that has started anew is a new process: what was learnt of the
// old one does not hold for it.

// saturatedCPUShare is the share of busy cores from which a cache has all the load that it can
// take.
const saturatedCPUShare = 0.9

// watchRetryDivisor divides Settings.NotifiedAfter into the delay, and its random part, after which
// a rejected watch is asked for again.
const watchRetryDivisor = 8

// host is an endpoint and what is known of it. Each part is explained at its rule.
type host struct {
	Endpoint
	isReady          bool           // listed as Ready
	attemptsInFlight int            // of this director
	lastAnswerAt     time.Duration  // clock time of its last answer to any attempt
	load             LoadReport     // its last one
	overhead         float64        // smoothed overhead of its answers as a cache beyond their sending time, in seconds
	asSource         sourceEstimate // how it serves fills as a source
	health           healthRecord
	limit            concurrencyLimit
	slowStart        tokenBucket
	quotaShare       float64 // see QuotaShare; 0: an even share
}

// isSaturated reports whether a cache reports that it, or the location's link, has all the load
// that it can take.
func (h *host) isSaturated() bool {
	return h.load.CPUShare > saturatedCPUShare || h.load.LinkUse > 1
}

// recordAnswer notes that a cache has answered something.
func (h *host) recordAnswer(now time.Duration) {
	h.lastAnswerAt = now
	h.health.overdueSinceAnswer = 0
}

// restart makes the host a new process with nothing known of it. Attempts at the old one are still
// in flight.
func (h *host) restart(now time.Duration) {
	*h = host{
		attemptsInFlight: h.attemptsInFlight,
		limit:            concurrencyLimit{inFlight: h.limit.inFlight},
		slowStart:        tokenBucket{refilledAt: now},
	}
}

// endpointTable holds the hosts, by what they can be used for.
type endpointTable struct {
	byID    map[HostID]*host
	caches  []*host // of the own zone, by id
	parents []*host // by id
	origin  *host   // nil: none is known

	maxCaches  int // the most caches that were known at once
	maxParents int // the same of parents
}

func (t *endpointTable) isParent(h *host) bool { return slices.Contains(t.parents, h) }

func (t *endpointTable) parentAnsweredSince(since time.Duration) bool {
	return slices.ContainsFunc(t.parents, func(p *host) bool { return p.lastAnswerAt >= since })
}

// peersOf are the hosts with which one is compared, itself included.
func (t *endpointTable) peersOf(h *host) []*host {
	if t.isParent(h) {
		return t.parents
	}
	return t.caches
}

// update takes in a listed endpoint.
func (t *endpointTable) update(e Endpoint, now time.Duration) {
	h := t.byID[e.Host]
	if h == nil {
		h = &host{}
		t.byID[e.Host] = h
	} else if h.StartedAt != e.StartedAt {
		h.restart(now)
	}
	h.Endpoint = e
	h.isReady = e.Readiness == Ready
}

// clear marks all hosts as gone.
func (t *endpointTable) clear() {
	for _, h := range t.byID {
		h.isReady = false
		h.Readiness = Gone
	}
}

// dropGone forgets the hosts that are gone and have no attempt in flight, and reports whether there
// were any.
func (t *endpointTable) dropGone() bool {
	known := len(t.byID)
	maps.DeleteFunc(t.byID, func(_ HostID, h *host) bool { return h.Readiness == Gone && h.attemptsInFlight == 0 })
	return len(t.byID) < known
}

// updateEndpoints takes in an endpoint list, or asks for it again where discovery has rejected the
// watch.
func (r *Router) updateEndpoints(e EndpointUpdate) {
	if e.Kind == UpdateRejected {
		if r.settings.MustWatch {
			r.setTimer(r.watchRetryDelay(), Timer{Kind: TimerWatchEndpoints})
		}
		return
	}
	if e.Kind != UpdateDelta {
		r.endpoints.clear()
	}
	for _, endpoint := range e.Endpoints {
		r.endpoints.update(endpoint, r.now)
	}
	r.indexEndpoints()
}

func (r *Router) watchRetryDelay() time.Duration {
	within := r.settings.NotifiedAfter
	return within/watchRetryDivisor + seconds(r.random.Float64()*within.Seconds()/watchRetryDivisor)
}

// indexEndpoints sorts the hosts by what they can be used for. The origin is the first that is
// ready, else the first.
func (r *Router) indexEndpoints() {
	t := &r.endpoints
	t.caches = nil
	t.parents = nil
	t.origin = nil
	var origins []*host
	for _, h := range t.byID {
		switch {
		case r.isOfKind(h, r.settings.OriginKind):
			origins = append(origins, h)
		case r.isOfKind(h, r.settings.ParentKind):
			t.parents = append(t.parents, h)
		case h.Zone == r.settings.Zone:
			t.caches = append(t.caches, h)
		}
	}
	byID := func(a, b *host) int { return cmp.Compare(a.Host, b.Host) }
	slices.SortFunc(t.caches, byID)
	slices.SortFunc(t.parents, byID)
	slices.SortFunc(origins, byID)
	t.maxCaches = max(t.maxCaches, len(t.caches))
	t.maxParents = max(t.maxParents, len(t.parents))
	if len(origins) > 0 {
		firstReady := slices.IndexFunc(origins, func(h *host) bool { return h.isReady })
		t.origin = origins[max(firstReady, 0)]
	}
}

func (r *Router) isOfKind(h *host, kind int) bool {
	return kind >= 0 && kind < len(r.settings.Kinds) && h.Kind == r.settings.Kinds[kind]
}

// recordLoad takes in what a cache reports of its load.
func (r *Router) recordLoad(cache *host, report *LoadReport) {
	if report == nil {
		return
	}
	cache.load = *report
	if report.HasLinkUse && slices.Contains(r.endpoints.caches, cache) {
		smooth(&r.limits.linkUse, report.LinkUse, 2*smoothing)
	}
}
