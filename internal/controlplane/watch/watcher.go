package watch

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// watcher is one connection of a director. It implements transport.Handler.
type watcher struct {
	server  *Server
	conn    *transport.Conn
	peer    netip.Addr
	id      int64
	request discovery.WatchRequest // the last one
	waiting bool                   // the request is not answered yet
	ended   bool                   // it is no watcher any more, or was never admitted
	// rejection is the status that answers the first request; 0: the caller is admitted.
	rejection int
	timer     transport.Timer // ends the wait, or a connection on which no request comes
	waitEnd   time.Duration   // when the request is answered at the latest, by the loop's clock
	nextReady time.Duration   // before which nothing new is answered, see Settings.Gather
}

// Opened implements transport.Handler.
func (w *watcher) Opened() {}

// Flushed implements transport.Handler.
func (w *watcher) Flushed() {}

// Closed implements transport.Handler.
func (w *watcher) Closed(err error) {
	if !errors.Is(err, io.EOF) && !w.ended {
		slog.Info("watcher.lost", "addr", w.peer.String(), "err", err)
	}
	w.timer.Stop()
	w.leave()
}

// Data implements transport.Handler.
func (w *watcher) Data(b []byte) (used, need int, err error) {
	if w.rejection != 0 {
		return w.readRejected(b)
	}
	if w.ended {
		return len(b), 0, nil
	}
	request, used, need, err := discovery.ParseWatchRequest(b)
	if err == nil && (w.waiting || used > 0 && used < len(b)) {
		err = &discovery.RequestError{Status: http.StatusBadRequest, Message: "a second request before the answer to the first"}
	}
	var malformed *discovery.RequestError
	if errors.As(err, &malformed) {
		slog.Info("watcher.malformed", "addr", w.peer.String(), "err", malformed.Message)
		w.leave()
		w.reject(malformed.Status)
		return len(b), 0, nil
	}
	if used == 0 {
		return 0, need, nil
	}
	w.request = request
	w.begin()
	return used, 0, nil
}

// begin takes a request in: the revision in it acknowledges all events up to it. It is answered at once if there is something newer.
func (w *watcher) begin() {
	s := w.server
	if !s.owner.MayServe() { // it may have ended while the process was paused
		w.close()
		return
	}
	if w.request.After > s.log.Last() {
		slog.Warn("watcher.ahead", "addr", w.peer.String(), "after", w.request.After, "last", s.log.Last())
	}
	s.mu.Lock()
	s.tracker.Ack(w.id, w.request.After)
	isBehind := w.request.After < s.lastRevision || w.lacksMembership()
	s.mu.Unlock()
	if a := w.request.Announcement; a != nil && !s.owner.RecordAnnouncement(*a, w.request.After) {
		slog.Warn("watcher.rejected", "watchers", len(s.watchers))
		w.leave()
		w.reject(http.StatusServiceUnavailable)
		return
	}
	if !isBehind {
		s.owner.AcknowledgedChanged()
	}
	w.waiting = true
	w.waitEnd = s.loop.Now() + time.Duration(w.request.TimeoutMS)*time.Millisecond
	s.loop.Set(&w.timer, w.waitEnd)
	if isBehind {
		w.answerWhenDue()
	}
}

// timeout ends a wait with what there is, or a connection on which no request comes.
func (w *watcher) timeout() {
	if w.waiting {
		w.answer()
		return
	}
	w.close()
}

// close ends the connection without an answer.
func (w *watcher) close() {
	w.conn.Close()
	w.leave()
}

// leave takes the watcher out of the server's account.
func (w *watcher) leave() {
	if w.ended {
		return
	}
	w.ended = true
	w.timer.Stop()
	s := w.server
	delete(s.watchers, w)
	s.mu.Lock()
	s.tracker.Leave(w.id, s.lastRevision, s.owner.ClockMS())
	s.mu.Unlock()
	s.owner.AcknowledgedChanged()
}

// rejectFirstRequest has the first request of a caller that is not admitted answered with an error. It is not answered before: an
// HTTP client that is answered before it has sent a request takes the connection for broken.
func (w *watcher) rejectFirstRequest(status int) {
	w.ended = true
	w.rejection = status
	w.timer.Fire = w.conn.Close // if no request comes
	w.server.loop.Set(&w.timer, w.server.loop.Now()+rejectionTimeout)
}

// readRejected reads the request of a caller that is not admitted, and answers it.
func (w *watcher) readRejected(b []byte) (used, need int, err error) {
	_, used, need, err = discovery.ParseWatchRequest(b)
	if err == nil && used == 0 {
		return 0, need, nil
	}
	status := w.rejection
	w.rejection = 0
	w.reject(status)
	return len(b), 0, nil
}

// reject answers with an error and closes the connection once the caller has read it.
func (w *watcher) reject(status int) {
	w.ended = true
	body := []byte(`{"no":0,"items":[]}`)
	w.conn.Write(discovery.AppendResponseHead(nil, status, len(body), true), body)
	w.conn.CloseAfterFlush(0)
	w.timer.Fire = w.conn.Close // if the caller does not read
	w.server.loop.Set(&w.timer, w.server.loop.Now()+rejectionTimeout)
}
