package routing

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// ClaimService claims idempotency keys across all directors.
type ClaimService interface {
	// Claim calls done exactly once with the outcome, either during the call or later.
	Claim(c ClaimRequest, done func(ClaimOutcome))
	// Release releases a claim. It is called only if no attempt of the request was executed.
	Release(idempotencyKey, requestID string)
}

// ClaimRequest describes a claim of an idempotency key. It is made before the first attempt of a request is sent.
type ClaimRequest struct {
	IdempotencyKey string
	RequestID      string
	Class          string
	Object         decision.ObjectID
	Group          string        // the caches that deduplicate the request; see dedupGroup
	Window         time.Duration // the deduplication window of these caches
	Movable        bool          // no attempt was executed, so an earlier claim of the request may move to another group
	Deadline       time.Duration // when the outcome is needed at the latest, on the loop's clock
}

// ClaimVerdict is the decision on a claim.
type ClaimVerdict int

// The verdicts.
const (
	ClaimGranted       ClaimVerdict = iota // the request now holds the key
	ClaimHeldElsewhere                     // the key has been in use in Group for Age
	ClaimKeyReused                         // the key was used for another object
	ClaimUnavailable                       // no holder could be reached, and the class may not proceed without a claim
	ClaimNotRequired                       // no holder could be reached, and the class proceeds without a claim
)

// ClaimOutcome is the result of a ClaimRequest.
type ClaimOutcome struct {
	Verdict     ClaimVerdict
	Group       string
	Age         time.Duration
	RequestedAt time.Duration // on the loop's clock; the claim's window starts no earlier
}

const (
	// ClaimSendTimeout is the maximum time between the request for a claim and the sending of its attempt. Holders measure
	// the deduplication window from the claim request.
	ClaimSendTimeout = time.Second
	// claimReserve is the part of a request's remaining time that is reserved for its answer if no claim is granted.
	claimReserve = 50 * time.Millisecond
	// claimRetryAfter is the Retry-After of a request that is rejected because no holder could be reached.
	claimRetryAfter = 500 * time.Millisecond
)

// The names of deduplication groups. They are part of the claims protocol.
const (
	allCachesGroup = "*"
	zonePrefix     = "z:"
	cellPrefix     = "c:"
)

// dedupGroup returns the name of the group of caches that deduplicate a request that was executed at host h.
func dedupGroup(scope decision.DedupScope, h *host) string {
	switch scope {
	case decision.ScopeZone:
		return zonePrefix + h.Zone
	case decision.ScopeCell:
		return cellPrefix + strconv.Itoa(h.Cell)
	}
	return allCachesGroup
}

// parseDedupGroup returns the zone or the cell that a group name contains, if any.
func parseDedupGroup(group string) (zone string, cell int) {
	if name, found := strings.CutPrefix(group, zonePrefix); found {
		return name, 0
	}
	if number, found := strings.CutPrefix(group, cellPrefix); found {
		cell, _ = strconv.Atoi(number) // a malformed number gives 0, which is no cell
	}
	return "", cell
}

// requestClaim requests the claim that an attempt needs, if any, and reports whether it requested one.
func (d *Director) requestClaim(a *attempt) bool {
	q := a.request
	rules := d.classes[q.Class]
	if d.hooks.Claims == nil || q.IdempotencyKey == "" || rules.dedupWindow == 0 {
		return false
	}
	group := dedupGroup(rules.dedupScope, a.host)
	now := d.loop.Now()
	hedged := q.attemptsInFlight > 1
	recent := now-q.claimedAt <= ClaimSendTimeout/2
	if q.claimGroup == group && (q.firstRunAt > 0 || hedged || recent) {
		return false
	}
	a.pendingConfirmations++
	request := ClaimRequest{
		IdempotencyKey: q.IdempotencyKey,
		RequestID:      q.ID,
		Class:          q.Class,
		Object:         q.Object,
		Group:          group,
		Window:         rules.dedupWindow,
		Movable:        q.firstRunAt == 0 && !hedged,
		Deadline:       max(now, q.deadline-claimReserve),
	}
	d.hooks.Claims.Claim(request, func(o ClaimOutcome) { d.handleClaimOutcome(a, group, o) })
	d.loop.Set(&a.timer, q.deadline) // the dial timeout starts only when the claim is decided
	return true
}

// handleClaimOutcome lets an attempt proceed, or answers its request, depending on the outcome of its claim.
func (d *Director) handleClaimOutcome(a *attempt, group string, o ClaimOutcome) {
	q := a.request
	now := d.loop.Now()
	if a.ended || q.answered {
		if o.Verdict == ClaimGranted && q.firstRunAt == 0 && q.attemptsInFlight == 0 {
			d.hooks.Claims.Release(q.IdempotencyKey, q.ID)
		}
		return
	}
	switch o.Verdict {
	case ClaimGranted:
		d.Counters.ClaimsGranted++
		q.claimGroup = group
		q.claimedAt = o.RequestedAt
		q.ownsClaim = true
	case ClaimNotRequired:
		d.Counters.ClaimsUnavailable++
		q.claimGroup = group
		q.claimedAt = now
	case ClaimHeldElsewhere:
		d.Counters.ClaimsHeldElsewhere++
		if !d.adoptPriorClaim(a, group, o, now) {
			return
		}
	case ClaimKeyReused:
		d.Counters.KeysReused++
		slog.Info("request.idempotency_key_reused", "id", q.ID, "token", q.IdempotencyKey)
		d.fail(q)
		d.endUnclaimedAttempts(q)
		return
	case ClaimUnavailable:
		d.Counters.ClaimsUnavailable++
		d.reject(q, claimRetryAfter)
		d.endUnclaimedAttempts(q)
		return
	}
	d.loop.Set(&a.timer, min(now+d.limits.DialTimeout, q.deadline))
	d.handleConfirmation(a)
}

// adoptPriorClaim informs the decision module where the request was executed under an earlier claim, and reports whether the
// attempt may proceed.
func (d *Director) adoptPriorClaim(a *attempt, group string, o ClaimOutcome, now time.Duration) bool {
	q := a.request
	q.claimGroup = o.Group
	q.ownsClaim = false
	if ranAt := now - o.Age; q.firstRunAt == 0 || ranAt < q.firstRunAt {
		q.firstRunAt = ranAt
	}
	zone, cell := parseDedupGroup(o.Group)
	d.handle(decision.PriorAttempt{Request: q.key, Zone: zone, Cell: cell, Age: o.Age})
	if a.ended {
		return false
	}
	if o.Group != group {
		d.endAttempt(a, &Response{Status: decision.NotSent}) // the module decides again, now knowing the earlier claim
		return false
	}
	return true
}

// endUnclaimedAttempts ends the attempts of a request that was failed or rejected for lack of a claim. None of them was
// executed.
func (d *Director) endUnclaimedAttempts(q *clientRequest) {
	d.handle(decision.ClientGone{Request: q.key})
	for _, a := range q.attempts {
		if !a.ended {
			d.endAttempt(a, &Response{Status: decision.NotSent})
		}
	}
}
