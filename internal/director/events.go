package director

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// watchClient watches the event stream by long polls, one at a time.
type watchClient struct {
	loop              *transport.Loop
	director          *routing.Director
	address           netip.AddrPort
	addresses         []netip.AddrPort // all of them, the configuration's first
	addressIndex      int              // of addr among them
	applied           int64            // the number of the last event taken in
	conn              *transport.Conn
	timer             transport.Timer
	retry             time.Duration
	failing           bool
	request           []byte
	rng               *rand.Rand
	directors         int                           // that watch the event stream, this one included
	publish           func(discovery.WatchResponse) // to the other cores; nil: there are none
	membership        *membershipClient             // nil: the director does not announce itself
	requestedAt       time.Duration                 // when the call that is open was made, since the machine started
	leaveSent         bool                          // the open call says that the director leaves
	leaveAcknowledged bool                          // a call that said so was answered

	unreadable int // events that were skipped
}

func newWatchClient(loop *transport.Loop, d *routing.Director, addrs []netip.AddrPort, crowd int, seed uint64) *watchClient {
	f := &watchClient{
		loop: loop, director: d, address: addrs[0], addresses: addrs, directors: max(1, crowd),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	f.retry = f.timing().RetryMin
	f.timer.Fire = f.overdue
	return f
}

// overdue runs when the timer fires: it ends a call without an answer, or the pause between two connections. A connection
// that is being established has a time-out of its own.
func (f *watchClient) overdue() {
	if f.conn != nil {
		f.connectionLost(errors.New("no answer in time"))
		return
	}
	f.connect()
}

func (f *watchClient) connect() {
	f.timer.Stop()
	conn, err := f.loop.Dial(f.address, f.timing().Dial, f)
	if err != nil {
		f.connectionLost(err)
		return
	}
	f.conn = conn
}

// moveTo watches at another address, from the last applied event on. The old address serves nothing more, though it may
// keep its connection open for a while.
func (f *watchClient) moveTo(addr netip.AddrPort) {
	if addr == f.addresses[0] {
		return
	}
	slog.Info("bulletin.moves", "from", f.address.String(), "to", addr.String(), "after", f.applied)
	f.addresses[0], f.addressIndex, f.address = addr, 0, addr
	f.retry = f.timing().RetryMin
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.connect()
}

func (f *watchClient) connectionLost(err error) {
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	if !f.failing {
		slog.Warn("bulletin.lost", "addr", f.address.String(), "after", f.applied, "err", err)
	}
	f.failing = true
	f.loop.Set(&f.timer, f.loop.Now()+f.retryPause())
	f.addressIndex = (f.addressIndex + 1) % len(f.addresses)
	f.address = f.addresses[f.addressIndex]
	if f.addressIndex == 0 { // all have been tried
		f.retry = f.timing().Longer(f.retry)
	}
}

// timing is that of a director with these addresses.
func (f *watchClient) timing() WatchTiming {
	return TimingOfWatch(len(f.addresses), f.membership != nil)
}

// retryPause is the time to wait before the next connection.
func (f *watchClient) retryPause() time.Duration {
	return f.timing().Pause(f.retry, f.directors, f.rng.Float64())
}

// Opened implements transport.Handler.
func (f *watchClient) Opened() { f.poll() }

// Flushed implements transport.Handler.
func (f *watchClient) Flushed() {}

// Closed implements transport.Handler.
func (f *watchClient) Closed(err error) {
	f.conn = nil
	f.connectionLost(err)
}

func (f *watchClient) poll() {
	timing := f.timing()
	patience := timing.Patience
	var announce []byte
	if f.membership != nil {
		announce = f.membership.announcement()
		f.requestedAt, f.leaveSent = bootTime(), f.membership.leaving
		if f.leaveSent {
			patience = 0
		}
	}
	f.request = discovery.AppendRequest(f.request[:0], f.address.String(), f.applied, patience.Milliseconds(), announce)
	f.conn.Write(f.request)
	f.loop.Set(&f.timer, f.loop.Now()+timing.Silence)
}

// Data implements transport.Handler.
func (f *watchClient) Data(b []byte) (used, need int, err error) {
	r, used, need, err := discovery.ParseResponse(b)
	if err != nil || used == 0 {
		return 0, need, err
	}
	if r.Status != 200 {
		return used, 0, fmt.Errorf("bulletin answered %d", r.Status)
	}
	news, err := discovery.Decode(r.Body)
	if err != nil {
		return used, 0, err
	}
	f.retry = f.timing().RetryMin
	if f.membership != nil {
		f.membership.renewed(f.requestedAt)
		if len(news.QuotaGrant) > 0 {
			f.membership.takeGrant(news.QuotaGrant)
		}
		if len(news.AggregatedHealth) > 0 && f.membership.health != nil {
			f.membership.health.takeAggregate(news.AggregatedHealth, f.requestedAt)
		}
		f.leaveAcknowledged = f.leaveAcknowledged || f.leaveSent
	}
	if f.failing {
		f.failing = false
		slog.Info("bulletin.back", "at", f.applied, "addr", f.address.String())
	}
	for _, fault := range news.Malformed {
		f.unreadable++
		slog.Error("bulletin.item_unreadable", "err", fault)
	}
	if f.publish != nil && len(news.Events) > 0 {
		f.publish(news) // first: the others need not wait for this core
	}
	f.apply(news)
	if r.Close {
		f.conn.Close()
		f.conn = nil
		f.connect()
		return used, 0, nil
	}
	f.poll()
	return used, 0, nil
}

// announceNow reconnects, so that a changed announcement is sent at once.
func (f *watchClient) announceNow() {
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.connect()
}

// apply passes events on to the director, each once and in order.
func (f *watchClient) apply(news discovery.WatchResponse) {
	for _, item := range news.Events {
		if item.Membership != nil && f.membership != nil && (item.Membership.Snapshot || item.Revision > f.applied) {
			f.membership.applyChange(item.Revision, item.Membership)
		}
		if item.Revision <= f.applied {
			continue
		}
		f.applied = item.Revision
		if item.Endpoints != nil {
			f.applyHosts(item.Endpoints)
		}
		if item.Purge != nil {
			f.applyPurge(item.Purge)
			slog.Debug("bulletin.purge", "no", item.Revision)
		}
	}
	f.applied = max(f.applied, news.LastRevision)
}

var states = map[string]decision.Readiness{
	"in_service": decision.Ready, "terminating": decision.Draining, "terminated": decision.Gone,
}

func (f *watchClient) applyHosts(r *discovery.EndpointList) {
	members := make([]routing.Endpoint, 0, len(r.Endpoints))
	for _, h := range r.Endpoints {
		state, known := states[h.Health]
		if !known {
			slog.Warn("bulletin.unknown_state", "host", h.Name, "state", h.Health)
			state = decision.Draining
		}
		members = append(members, routing.Endpoint{
			Name: h.Name, Address: h.Address,
			Endpoint: decision.Endpoint{
				Zone: h.Site, Kind: h.Class, Cell: h.Block, Readiness: state, Weight: h.Share,
				StartedAt: fromUnixMS(h.BornMS),
			},
		})
	}
	f.director.UpdateEndpoints(r.Sequence, r.Snapshot, members)
}

func (f *watchClient) applyPurge(r *discovery.Purge) {
	issued := fromUnixMS(r.IssuedMS)
	if r.Object != "" {
		object, err := strconv.ParseUint(r.Object, 16, 64)
		if err != nil {
			slog.Error("bulletin.purge_unreadable", "object", r.Object)
			return
		}
		f.director.PurgeObject(decision.ObjectID(object), issued)
	}
	if r.Group != nil {
		f.director.PurgeGroup(*r.Group, issued)
	}
}

func fromUnixMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
