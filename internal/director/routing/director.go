package routing

import (
	"log/slog"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/transport"
)

// Director routes the requests of one core according to the decisions of its own instance of the decision module.
type Director struct {
	Counters Counters

	loop    *transport.Loop
	module  *decision.Router
	dialer  Dialer
	limits  Limits
	hooks   Hooks
	classes map[string]classRules

	// isReadyCache reports whether an endpoint is a cache that is ready to serve clients.
	isReadyCache func(Endpoint) bool

	hosts              map[decision.HostID]*host
	byName             map[string]*host
	conns              int           // to all hosts
	pingsSent          int64         // makes the tags of pings unique
	notifiedAt         time.Duration // see SetNotifiedAt
	listVersion        int64         // version of the newest endpoint list that was applied
	purges             purgeLog
	maintenanceTimer   transport.Timer
	freeTimers         []*moduleTimer
	events             []decision.Event // events that the module has not handled yet
	handling           bool
	requests           map[decision.RequestID]*clientRequest
	inFlight           int        // unanswered requests, including waiting resubmissions
	sendQueue          []*attempt // attempts to send at the end of the round
	hostsToSendWaiting []*host    // hosts whose waiting attempts may get a connection now

	flushScheduled     bool
	flushSendQueueFunc func() // the method value flushSendQueue, allocated once

	cancelledByID        map[decision.RequestID]*cancelledRequest
	cancelledOldestFirst []*cancelledRequest
	cancelledEarlier     idFilter // IDs of cancelled requests for which there was no room any more
}

// maintenanceInterval is the interval at which idle connections are closed and old purges are dropped.
const maintenanceInterval = 500 * time.Millisecond

// New returns a Director. SetHooks may be called next, then Start.
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

		cancelledEarlier: newIDFilter(limits.MaxDeadline),
	}
	d.isReadyCache = func(e Endpoint) bool {
		parent := s.ParentKind >= 0 && s.ParentKind < len(s.Kinds) && e.Kind == s.Kinds[s.ParentKind]
		return e.Readiness == decision.Ready && e.Zone == s.Zone && !parent
	}
	d.maintenanceTimer.Fire = d.runMaintenance
	d.flushSendQueueFunc = d.flushSendQueue
	return d
}

// SetHooks sets the hooks. It must be called before Start.
func (d *Director) SetHooks(hooks Hooks) {
	d.hooks = hooks
	if hooks.SlowStartShare != nil {
		d.module.SetSlowStartShare(hooks.SlowStartShare)
	}
}

// Start starts the decision module and the periodic maintenance.
func (d *Director) Start() {
	for _, action := range d.module.Start(d.loop.Now()) {
		d.perform(action)
	}
	d.loop.Set(&d.maintenanceTimer, d.loop.Now()+maintenanceInterval)
}

// InFlight returns the number of unanswered requests.
func (d *Director) InFlight() int { return d.inFlight }

// HasReadyCache reports whether a cache in the director's zone is ready to serve clients. Parent caches and the origin
// alone do not count.
func (d *Director) HasReadyCache() bool {
	for _, h := range d.hosts {
		if d.isReadyCache(h.Endpoint) {
			return true
		}
	}
	return false
}

// handle passes an event to the decision module and performs the actions that it returns. Events that these actions cause
// are queued, so that the module never gets an event before its previous actions are complete.
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
		d.cancelAttempt(a)
	case decision.Reject:
		if q := d.unansweredRequest(a.Request); q != nil {
			d.reject(q, a.RetryAfter)
		}
	case decision.Fail:
		if q := d.unansweredRequest(a.Request); q != nil {
			d.fail(q)
		}
	case decision.SetTimer:
		d.setTimer(a.Delay, a.Timer)
	case decision.LogLine:
		slog.Info("decision.logged", "line", a.Text)
	case decision.WatchEndpoints, decision.PollEndpoints:
		// No action is needed: the event stream is watched at all times.
	case decision.HealthCheck:
		slog.Error("health_check.unsupported", "host_number", a.Host)
	}
}

// moduleTimer is a timer that the decision module has set. Timers that have fired are reused.
type moduleTimer struct {
	transport.Timer
	timer decision.Timer
}

func (d *Director) setTimer(delay time.Duration, timer decision.Timer) {
	t := d.acquireTimer()
	t.timer = timer
	d.loop.Set(&t.Timer, d.loop.Now()+delay)
}

func (d *Director) acquireTimer() *moduleTimer {
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

// runMaintenance closes idle connections and drops hosts, cancelled requests and purges that are no longer needed.
func (d *Director) runMaintenance() {
	now := d.loop.Now()
	d.loop.Set(&d.maintenanceTimer, now+maintenanceInterval)
	for id, h := range d.hosts {
		h.closeIdleConns(now)
		unused := len(h.conns) == 0 && len(h.waiting) == 0
		forgettable := h.Readiness == decision.Gone && !h.isReplaced() // a replaced host that is listed again is no new one
		if forgettable && unused && now > h.readinessSince+d.limits.MaxDeadline {
			delete(d.hosts, id)
			delete(d.byName, h.Name)
		}
	}
	d.expireCancelled(now)
	// A fill may end late, so a purge is kept for longer than an attempt may take.
	d.purges.expire(now - 2*d.limits.PurgeTimeout - d.limits.MaxDeadline)
}
