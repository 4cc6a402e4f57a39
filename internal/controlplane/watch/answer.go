package watch

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// answerWhenDue answers with what is new, or sets the timer to do so where the last such answer was a moment ago.
func (w *watcher) answerWhenDue() {
	s := w.server
	if w.nextReady <= s.loop.Now() {
		w.answer()
		return
	}
	if w.nextReady < w.waitEnd {
		s.loop.Set(&w.timer, w.nextReady)
	}
}

// answer ends the wait with what is new, if anything is.
func (w *watcher) answer() {
	s := w.server
	if !s.owner.MayServe() {
		w.close()
		return
	}
	after := w.request.After
	if w.lacksMembership() {
		after = 0 // the complete membership comes with the snapshot of the endpoint list
	}
	parts, size, err := s.log.Answer(after, w.request.Announcement != nil)
	if err != nil {
		slog.Error("watcher.answer_failed", "err", err)
		w.close()
		return
	}
	parts, size = w.complete(parts, size)
	w.waiting = false
	s.headBuffer = discovery.AppendResponseHead(s.headBuffer[:0], http.StatusOK, size, w.request.Close)
	w.conn.Write(append([][]byte{s.headBuffer}, parts...)...)
	switch {
	case w.request.Close:
		w.conn.CloseAfterFlush(0)
	case w.conn.Queued() > maxQueuedBytes:
		slog.Warn("watcher.stalled", "addr", w.peer.String(), "queued_bytes", w.conn.Queued())
		w.close()
		return
	}
	s.loop.Set(&w.timer, s.loop.Now()+requestTimeout)
}

// complete makes a body of the log's answer, which is nil if nothing is new, and of what is sent to this director alone. It begins the
// time to gather in if there is something new in the body.
func (w *watcher) complete(parts [][]byte, size int) ([][]byte, int) {
	s := w.server
	personal, hasHealth := w.personalFields()
	if parts != nil || hasHealth {
		w.nextReady = s.loop.Now() + s.set.Gather
	}
	if parts == nil {
		empty := append(discovery.ResponseStart(max(s.log.Last(), 0)), discovery.ResponseEnd...)
		parts = [][]byte{empty}
		size = len(empty)
	}
	if personal == nil {
		return parts, size
	}
	// The parts are shared with other watchers: the last one, which closes the JSON object, is replaced and not changed.
	last := parts[len(parts)-1]
	open := append([][]byte(nil), parts[:len(parts)-1]...)
	return append(open, last[:len(last)-1], personal), size + len(personal) - 1
}

// personalFields are the JSON fields for this director alone, with the end of the object: its quota grant and the health of caches.
// They are nil if there are none.
func (w *watcher) personalFields() (fields []byte, hasHealth bool) {
	announcement := w.request.Announcement
	if announcement == nil {
		return nil, false
	}
	owner := w.server.owner
	if grant := owner.TakeQuotaGrant(announcement.ID()); grant != nil {
		fields = appendField(fields, "turns", grant)
	}
	if w.sharesHealth() {
		if aggregated := owner.Health(announcement.ID()); aggregated != nil {
			fields = appendField(fields, "signals", aggregated)
			hasHealth = true
		}
	}
	if fields == nil {
		return nil, false
	}
	return append(fields, '}'), hasHealth
}

// appendField appends a field to a JSON object that has others. A value that can't be encoded is left out.
func appendField(fields []byte, name string, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fields
	}
	fields = append(fields, `,"`+name+`":`...)
	return append(fields, encoded...)
}

// sharesHealth tells whether the director reports on the health of caches, and so is sent what others report.
func (w *watcher) sharesHealth() bool {
	announcement := w.request.Announcement
	return announcement != nil && len(announcement.HealthReport) > 0
}

// lacksMembership tells whether the director announces itself and has nothing of the membership, though there is one.
func (w *watcher) lacksMembership() bool {
	announcement := w.request.Announcement
	return announcement != nil && announcement.MembershipRevision == 0 && w.server.log.HasMembership()
}
