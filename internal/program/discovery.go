package program

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"stairvane.org/stairvane"
	"stairvane.org/stairvane/internal/protocol/bulletin"
	"stairvane.org/stairvane/internal/routing"
	"stairvane.org/stairvane/internal/transport"
)

const (
	// What the bulletin holds counts as told 7 s later at the latest, so a silent one must be noticed well before.
	watchPatience = 2 * time.Second
	watchSilence  = watchPatience + time.Second
	watchDial     = time.Second
	watchRetryMin = 20 * time.Millisecond
	watchRetryMax = 500 * time.Millisecond
	// The bulletin's connections break for all directors at once; each further one widens the time over which they return.
	watchSpread = 2500 * time.Microsecond
	// Where the bulletin is told at several addresses, one that is silent is left for another so soon that a purge is still
	// known in time.
	watchPatienceMany = 100 * time.Millisecond
	watchSilenceMany  = 2 * watchPatienceMany
	watchDialMany     = 200 * time.Millisecond
	watchRetryMany    = 40 * time.Millisecond // at most: while copies choose a leader all turn their followers away, for half a second
)

// discovery watches the bulletin by long polls, one at a time.
type discovery struct {
	loop     *transport.Loop
	director *routing.Director
	addr     netip.AddrPort
	addrs    []netip.AddrPort // all of them, the configuration's first
	at       int              // of addr among them
	last     int64            // the number of the last event taken in
	conn     *transport.Conn
	timer    transport.Timer
	retry    time.Duration
	failing  bool
	request  []byte
	rng      *rand.Rand
	crowd    int                 // directors that follow the bulletin, itself counted
	publish  func(bulletin.Feed) // to the other cores; nil: there are none
	roll     *onRoll             // nil: the director does not announce itself
	called   time.Duration       // when the call that is open was made, since the machine started
	saying   bool                // it has said that the director leaves
	said     bool                // and was answered

	unreadable int // events that were passed over
}

func newDiscovery(loop *transport.Loop, d *routing.Director, addrs []netip.AddrPort, crowd int, seed uint64) *discovery {
	f := &discovery{loop: loop, director: d, addr: addrs[0], addrs: addrs, retry: watchRetryMin, crowd: max(1, crowd),
		rng: rand.New(rand.NewPCG(seed, 1))}
	f.timer.Fire = f.overdue
	return f
}

// overdue is the timer's: it ends a call without an answer, or a pause between two connections. Which of the two is known by
// whether there is a connection, so it runs for nothing else; while one comes up, that has a time-out of its own.
func (f *discovery) overdue() {
	if f.conn != nil {
		f.lost(errors.New("no answer in time"))
		return
	}
	f.connect()
}

func (f *discovery) connect() {
	f.timer.Stop()
	within := watchDial
	if len(f.addrs) > 1 {
		within = watchDialMany
	}
	conn, err := f.loop.Dial(f.addr, within, f)
	if err != nil {
		f.lost(err)
		return
	}
	f.conn = conn
}

// move follows the bulletin at another address, from the last event on. The old one tells nothing more, though it may
// keep its connection open for a while.
func (f *discovery) move(addr netip.AddrPort) {
	if addr == f.addrs[0] {
		return
	}
	slog.Info("bulletin.moves", "from", f.addr.String(), "to", addr.String(), "after", f.last)
	f.addrs[0], f.at, f.addr, f.retry = addr, 0, addr, watchRetryMin
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.connect()
}

func (f *discovery) lost(err error) {
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	if !f.failing {
		slog.Warn("bulletin.lost", "addr", f.addr.String(), "after", f.last, "err", err)
	}
	f.failing = true
	f.loop.Set(&f.timer, f.loop.Now()+f.pause())
	f.at = (f.at + 1) % len(f.addrs)
	f.addr = f.addrs[f.at]
	if f.at == 0 { // all have been tried
		most := watchRetryMax
		if len(f.addrs) > 1 {
			most = watchRetryMany
		}
		f.retry = min(2*f.retry, most)
	}
}

// pause is how long to wait before the next connection: half the usual time and a random part of as much again, wider
// the more directors there are, for they all lost theirs at the same moment.
func (f *discovery) pause() time.Duration {
	return f.retry/2 + time.Duration(f.rng.Float64()*float64(f.retry+time.Duration(f.crowd-1)*watchSpread))
}

