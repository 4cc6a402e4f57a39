package watch

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/transport"
)

// watcher is one connection of a director's.
type watcher struct {
	server  *Server
	conn    *transport.Conn
	peer    netip.Addr
	id      int64
	call    discovery.WatchRequest
	waiting bool
	ended   bool
	refusal int             // status that answers the first call; 0: the caller is admitted
	timer   transport.Timer // ends the wait, or a connection on which no call comes
	until   time.Duration   // when the wait ends at the latest, by the loop's clock
	ready   time.Duration   // when something new may be answered again
}

// Opened implements transport.Handler.
func (c *watcher) Opened() {}

// Flushed implements transport.Handler.
func (c *watcher) Flushed() {}

// Closed implements transport.Handler.
func (c *watcher) Closed(err error) {
	if !errors.Is(err, io.EOF) && !c.ended {
		slog.Info("follower.lost", "addr", c.peer.String(), "err", err)
	}
	c.timer.Stop()
	c.leave()
}

// close ends the connection without an answer.
func (c *watcher) close() {
	c.conn.Close()
	c.leave()
}

func (c *watcher) leave() {
	if c.ended {
		return
	}
	c.ended = true
	c.timer.Stop()
	s := c.server
	delete(s.watchers, c)
	s.mu.Lock()
	s.tracker.Leave(c.id, s.last, s.owner.ClockMS())
	s.mu.Unlock()
	s.owner.AcknowledgedChanged()
}

// due ends a wait with what there is, or a connection on which no call comes.
func (c *watcher) due() {
	if c.waiting {
		c.answer()
		return
	}
	c.close()
}

// Data implements transport.Handler.
func (c *watcher) Data(b []byte) (used, need int, err error) {
	if c.refusal != 0 {
		return c.readRefused(b)
	}
	if c.ended {
		return len(b), 0, nil
	}
	call, used, need, err := discovery.ParseWatchRequest(b)
	if err == nil && (c.waiting || used > 0 && used < len(b)) {
		err = &discovery.RequestError{Status: 400, Message: "a second call before the answer to the first"}
	}
	var refused *discovery.RequestError
	if errors.As(err, &refused) {
		slog.Info("follower.malformed", "addr", c.peer.String(), "err", refused.Message)
		c.leave()
		c.refuse(refused.Status)
		return len(b), 0, nil
	}
	if used == 0 {
		return 0, need, nil
	}
	c.call = call
	c.ask()
	return used, 0, nil
}

// personal is what ends the answer to a director that shares in quotas, or in what is seen of caches; nil if there is nothing.
// opinions: there are some in it.
func (c *watcher) personal() (out []byte, opinions bool) {
	if c.call.Announcement == nil {
		return nil, false
	}
	add := func(name string, v any) {
		if b, err := json.Marshal(v); err == nil {
			out = append(append(out, `,"`+name+`":`...), b...)
		}
	}
	owner := c.server.owner
	if g := owner.Granted(c.call.Announcement.ID()); g != nil {
		add("turns", g)
	}
	if len(c.call.Announcement.HealthReport) > 0 {
		if o := owner.Health(c.call.Announcement.ID()); o != nil {
			add("signals", o)
			opinions = true
		}
	}
	if out == nil {
		return nil, false
	}
	return append(out, '}'), opinions
}

// wantsMembers tells whether the watcher announces itself and has nothing of the membership, though there is one.
func (c *watcher) wantsMembers() bool {
	return c.call.Announcement != nil && c.call.Announcement.MembershipRevision == 0 && c.server.log.HasMembership()
}

// refuseCall has the first call of a caller that is not admitted answered with an error. An answer before the call would meet
// a client that has sent nothing: HTTP clients take that for a broken connection.
func (c *watcher) refuseCall(status int) {
	c.ended = true
	c.refusal = status
	c.timer.Fire = c.conn.Close // if no call comes
	c.server.loop.Set(&c.timer, c.server.loop.Now()+refusalTimeout)
}

