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
	observeTick    = 20 * time.Millisecond
	observePublish = 50 * time.Millisecond // changes that come together are published together
)

// observer is the shell of observe.Watcher: it dials and pings on the board's loop. It does nothing while it is switched
// off.
type observer struct {
	board   *Server
	watcher *observe.Watcher
	conns   map[string]*boxConn
	tick    transport.Timer
	publish transport.Timer
	buf     []byte
}

func newObserver(b *Server) *observer {
	o := &observer{board: b, conns: map[string]*boxConn{}}
	if set := b.set.Observer; set.Every > 0 {
		o.watcher = observe.New(observe.Settings{EveryMS: set.Every.Milliseconds(), TimeoutMS: set.Timeout.Milliseconds(), Misses: set.Misses})
	}
	return o
}

// on tells whether anybody looks.
func (o *observer) on() bool { return o.watcher != nil }

func (o *observer) start() {
	if !o.on() {
		return
	}
	for m := range o.board.store.Fleet().Hosts() {
		o.watcher.Declare(m.Name, m.Address, false, o.board.clock())
	}
	o.tick.Fire, o.publish.Fire = o.look, o.tell
	o.board.loop.Set(&o.tick, o.board.loop.Now())
	o.board.loop.Set(&o.publish, o.board.loop.Now())
}

// follow looks at the boxes that events speak of.
func (o *observer) follow(events []fleet.Event) {
	if !o.on() {
		return
	}
	for _, e := range events {
		m := e.Host
		if m == nil {
			continue
		}
		anew := m.BornMS == e.AtMS && m.State == fleet.InService
		if c := o.conns[m.Name]; c != nil && (m.State == fleet.Terminated || anew || !o.watcher.Known(m.Name, m.Address)) {
			c.end()
		}
		if m.State == fleet.Terminated {
			o.watcher.Forget(m.Name)
		} else {
			o.watcher.Declare(m.Name, m.Address, anew, o.board.clock())
		}
	}
	o.tell()
}

// renew looks at the boxes of another fleet from now on.
func (o *observer) renew(f fleet.Fleet) {
	if !o.on() {
		return
	}
	for name := range o.watcher.Seen() {
		if f.Host(name) == nil {
			o.watcher.Forget(name)
		}
	}
	for m := range f.Hosts() {
		o.watcher.Declare(m.Name, m.Address, false, o.board.clock())
	}
	o.tell()
}

func (o *observer) look() {
	if o.board.Leads() { // the boxes are looked at once for all copies
		o.do(o.watcher.Tick(o.board.clock()))
		o.changed()
	}
	o.board.loop.Set(&o.tick, o.board.loop.Now()+max(observeTick, o.board.set.Observer.Every/20))
}

func (o *observer) do(actions []observe.Action) {
	for _, a := range actions {
		if a.Address != "" {
			o.dial(a)
		} else if c := o.conns[a.Host]; c != nil && c.conn != nil {
			o.buf = resp.AppendHead(o.buf[:0], 2)
			o.buf = resp.AppendBulk(o.buf, "ping")
			o.buf = resp.AppendBulk(o.buf, a.Tag)
			c.conn.Write(o.buf)
		}
	}
}

func (o *observer) dial(a observe.Action) {
	if c := o.conns[a.Host]; c != nil {
		c.end()
	}
	addr, err := netip.ParseAddrPort(a.Address)
	if err == nil {
		c := &boxConn{observer: o, name: a.Host}
		if c.conn, err = o.board.loop.Dial(addr, o.board.set.Observer.Timeout, c); err == nil {
			o.conns[a.Host] = c
			return
		}
	}
	o.watcher.Lost(a.Host, errors.Is(err, unix.ECONNREFUSED), o.board.clock())
}

// changed has the observations published soon.
func (o *observer) changed() {
	if !o.publish.Active() {
		o.board.loop.Set(&o.publish, o.board.loop.Now()+observePublish)
	}
}

func (o *observer) tell() {
	o.publish.Stop()
	old := *o.board.observed.Load()
	fresh, differs := map[string]fleet.Observation{}, false
	for name, seen := range o.watcher.Seen() {
		fresh[name] = seen
		if was := old[name]; was != seen {
			differs = true
			if was.Sight != seen.Sight && was.Sight != "" || was.RestartedMS != seen.RestartedMS {
				slog.Info("box.seen", "box", name, "sight", seen.Sight, "was", was.Sight, "restarted", was.RestartedMS != seen.RestartedMS)
			}
		}
	}
	if differs || len(fresh) != len(old) {
		o.board.observed.Store(&fresh)
		o.board.executor.wake()
	}
}

// boxConn is the observer's connection to one box.
type boxConn struct {
	observer *observer
	conn     *transport.Conn
	name     string
	words    resp.Words
}

// end closes the connection without a word to the watcher.
func (c *boxConn) end() {
	c.conn.Close()
	if c.observer.conns[c.name] == c {
		delete(c.observer.conns, c.name)
	}
}

// Opened implements transport.Handler.
func (c *boxConn) Opened() {
	c.observer.do(c.observer.watcher.Connected(c.name, c.observer.board.clock()))
}

// Flushed implements transport.Handler.
func (c *boxConn) Flushed() {}

// Closed implements transport.Handler.
func (c *boxConn) Closed(err error) {
	o := c.observer
	if o.conns[c.name] != c {
		return
	}
	delete(o.conns, c.name)
	o.watcher.Lost(c.name, errors.Is(err, unix.ECONNREFUSED), o.board.clock())
	o.changed()
}

// Data implements transport.Handler.
func (c *boxConn) Data(b []byte) (used, need int, err error) {
	for {
		words, n, need, err := resp.Parse(b[used:], c.words)
		c.words = words
		if err != nil || n == 0 {
			return used, need, err
		}
		used += n
		if len(words) >= 2 && string(words[1]) == "UP" && c.observer.watcher.Pong(c.name, string(words[0]), c.observer.board.clock()) {
			c.observer.changed()
		}
	}
}
