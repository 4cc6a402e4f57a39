package routing

import (
	"log/slog"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
)

// Claims keeps what directors have promised for the tokens of keyed requests. What done is told may come at once or later;
// it comes once.
type Claims interface {
	Want(c Claim, done func(Claimed))
	GiveUp(token, id string) // nothing of the request has run
}

// Claim is what a request wants before its first attempt that could run is sent.
type Claim struct {
	Token  string
	ID     string
	Class  string
	Object decision.ObjectID
	Group  string // of the caches that would drop its repeats; see groupOf
	Window time.Duration
	Moves  bool          // nothing of it has run, so that an earlier claim of its own may go to another group
	Until  time.Duration // the answer must be there, on the loop's clock
}

// ClaimEnd is what became of a claim.
type ClaimEnd int

// The ends of a claim.
const (
	ClaimHeld    ClaimEnd = iota // it is this request's
	ClaimBound                   // the token runs in Group since Age
	ClaimReused                  // the token is another object's
	ClaimRefused                 // nobody could be asked, and the class is not to go on without
	ClaimSkipped                 // nobody could be asked, and the class goes on without
)

// Claimed is the answer to a claim.
type Claimed struct {
	End   ClaimEnd
	Group string
	Age   time.Duration
	Asked time.Duration // on the loop's clock: the claim counts from no earlier
}

const (
	sendWithin   = time.Second            // of the asking, the attempt must be sent: the holders count the window from the asking
	claimReserve = 50 * time.Millisecond  // of a request's time that is left to answer it when no claim can be had
	claimHoldOff = 500 * time.Millisecond // for its client to stay away then
	everywhere   = "*"
	zoneMark     = "z:"
	cellMark     = "c:"
	SendWithin   = sendWithin // how long after the asking an attempt may be sent
)

// groupOf names the caches that drop repeats of a request that ran at a host.
func groupOf(scope decision.DedupScope, h *host) string {
	switch scope {
	case decision.ScopeZone:
		return zoneMark + h.Zone
	case decision.ScopeCell:
		return cellMark + strconv.Itoa(h.Cell)
	}
	return everywhere
}

// place of a group, as far as it names one.
func placeOf(group string) (zone string, cell int) {
	if len(group) > len(zoneMark) && group[:len(zoneMark)] == zoneMark {
		return group[len(zoneMark):], 0
	}
	if len(group) > len(cellMark) && group[:len(cellMark)] == cellMark {
		cell, _ = strconv.Atoi(group[len(cellMark):])
	}
	return "", cell
}

// claims asks for the claim that an attempt needs, and tells whether it must wait for it.
func (d *Director) claims(a *attempt) bool {
	q, k := a.req, d.classes[a.req.Class]
	if d.limits.Claims == nil || q.Token == "" || k.resendWithin == 0 {
		return false
	}
	group, now := groupOf(k.scope, a.host), d.loop.Now()
	if q.claimed == group && (q.ranAt > 0 || q.out > 1 || now-q.claimedAt <= sendWithin/2) {
		return false
	}
	a.uncleared++
	d.limits.Claims.Want(Claim{
		Token: q.Token, ID: q.ID, Class: q.Class, Object: q.Object, Group: group, Window: k.resendWithin,
		Moves: q.ranAt == 0 && q.out == 1, Until: max(now, q.deadline-claimReserve),
	}, func(c Claimed) { d.claimed(a, group, c) })
	d.loop.Set(&a.timer, q.deadline) // its time to connect begins when it has the claim
	return true
}

// claimed goes on with an attempt whose claim is decided.
func (d *Director) claimed(a *attempt, group string, c Claimed) {
	q, now := a.req, d.loop.Now()
	if a.ended || q.answered {
		if c.End == ClaimHeld && q.ranAt == 0 && q.out == 0 {
			d.limits.Claims.GiveUp(q.Token, q.ID)
		}
		return
	}
	switch c.End {
	case ClaimHeld:
		d.Counts.Claimed++
		q.claimed, q.claimedAt, q.claimOwn = group, c.Asked, true
	case ClaimSkipped:
		d.Counts.Unclaimed++
		q.claimed, q.claimedAt = group, now
	case ClaimBound:
		d.Counts.Bound++
		q.claimed, q.claimOwn = c.Group, false
		if at := now - c.Age; q.ranAt == 0 || at < q.ranAt {
			q.ranAt = at
		}
		zone, cell := placeOf(c.Group)
		d.feed(decision.PriorAttempt{Request: q.key, Zone: zone, Cell: cell, Age: c.Age})
		if a.ended {
			return
		}
		if c.Group != group {
			d.end(a, &Reply{Status: decision.NotSent}) // the module decides anew, with what it knows now
			return
		}
	case ClaimReused:
		d.Counts.Reused++
		slog.Info("request.token_reused", "id", q.ID, "token", q.Token)
		d.endUnclaimed(q, func() { d.Counts.Failed++; q.Caller.Fail(q.Request) })
		return
	case ClaimRefused:
		d.Counts.Unclaimed++
		d.endUnclaimed(q, func() { d.Counts.Refused++; q.Caller.Refuse(q.Request, claimHoldOff) })
		return
	}
	d.loop.Set(&a.timer, min(now+d.limits.DialTimeout, q.deadline))
	d.cleared(a)
}

// endUnclaimed gives a request of which nothing has run its final answer.
func (d *Director) endUnclaimed(q *request, answer func()) {
	d.conclude(q)
	answer()
	d.feed(decision.ClientGone{Request: q.key})
	for _, a := range q.attempts {
		if !a.ended {
			d.end(a, &Reply{Status: decision.NotSent})
		}
	}
}
