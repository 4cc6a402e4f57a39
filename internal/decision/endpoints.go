package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Endpoints: the hosts that discovery lists, the state of each host, and its role. A snapshot
// replaces the list; a delta changes it. A host that is no longer listed is kept until its attempts
// have ended. A restarted host is a new process, so the state of the previous process is discarded.

// saturatedCPUThreshold is the share of busy cores above which a cache counts as saturated.
const saturatedCPUThreshold = 0.9

// watchRetryDivisor sets the delay before a rejected watch is retried: Settings.NotifiedAfter
// divided by it, plus a random delay of up to the same length.
const watchRetryDivisor = 8

// host is an endpoint and its state. The files that implement the rules document the parts.
type host struct {
	Endpoint
	isReady          bool           // listed as Ready
	attemptsInFlight int            // attempts of this director
	lastAnswerAt     time.Duration  // clock time of its last response to any attempt
	load             LoadReport     // its most recent report
	overhead         float64        // smoothed overhead of its answers as a cache beyond their sending time, in seconds
	asSource         sourceEstimate // latency of the fills that it serves as a source
	health           healthRecord
	limit            concurrencyLimit
	slowStart        tokenBucket
	quotaShare       float64 // see QuotaShare; 0: an equal share
}

// isSaturated reports whether the last load report of a cache shows the cache or the location's link
// to be saturated.
func (h *host) isSaturated() bool {
	return h.load.CPUShare > saturatedCPUThreshold || h.load.LinkUse > 1
}

// recordAnswer records that the host has responded to an attempt at the given clock time.
func (h *host) recordAnswer(now time.Duration) {
	h.lastAnswerAt = now
	h.health.overdueSinceAnswer = 0
}

// reset discards the state of a host that has restarted. Attempts at the previous process remain
// counted as in flight.
func (h *host) reset(now time.Duration) {
	*h = host{
		attemptsInFlight: h.attemptsInFlight,
		limit:            concurrencyLimit{inFlight: h.limit.inFlight},
		slowStart:        tokenBucket{refilledAt: now},
	}
}

// endpointTable holds the hosts, indexed by ID and by role.
type endpointTable struct {
	byID    map[HostID]*host
	caches  []*host // caches of the own zone, sorted by ID
	parents []*host // sorted by ID
	origin  *host   // nil: no origin is known

	maxCaches  int // maximum number of caches known at the same time
	maxParents int // maximum number of parents known at the same time
}

func (t *endpointTable) isParent(h *host) bool { return slices.Contains(t.parents, h) }

// parentAnsweredSince reports whether any parent has responded to an attempt since a clock time.
func (t *endpointTable) parentAnsweredSince(since time.Duration) bool {
	return slices.ContainsFunc(t.parents, func(p *host) bool { return p.lastAnswerAt >= since })
}

// peersOf returns the hosts with which h is compared, including h.
func (t *endpointTable) peersOf(h *host) []*host {
	if t.isParent(h) {
		return t.parents
	}
	return t.caches
}

// update adds or replaces a listed endpoint. It resets the state of a host that has restarted.
func (t *endpointTable) update(e Endpoint, now time.Duration) {
	h := t.byID[e.Host]
	if h == nil {
		h = &host{}
		t.byID[e.Host] = h
	} else if h.StartedAt != e.StartedAt {
		h.reset(now)
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

// removeGone removes the hosts that are gone and have no attempt in flight, and reports whether it
// removed any.
func (t *endpointTable) removeGone() bool {
	known := len(t.byID)
	maps.DeleteFunc(t.byID, func(_ HostID, h *host) bool { return h.Readiness == Gone && h.attemptsInFlight == 0 })
	return len(t.byID) < known
}

// handleEndpointUpdate applies an endpoint list or a delta. If discovery rejected the watch, it
// schedules a retry.
func (r *Router) handleEndpointUpdate(e EndpointUpdate) {
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

// watchRetryDelay returns the randomized delay before a rejected watch is retried.
func (r *Router) watchRetryDelay() time.Duration {
	within := r.settings.NotifiedAfter
	return within/watchRetryDivisor + seconds(r.random.Float64()*within.Seconds()/watchRetryDivisor)
}

// indexEndpoints rebuilds the lists of hosts by role. The origin is the first origin host that is
// ready or, if none is ready, the first one.
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

// recordLoad stores the load report of a cache, if there is one.
func (r *Router) recordLoad(cache *host, report *LoadReport) {
	if report == nil {
		return
	}
	cache.load = *report
	if report.HasLinkUse && slices.Contains(r.endpoints.caches, cache) {
		smooth(&r.limits.linkUse, report.LinkUse, 2*smoothing)
	}
}
