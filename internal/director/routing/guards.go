package routing

import (
	"math"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

const (
	// dedupMargin is subtracted from the window in which caches drop a duplicate request, to allow for the network delay to
	// the cache.
	dedupMargin = 20 * time.Millisecond
	// ageMargin is added to the age limit of responses, to allow for the time that they spend in socket buffers.
	ageMargin = 50 * time.Millisecond
)

// classRules are the rules of a request class that the guards check.
type classRules struct {
	idempotency decision.Idempotency
	cacheable   bool
	maxAge      time.Duration       // of a cached response; 0: unlimited
	dedupWindow time.Duration       // after the first attempt that may have run, in which caches drop duplicates; 0: no guard
	dedupScope  decision.DedupScope // which caches drop them
}

func classRulesOf(s decision.Settings) map[string]classRules {
	classes := map[string]classRules{}
	for _, c := range s.Classes {
		rules := classRules{idempotency: c.Idempotency, cacheable: !c.Uncacheable}
		if c.FreshFor > 0 {
			rules.maxAge = c.FreshFor + c.StaleFor
		}
		if c.Idempotency == decision.IdempotentWithKey {
			rules.dedupWindow = c.DedupWindow
			rules.dedupScope = c.DedupScope
		}
		classes[c.Name] = rules
	}
	return classes
}

// attemptAllowed reports whether an attempt is consistent with the state of its request and with the limits.
func (d *Director) attemptAllowed(a *attempt, sourceKnown bool) bool {
	q := a.request
	tooMany := d.limits.MaxAttempts > 0 && a.number >= d.limits.MaxAttempts
	hedged := q.attemptsInFlight > 1
	return !q.answered && a.host != nil && sourceKnown && !tooMany && (!hedged || d.limits.HedgedRequests)
}

// sendGuard returns the reason why an attempt must not be sent any more, or "". The module checked drains, purges and
// timeouts when it started the attempt, but the rules apply to the time at which the attempt is sent.
func (d *Director) sendGuard(a *attempt, now time.Duration) string {
	q := a.request
	switch {
	case q.answered:
		return "the client is gone"
	case now+time.Millisecond > q.deadline:
		return "the request timed out"
	case d.isStale():
		return "the director is stale"
	case a.host.isDraining(now, d.limits.DrainGrace):
		return "the host is draining or gone"
	case a.source != nil && a.source.isDraining(now, d.limits.DrainGrace):
		return "the source is draining or gone"
	case d.hooks.QuotaExpired != nil && d.hooks.QuotaExpired(a.host.Name):
		return "the quota for a host that is warming up has expired"
	case now > a.decidedAt && d.purges.receivedSince(q, a.decidedAt):
		return "the age limit was set before a purge"
	case now >= d.dedupDeadline(q):
		return "the deduplication window has ended"
	case q.ownsClaim && q.firstRunAt == 0 && q.attemptsInFlight == 1 && now-q.claimedAt > ClaimSendTimeout:
		return "the claim was requested too long ago"
	}
	return ""
}

// dedupDeadline returns the time until which caches drop a duplicate of a request. There is no limit if nothing has run yet
// or the class has no deduplication window.
func (d *Director) dedupDeadline(q *clientRequest) time.Duration {
	if q.firstRunAt == 0 {
		return math.MaxInt64
	}
	window := d.classes[q.Class].dedupWindow
	if window == 0 {
		return math.MaxInt64
	}
	return q.firstRunAt + window - dedupMargin
}

// responseGuard returns the reason why a response must not be forwarded to the client, or "". Caches enforce the age limit
// on a best-effort basis only, so the director checks it again.
func (d *Director) responseGuard(a *attempt, r *Response) string {
	q := a.request
	if r.NotModified && (a.etag == "" || r.ETag != a.etag) {
		return "the ETag differs from the client's"
	}
	rules := d.classes[q.Class]
	if r.GeneratedAt == 0 || !rules.cacheable {
		return ""
	}
	if d.purges.invalidates(q, r.GeneratedAt, a.sentAt-d.limits.PurgeGrace) {
		return "the response predates a purge"
	}
	if rules.maxAge > 0 && a.sentAt-r.GeneratedAt > rules.maxAge+ageMargin {
		return "the response is too old"
	}
	return ""
}
