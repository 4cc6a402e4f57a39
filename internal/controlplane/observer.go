package controlplane

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/fleet/observe"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/transport"
)

const (
	minObserverTick      = 20 * time.Millisecond
	ticksPerPing         = 20
	observerPublishDelay = 50 * time.Millisecond // changes within this delay are published together
)

// observer performs the I/O for observe.Monitor: it connects to the hosts of the fleet and pings them. It runs on the server's event
// loop only, except for enabled. It does nothing if observation is disabled in the operator configuration.
type observer struct {
	server       *Server
	monitor      *observe.Monitor // nil if disabled
	conns        map[string]*hostConn
	tickTimer    transport.Timer
	publishTimer transport.Timer
	buf          []byte
}

func newObserver(s *Server) *observer {
	o := &observer{server: s, conns: map[string]*hostConn{}}
	if set := s.settings.Observer; set.Every > 0 {
		o.monitor = observe.New(observe.Settings{
			PingIntervalMS: set.Every.Milliseconds(),
			TimeoutMS:      set.Timeout.Milliseconds(),
			Misses:         set.Misses,
		})
	}
	return o
}

// enabled reports whether hosts are observed. It is safe for concurrent use.
func (o *observer) enabled() bool { return o.monitor != nil }

// start starts to observe the hosts in the store. It must be called before the event loop runs.
func (o *observer) start() {
	if !o.enabled() {
		return
	}
	for host := range o.server.store.Fleet().Hosts() {
		o.monitor.AddHost(host.Name, host.Address, false, o.server.clock())
	}
	o.tickTimer.Fire = o.runMonitor
	o.publishTimer.Fire = o.publish
	o.server.loop.Set(&o.tickTimer, o.server.loop.Now())
	o.server.loop.Set(&o.publishTimer, o.server.loop.Now())
}

// applyEvents updates the observed hosts according to events.
func (o *observer) applyEvents(events []fleet.Event) {
	if !o.enabled() {
		return
	}
	for _, event := range events {
		if event.Host != nil {
			o.applyHost(event.Host, event.AtMS)
		}
	}
	o.publish()
}

// applyHost updates the observation of one host that an event has set. A host whose start time is the time of the event has restarted,
// so it is pinged over a new connection.
func (o *observer) applyHost(host *fleet.Host, atMS int64) {
	restarted := host.AddedMS == atMS && host.State == fleet.InService
	removed := host.State == fleet.Terminated
	if c := o.conns[host.Name]; c != nil && (removed || restarted || !o.monitor.HasHost(host.Name, host.Address)) {
		c.close()
	}
	if removed {
		o.monitor.RemoveHost(host.Name)
		return
	}
	o.monitor.AddHost(host.Name, host.Address, restarted, o.server.clock())
}

// replaceFleet replaces the observed hosts by the hosts in f.
func (o *observer) replaceFleet(f fleet.Fleet) {
	if !o.enabled() {
		return
	}
	for name := range o.monitor.Observations() {
		if f.Host(name) == nil {
			o.monitor.RemoveHost(name)
		}
	}
	for host := range f.Hosts() {
		o.monitor.AddHost(host.Name, host.Address, false, o.server.clock())
	}
	o.publish()
}

// runMonitor performs the actions that are due and reschedules itself. In a group only the leader observes hosts.
func (o *observer) runMonitor() {
	if o.server.IsLeader() {
		o.performActions(o.monitor.Tick(o.server.clock()))
		o.schedulePublish()
	}
	o.server.loop.Set(&o.tickTimer, o.server.loop.Now()+max(minObserverTick, o.server.settings.Observer.Every/ticksPerPing))
}

// performActions opens the connections and sends the pings that the monitor requests.
func (o *observer) performActions(actions []observe.Action) {
	for _, action := range actions {
		if action.Address != "" {
			o.connect(action)
		} else if c := o.conns[action.Host]; c != nil && c.conn != nil {
			c.ping(action.Tag)
		}
	}
}

func (o *observer) connect(action observe.Action) {
	if c := o.conns[action.Host]; c != nil {
		c.close()
	}
	addr, err := netip.ParseAddrPort(action.Address)
	if err == nil {
		c := &hostConn{observer: o, host: action.Host}
		if c.conn, err = o.server.loop.Dial(addr, o.server.settings.Observer.Timeout, c); err == nil {
			o.conns[action.Host] = c
			return
		}
	}
	o.monitor.Disconnected(action.Host, errors.Is(err, unix.ECONNREFUSED), o.server.clock())
}

// schedulePublish schedules publish after observerPublishDelay unless it is already scheduled.
func (o *observer) schedulePublish() {
	if !o.publishTimer.Active() {
		o.server.loop.Set(&o.publishTimer, o.server.loop.Now()+observerPublishDelay)
	}
}

// publish makes the observations visible to other goroutines. It wakes the executor if any observation has changed.
func (o *observer) publish() {
	o.publishTimer.Stop()
	previous := *o.server.observed.Load()
	observed := map[string]fleet.Observation{}
	changed := false
	for name, now := range o.monitor.Observations() {
		observed[name] = now
		if before := previous[name]; before != now {
			changed = true
			logObservation(name, before, now)
		}
	}
	if changed || len(observed) != len(previous) {
		o.server.observed.Store(&observed)
		o.server.executor.wake()
	}
}

// logObservation logs a change in the observation of a host. The first observation of a host is not logged.
func logObservation(host string, before, now fleet.Observation) {
	restarted := before.RestartedMS != now.RestartedMS
	if before.Reachability != now.Reachability && before.Reachability != "" || restarted {
		slog.Info("host.observed", "host", host, "sight", now.Reachability, "was", before.Reachability, "restarted", restarted)
	}
}

// hostConn is the observer's connection to one host. It implements transport.Handler.
type hostConn struct {
	observer *observer
	conn     *transport.Conn
	host     string
	words    resp.Words // of the last answer; the memory is reused
}

// ping sends a ping with a tag, which the answer repeats.
func (c *hostConn) ping(tag string) {
	o := c.observer
	o.buf = resp.AppendHead(o.buf[:0], 2)
	o.buf = resp.AppendBulk(o.buf, "ping")
	o.buf = resp.AppendBulk(o.buf, tag)
	c.conn.Write(o.buf)
}

// close closes the connection without reporting this to the monitor.
func (c *hostConn) close() {
	c.conn.Close()
	if c.observer.conns[c.host] == c {
		delete(c.observer.conns, c.host)
	}
}

// Opened implements transport.Handler.
func (c *hostConn) Opened() {
	c.observer.performActions(c.observer.monitor.Connected(c.host, c.observer.server.clock()))
}

// Flushed implements transport.Handler.
func (c *hostConn) Flushed() {}

// Closed implements transport.Handler.
func (c *hostConn) Closed(err error) {
	o := c.observer
	if o.conns[c.host] != c {
		return
	}
	delete(o.conns, c.host)
	o.monitor.Disconnected(c.host, errors.Is(err, unix.ECONNREFUSED), o.server.clock())
	o.schedulePublish()
}

// Data implements transport.Handler. The answer to a ping consists of the tag of the ping and UP.
func (c *hostConn) Data(b []byte) (used, need int, err error) {
	o := c.observer
	for {
		words, n, need, err := resp.Parse(b[used:], c.words)
		c.words = words
		if err != nil || n == 0 {
			return used, need, err
		}
		used += n
		if len(words) >= 2 && string(words[1]) == "UP" && o.monitor.Pong(c.host, string(words[0]), o.server.clock()) {
			o.schedulePublish()
		}
	}
}
