package routing

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// ClaimService reserves idempotency keys among all directors.
type ClaimService interface {
	// Claim calls done once, at once or later, with the outcome.
	Claim(c ClaimRequest, done func(ClaimOutcome))
	// Release gives a claim back. Nothing of the request has run.
	Release(idempotencyKey, requestID string)
}

// ClaimRequest asks for an idempotency key, before the first attempt of a request is sent.
type ClaimRequest struct {
	IdempotencyKey string
	RequestID      string
	Class          string
	Object         decision.ObjectID
	Group          string        // the caches that would drop repeats of the request; see dedupGroup
	Window         time.Duration // in which they drop them
	Movable        bool          // nothing has run, so an earlier claim of the request may move to another group
	Deadline       time.Duration // by which the outcome is needed, on the loop's clock
}

// ClaimVerdict is the result of a claim.
type ClaimVerdict int

// The verdicts.
const (
	ClaimGranted       ClaimVerdict = iota // the key is this request's
	ClaimHeldElsewhere                     // the key is in use in Group since Age
	ClaimKeyReused                         // the key was used for another object
	ClaimUnavailable                       // no holder could be reached, and the class may not go on without a claim
	ClaimNotRequired                       // no holder could be reached, and the class goes on without a claim
)

// ClaimOutcome answers a ClaimRequest.
type ClaimOutcome struct {
	Verdict     ClaimVerdict
	Group       string
	Age         time.Duration
	RequestedAt time.Duration // on the loop's clock; the claim counts from no earlier
}

const (
	// ClaimSendTimeout is how long after the request for a claim its attempt may be sent: holders count the window from
	// the request.
	ClaimSendTimeout = time.Second
	// claimReserve is the part of a request's time that is left for its answer when no claim is granted.
	claimReserve = 50 * time.Millisecond
	// claimRetryAfter is the Retry-After of a request that got no claim.
	claimRetryAfter = 500 * time.Millisecond
)

// The names of dedup groups. They are part of the claims protocol.
const (
	allCachesGroup = "*"
	zonePrefix     = "z:"
	cellPrefix     = "c:"
)

// dedupGroup names the caches that drop repeats of a request that ran at a host.
func dedupGroup(scope decision.DedupScope, h *host) string {
	switch scope {
	case decision.ScopeZone:
		return zonePrefix + h.Zone
	case decision.ScopeCell:
		return cellPrefix + strconv.Itoa(h.Cell)
	}
	return allCachesGroup
}

// parseDedupGroup gives the zone or the cell that a group names, if any.
func parseDedupGroup(group string) (zone string, cell int) {
	if name, found := strings.CutPrefix(group, zonePrefix); found {
		return name, 0
	}
	if number, found := strings.CutPrefix(group, cellPrefix); found {
		cell, _ = strconv.Atoi(number) // a malformed number names no cell
	}
	return "", cell
}

// requestClaim requests the claim that an attempt needs, and reports whether the attempt must wait for it.
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
	d.hooks.Claims.Claim(request, func(o ClaimOutcome) { d.claimDecided(a, group, o) })
	d.loop.Set(&a.timer, q.deadline) // its time to connect begins when it has the claim
	return true
}

// claimDecided continues with an attempt whose claim is decided.
func (d *Director) claimDecided(a *attempt, group string, o ClaimOutcome) {
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
		if !d.followClaim(a, group, o, now) {
			return
		}
	case ClaimKeyReused:
		d.Counters.KeysReused++
		slog.Info("request.idempotency_key_reused", "id", q.ID, "token", q.IdempotencyKey)
		d.fail(q)
		d.endUnclaimed(q)
		return
	case ClaimUnavailable:
		d.Counters.ClaimsUnavailable++
		d.reject(q, claimRetryAfter)
		d.endUnclaimed(q)
		return
	}
	d.loop.Set(&a.timer, min(now+d.limits.DialTimeout, q.deadline))
	d.confirmed(a)
}

// followClaim gives the module where a request ran under an earlier claim, and reports whether the attempt may go on.
func (d *Director) followClaim(a *attempt, group string, o ClaimOutcome, now time.Duration) bool {
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
		d.endAttempt(a, &Response{Status: decision.NotSent}) // the module decides anew, with the earlier claim known
		return false
	}
	return true
}

// endUnclaimed ends the attempts of a request that was answered without a claim. Nothing of it has run.
func (d *Director) endUnclaimed(q *clientRequest) {
	d.handle(decision.ClientGone{Request: q.key})
	for _, a := range q.attempts {
		if !a.ended {
			d.endAttempt(a, &Response{Status: decision.NotSent})
		}
	}
}
