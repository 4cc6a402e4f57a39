package controlplane

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/controlplane/acknowledged"
	"stairvane.org/stairvane/internal/controlplane/history"
	"stairvane.org/stairvane/internal/fleet"
	"stairvane.org/stairvane/internal/protocol/bulletin"
	"stairvane.org/stairvane/internal/transport"
)

const (
	maxWatchers   = 8192
	headWithin    = 10 * time.Second // for a call to come whole, and for one to come at all
	refusedWithin = 2 * time.Second  // for a refused caller to read why
	stuckQueue    = 16 << 20         // bytes that a follower may leave untaken
	leaseLook     = 10 * time.Millisecond
)

// watchServer serves the bulletin: one connection, one long poll, and no goroutine for any of them.
type watchServer struct {
	board    *Server
	log      *history.Log
	listener *transport.Listener
	watchers map[*watcher]struct{}
	ids      int64
	head     []byte

	mu   sync.Mutex // tracker and last are read by the executor too
	told *acknowledged.Tracker
	last int64

	watch transport.Timer // of the lease, in a group
}

func newWatchServer(b *Server, log *history.Log) (f *watchServer, err error) {
	f = &watchServer{board: b, log: log, watchers: map[*watcher]struct{}{}, last: log.Last(),
		told: acknowledged.New(b.store.Fleet().Rules().ToldWithinMS)}
	f.listener, err = b.loop.Listen(b.set.Listen, func() transport.Handler { return &watcher{feed: f} },
		func(c *transport.Conn, h transport.Handler) { f.admit(c, h.(*watcher)) })
	f.watch.Fire = f.checkLease
	return f, err
}

// allowed tells whether an address may follow.
func (f *watchServer) allowed(a netip.Addr) bool {
	if f.board.set.Followers == nil {
		return a.IsLoopback()
	}
	return f.board.set.Followers.Contains(a)
}

func (f *watchServer) admit(conn *transport.Conn, c *watcher) {
	c.conn, c.peer = conn, conn.Peer().Addr().Unmap()
	status := 0
	switch {
	case !f.hasLease():
		status = 503
	case !f.allowed(c.peer):
		status = 403
		slog.Warn("follower.not_allowed", "addr", c.peer.String())
	case len(f.watchers) >= maxWatchers:
		status = 503
		slog.Warn("follower.turned_away", "followers", len(f.watchers))
	}
	if status != 0 {
		c.refuse(status)
		return
	}
	f.ids++
	c.id = f.ids
	f.watchers[c] = struct{}{}
	f.mu.Lock()
	f.told.Join(c.id, c.peer)
	f.mu.Unlock()
	c.timer.Fire = c.due
	f.board.loop.Set(&c.timer, f.board.loop.Now()+headWithin)
}

// publish takes in durable events and answers those who wait.
func (f *watchServer) publish(events []fleet.Event, after fleet.Fleet) {
	if err := f.log.Add(events, after); err != nil { // a fault of the program: what was told can't be trusted to go on
		slog.Error("board.history_broken", "err", err)
		f.board.Stop()
		return
	}
	f.mu.Lock()
	f.last = f.log.Last()
	f.told.Within(after.Rules().ToldWithinMS)
	f.mu.Unlock()
	for c := range f.watchers {
		if c.waiting {
			c.answer()
		}
	}
	f.board.executor.wake()
}

// tellOpinions answers those who wait and share in what is seen of boxes.
func (f *watchServer) tellOpinions() {
	for c := range f.watchers {
		if c.waiting && c.call.Announce != nil && len(c.call.Announce.Signals) > 0 {
			c.answer()
		}
	}
}

// hasLease tells whether the board may have followers: a copy may under its lease alone, for it may be cut off from the others
// and not know of it.
func (f *watchServer) hasLease() bool { return f.board.group == nil || f.board.group.Holds() }

// checkLease ends all followers once the lease is over, so that they go where there is news.
func (f *watchServer) checkLease() {
	if !f.hasLease() && len(f.watchers) > 0 {
		slog.Warn("followers.let_go", "followers", len(f.watchers), "after", f.log.Last())
		for c := range f.watchers {
			c.conn.Close()
			c.leave()
		}
	}
	f.board.loop.Set(&f.watch, f.board.loop.Now()+leaseLook)
}

// replace goes on with another history, which has all of this one or what took its place.
func (f *watchServer) replace(log *history.Log, after fleet.Fleet) {
	f.log = log
	f.publish(nil, after)
}

// acknowledgedRevision is the number up to which every director has all events, those of other copies included.
func (f *watchServer) acknowledgedRevision() int64 {
	if f.board.group != nil {
		return f.board.group.Acknowledged()
	}
	return f.ownAcknowledged()
}

// ownAcknowledged is the number up to which the directors that follow here have all events.
func (f *watchServer) ownAcknowledged() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told.Told(f.last, f.board.clock())
}

// count is how many follow.
func (f *watchServer) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told.Len()
}