// readRefused reads the call of a caller that is not admitted, and answers it.
func (c *watcher) readRefused(b []byte) (used, need int, err error) {
	_, used, need, err = discovery.ParseWatchRequest(b)
	if err == nil && used == 0 {
		return 0, need, nil
	}
	status := c.refusal
	c.refusal = 0
	c.refuse(status)
	return len(b), 0, nil
}

// refuse answers with an error and ends the connection once that is taken.
func (c *watcher) refuse(status int) {
	c.ended = true
	body := []byte(`{"no":0,"items":[]}`)
	c.conn.Write(discovery.AppendHead(nil, status, len(body), true), body)
	c.conn.CloseAfterFlush(0)
	c.timer.Fire = c.conn.Close // if it does not close itself
	c.server.loop.Set(&c.timer, c.server.loop.Now()+refusalTimeout)
}

func (c *watcher) ask() {
	s := c.server
	if !s.owner.HasLease() { // it may have run out while the process was paused
		c.close()
		return
	}
	if c.call.After > s.log.Last() {
		slog.Warn("follower.ahead", "addr", c.peer.String(), "after", c.call.After, "last", s.log.Last())
	}
	s.mu.Lock()
	s.tracker.Ack(c.id, c.call.After)
	behind := c.call.After < s.last || c.wantsMembers()
	s.mu.Unlock()
	if a := c.call.Announcement; a != nil && !s.owner.Request(*a, c.call.After) {
		slog.Warn("follower.turned_away", "followers", len(s.watchers))
		c.leave()
		c.refuse(503)
		return
	}
	if !behind {
		s.owner.AcknowledgedChanged()
	}
	c.waiting = true
	c.until = s.loop.Now() + time.Duration(c.call.TimeoutMS)*time.Millisecond
	s.loop.Set(&c.timer, c.until)
	if behind {
		c.offer()
	}
}

// offer answers with what is new, or has the timer do so where the last such answer was a moment ago.
func (c *watcher) offer() {
	s := c.server
	if c.ready <= s.loop.Now() {
		c.answer()
		return
	}
	if c.ready < c.until {
		s.loop.Set(&c.timer, c.ready)
	}
}

// complete makes an answer of what is new, nil if nothing is, with what is for this director alone. It notes when something new
// was answered.
func (c *watcher) complete(parts [][]byte, size int) ([][]byte, int) {
	s := c.server
	personal, opinions := c.personal()
	if parts != nil || opinions {
		c.ready = s.loop.Now() + s.set.Gather
	}
	if parts == nil {
		empty := append(discovery.Opening(max(s.log.Last(), 0)), discovery.Closing...)
		parts, size = [][]byte{empty}, len(empty)
	}
	if personal == nil {
		return parts, size
	}
	last := parts[len(parts)-1] // it ends the answer
	parts = append(append([][]byte(nil), parts[:len(parts)-1]...), last[:len(last)-1], personal)
	return parts, size + len(personal) - 1
}

// answer ends the wait with what is new, if anything is.
func (c *watcher) answer() {
	s := c.server
	if !s.owner.HasLease() {
		c.close()
		return
	}
	after, announced := c.call.After, c.call.Announcement != nil
	if c.wantsMembers() {
		after = 0 // the membership as a whole comes with the whole list
	}
	parts, size, err := s.log.Answer(after, announced)
	if err != nil {
		slog.Error("board.history_broken", "err", err)
		c.close()
		return
	}
	parts, size = c.complete(parts, size)
	c.waiting = false
	s.head = discovery.AppendHead(s.head[:0], 200, size, c.call.Close)
	c.conn.Write(append([][]byte{s.head}, parts...)...)
	switch {
	case c.call.Close:
		c.conn.CloseAfterFlush(0)
	case c.conn.Queued() > maxQueued:
		slog.Warn("follower.stuck", "addr", c.peer.String(), "queued_bytes", c.conn.Queued())
		c.close()
		return
	}
	s.loop.Set(&c.timer, s.loop.Now()+callTimeout)
}
