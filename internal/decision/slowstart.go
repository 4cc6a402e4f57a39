package decision

import (
	"cmp"
	"time"
)

// Slow start: a host that has just started has an empty cache and bears only part of its load; with
// more, it fails. The settings give the part (SlowStart) and when the host's capacity is complete.
// Until then each director sends it no more than its share of that part, by a token bucket in
// seconds of sending time.
//
// A host's capacity is its listed weight where that is nominal; then all directors divide it,
// evenly or by the shares that QuotaShare events give. Elsewhere this director's own load stands
// for its share of the capacity, divided by the number of such hosts.

const (
	slowStartSafety     = 0.5  // share of the budget that is planned with: the capacity is a guess, and all directors act alike
	slowStartBurst      = 0.4  // share of a window's budget that may be spent at once
	unmeasuredMissShare = 0.35 // stands for the share of misses where answers do not report hits
	missShareMargin     = 1.5  // safety factor on the share of misses
	unservedDemandShare = 0.3  // share of demand taken for load before any was served: rejected clients retry
)

// tokenBucket is what may be sent to a host in slow start at once.
type tokenBucket struct {
	tokens     float64 // seconds of sending time
	refilledAt time.Duration
	isStarted  bool // it has been filled before
}

// refill adds the tokens of the time since the last refill, at a rate per second and up to a
// maximum.
func (b *tokenBucket) refill(rate, maxTokens float64, now time.Duration) {
	b.tokens = min(maxTokens, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	b.isStarted = true
}

func (b *tokenBucket) spend(tokens float64) { b.tokens -= tokens }

// slowStartBudget is what this director may send to a host in slow start.
type slowStartBudget struct {
	rate float64 // seconds of sending time per second
	cost float64 // of an attempt, in seconds of sending time
	rule SlowStart
}

// SetSlowStartShare sets a function that returns the share, from 0 to 1, of this director's best
// served rate that counts as capacity where hosts list none. Handle and SlowStartDemand call it.
func (r *Router) SetSlowStartShare(share func() float64) { r.slowStartShare = share }

// slowStartBudget is the budget of a host for attempts such as a request's; ok is false if the host
// is not in slow start.
func (r *Router) slowStartBudget(h *host, q *request) (budget slowStartBudget, ok bool) {
	isParent := r.endpoints.isParent(h)
	budget.rule = r.settings.CacheSlowStart
	budget.cost = r.estimates.meanSend[q.classIndex]
	if isParent {
		budget.rule = r.settings.ParentSlowStart
		budget.cost = q.sendTime.Seconds()
	}
	rule := &budget.rule
	age := max(0, r.now-h.StartedAt)
	if h == r.endpoints.origin || h.StartedAt <= 0 || rule.WarmUp <= 0 || age >= rule.WarmUp+rule.Window {
		return budget, false
	}
	warm := min(1, rule.InitialShare+(1-rule.InitialShare)*float64(age)/float64(rule.WarmUp))
	budget.rate = slowStartSafety * rule.OverloadFactor * warm * r.capacityShare(h, isParent)
	return budget, true
}

// capacityShare is this director's share of a host's capacity when it is warm, in seconds of
// sending time per second.
func (r *Router) capacityShare(h *host, isParent bool) float64 {
	if r.settings.WeightMode == WeightModeNominal && h.Weight > 0 {
		return h.Weight * cmp.Or(h.quotaShare, 1/r.directorsSharing(isParent))
	}
	served := max(r.load.bestServed, r.load.demand.rate*unservedDemandShare)
	if r.slowStartShare != nil {
		served *= r.slowStartShare()
	}
	if isParent {
		return served * r.estimates.plannedMissShare() / float64(r.endpoints.maxParents)
	}
	return served / float64(r.endpoints.maxCaches)
}

// directorsSharing is the number of directors that send to a parent, or to a cache of the zone.
func (r *Router) directorsSharing(isParent bool) float64 {
	if isParent {
		return max(1, float64(r.directorsTotal))
	}
	return r.directorsInZone
}

// inSlowStart reports whether all attempts at a host count against a budget.
func (r *Router) inSlowStart(h *host, q *request) bool {
	_, ok := r.slowStartBudget(h, q)
	return ok
}

// hasSlowStartCapacity reports whether a host's budget, if it has one, allows one more attempt.
func (r *Router) hasSlowStartCapacity(h *host, q *request) bool {
	budget, ok := r.slowStartBudget(h, q)
	if !ok {
		return true
	}
	bucket := &h.slowStart
	burst := budget.rate * budget.rule.Window.Seconds() * slowStartBurst
	maxTokens := max(burst, r.estimates.meanSend[q.classIndex])
	if !bucket.isStarted && burst < maxTokens {
		// Many directors have less than one attempt to spend each. Random first tokens keep them
		// from spending it all at once.
		bucket.tokens = r.random.Float64() * maxTokens
		bucket.refilledAt = r.now
	}
	bucket.refill(budget.rate, maxTokens, r.now)
	return bucket.tokens >= budget.cost
}

// spendSlowStart counts an attempt, or the given share of one, against a host's budget.
func (r *Router) spendSlowStart(h *host, q *request, share float64) {
	if budget, ok := r.slowStartBudget(h, q); ok {
		h.slowStart.spend(share * budget.cost)
	}
}

// SlowStartDemand passes, for each listed host in slow start, what this director would send there,
// as a share of what all directors together may send.
func (r *Router) SlowStartDemand(report func(h HostID, demand float64)) {
	usual := &request{sendTime: seconds(r.estimates.meanSend[0])} // of the first class
	for _, hosts := range [][]*host{r.endpoints.caches, r.endpoints.parents} {
		for _, h := range hosts {
			budget, ok := r.slowStartBudget(h, usual)
			if !ok || !h.isReady || budget.rate <= 0 {
				continue
			}
			isParent := r.endpoints.isParent(h)
			demand := r.load.demand.rate / float64(len(hosts))
			if isParent {
				demand *= r.estimates.plannedMissShare()
			}
			share := cmp.Or(h.quotaShare, 1/r.directorsSharing(isParent))
			report(h.Host, demand/(budget.rate/share))
		}
	}
}
