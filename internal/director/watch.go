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

// watchClient watches the event stream with long polls, one at a time. It implements transport.Handler.
type watchClient struct {
	loop            *transport.Loop
	director        *routing.Director
	addresses       []netip.AddrPort // of the event stream; the first is that of LB_CONFIG
	addressIndex    int              // of the address in use
	conn            *transport.Conn
	timer           transport.Timer // times out the open poll, or ends the pause before a reconnect
	retryDelay      time.Duration   // current base of the pause before a reconnect
	failing         bool
	request         []byte // reused by each poll
	rng             *rand.Rand
	directors       int    // number of watchers of the event stream, including this one
	appliedRevision int64  // revision of the last applied event
	history         string // of the event log in which appliedRevision counts; empty: unknown
	restarted       bool   // the event log was changed, and the other cores have not been told
	malformedEvents int

	// publish publishes a response to the other cores, and whether it is the first one of another event log. nil: there are none.
	publish           func(response discovery.WatchResponse, restarted bool)
	membership        *membershipClient // nil: the director does not announce itself
	requestedAt       time.Duration     // when the open poll was sent, on the boot clock
	leaveSent         bool              // the open poll announces that the director leaves
	leaveAcknowledged bool              // a poll that announced that the director leaves was answered
}

func newWatchClient(loop *transport.Loop, d *routing.Director, addresses []netip.AddrPort, directors int, seed uint64) *watchClient {
	w := &watchClient{
		loop:      loop,
		director:  d,
		addresses: addresses,
		directors: max(1, directors),
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
	w.retryDelay = w.timing().RetryMin
	w.timer.Fire = w.handleTimer
	return w
}

// timing returns the timing for the number of addresses and the membership.
func (w *watchClient) timing() WatchTiming {
	return WatchTimingFor(len(w.addresses), w.membership != nil)
}

// handleTimer handles the timeout of a poll, or the end of the pause before a reconnect. Dialing has its own timeout.
func (w *watchClient) handleTimer() {
	if w.conn != nil {
		w.handleConnectionLoss(errors.New("poll timed out"))
		return
	}
	w.connect()
}

func (w *watchClient) address() netip.AddrPort { return w.addresses[w.addressIndex] }

// isWatching reports whether the client is connected or about to reconnect. On several cores only one of them watches.
func (w *watchClient) isWatching() bool { return w.conn != nil || w.failing }

func (w *watchClient) connect() {
	w.timer.Stop()
	conn, err := w.loop.Dial(w.address(), w.timing().DialTimeout, w)
	if err != nil {
		w.handleConnectionLoss(err)
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

// switchAddress replaces the configured address of the event stream and resumes there after the last applied event. The old
// address delivers no more events, although it may keep its connection open for a while. A client that does not watch only takes the
// address.
func (w *watchClient) switchAddress(address netip.AddrPort) {
	if address == w.addresses[0] {
		return
	}
	if !w.isWatching() {
		w.addresses[0] = address
		return
	}
	slog.Info("watch.moved", "from", w.address().String(), "to", address.String(), "after", w.appliedRevision)
	w.addresses[0] = address
	w.addressIndex = 0
	w.retryDelay = w.timing().RetryMin
	w.closeConn()
	w.connect()
}

// handleConnectionLoss closes the connection and schedules a reconnect to the next address.
func (w *watchClient) handleConnectionLoss(err error) {
	w.closeConn()
	if !w.failing {
		slog.Warn("watch.lost", "addr", w.address().String(), "after", w.appliedRevision, "err", err)
	}
	w.failing = true
	w.loop.Set(&w.timer, w.loop.Now()+w.nextPause())
	w.addressIndex = (w.addressIndex + 1) % len(w.addresses)
	if w.addressIndex == 0 { // all addresses have been tried
		w.retryDelay = w.timing().NextRetry(w.retryDelay)
	}
}

// nextPause returns the time to wait before the next reconnect.
func (w *watchClient) nextPause() time.Duration {
	return w.timing().ReconnectDelay(w.retryDelay, w.directors, w.rng.Float64())
}

// Opened implements transport.Handler.
func (w *watchClient) Opened() { w.poll() }

// Flushed implements transport.Handler.
func (w *watchClient) Flushed() {}

// Closed implements transport.Handler.
func (w *watchClient) Closed(err error) {
	w.conn = nil
	w.handleConnectionLoss(err)
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
	w.request = discovery.AppendRequest(w.request[:0], w.address().String(), w.appliedRevision, timeout.Milliseconds(), announcement)
	w.conn.Write(w.request)
	w.loop.Set(&w.timer, w.loop.Now()+timing.SilenceTimeout)
}

// announceNow reconnects in order to send a changed announcement at once.
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
		return used, 0, fmt.Errorf("control plane responded with status %d", r.Status)
	}
	response, err := discovery.Decode(r.Body)
	if err == nil && w.lacksEvents(response) {
		err = errNoEvents
	}
	if err != nil {
		return used, 0, err
	}
	w.handlePollResponse(response)
	if r.Close {
		w.closeConn()
		w.connect()
		return used, 0, nil
	}
	w.poll()
	return used, 0, nil
}

var errNoEvents = errors.New("the response tells of events but has none")

// lacksEvents reports whether the events are missing from a response. Taking its revision for the last applied one would skip them.
func (w *watchClient) lacksEvents(response discovery.WatchResponse) bool {
	nothingNew := response.LastRevision > 0 && response.LastRevision <= w.appliedRevision
	return response.Events == nil && len(response.Malformed) == 0 && !nothingNew
}

// handlePollResponse processes the response to the open poll.
func (w *watchClient) handlePollResponse(response discovery.WatchResponse) {
	w.retryDelay = w.timing().RetryMin
	if w.restartsIn(response.History) {
		return
	}
	if w.membership != nil {
		w.membership.handleResponse(response, w.requestedAt)
		w.leaveAcknowledged = w.leaveAcknowledged || w.leaveSent
	}
	if w.failing {
		w.failing = false
		slog.Info("watch.restored", "at", w.appliedRevision, "addr", w.address().String())
	}
	for _, err := range response.Malformed {
		w.malformedEvents++
		slog.Error("watch.event_malformed", "err", err)
	}
	if w.publish != nil && len(response.Events) > 0 {
		w.publish(response, w.restarted) // published first, so that the other cores do not wait for this one
		w.restarted = false
	}
	w.apply(response)
}

// restartsIn reports whether a response belongs to another event log than the responses before it: a control plane has begun anew at the
// address, or goes on without its last events. The next poll then asks for all events of that log.
func (w *watchClient) restartsIn(history string) bool {
	known := w.history
	if history == "" || history == known {
		return false
	}
	w.history = history
	if known == "" {
		return false
	}
	slog.Warn("watch.history_changed", "addr", w.address().String(), "after", w.appliedRevision, "from", known, "to", history)
	w.appliedRevision = 0
	w.restarted = true
	if w.membership != nil {
		w.membership.appliedRevision = 0
	}
	return true
}
