package routing

import (
	"math"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

const (
	// dedupMargin is subtracted from the window in which caches drop a repeated request, for the way to the cache.
	dedupMargin = 20 * time.Millisecond
	// ageMargin is added to the age limit of responses, for their way through the sockets.
	ageMargin = 50 * time.Millisecond
)

// classRules are the rules of a request class that the guards check.
type classRules struct {
	idempotency decision.Idempotency
	cacheable   bool
	maxAge      time.Duration       // of a cached response; 0: unlimited
	dedupWindow time.Duration       // since the first attempt that may have run, in which caches drop repeats; 0: no guard
	dedupScope  decision.DedupScope // the caches that drop them
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

// attemptAllowed guards against an action that contradicts the state of the request.
func (d *Director) attemptAllowed(a *attempt, sourceKnown bool) bool {
	q := a.request
	tooMany := d.limits.MaxAttempts > 0 && a.number >= d.limits.MaxAttempts
	hedged := q.attemptsInFlight > 1
	return !q.answered && a.host != nil && sourceKnown && !tooMany && (!hedged || d.limits.HedgedRequests)
}

// sendGuard gives the reason why an attempt must not be sent any more, or "". The module decided when it started the
// attempt; drains, purges and timeouts count from when it is sent.
func (d *Director) sendGuard(a *attempt, now time.Duration) string {
	q := a.request
	switch {
	case q.answered:
		return "its client has gone"
	case now+time.Millisecond > q.deadline:
		return "its time is over"
	case d.isStale():
		return "the director is stale"
	case a.host.isDraining(now, d.limits.DrainGrace):
		return "the host drains or is gone"
	case a.source != nil && a.source.isDraining(now, d.limits.DrainGrace):
		return "the source drains or is gone"
	case d.hooks.QuotaExpired != nil && d.hooks.QuotaExpired(a.host.Name):
		return "the quota for a host that is warming up is over"
	case now > a.decidedAt && d.purges.receivedSince(q, a.decidedAt):
		return "its age limit is from before a purge"
	case now >= d.dedupDeadline(q):
		return "a repeat would not be dropped any more"
	case q.ownsClaim && q.firstRunAt == 0 && q.attemptsInFlight == 1 && now-q.claimedAt > ClaimSendTimeout:
		return "its claim was requested too long ago"
	}
	return ""
}

// dedupDeadline is until when caches drop a repeat of a request. It is unlimited where nothing has run yet or the class
// has no deduplication window.
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

// responseGuard gives the reason why a response must not be passed on, or "". Caches keep the age limit as well as they
// can; the director answers for what the client gets.
func (d *Director) responseGuard(a *attempt, r *Response) string {
	q := a.request
	if r.NotModified && (a.etag == "" || r.ETag != a.etag) {
		return "it names an ETag that the client does not have"
	}
	rules := d.classes[q.Class]
	if r.GeneratedAt == 0 || !rules.cacheable {
		return ""
	}
	if d.purges.voids(q, r.GeneratedAt, a.sentAt-d.limits.PurgeGrace) {
		return "the response is from before a purge"
	}
	if rules.maxAge > 0 && a.sentAt-r.GeneratedAt > rules.maxAge+ageMargin {
		return "the response is too old"
	}
	return ""
}
