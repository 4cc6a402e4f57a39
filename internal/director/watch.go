package director

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// watchClient watches the event stream by long polls, one at a time. It implements transport.Handler.
type watchClient struct {
	loop            *transport.Loop
	director        *routing.Director
	addresses       []netip.AddrPort // of the event stream, the configuration's first
	addressIndex    int              // of the address in use
	conn            *transport.Conn
	timer           transport.Timer // ends a poll without a response, or the pause between two connections
	retry           time.Duration   // present pause between two connections
	failing         bool
	request         []byte // reused by each poll
	rng             *rand.Rand
	directors       int   // that watch the event stream, this one included
	applied         int64 // revision of the last applied event
	malformedEvents int

	publish           func(discovery.WatchResponse) // to the other cores; nil: there are none
	membership        *membershipClient             // nil: the director does not announce itself
	requestedAt       time.Duration                 // when the open poll was sent, on the boot clock
	leaveSent         bool                          // the open poll says that the director leaves
	leaveAcknowledged bool                          // a poll that said so was answered
}

func newWatchClient(loop *transport.Loop, d *routing.Director, addresses []netip.AddrPort, directors int, seed uint64) *watchClient {
	w := &watchClient{
		loop:      loop,
		director:  d,
		addresses: addresses,
		directors: max(1, directors),
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
	w.retry = w.timing().RetryMin
	w.timer.Fire = w.timerFired
	return w
}

// timing is that of a director with these addresses.
func (w *watchClient) timing() WatchTiming {
	return WatchTimingFor(len(w.addresses), w.membership != nil)
}

// timerFired ends a poll without a response, or the pause between two connections. A connection that is coming up has a
// timeout of its own.
func (w *watchClient) timerFired() {
	if w.conn != nil {
		w.connectionLost(errors.New("no answer in time"))
		return
	}
	w.connect()
}

func (w *watchClient) address() netip.AddrPort { return w.addresses[w.addressIndex] }

func (w *watchClient) connect() {
	w.timer.Stop()
	conn, err := w.loop.Dial(w.address(), w.timing().DialTimeout, w)
	if err != nil {
		w.connectionLost(err)
		return
	}
	w.conn = conn
}

func (w *watchClient) closeConn() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// moveTo watches at another address, from the last applied event on. The old address serves nothing more, though it may
// leave its connection open for a while.
func (w *watchClient) moveTo(address netip.AddrPort) {
	if address == w.addresses[0] {
		return
	}
	slog.Info("watch.moved", "from", w.address().String(), "to", address.String(), "after", w.applied)
	w.addresses[0] = address
	w.addressIndex = 0
	w.retry = w.timing().RetryMin
	w.closeConn()
	w.connect()
}

// connectionLost pauses, then connects to the next address.
func (w *watchClient) connectionLost(err error) {
	w.closeConn()
	if !w.failing {
		slog.Warn("watch.lost", "addr", w.address().String(), "after", w.applied, "err", err)
	}
	w.failing = true
	w.loop.Set(&w.timer, w.loop.Now()+w.retryPause())
	w.addressIndex = (w.addressIndex + 1) % len(w.addresses)
	if w.addressIndex == 0 { // all addresses were tried
		w.retry = w.timing().NextRetry(w.retry)
	}
}

// retryPause is the time to wait before the next connection.
func (w *watchClient) retryPause() time.Duration {
	return w.timing().Pause(w.retry, w.directors, w.rng.Float64())
}

// Opened implements transport.Handler.
func (w *watchClient) Opened() { w.poll() }

// Flushed implements transport.Handler.
func (w *watchClient) Flushed() {}

// Closed implements transport.Handler.
func (w *watchClient) Closed(err error) {
	w.conn = nil
	w.connectionLost(err)
}

func (w *watchClient) poll() {
	timing := w.timing()
	timeout := timing.PollTimeout
	var announcement []byte
	if w.membership != nil {
		announcement = w.membership.announcement()
		w.requestedAt = bootTime()
		w.leaveSent = w.membership.leaving
		if w.leaveSent {
			timeout = 0
		}
	}
	w.request = discovery.AppendRequest(w.request[:0], w.address().String(), w.applied, timeout.Milliseconds(), announcement)
	w.conn.Write(w.request)
	w.loop.Set(&w.timer, w.loop.Now()+timing.SilenceTimeout)
}

// announceNow reconnects, so that a changed announcement is sent at once.
func (w *watchClient) announceNow() {
	w.closeConn()
	w.connect()
}

// Data implements transport.Handler.
func (w *watchClient) Data(b []byte) (used, need int, err error) {
	r, used, need, err := discovery.ParseResponse(b)
	if err != nil || used == 0 {
		return 0, need, err
	}
	if r.Status != discovery.StatusOK {
		return used, 0, fmt.Errorf("control plane answered %d", r.Status)
	}
	response, err := discovery.Decode(r.Body)
	if err != nil {
		return used, 0, err
	}
	w.accept(response)
	if r.Close {
		w.closeConn()
		w.connect()
		return used, 0, nil
	}
	w.poll()
	return used, 0, nil
}

// accept takes in the response to the open poll.
func (w *watchClient) accept(response discovery.WatchResponse) {
	w.retry = w.timing().RetryMin
	if w.membership != nil {
		w.membership.acceptResponse(response, w.requestedAt)
		w.leaveAcknowledged = w.leaveAcknowledged || w.leaveSent
	}
	if w.failing {
		w.failing = false
		slog.Info("watch.restored", "at", w.applied, "addr", w.address().String())
	}
	for _, err := range response.Malformed {
		w.malformedEvents++
		slog.Error("watch.event_malformed", "err", err)
	}
	if w.publish != nil && len(response.Events) > 0 {
		w.publish(response) // first: the other cores need not wait for this one
	}
	w.apply(response)
}