// watcher is one connection of a director's.
type watcher struct {
	feed    *watchServer
	conn    *transport.Conn
	peer    netip.Addr
	id      int64
	call    bulletin.Call
	waiting bool
	ended   bool
	timer   transport.Timer
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

func (c *watcher) leave() {
	if c.ended {
		return
	}
	c.ended = true
	c.timer.Stop()
	f := c.feed
	delete(f.watchers, c)
	f.mu.Lock()
	f.told.Leave(c.id, f.last, f.board.clock())
	f.mu.Unlock()
	f.board.executor.wake()
}

// due ends a wait with what there is, or a connection on which no call comes.
func (c *watcher) due() {
	if c.waiting {
		c.answer()
		return
	}
	c.conn.Close()
	c.leave()
}

// Data implements transport.Handler.
func (c *watcher) Data(b []byte) (used, need int, err error) {
	if c.ended {
		return len(b), 0, nil
	}
	call, used, need, err := bulletin.ParseCall(b)
	if err == nil && (c.waiting || used > 0 && used < len(b)) {
		err = &bulletin.CallError{Status: 400, Message: "a second call before the answer to the first"}
	}
	var refused *bulletin.CallError
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

// grant is what is added to the answer of a follower that shares in turns, or in what is seen of boxes; nil if there is nothing.
func (c *watcher) grant() []byte {
	if c.call.Announce == nil {
		return nil
	}
	var out []byte
	add := func(name string, v any) {
		if b, err := json.Marshal(v); err == nil {
			out = append(append(out, `,"`+name+`":`...), b...)
		}
	}
	if g := c.feed.board.membership.granted(c.call.Announce.ID()); g != nil {
		add("turns", g)
	}
	if len(c.call.Announce.Signals) > 0 {
		if o := c.feed.board.membership.opinions(c.call.Announce.ID()); o != nil {
			add("signals", o)
		}
	}
	if out == nil {
		return nil
	}
	return append(out, '}')
}

// wantsRoll tells whether the follower announces itself and has nothing of the roll, though there is one.
func (c *watcher) wantsRoll() bool {
	return c.call.Announce != nil && c.call.Announce.Roll == 0 && c.feed.log.HasRoll()
}

// refuse answers with an error and ends the connection once that is taken.
func (c *watcher) refuse(status int) {
	c.ended = true
	body := []byte(`{"no":0,"items":[]}`)
	c.conn.Write(bulletin.AppendHead(nil, status, len(body), true), body)
	c.conn.CloseAfterFlush(0)
	c.timer.Fire = c.conn.Close // if it does not close itself
	c.feed.board.loop.Set(&c.timer, c.feed.board.loop.Now()+refusedWithin)
}

func (c *watcher) ask() {
	f := c.feed
	if !f.hasLease() { // it may have run out while the process was paused
		c.conn.Close()
		c.leave()
		return
	}
	if c.call.After > f.log.Last() {
		slog.Warn("follower.ahead", "addr", c.peer.String(), "after", c.call.After, "last", f.log.Last())
	}
	f.mu.Lock()
	f.told.Ack(c.id, c.call.After)
	behind := c.call.After < f.last || c.wantsRoll()
	f.mu.Unlock()
	if a := c.call.Announce; a != nil {
		f.board.membership.heard(*a, c.call.After)
	}
	if !behind {
		f.board.executor.wake()
	}
	c.waiting = true
	if behind {
		c.answer()
		return
	}
	f.board.loop.Set(&c.timer, f.board.loop.Now()+time.Duration(c.call.PatienceMS)*time.Millisecond)
}

// answer ends the wait with what is new, if anything is.
func (c *watcher) answer() {
	f := c.feed
	if !f.hasLease() {
		c.conn.Close()
		c.leave()
		return
	}
	after, announced := c.call.After, c.call.Announce != nil
	if c.wantsRoll() {
		after = 0 // the roll as a whole comes with the whole list
	}
	parts, size, err := f.log.Answer(after, announced)
	if err != nil {
		slog.Error("board.history_broken", "err", err)
		c.conn.Close()
		c.leave()
		return
	}
	if parts == nil {
		empty := append(bulletin.Opening(max(f.log.Last(), 0)), bulletin.Closing...)
		parts, size = [][]byte{empty}, len(empty)
	}
	if grant := c.grant(); grant != nil { // the last part ends the answer
		last := parts[len(parts)-1]
		parts = append(append([][]byte(nil), parts[:len(parts)-1]...), last[:len(last)-1], grant)
		size += len(grant) - 1
	}
	c.waiting = false
	f.head = bulletin.AppendHead(f.head[:0], 200, size, c.call.Close)
	c.conn.Write(append([][]byte{f.head}, parts...)...)
	switch {
	case c.call.Close:
		c.conn.CloseAfterFlush(0)
	case c.conn.Queued() > stuckQueue:
		slog.Warn("follower.stuck", "addr", c.peer.String(), "queued_bytes", c.conn.Queued())
		c.conn.Close()
		c.leave()
		return
	}
	f.board.loop.Set(&c.timer, f.board.loop.Now()+headWithin)
}
