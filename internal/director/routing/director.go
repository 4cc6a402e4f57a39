package routing

import (
	"cmp"
	"log/slog"
	"strings"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// Director drives one instance of the decision module.
type Director struct {
	Counts Counts

	loop    *transport.Loop
	module  *decision.Router
	dialer  Dialer
	limits  Limits
	classes map[string]class
	serves  func(Member) bool // whether clients can be served from a host
	hosts   map[decision.HostID]*host
	byName  map[string]*host
	known   map[decision.RequestID]*request
	open    int
	purges  purges
	events  []decision.Event
	feeding bool
	outbox  []*attempt // to be sent when the round is over
	woken   []*host    // with attempts that wait and may have a link now
	sending bool       // sendOut is due
	flush   func()     // sendOut
	links   int        // to all hosts

	former      map[decision.RequestID]*former
	formerOrder []*former // the oldest first
	spare       []*alarm
	pings       int64 // made so far
	upkeep      transport.Timer
	told        time.Duration // see Told
	version     int64         // of the last list taken in
}

// upkeepEvery paces the closing of idle links and the forgetting of purges.
const upkeepEvery = 500 * time.Millisecond

// class is what the guards need to know of a class.
type class struct {
	effect       decision.Idempotency
	keeps        bool                // its answers are copies
	oldest       time.Duration       // that a copy may be; 0: any age
	resendWithin time.Duration       // of the first attempt that may have run; 0: the module's decision alone
	scope        decision.DedupScope // of the caches that drop repeats within that
}

// New makes a director. Start begins its life.
func New(loop *transport.Loop, s decision.Settings, seed uint64, limits Limits, dialer Dialer) *Director {
	d := &Director{
		loop: loop, module: decision.NewRouter(s, seed), dialer: dialer, limits: limits,
		classes: map[string]class{},
		hosts:   map[decision.HostID]*host{}, byName: map[string]*host{},
		known:  map[decision.RequestID]*request{},
		former: map[decision.RequestID]*former{},
		purges: newPurges(),
	}
	for _, c := range s.Classes {
		k := class{effect: c.Idempotency, keeps: !c.Uncacheable}
		if c.FreshFor > 0 {
			k.oldest = c.FreshFor + c.StaleFor
		}
		if c.Idempotency == decision.IdempotentWithKey {
			k.resendWithin, k.scope = c.DedupWindow, c.DedupScope
		}
		d.classes[c.Name] = k
	}
	d.serves = func(m Member) bool {
		parent := s.ParentKind >= 0 && s.ParentKind < len(s.Kinds) && m.Kind == s.Kinds[s.ParentKind]
		return m.Readiness == decision.Ready && m.Zone == s.Zone && !parent
	}
	if limits.Cold != nil {
		d.module.SetSlowStartShare(limits.Cold)
	}
	d.upkeep.Fire, d.flush = d.tidy, d.sendOut
	return d
}

// Start begins the module's life.
func (d *Director) Start() {
	for _, a := range d.module.Start(d.loop.Now()) {
		d.act(a)
	}
	d.loop.Set(&d.upkeep, d.loop.Now()+upkeepEvery)
}

// Told says that the lists and purges that follow were told at a time that has passed, until it is called with 0: the
// graces of the rules count from there, also on a core that was stalled meanwhile.
func (d *Director) Told(at time.Duration) { d.told = at }

func (d *Director) toldAt() time.Duration {
	if d.told > 0 {
		return d.told
	}
	return d.loop.Now()
}

// Carried is what the module has carried, now and at its best of late, in seconds of sending per second.
func (d *Director) Carried() (now, best float64) { return d.module.ServedRate() }

// ColdWants tells of each cold host what of its budget this director would use.
func (d *Director) ColdWants(f func(host string, demand float64)) {
	d.module.SlowStartDemand(func(id decision.HostID, demand float64) {
		if h := d.hosts[id]; h != nil {
			f(h.Name, demand)
		}
	})
}

// leastPart stands for a part of nothing, which must not be taken for an even one.
const leastPart = 1e-9

// Part tells what part of a host's cold budget is this director's; below 0: an even one.
func (d *Director) Part(host string, share float64) {
	h := d.byName[host]
	if h == nil {
		return
	}
	if share < 0 {
		share = 0
	} else {
		share = max(share, leastPart)
	}
	d.feed(decision.QuotaShare{Host: h.Host, Share: share})
}

// Evidence tells what was seen of each host since it was asked last, by the host's name and birth: a process that was started
// anew under the name is another.
func (d *Director) Evidence(f func(box string, tried, failed, lag float64)) {
	d.module.HostOutcomes(func(id decision.HostID, tried, failed, lag float64) {
		if h := d.hosts[id]; h != nil {
			f(h.born(), tried, failed, lag)
		}
	})
}

// Opinion tells what share of attempts at a box all directors see go wrong. One that is not there, or was started anew since, is
// left alone.
func (d *Director) Opinion(box string, bad float64) {
	name := box
	if i := strings.LastIndexByte(box, '@'); i >= 0 {
		name = box[:i]
	}
	if h := cmp.Or(d.byName[name], d.byName[box]); h != nil && h.born() == box {
		d.feed(decision.AggregatedHealth{Host: h.Host, FailureShare: bad})
	}
}

// Fellows tells how many directors there are now, where that is known.
func (d *Director) Fellows(f decision.PeerCounts) { d.feed(f) }

// Open is how many requests are owed an answer.
func (d *Director) Open() int { return d.open }

// Ready tells whether there is a cache that clients could be served from. Parents and the origin alone are none.
func (d *Director) Ready() bool {
	for _, h := range d.hosts {
		if d.serves(h.Member) {
			return true
		}
	}
	return false
}

// feed hands an event to the module and carries out what it calls for. What those actions bring about at once
// waits its turn, so that the module never sees an event while its last actions are being carried out.
func (d *Director) feed(ev decision.Event) {
	d.events = append(d.events, ev)
	if d.feeding {
		return
	}
	d.feeding = true
	for i := 0; i < len(d.events); i++ {
		for _, a := range d.module.Handle(d.loop.Now(), d.events[i]) {
			d.act(a)
		}
	}
	clear(d.events)
	d.events = d.events[:0]
	d.feeding = false
}

// act carries out one action.
func (d *Director) act(action decision.Action) {
	switch a := action.(type) {
	case decision.StartAttempt:
		d.obtain(a)
	case decision.CancelAttempt:
		d.abort(a)
	case decision.Reject:
		if q := d.unanswered(a.Request); q != nil {
			d.Counts.Refused++
			d.conclude(q)
			q.Caller.Refuse(q.Request, a.RetryAfter)
		}
	case decision.Fail:
		if q := d.unanswered(a.Request); q != nil {
			d.Counts.Failed++
			d.conclude(q)
			q.Caller.Fail(q.Request)
		}
	case decision.SetTimer:
		d.after(a.Delay, a.Timer)
	case decision.LogLine:
		slog.Info("module.remark", "line", a.Text)
	case decision.WatchEndpoints, decision.PollEndpoints:
		// The bulletin is followed from the start to the end.
	case decision.HealthCheck:
		slog.Error("module.probe_asked", "host_number", a.Host)
	}
}

// alarm is a timer of the module's; alarms are used again.
type alarm struct {
	transport.Timer
	timer decision.Timer
}

func (d *Director) after(delay time.Duration, timer decision.Timer) {
	var a *alarm
	if n := len(d.spare); n > 0 {
		a, d.spare = d.spare[n-1], d.spare[:n-1]
	} else {
		a = &alarm{}
		a.Fire = func() {
			timer := a.timer
			d.spare = append(d.spare, a)
			d.feed(decision.TimerFired{Timer: timer})
		}
	}
	a.timer = timer
	d.loop.Set(&a.Timer, d.loop.Now()+delay)
}

// tidy closes what has been idle and forgets old purges.
func (d *Director) tidy() {
	now := d.loop.Now()
	d.loop.Set(&d.upkeep, now+upkeepEvery)
	for id, h := range d.hosts {
		h.closeIdle(now)
		if h.Readiness == decision.Gone && len(h.links) == 0 && len(h.waiting) == 0 && now > h.told+d.limits.LongestAnswer {
			delete(d.hosts, id)
			delete(d.byName, h.Name)
		}
	}
	d.tidyFormer(now)
	// A fill may end late: a purge is held against answers for as long as one may be out, and more.
	d.purges.forget(now - 2*d.limits.PurgeDone - d.limits.LongestAnswer)
}
