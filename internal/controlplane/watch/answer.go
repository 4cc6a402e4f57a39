package watch

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// answerWhenDue answers with new data, or sets the timer to do so if the last answer with new data was less than Settings.BatchTime
// ago.
func (w *watcher) answerWhenDue() {
	s := w.server
	if w.nextAnswerAt <= s.loop.Now() {
		w.answer()
		return
	}
	if w.nextAnswerAt < w.waitDeadline {
		s.loop.Set(&w.timer, w.nextAnswerAt)
	}
}

// answer ends the wait and answers with the new data, if there is any.
func (w *watcher) answer() {
	s := w.server
	if !s.owner.MayServe() {
		w.close()
		return
	}
	after := w.request.After
	if w.lacksMembership() {
		after = 0 // the complete membership is sent with the snapshot of the endpoint list
	}
	parts, size, err := s.log.Answer(after, w.request.Announcement != nil)
	if err != nil {
		slog.Error("watcher.answer_failed", "err", err)
		w.close()
		return
	}
	parts, size = w.buildBody(parts, size)
	w.waiting = false
	w.answered = true
	s.headBuffer = discovery.AppendResponseHead(s.headBuffer[:0], http.StatusOK, size, w.request.Close)
	w.conn.Write(append([][]byte{s.headBuffer}, parts...)...)
	switch {
	case w.request.Close:
		w.conn.CloseAfterFlush(0, 0)
	case w.conn.Queued() > maxQueuedBytes:
		slog.Warn("watcher.stalled", "addr", w.peer.String(), "queued_bytes", w.conn.Queued())
		w.close()
		return
	}
	s.loop.Set(&w.timer, s.loop.Now()+requestTimeout)
}

// buildBody returns the response body and its size. It combines the log's answer, which is nil if nothing is new, with the fields
// that are sent to this director only. If the body includes new events or health, buildBody starts the interval of Settings.BatchTime.
func (w *watcher) buildBody(parts [][]byte, size int) ([][]byte, int) {
	s := w.server
	personal, hasHealth := w.personalFields()
	if parts != nil || hasHealth {
		w.nextAnswerAt = s.loop.Now() + s.settings.BatchTime
	}
	if parts == nil {
		empty := append(discovery.ResponseStart(max(s.log.Last(), 0)), discovery.ResponseEnd...)
		parts = [][]byte{empty}
		size = len(empty)
	}
	if personal == nil {
		return parts, size
	}
	// The parts are shared with other watchers, so the last one, which closes the JSON object, is replaced instead of modified.
	last := parts[len(parts)-1]
	open := append([][]byte(nil), parts[:len(parts)-1]...)
	return append(open, last[:len(last)-1], personal), size + len(personal) - 1
}

// personalFields returns the JSON fields that are not part of the log's answer, followed by the closing brace of the object: the log's
// history, and for this director only its quota grant and the health of caches. It returns nil if there are no such fields.
func (w *watcher) personalFields() (fields []byte, hasHealth bool) {
	if history := w.server.owner.History(); history != "" {
		fields = appendField(fields, "history", history)
	}
	if w.request.Announcement != nil {
		fields, hasHealth = w.appendAnnouncedFields(fields)
	}
	if fields == nil {
		return nil, false
	}
	return append(fields, '}'), hasHealth
}

// appendAnnouncedFields appends the fields for a director that announces itself.
func (w *watcher) appendAnnouncedFields(fields []byte) (appended []byte, hasHealth bool) {
	announcement := w.request.Announcement
	owner := w.server.owner
	if grant := owner.PopQuotaGrant(announcement.ID()); grant != nil {
		fields = appendField(fields, "turns", grant)
	}
	if w.sharesHealth() {
		if aggregated := owner.Health(announcement.ID()); aggregated != nil {
			fields = appendField(fields, "signals", aggregated)
			hasHealth = true
		}
	}
	return fields, hasHealth
}

// appendField appends a field to a JSON object that already has fields. A value that cannot be encoded is omitted.
func appendField(fields []byte, name string, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fields
	}
	fields = append(fields, `,"`+name+`":`...)
	return append(fields, encoded...)
}

// sharesHealth reports whether the director sends health reports of caches, and therefore receives the aggregated health.
func (w *watcher) sharesHealth() bool {
	announcement := w.request.Announcement
	return announcement != nil && len(announcement.HealthReport) > 0
}

// lacksMembership reports whether the director announces itself and has not received any membership although the log has one.
func (w *watcher) lacksMembership() bool {
	announcement := w.request.Announcement
	return announcement != nil && announcement.MembershipRevision == 0 && w.server.log.HasMembership()
}
