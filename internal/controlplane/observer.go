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
	observerPublishDelay = 50 * time.Millisecond // changes that come within it are published together
)

// observer is the I/O around observe.Monitor: it connects to the hosts of the fleet and pings them. All of it runs on the server's
// loop. It does nothing while the operator's file switches it off.
type observer struct {
	server       *Server
	monitor      *observe.Monitor // nil: switched off
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

// enabled tells whether hosts are observed. It may be called from any goroutine.
func (o *observer) enabled() bool { return o.monitor != nil }

// start begins to observe the hosts of the store's fleet, before the loop runs.
func (o *observer) start() {
	if !o.enabled() {
		return
	}
	for host := range o.server.store.Fleet().Hosts() {
		o.monitor.AddHost(host.Name, host.Address, false, o.server.clock())
	}
	o.tickTimer.Fire = o.tick
	o.publishTimer.Fire = o.publish
	o.server.loop.Set(&o.tickTimer, o.server.loop.Now())
	o.server.loop.Set(&o.publishTimer, o.server.loop.Now())
}

// apply follows the hosts that events add, change or remove.
func (o *observer) apply(events []fleet.Event) {
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

// applyHost follows one host that an event has set. A host that was born with the event has restarted: it is pinged over a new
// connection.
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

// replaceFleet observes the hosts of another fleet from now on.
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

// tick does what is due. In a group only the leader observes.
func (o *observer) tick() {
	if o.server.IsLeader() {
		o.perform(o.monitor.Tick(o.server.clock()))
		o.schedulePublish()
	}
	o.server.loop.Set(&o.tickTimer, o.server.loop.Now()+max(minObserverTick, o.server.settings.Observer.Every/ticksPerPing))
}

// perform connects and pings as the monitor has decided.
func (o *observer) perform(actions []observe.Action) {
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

// schedulePublish has the observations published soon.
func (o *observer) schedulePublish() {
	if !o.publishTimer.Active() {
		o.server.loop.Set(&o.publishTimer, o.server.loop.Now()+observerPublishDelay)
	}
}

// publish makes the observations visible to other goroutines, and wakes the executor if any has changed.
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

// logObservation logs a host that is seen otherwise than before. The first observation of a host is not logged.
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
	words    resp.Words // of the last answer; its memory is reused
}

// ping sends a ping with a tag that the answer repeats.
func (c *hostConn) ping(tag string) {
	o := c.observer
	o.buf = resp.AppendHead(o.buf[:0], 2)
	o.buf = resp.AppendBulk(o.buf, "ping")
	o.buf = resp.AppendBulk(o.buf, tag)
	c.conn.Write(o.buf)
}

// close ends the connection without reporting it to the monitor.
func (c *hostConn) close() {
	c.conn.Close()
	if c.observer.conns[c.host] == c {
		delete(c.observer.conns, c.host)
	}
}

// Opened implements transport.Handler.
func (c *hostConn) Opened() {
	c.observer.perform(c.observer.monitor.Connected(c.host, c.observer.server.clock()))
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

// Data implements transport.Handler. An answer to a ping is the ping's tag and UP.
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
