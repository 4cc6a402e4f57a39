package director

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/director/routing"
	"stairvane.org/stairvane/internal/protocol/resp"
	"stairvane.org/stairvane/internal/transport"
)

// caches dials the caches and speaks their protocol.
type caches struct {
	loop   *transport.Loop
	report map[string]string // the module's names of load values by the caches'
	fields []byte            // reused by every order
	buf    []byte
	words  resp.Words
}

// Dial implements routing.Dialer.
func (c *caches) Dial(address string, timeout time.Duration, ev routing.ConnHandler) (routing.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	l := &cacheLink{caches: c, events: ev, name: address}
	if l.conn, err = c.loop.Dial(addr, timeout, l); err != nil {
		return nil, err
	}
	return l, nil
}

// cacheLink is one connection to a cache.
type cacheLink struct {
	caches *caches
	conn   *transport.Conn
	events routing.ConnHandler
	name   string
}

// Opened implements transport.Handler.
func (l *cacheLink) Opened() { l.events.Connected() }

// Closed implements transport.Handler.
func (l *cacheLink) Closed(err error) { l.events.Closed(err) }

// Flushed tells routing that the system has taken all that was written (transport.Handler).
func (l *cacheLink) Flushed() { l.events.Flushed() }

// IsFlushed implements routing.Link.
func (l *cacheLink) IsFlushed() bool { return l.conn.Queued() == 0 }

// Close implements routing.Link.
func (l *cacheLink) Close() { l.conn.Close() }

// Cancel implements routing.Link.
func (l *cacheLink) Cancel(id string) { l.order("undo", id) }

// Ping implements routing.Link.
func (l *cacheLink) Ping(tag string) { l.order("ping", tag) }

func (l *cacheLink) order(word, id string) {
	b := resp.AppendHead(l.caches.buf[:0], 2)
	b = resp.AppendBulk(b, word)
	b = resp.AppendBulk(b, id)
	l.conn.Write(b)
	l.caches.buf = b
}

// optionWords are the words of the field do, by the module's bits.
var optionWords = []struct {
	bit  decision.FetchOptions
	word string
}{
	{decision.JoinFill, "merge"},
	{decision.SourceCachedOnly, "local"},
	{decision.ParentNoStore, "skip"},
	{decision.Revalidate, "revalidate"},
}

// Send implements routing.Link.
func (l *cacheLink) Send(o *routing.UpstreamRequest) {
	c := l.caches
	c.fields = appendOrder(c.fields[:0], o)
	b := resp.AppendHead(c.buf[:0], 4)
	b = resp.AppendBulk(b, "do")
	b = resp.AppendBulk(b, o.ID)
	b = resp.AppendBulk(b, c.fields)
	b = resp.AppendBulk(b, o.Body)
	l.conn.Write(b)
	c.buf = b
}

func appendOrder(b []byte, o *routing.UpstreamRequest) []byte {
	field := func(name, value string) { b = resp.AppendField(b, 0, name, value) }
	field("sort", o.Class)
	field("asset", fmt.Sprintf("%016x", uint64(o.Object)))
	field("slice", strconv.Itoa(o.Part))
	field("patience", strconv.FormatInt(max(1, o.Timeout.Milliseconds()), 10))
	if o.IdempotencyKey != "" {
		field("op", o.IdempotencyKey)
	}
	if o.Source != "" {
		field("up", o.Source)
	}
	if o.CachePriority > 0 {
		field("store", strconv.Itoa(o.CachePriority))
	}
	if o.MaxAge > 0 { // 0 would mean the class's fresh time
		field("cap", strconv.FormatInt(max(1, o.MaxAge.Milliseconds()), 10))
	}
	how := ""
	for _, option := range optionWords {
		if o.Options&option.bit != 0 {
			if how != "" {
				how += "+"
			}
			how += option.word
		}
	}
	if how != "" {
		field("do", how)
	}
	if o.ETag != "" {
		field("inm", o.ETag)
	}
	return b
}

// Data implements transport.Handler.
func (l *cacheLink) Data(b []byte) (used, need int, err error) {
	c := l.caches
	for {
		words, n, need, err := resp.Parse(b[used:], c.words)
		c.words = words
		if err != nil {
			slog.Warn("link.malformed", "addr", l.name, "err", err)
			return used, 0, err
		}
		if n == 0 {
			return used, need, nil
		}
		used += n
		if len(words) >= 2 && string(words[1]) == "UP" {
			l.events.Pong(words[0])
			continue
		}
		id, reply, err := c.reply(words)
		if err != nil {
			slog.Warn("link.malformed", "addr", l.name, "err", err)
			return used, 0, err
		}
		l.events.Received(id, reply)
	}
}

var replyWords = map[string]decision.Status{
	"OK": decision.OK, "SAME": decision.OK, "MISS": decision.Miss, "BUSY": decision.Full,
	"ERR": decision.Failed, "VOID": decision.NotSent,
}

// notes are the words of the field n; their places are the module's numbers, from 1.
var notes = [...]string{
	"local", "pulled", "pulled_far", "rode", "expired", "turned_away", "cut_off", "not_there",
	"no_place", "far_fault",
}

var noteNumbers = func() map[string]decision.CacheStatus {
	m := map[string]decision.CacheStatus{}
	for i, word := range notes {
		m[word] = decision.CacheStatus(i + 1)
	}
	return m
}()

// reply reads an answer: ID WORD FIELDS BODY.
func (c *caches) reply(w resp.Words) (id []byte, r *routing.Response, err error) {
	if len(w) < 2 || len(w) > 4 {
		return nil, nil, fmt.Errorf("answer of %d words", len(w))
	}
	status, known := replyWords[string(w[1])]
	if !known {
		return nil, nil, fmt.Errorf("unknown answer %q", w[1])
	}
	r = &routing.Response{Status: status, NotModified: string(w[1]) == "SAME"}
	if len(w) > 3 {
		r.Body = w[3]
	}
	if len(w) > 2 {
		err = resp.Fields(w[2], func(name, value []byte) error { return c.field(r, string(name), string(value)) })
	}
	return w[0], r, err
}

func (c *caches) field(r *routing.Response, name, value string) error {
	switch name {
	case "n":
		r.CacheStatus = noteNumbers[value]
	case "rev":
		r.ETag = value
	case "since":
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0 && ms < 1e13) {
			return fmt.Errorf("field since: bad value %q", value)
		}
		r.GeneratedAt = time.Duration(ms * float64(time.Millisecond))
	case "l":
		r.Load = c.load(value)
	}
	return nil
}
