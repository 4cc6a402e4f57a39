package routing

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// Director drives one instance of the decision module.
type Director struct {
	Counters Counters

	loop    *transport.Loop
	module  *decision.Router
	dialer  Dialer
	limits  Limits
	hooks   Hooks
	classes map[string]classRules

	// isReadyCache reports whether clients can be served from an endpoint.
	isReadyCache func(Endpoint) bool

	hosts        map[decision.HostID]*host
	byName       map[string]*host
	conns        int           // to all hosts
	pingsSent    int64         // makes the tags of pings unique
	notifiedAt   time.Duration // see SetNotifiedAt
	listVersion  int64         // of the newest endpoint list that was applied
	purges       purgeLog
	upkeepTimer  transport.Timer
	freeTimers   []*moduleTimer
	events       []decision.Event // that the module has not handled yet
	handling     bool
	requests     map[decision.RequestID]*clientRequest
	inFlight     int        // requests that are owed an answer
	toSend       []*attempt // at the end of the round
	hostsToRetry []*host    // with waiting attempts that may get a connection now

	sendScheduled bool
	sendRoundFunc func() // sendRound, allocated once

	cancelledByID        map[decision.RequestID]*cancelledRequest
	cancelledOldestFirst []*cancelledRequest
}

// upkeepInterval is the period in which idle connections are closed and old purges are forgotten.
const upkeepInterval = 500 * time.Millisecond

// New makes a Director. SetHooks may follow, then Start.
func New(loop *transport.Loop, s decision.Settings, seed uint64, limits Limits, dialer Dialer) *Director {
	d := &Director{
		loop:          loop,
		module:        decision.NewRouter(s, seed),
		dialer:        dialer,
		limits:        limits,
		classes:       classRulesOf(s),
		hosts:         map[decision.HostID]*host{},
		byName:        map[string]*host{},
		requests:      map[decision.RequestID]*clientRequest{},
		cancelledByID: map[decision.RequestID]*cancelledRequest{},
		purges:        newPurgeLog(),
	}
	d.isReadyCache = func(e Endpoint) bool {
		parent := s.ParentKind >= 0 && s.ParentKind < len(s.Kinds) && e.Kind == s.Kinds[s.ParentKind]
		return e.Readiness == decision.Ready && e.Zone == s.Zone && !parent
	}
	d.upkeepTimer.Fire = d.runUpkeep
	d.sendRoundFunc = d.sendRound
	return d
}

// SetHooks sets the hooks. It must be called before Start.
func (d *Director) SetHooks(hooks Hooks) {
	d.hooks = hooks
	if hooks.SlowStartShare != nil {
		d.module.SetSlowStartShare(hooks.SlowStartShare)
	}
}

// Start starts the decision module.
func (d *Director) Start() {
	for _, action := range d.module.Start(d.loop.Now()) {
		d.perform(action)
	}
	d.loop.Set(&d.upkeepTimer, d.loop.Now()+upkeepInterval)
}

// InFlight is the number of requests that are owed an answer.
func (d *Director) InFlight() int { return d.inFlight }

// HasReadyCache reports whether clients can be served from any cache. Parent caches and the origin alone do not count.
func (d *Director) HasReadyCache() bool {
	for _, h := range d.hosts {
		if d.isReadyCache(h.Endpoint) {
			return true
		}
	}
	return false
}

// handle hands an event to the module and performs the actions that it returns. Events that these actions cause are
// queued, so that the module never sees an event while its last actions are performed.
func (d *Director) handle(event decision.Event) {
	d.events = append(d.events, event)
	if d.handling {
		return
	}
	d.handling = true
	for i := 0; i < len(d.events); i++ {
		for _, action := range d.module.Handle(d.loop.Now(), d.events[i]) {
			d.perform(action)
		}
	}
	clear(d.events)
	d.events = d.events[:0]
	d.handling = false
}

func (d *Director) perform(action decision.Action) {
	switch a := action.(type) {
	case decision.StartAttempt:
		d.startAttempt(a)
	case decision.CancelAttempt:
		d.cancelForModule(a)
	case decision.Reject:
		if q := d.unanswered(a.Request); q != nil {
			d.reject(q, a.RetryAfter)
		}
	case decision.Fail:
		if q := d.unanswered(a.Request); q != nil {
			d.fail(q)
		}
	case decision.SetTimer:
		d.setTimer(a.Delay, a.Timer)
	case decision.LogLine:
		slog.Info("decision.logged", "line", a.Text)
	case decision.WatchEndpoints, decision.PollEndpoints:
		// The event stream is watched from the start to the end anyway.
	case decision.HealthCheck:
		slog.Error("health_check.unsupported", "host_number", a.Host)
	}
}

// moduleTimer is a timer of the module. Timers that have fired are reused.
type moduleTimer struct {
	transport.Timer
	timer decision.Timer
}

func (d *Director) setTimer(delay time.Duration, timer decision.Timer) {
	t := d.takeTimer()
	t.timer = timer
	d.loop.Set(&t.Timer, d.loop.Now()+delay)
}

func (d *Director) takeTimer() *moduleTimer {
	if n := len(d.freeTimers); n > 0 {
		t := d.freeTimers[n-1]
		d.freeTimers = d.freeTimers[:n-1]
		return t
	}
	t := &moduleTimer{}
	t.Fire = func() {
		timer := t.timer
		d.freeTimers = append(d.freeTimers, t)
		d.handle(decision.TimerFired{Timer: timer})
	}
	return t
}

// runUpkeep closes idle connections and forgets hosts, cancelled requests and purges that do not matter any more.
func (d *Director) runUpkeep() {
	now := d.loop.Now()
	d.loop.Set(&d.upkeepTimer, now+upkeepInterval)
	for id, h := range d.hosts {
		h.closeIdleConns(now)
		unused := len(h.conns) == 0 && len(h.waiting) == 0
		if h.Readiness == decision.Gone && unused && now > h.readinessSince+d.limits.MaxDeadline {
			delete(d.hosts, id)
			delete(d.byName, h.Name)
		}
	}
	d.expireCancelled(now)
	// A fill may end late, so a purge is remembered for longer than an attempt may take.
	d.purges.forget(now - 2*d.limits.PurgeTimeout - d.limits.MaxDeadline)
}
