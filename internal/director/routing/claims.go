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
	// Claim requests a claim and calls done exactly once with the outcome, either before it returns or later on the loop.
	Claim(c ClaimRequest, done func(ClaimOutcome))
	// Release releases the claim of a request that has not run.
	Release(idempotencyKey, requestID string)
}

// ClaimRequest requests the claim of an idempotency key before an attempt of a request is sent.
type ClaimRequest struct {
	IdempotencyKey string
	RequestID      string
	Class          string
	Object         decision.ObjectID
	Group          string        // the caches that would drop duplicates of the request; see dedupGroup
	Window         time.Duration // for which they drop them
	Movable        bool          // nothing has run, so an earlier claim by the request may move to another group
	Deadline       time.Duration // on the loop's clock, by which the outcome is needed
}

// ClaimVerdict is the result of a ClaimRequest.
type ClaimVerdict int

// The verdicts.
const (
	ClaimGranted       ClaimVerdict = iota // the request holds the key
	ClaimHeldElsewhere                     // the key was claimed Age ago for Group
	ClaimKeyReused                         // the key was already used for another object
	ClaimUnavailable                       // no holder was reachable, and the class requires a claim
	ClaimNotRequired                       // no holder was reachable, and the class proceeds without a claim
)

// ClaimOutcome is the answer to a ClaimRequest.
type ClaimOutcome struct {
	Verdict     ClaimVerdict
	Group       string
	Age         time.Duration
	RequestedAt time.Duration // on the loop's clock; the claim's window starts no earlier
}

const (
	// ClaimSendTimeout is the time after requesting a claim within which the attempt must be sent: holders measure the window
	// from the claim request.
	ClaimSendTimeout = time.Second
	// claimReserve is the part of a request's timeout that is reserved for answering it if no claim is granted.
	claimReserve = 50 * time.Millisecond
	// claimRetryAfter is the Retry-After of a request that is rejected because no holder of claims was reachable.
	claimRetryAfter = 500 * time.Millisecond
)

// The names of dedup groups. They are part of the claims protocol.
const (
	allCachesGroup = "*"
	zonePrefix     = "z:"
	cellPrefix     = "c:"
)

// dedupGroup returns the name of the group of caches that drop duplicates of a request that ran at a host.
func dedupGroup(scope decision.DedupScope, h *host) string {
	switch scope {
	case decision.ScopeZone:
		return zonePrefix + h.Zone
	case decision.ScopeCell:
		return cellPrefix + strconv.Itoa(h.Cell)
	}
	return allCachesGroup
}

// parseDedupGroup returns the zone or the cell that a group names, if any.
func parseDedupGroup(group string) (zone string, cell int) {
	if name, found := strings.CutPrefix(group, zonePrefix); found {
		return name, 0
	}
	if number, found := strings.CutPrefix(group, cellPrefix); found {
		cell, _ = strconv.Atoi(number) // a malformed number names no cell
	}
	return "", cell
}

// requestClaim requests the claim that an attempt needs, if any, and reports whether the attempt must wait for it.
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
	d.loop.Set(&a.timer, q.deadline) // the dial timeout starts when the claim is granted
	return true
}

// handleClaimOutcome processes the outcome of a claim: the attempt proceeds, or the request is rejected or fails.
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
		if !d.applyPriorClaim(a, group, o, now) {
			return
		}
	case ClaimKeyReused:
		d.Counters.KeysReused++
		slog.Info("request.idempotency_key_reused", "id", q.ID, "token", q.IdempotencyKey)
		d.fail(q)
		d.endUnsentAttempts(q)
		return
	case ClaimUnavailable:
		d.Counters.ClaimsUnavailable++
		d.reject(q, claimRetryAfter)
		d.endUnsentAttempts(q)
		return
	}
	d.loop.Set(&a.timer, min(now+d.limits.DialTimeout, q.deadline))
	d.handleConfirmation(a)
}

// applyPriorClaim reports to the module where the request ran under an earlier claim, and returns whether the attempt may
// proceed.
func (d *Director) applyPriorClaim(a *attempt, group string, o ClaimOutcome, now time.Duration) bool {
	q := a.request
	q.claimGroup = o.Group
	q.ownsClaim = false
	if ranAt := now - o.Age; q.firstRunAt == 0 || ranAt < q.firstRunAt {
		q.firstRunAt = ranAt
	}
	zone, cell := parseDedupGroup(o.Group)
	d.handleEvent(decision.PriorAttempt{Request: q.key, Zone: zone, Cell: cell, Age: o.Age})
	if a.ended {
		return false
	}
	if o.Group != group {
		d.endAttempt(a, &Response{Status: decision.NotSent}) // the module decides again, now aware of the earlier claim
		return false
	}
	return true
}

// endUnsentAttempts ends the attempts of a request that was answered because it got no claim. Nothing of the request has run.
func (d *Director) endUnsentAttempts(q *clientRequest) {
	d.handleEvent(decision.ClientGone{Request: q.key})
	for _, a := range q.attempts {
		if !a.ended {
			d.endAttempt(a, &Response{Status: decision.NotSent})
		}
	}
}
