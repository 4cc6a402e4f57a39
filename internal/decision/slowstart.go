package decision

import (
	"cmp"
	"time"
)

// Slow start: a host that has just started has an empty cache and can take only part of its normal
// load; with more, it fails. SlowStart specifies that part and the time after which the host has its
// full capacity. Until then each director limits what it sends to the host to its share of that part,
// with a token bucket that holds seconds of sending time.
//
// If weights are nominal, the capacity of a host is its listed weight, and the directors divide it
// equally or by the shares of QuotaShare events. Otherwise this director's own load is used as its
// share of the total capacity, which is divided by the number of such hosts.

const (
	slowStartSafety     = 0.5  // share of the budget that is used, since the capacity is an estimate and all directors decide alike
	slowStartBurst      = 0.4  // share of a window's budget that may be spent in one burst
	unmeasuredMissShare = 0.35 // assumed share of misses if answers do not report hits
	missShareMargin     = 1.5  // safety factor on the share of misses

	// Share of the demand that is assumed as capacity before load was served. It is well below 1,
	// because rejected clients retry and so inflate the demand.
	unservedDemandShare = 0.3
)

// tokenBucket limits what this director sends to a host in slow start.
type tokenBucket struct {
	tokens        float64 // seconds of sending time
	refilledAt    time.Duration
	isInitialized bool // it has been refilled at least once
}

// refill adds the tokens for the time since the last refill, at the given rate per second, up to
// maxTokens.
func (b *tokenBucket) refill(rate, maxTokens float64, now time.Duration) {
	b.tokens = min(maxTokens, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	b.isInitialized = true
}

func (b *tokenBucket) spend(tokens float64) { b.tokens -= tokens }

// slowStartBudget specifies how much this director may send to a host in slow start.
type slowStartBudget struct {
	rate float64 // seconds of sending time per second
	cost float64 // cost of an attempt, in seconds of sending time
	rule SlowStart
}

// SetSlowStartShare sets a function that returns the share, from 0 to 1, of this director's peak
// served rate that is assumed as capacity if hosts do not list theirs. Handle and SlowStartDemand
// call the function.
func (r *Router) SetSlowStartShare(share func() float64) { r.slowStartShare = share }

// slowStartBudget returns the budget of a host for attempts of a request; ok is false if the host is
// not in slow start.
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
	warmShare := min(1, rule.InitialShare+(1-rule.InitialShare)*float64(age)/float64(rule.WarmUp))
	budget.rate = slowStartSafety * rule.OverloadFactor * warmShare * r.capacityShare(h, isParent)
	return budget, true
}

// capacityShare returns this director's share of a host's full capacity, in seconds of sending time
// per second.
func (r *Router) capacityShare(h *host, isParent bool) float64 {
	if r.settings.WeightMode == WeightModeNominal && h.Weight > 0 {
		return h.Weight * cmp.Or(h.quotaShare, 1/r.directorsSharing(isParent))
	}
	served := max(r.load.peakServed, r.load.demand.rate*unservedDemandShare)
	if r.slowStartShare != nil {
		served *= r.slowStartShare()
	}
	if isParent {
		return served * r.estimates.plannedMissShare() / float64(r.endpoints.maxParents)
	}
	return served / float64(r.endpoints.maxCaches)
}

// directorsSharing returns the number of directors that send to a parent or to a cache of the zone.
func (r *Router) directorsSharing(isParent bool) float64 {
	if isParent {
		return max(1, float64(r.directorsTotal))
	}
	return r.directorsInZone
}

// isInSlowStart reports whether attempts at a host count against a slow start budget.
func (r *Router) isInSlowStart(h *host, q *request) bool {
	_, ok := r.slowStartBudget(h, q)
	return ok
}

// hasSlowStartCapacity refills a host's slow start budget and reports whether it allows another
// attempt. A host that is not in slow start has no budget and always has capacity.
func (r *Router) hasSlowStartCapacity(h *host, q *request) bool {
	budget, ok := r.slowStartBudget(h, q)
	if !ok {
		return true
	}
	bucket := &h.slowStart
	burst := budget.rate * budget.rule.Window.Seconds() * slowStartBurst
	maxTokens := max(burst, r.estimates.meanSend[q.classIndex])
	if !bucket.isInitialized && burst < maxTokens {
		// With many directors, each has tokens for less than one attempt. Random initial tokens
		// prevent all of them from sending their first attempt at the same time.
		bucket.tokens = r.random.Float64() * maxTokens
		bucket.refilledAt = r.now
	}
	bucket.refill(budget.rate, maxTokens, r.now)
	return bucket.tokens >= budget.cost
}

// spendSlowStart deducts the given share of an attempt's cost from a host's slow start budget.
func (r *Router) spendSlowStart(h *host, q *request, share float64) {
	if budget, ok := r.slowStartBudget(h, q); ok {
		h.slowStart.spend(share * budget.cost)
	}
}

// SlowStartDemand calls report for each ready host in slow start with the load that this director
// would send to it without a budget, as a share of what all directors together may send.
func (r *Router) SlowStartDemand(report func(h HostID, demand float64)) {
	typical := &request{sendTime: seconds(r.estimates.meanSend[0])} // a typical request of the first class
	for _, hosts := range [][]*host{r.endpoints.caches, r.endpoints.parents} {
		for _, h := range hosts {
			budget, ok := r.slowStartBudget(h, typical)
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
