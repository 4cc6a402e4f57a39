package routing

import (
	"math"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

const (
	// dedupMargin is subtracted from the deduplication window of the caches, to allow for the time an attempt takes to reach
	// the cache.
	dedupMargin = 20 * time.Millisecond
	// ageMargin is added to the age limit of responses, to allow for the time they spend in socket buffers.
	ageMargin = 50 * time.Millisecond
	// incompleteStatus is the status of an attempt whose response lacks a part, as if its connection had been reset: it has run,
	// and no error of the cache is known.
	incompleteStatus = decision.Reset
)

// classRules are the rules of a request class that the guards check.
type classRules struct {
	idempotency decision.Idempotency
	cacheable   bool
	maxAge      time.Duration       // of a cached response; 0: unlimited
	dedupWindow time.Duration       // how long caches drop repeats after the first attempt that may have run; 0: no guard
	dedupScope  decision.DedupScope // the caches that drop repeats
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

// attemptAllowed reports whether an attempt that the module has started is consistent with the state of its request.
func (d *Director) attemptAllowed(a *attempt, sourceKnown bool) bool {
	q := a.request
	tooMany := d.limits.MaxAttempts > 0 && a.number >= d.limits.MaxAttempts
	hedged := q.attemptsInFlight > 1
	return !q.answered && a.host != nil && sourceKnown && !tooMany && (!hedged || d.limits.HedgedRequests)
}

// sendGuard returns the reason why an attempt must no longer be sent, or "". The module decided when it started the attempt,
// but drains, purges and timeouts must be respected at the time of sending.
func (d *Director) sendGuard(a *attempt, now time.Duration) string {
	q := a.request
	switch {
	case q.answered:
		return "the request is already answered or cancelled"
	case now+time.Millisecond > q.deadline:
		return "the request's deadline is reached"
	case d.isStale():
		return "the director is stale"
	case a.host.isDraining(now, d.limits.DrainGrace):
		return "the host is draining or gone"
	case a.source != nil && a.source.isDraining(now, d.limits.DrainGrace):
		return "the source is draining or gone"
	case d.hooks.QuotaExpired != nil && d.hooks.QuotaExpired(a.host.Name):
		return "the quota for the warming host has expired"
	case now > a.decidedAt && d.purges.receivedSince(q, a.decidedAt):
		return "a purge arrived after the attempt's age limit was set"
	case now >= d.dedupDeadline(q):
		return "the deduplication window has ended"
	case q.ownsClaim && q.firstRunAt == 0 && q.attemptsInFlight == 1 && now-q.claimedAt > ClaimSendTimeout:
		return "the idempotency claim was requested too long ago"
	}
	return ""
}

// dedupDeadline returns the time until which a repeat of a request may be sent because caches still drop it. There is no
// limit (math.MaxInt64) if no attempt may have run yet or the class has no deduplication window.
func (d *Director) dedupDeadline(q *clientRequest) time.Duration {
	rules := d.classes[q.Class]
	switch {
	case q.firstRunAt == 0:
		return math.MaxInt64
	case rules.idempotency == decision.IdempotentWithKey && q.IdempotencyKey == "":
		return q.firstRunAt // caches cannot recognize a repeat
	case rules.dedupWindow == 0:
		return math.MaxInt64
	}
	return q.firstRunAt + rules.dedupWindow - dedupMargin
}

// responseGuard returns the reason why a response must not be passed on, and the status with which its attempt ends instead. The
// reason is "" if the response may be passed on. Caches enforce the age limit on a best-effort basis; the director is responsible
// for what the client gets.
func (d *Director) responseGuard(a *attempt, r *Response) (reason string, status decision.Status) {
	q := a.request
	rules := d.classes[q.Class]
	wrongETag := r.NotModified && (a.etag == "" || r.ETag != a.etag)
	switch {
	case wrongETag && rules.cacheable:
		return "the response names an ETag that the client does not have", decision.Miss
	case wrongETag:
		return "the response confirms a copy, of which its class has none", incompleteStatus
	case !rules.cacheable:
		return "", decision.OK
	case r.ETag == "" || r.GeneratedAt == 0:
		return "the response lacks its ETag or the time at which it was generated", incompleteStatus
	case d.purges.invalidates(q, r.GeneratedAt, a.sentAt-d.limits.PurgeGrace):
		return "the response was generated before a purge", decision.Miss
	case rules.maxAge > 0 && a.sentAt-r.GeneratedAt > rules.maxAge+ageMargin:
		return "the response exceeds the age limit of its class", decision.Miss
	}
	return "", decision.OK
}
