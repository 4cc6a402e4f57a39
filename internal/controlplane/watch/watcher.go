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

// watcher is the connection of a director. It implements transport.Handler.
type watcher struct {
	server       *Server
	conn         *transport.Conn
	peer         netip.Addr
	id           int64
	request      discovery.WatchRequest // the last request
	waiting      bool                   // the request has not been answered yet
	answered     bool                   // a request on this connection has been answered
	unregistered bool                   // the connection has been removed from the server's watchers, or was never admitted
	// rejection is the status with which the first request is rejected; 0: the client is admitted.
	rejection    int
	timer        transport.Timer // fires when the wait ends, or when no request arrives in time
	waitDeadline time.Duration   // when the request must be answered, by the loop's clock
	nextAnswerAt time.Duration   // earliest time of the next answer with new data, see Settings.BatchTime
}

// Opened implements transport.Handler.
func (w *watcher) Opened() {}

// Flushed implements transport.Handler.
func (w *watcher) Flushed() {}

// Closed implements transport.Handler.
func (w *watcher) Closed(err error) {
	if !errors.Is(err, io.EOF) && !w.unregistered {
		slog.Info("watcher.lost", "addr", w.peer.String(), "err", err)
	}
	w.timer.Stop()
	w.unregister()
}

// Data implements transport.Handler.
func (w *watcher) Data(b []byte) (used, need int, err error) {
	if w.rejection != 0 {
		return w.readRejected(b)
	}
	if w.unregistered {
		return len(b), 0, nil
	}
	request, used, need, err := discovery.ParseWatchRequest(b)
	if err == nil && (w.waiting || used > 0 && used < len(b)) {
		err = &discovery.RequestError{Status: http.StatusBadRequest, Message: "received a second request before the first was answered"}
	}
	var malformed *discovery.RequestError
	if errors.As(err, &malformed) {
		slog.Info("watcher.malformed", "addr", w.peer.String(), "err", malformed.Message)
		w.unregister()
		w.reject(malformed.Status)
		return len(b), 0, nil
	}
	if used == 0 {
		return 0, need, nil
	}
	w.request = request
	w.handleRequest()
	return used, 0, nil
}

// handleRequest handles the current request. The revision in the request acknowledges all events up to it. If there is newer data,
// the request is answered as soon as Settings.BatchTime permits.
func (w *watcher) handleRequest() {
	s := w.server
	if !s.owner.MayServe() { // the lease may have expired while the process was paused
		w.close()
		return
	}
	isAhead := w.request.After > s.log.Last()
	if isAhead {
		slog.Warn("watcher.ahead", "addr", w.peer.String(), "after", w.request.After, "last", s.log.Last())
	}
	s.mu.Lock()
	s.tracker.Ack(w.id, w.request.After)
	isBehind := w.request.After < s.lastRevision || w.lacksMembership()
	s.mu.Unlock()
	if a := w.request.Announcement; a != nil && !s.owner.RecordAnnouncement(*a, w.request.After) {
		slog.Warn("watcher.rejected", "watchers", len(s.watchers))
		w.unregister()
		w.reject(http.StatusServiceUnavailable)
		return
	}
	if !isBehind {
		s.owner.AcknowledgedChanged()
	}
	w.waiting = true
	w.waitDeadline = s.loop.Now() + time.Duration(w.request.TimeoutMS)*time.Millisecond
	s.loop.Set(&w.timer, w.waitDeadline)
	switch {
	case isBehind:
		w.answerWhenDue()
	case isAhead && !w.answered: // it may have the events of another history, of which only an answer tells it
		w.answer()
	}
}

// timeout ends the wait with an answer, or closes a connection on which no request arrived in time.
func (w *watcher) timeout() {
	if w.waiting {
		w.answer()
		return
	}
	w.close()
}

// close closes the connection without an answer.
func (w *watcher) close() {
	w.conn.Close()
	w.unregister()
}

// unregister removes the watcher from the server. Further calls have no effect.
func (w *watcher) unregister() {
	if w.unregistered {
		return
	}
	w.unregistered = true
	w.timer.Stop()
	s := w.server
	delete(s.watchers, w)
	s.mu.Lock()
	s.tracker.Leave(w.id, s.lastRevision, s.owner.ClockMS())
	s.mu.Unlock()
	s.owner.AcknowledgedChanged()
}

// rejectFirstRequest arranges for the first request of a client that is not admitted to be answered with an error. The error is not
// sent before the request: an HTTP client that receives a response before it has sent a request treats the connection as broken.
func (w *watcher) rejectFirstRequest(status int) {
	w.unregistered = true
	w.rejection = status
	w.timer.Fire = w.conn.Close // if no request arrives
	w.server.loop.Set(&w.timer, w.server.loop.Now()+rejectionTimeout)
}

// readRejected reads the request of a client that is not admitted and rejects it.
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

// reject answers with an error, and closes the connection once the client has read it or rejectionTimeout has passed.
func (w *watcher) reject(status int) {
	w.unregistered = true
	body := []byte(`{"no":0,"items":[]}`)
	w.conn.Write(discovery.AppendResponseHead(nil, status, len(body), true), body)
	w.conn.CloseAfterFlush(0, 0)
	w.timer.Fire = w.conn.Close // if the client does not read the response
	w.server.loop.Set(&w.timer, w.server.loop.Now()+rejectionTimeout)
}
