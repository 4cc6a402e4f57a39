package routing

import (
	"log/slog"
	"slices"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// request is one that was taken in. It is known until it is answered and no attempt of it is out.
type request struct {
	*Request
	key      decision.RequestID
	deadline time.Duration
	answered bool
	left     bool          // its client has gone, or takes it back
	ranAt    time.Duration // when the first attempt that may have run was sent; 0: none has
	next     *repeat       // comes with the same id and waits until nothing of this one is out
	times    int           // that the id has come before

	claimed   string // the group of caches that its token is claimed for; empty: none
	claimedAt time.Duration
	claimOwn  bool // the claim is this request's own
	out       int
	attempts  []*attempt
	spoiled   []*link // on which an attempt of it was answered, or may still be: the next one could be taken to be answered there
	unread    []*link // whose other end may not have read an undo yet
}

// attempt is one order, waiting for a link or out on one.
type attempt struct {
	req       *request
	number    int
	what      decision.StartAttempt
	host      *host
	source    *host // nil: no fill
	decidedAt time.Duration
	sentAt    time.Duration
	link      *link // nil while it waits
	whole     bool  // the system has taken all of it: from here on it may have run
	ended     bool
	have      string // the tag of the client's copy that went with it
	uncleared int    // pings that it waits for
	timer     transport.Timer
}

// resendMargin is left of the time in which a repeat is dropped, for its way to the cache.
const resendMargin = 20 * time.Millisecond

const behindHoldOff = 500 * time.Millisecond // for a client to stay away from a director whose news are too old

// Submit takes a request in. Its caller gets one final answer.
func (d *Director) Submit(r *Request) {
	d.Counts.Taken++
	key := decision.RequestID(r.ID)
	if first := d.known[key]; first != nil {
		slog.Debug("request.id_open_already", "id", r.ID)
		d.again(first, r)
		return
	}
	d.take(r, d.loop.Now()+r.Budget)
}

// take takes a request in whose id no other has.
func (d *Director) take(r *Request, deadline time.Duration) {
	key := decision.RequestID(r.ID)
	if d.limits.MaxOpen > 0 && d.open >= d.limits.MaxOpen {
		d.Counts.Refused++
		r.Caller.Refuse(r, 0)
		return
	}
	if d.limits.Behind != nil && d.limits.Behind() { // nothing has run: its client may go elsewhere
		d.Counts.Refused++
		d.Counts.Behind++
		r.Caller.Refuse(r, behindHoldOff)
		return
	}
	if d.limits.Claim != nil && !d.limits.Claim(r.ID) { // another core has it: two could have attempts out at once
		d.Counts.Failed++
		r.Caller.Fail(r)
		return
	}
	q := &request{Request: r, key: key, deadline: deadline}
	if !d.inherit(q) {
		d.Counts.Failed++
		r.Caller.Fail(r)
		if d.limits.Release != nil {
			d.limits.Release(r.ID)
		}
		return
	}
	d.known[key] = q
	d.open++
	d.feed(decision.Request{
		ID: key, Object: r.Object, Part: r.Part, PurgeGroup: r.Group, Class: r.Class,
		SizeKB: r.SizeKB, TimeLeft: max(0, deadline-d.loop.Now()),
	})
}

// Revoke ends a request whose client has gone; no answer follows.
func (d *Director) Revoke(r *Request) {
	q := d.known[decision.RequestID(r.ID)]
	switch {
	case q == nil:
	case q.next != nil && q.next.Request == r:
		d.Counts.Revoked++
		d.takeRepeat(q)
	case q.Request == r && !q.answered:
		d.Counts.Revoked++
		q.left = true
		d.conclude(q)
		d.feed(decision.ClientGone{Request: q.key})
		for _, a := range q.attempts { // the module can't call off what waits where attempts are never called off
			if !a.ended && a.link == nil {
				d.end(a, &Reply{Status: decision.NotSent})
			}
		}
	}
}

// unanswered is the request of that id if it is still owed its final answer.
func (d *Director) unanswered(id decision.RequestID) *request {
	if q := d.known[id]; q != nil && !q.answered {
		return q
	}
	return nil
}

// conclude marks a request as answered, so that no second answer can follow.
func (d *Director) conclude(q *request) {
	q.answered = true
	d.open--
	d.forget(q)
}

func (d *Director) forget(q *request) {
	if q.answered && q.out == 0 {
		if q.claimOwn && q.ranAt == 0 {
			q.claimOwn = false
			d.limits.Claims.GiveUp(q.Token, q.ID)
		}
		delete(d.known, q.key)
		d.remember(q)
		if d.limits.Release != nil {
			d.limits.Release(q.ID)
		}
		if p := d.takeRepeat(q); p != nil {
			d.take(p.Request, p.deadline)
		}
	}
}

// obtain makes an attempt.
func (d *Director) obtain(o decision.StartAttempt) {
	q, h := d.known[o.Request], d.hosts[o.Host]
	if q == nil {
		return
	}
	a := &attempt{req: q, number: len(q.attempts), what: o, host: h, decidedAt: d.loop.Now()}
	q.attempts = append(q.attempts, a)
	q.out++
	a.timer.Fire = func() { d.expire(a) }
	source, known := d.hosts[o.Source], true
	if o.Source != o.Host {
		a.source, known = source, source != nil
	}
	over := d.limits.MaxAttempts > 0 && a.number >= d.limits.MaxAttempts
	if q.answered || h == nil || !known || over || q.out > 1 && !d.limits.SecondCopies {
		d.Counts.GuardStops++
		slog.Error("attempt.not_made", "attempt", a.number, "id", q.ID, "answered", q.answered,
			"host_known", h != nil, "source_known", known, "out", q.out)
		d.end(a, &Reply{Status: decision.NotSent})
		return
	}
	// Until it is written it may wait for a link, but no longer than a connection may take to come up.
	d.loop.Set(&a.timer, min(a.decidedAt+d.limits.DialTimeout, q.deadline))
	// Two connections are read in any order: an attempt sent at once might reach its cache before the undo of its
	// forerunner reaches the other, and both would be out.
	for _, l := range q.unread {
		if l.pings != nil {
			a.uncleared++
			l.ping(a)
		}
	}
	q.unread = nil
	if d.claims(a) {
		return
	}
	if a.uncleared == 0 {
		d.place(a)
	}
}

// cleared tells that one of the cancelled forerunners of an attempt is known to be given up.
func (d *Director) cleared(a *attempt) {
	a.uncleared--
	if a.uncleared == 0 && !a.ended {
		d.place(a)
	}
}

// place sends an attempt, or has it wait for a link, at the end of the round. What the same round still brings decides about it: its
// client may have gone or taken it back, the link's other end may have closed, the host may drain.
func (d *Director) place(a *attempt) {
	d.outbox = append(d.outbox, a)
	d.sendLater()
}

func (d *Director) sendLater() {
	if !d.sending {
		d.sending = true
		d.loop.Later(d.flush)
	}
}

// sendOut sends what was decided on, or waits and has a link now.
func (d *Director) sendOut() {
	if d.limits.Refresh != nil {
		d.limits.Refresh()
	}
	for next := 0; next < len(d.outbox) || len(d.woken) > 0; { // what is sent, and what is not, may bring more
		if n := len(d.woken); n > 0 {
			h := d.woken[n-1]
			d.woken, h.awake = d.woken[:n-1], false
			h.sendWaiting()
			continue
		}
		a := d.outbox[next]
		next++
		if a.ended {
			continue
		}
		if l := a.host.pick(a.req); l != nil {
			d.send(a, l)
			continue
		}
		a.host.waiting = append(a.host.waiting, a)
		a.host.dialMore()
	}
	clear(d.outbox)
	d.outbox, d.sending = d.outbox[:0], false
}

// send writes an attempt, unless what was decided does not hold any more.
func (d *Director) send(a *attempt, l *link) {
	now := d.loop.Now()
	if why := d.stale(a, now); why != "" {
		d.Counts.GuardStops++
		slog.Debug("attempt.not_sent", "attempt", a.number, "id", a.req.ID, "host", a.host.Name, "why", why)
		d.end(a, &Reply{Status: decision.NotSent})
		return
	}
	q := a.req
	until := d.patience(a, now)
	o := Order{
		ID: q.ID, Class: q.Class, Object: q.Object, Part: q.Part, Patience: until - now, Token: q.Token,
		Rank: a.what.CachePriority, MaxAge: a.what.MaxAge, Options: a.what.Options, Body: q.Body,
	}
	if a.source != nil {
		o.Source = a.source.Name
	}
	if d.classes[q.Class].keeps {
		o.Have = q.Have
	}
	d.Counts.Attempts++
	a.sentAt, a.link, a.have = now, l, o.Have
	l.open[q.ID] = a
	l.idleSince = now
	if l.quiet == 0 {
		l.quiet = now
	}
	if !l.check.Active() && d.limits.KeepaliveAfter > 0 {
		l.heard = now
		d.loop.Set(&l.check, now+d.limits.KeepaliveAfter)
	}
	l.conn.Send(&o)
	if a.whole = l.conn.Drained(); !a.whole {
		l.partial = a
		if w := d.classes[q.Class].resendWithin; q.ranAt > 0 && w > 0 {
			until = min(until, q.ranAt+w-resendMargin) // it counts from when it has come whole
		}
	}
	d.loop.Set(&a.timer, until)
}

// patience is until when an attempt that is sent now may take.
func (d *Director) patience(a *attempt, now time.Duration) time.Duration {
	if t := a.what.Timeout; t > 0 {
		return min(a.req.deadline, now+t)
	}
	return a.req.deadline
}

// stale tells why an attempt that had to wait must not be sent any more. It guards the rules on drains and purges
// and on time-outs, which count from the sending, while the module decided when it asked.
func (d *Director) stale(a *attempt, now time.Duration) string {
	switch {
	case a.req.answered:
		return "its client has gone"
	case now+time.Millisecond > a.req.deadline:
		return "its time is over"
	case d.limits.Behind != nil && d.limits.Behind():
		return "the news are too old"
	case a.host.unfit(now, d.limits.DrainGrace):
		return "the host drains or is gone"
	case a.source != nil && a.source.unfit(now, d.limits.DrainGrace):
		return "the source drains or is gone"
	case d.limits.Spent != nil && d.limits.Spent(a.host.Name):
		return "its part of the cold budget is over"
	case now > a.decidedAt && d.purges.toldSince(a.req, a.decidedAt):
		return "its age cap is from before a purge"
	case a.req.ranAt > 0 && d.classes[a.req.Class].resendWithin > 0 && now-a.req.ranAt >= d.classes[a.req.Class].resendWithin-resendMargin:
		return "a repeat would not be dropped any more"
	case a.req.claimOwn && a.req.ranAt == 0 && a.req.out == 1 && now-a.req.claimedAt > sendWithin:
		return "its claim was asked for too long ago"
	}
	return ""
}

// expire ends an attempt whose time is over.
func (d *Director) expire(a *attempt) {
	switch {
	case a.ended:
	case a.link != nil:
		d.cancel(a)
		d.Counts.TimedOut++
		status := decision.TimedOut
		if !a.whole {
			status = decision.ConnectFailed // it never came whole to the cache
		}
		d.end(a, &Reply{Status: status})
	case d.loop.Now() >= a.req.deadline:
		d.end(a, &Reply{Status: decision.NotSent})
	default:
		d.Counts.NoCon++
		d.end(a, &Reply{Status: decision.ConnectFailed})
	}
}

// abort calls an attempt off for the module.
func (d *Director) abort(o decision.CancelAttempt) {
	q := d.known[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].ended {
		return
	}
	a := q.attempts[o.Attempt]
	if a.link != nil {
		d.cancel(a)
	}
	d.end(a, &Reply{Status: decision.Cancelled})
}

// cancel tells the cache that an attempt is given up. It must be written before the request's next attempt is sent; a
// link that does not take it now is closed, which gives up everything on it.
func (d *Director) cancel(a *attempt) {
	l := a.link
	d.Counts.Cancelled++
	delete(l.open, a.req.ID)
	l.idleSince = d.loop.Now()
	if len(l.open) == 0 && !l.silent() {
		l.quiet = 0 // it owes nothing any more
	}
	if l.partial == a {
		l.partial = nil
	}
	// Attempts share the request's id: an answer that has crossed the undo must not pass for its successor's, so
	// the successor never takes this link.
	a.req.spoil(l)
	a.req.unread = append(a.req.unread, l)
	l.conn.Cancel(a.req.ID)
	if !l.conn.Drained() {
		slog.Warn("link.takes_nothing", "host", l.host.Name, "attempts", len(l.open))
		l.conn.Close()
		l.lost()
	}
}

// end tells the module how an attempt ended and, where it was served, answers the client first.
func (d *Director) end(a *attempt, r *Reply) {
	if a.ended {
		return
	}
	a.ended = true
	a.timer.Stop()
	q := a.req
	q.out--
	if a.link == nil && a.host != nil {
		a.host.waiting = slices.DeleteFunc(a.host.waiting, func(w *attempt) bool { return w == a })
	}
	status := r.Status
	if a.whole && q.ranAt == 0 && mayHaveRun(status) {
		q.ranAt = a.sentAt
	}
	if status == decision.OK && !q.answered {
		if why := d.unfitCopy(a, r); why != "" {
			d.Counts.Withheld++
			slog.Debug("answer.withheld", "host", a.host.Name, "id", q.ID, "why", why)
			status = decision.Miss
		} else {
			d.serve(q, r)
		}
	}
	if a.link != nil && !q.answered {
		q.spoil(a.link) // some caches answer twice, the second time some milliseconds late
	}
	d.forget(q)
	d.feed(decision.AttemptResult{
		Request: q.key, Terminal: q.answered, Host: a.what.Host, Attempt: a.number, CacheStatus: r.Note,
		Status: status, Elapsed: d.loop.Now() - a.decidedAt, Load: r.Report,
	})
}

// spoil keeps further attempts of a request off a link.
func (q *request) spoil(l *link) {
	if !slices.Contains(q.spoiled, l) {
		q.spoiled = append(q.spoiled, l)
	}
}

// mayHaveRun tells whether an end leaves open that the attempt has run.
func mayHaveRun(s decision.Status) bool {
	switch s {
	case decision.Full, decision.ConnectFailed, decision.NotSent, decision.Miss:
		return false
	}
	return true
}

func (d *Director) serve(q *request, r *Reply) {
	d.conclude(q)
	if r.Same {
		d.Counts.Same++
		q.Caller.ServeSame(q.Request)
		return
	}
	d.Counts.Served++
	q.Caller.Serve(q.Request, r.Body)
}

// ageSlack is what sockets add to a time limit.
const ageSlack = 50 * time.Millisecond

// unfitCopy tells why a copy must not be passed on: the caches follow the age cap as well as they can, but what a
// client gets is the director's to answer for.
func (d *Director) unfitCopy(a *attempt, r *Reply) string {
	q := a.req
	if r.Same && (a.have == "" || r.Tag != a.have) {
		return "it speaks of a copy that the client does not hold"
	}
	k := d.classes[q.Class]
	if r.Since == 0 || !k.keeps {
		return ""
	}
	if d.purges.bind(q, r.Since, a.sentAt-d.limits.PurgeGrace) {
		return "the copy is from before a purge"
	}
	if k.oldest > 0 && a.sentAt-r.Since > k.oldest+ageSlack {
		return "the copy is too old"
	}
	return ""
}