// Opened implements transport.Handler.
func (f *discovery) Opened() { f.poll() }

// Flushed implements transport.Handler.
func (f *discovery) Flushed() {}

// Closed implements transport.Handler.
func (f *discovery) Closed(err error) {
	f.conn = nil
	f.lost(err)
}

func (f *discovery) poll() {
	patience, silence := watchPatience, watchSilence
	if len(f.addrs) > 1 || f.roll != nil {
		patience, silence = watchPatienceMany, watchSilenceMany
	}
	var announce []byte
	if f.roll != nil {
		announce = f.roll.announcement()
		f.called, f.saying = bootTime(), f.roll.leaving
		if patience = watchPatienceMany; f.saying {
			patience = 0
		}
	}
	f.request = bulletin.AppendRequest(f.request[:0], f.addr.String(), f.last, patience.Milliseconds(), announce)
	f.conn.Write(f.request)
	f.loop.Set(&f.timer, f.loop.Now()+silence)
}

// Data implements transport.Handler.
func (f *discovery) Data(b []byte) (used, need int, err error) {
	r, used, need, err := bulletin.ParseResponse(b)
	if err != nil || used == 0 {
		return 0, need, err
	}
	if r.Status != 200 {
		return used, 0, fmt.Errorf("bulletin answered %d", r.Status)
	}
	news, err := bulletin.Decode(r.Body)
	if err != nil {
		return used, 0, err
	}
	f.retry = watchRetryMin
	if f.roll != nil {
		f.roll.heard(f.called)
		if len(news.Turns) > 0 {
			f.roll.granted(news.Turns)
		}
		if len(news.Signals) > 0 && f.roll.signals != nil {
			f.roll.signals.take(news.Signals, f.called)
		}
		f.said = f.said || f.saying
	}
	if f.failing {
		f.failing = false
		slog.Info("bulletin.back", "at", f.last, "addr", f.addr.String())
	}
	for _, fault := range news.Faults {
		f.unreadable++
		slog.Error("bulletin.item_unreadable", "err", fault)
	}
	if f.publish != nil && len(news.Items) > 0 {
		f.publish(news) // first: the others need not wait for this core
	}
	f.take(news)
	if r.Close {
		f.conn.Close()
		f.conn = nil
		f.connect()
		return used, 0, nil
	}
	f.poll()
	return used, 0, nil
}

// say calls anew, so that what the director says of itself is heard at once.
func (f *discovery) say() {
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.connect()
}

// take carries news over to the director, each event once.
func (f *discovery) take(news bulletin.Feed) {
	for _, item := range news.Items {
		if item.Roll != nil && f.roll != nil && (item.Roll.Whole || item.Number > f.last) {
			f.roll.news(item.Number, item.Roll)
		}
		if item.Number <= f.last {
			continue
		}
		f.last = item.Number
		if item.Roster != nil {
			f.roster(item.Roster)
		}
		if item.Recall != nil {
			f.recall(item.Recall)
			slog.Debug("bulletin.purge", "no", item.Number)
		}
	}
	f.last = max(f.last, news.Last)
}

var states = map[string]stairvane.Readiness{
	"in_service": stairvane.Ready, "terminating": stairvane.Draining, "terminated": stairvane.Gone,
}

func (f *discovery) roster(r *bulletin.Roster) {
	members := make([]routing.Member, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		state, known := states[h.Health]
		if !known {
			slog.Warn("bulletin.unknown_state", "host", h.Name, "state", h.Health)
			state = stairvane.Draining
		}
		members = append(members, routing.Member{
			Name: h.Name, Address: h.Dial,
			Member: stairvane.Member{
				Zone: h.Site, Kind: h.Class, Cell: h.Block, Readiness: state, Weight: h.Share,
				StartedAt: fromUnixMS(h.BornMS),
			},
		})
	}
	f.director.UpdateHosts(r.Sequence, r.Whole, members)
}

func (f *discovery) recall(r *bulletin.Recall) {
	issued := fromUnixMS(r.IssuedMS)
	if r.Item != "" {
		object, err := strconv.ParseUint(r.Item, 16, 64)
		if err != nil {
			slog.Error("bulletin.purge_unreadable", "object", r.Item)
			return
		}
		f.director.PurgeObject(stairvane.ObjectID(object), issued)
	}
	if r.Lot != nil {
		f.director.PurgeGroup(*r.Lot, issued)
	}
}

func fromUnixMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
