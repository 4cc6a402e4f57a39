package fakes

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"stairvane.org/stairvane/internal/protocol/resp"
)

const readBufferLength = 64 << 10 // bytes; the buffer grows if a message is longer

// Attempt is one attempt that a cache received.
type Attempt struct {
	ID     string    // ID of the request
	Source string    // the source to fill a miss from; empty: none
	Token  string    // the idempotency key; empty: none
	At     time.Time // when it was received
}

// Cache is a fake cache. It answers pings, and every attempt with a small object. Its methods are safe for concurrent use.
type Cache struct {
	listener net.Listener

	mu         sync.Mutex
	attempts   []Attempt
	conns      map[net.Conn]bool
	closed     bool
	delay      time.Duration
	objectSize int                // bytes of each object; 0: a short text that names the cache
	sources    map[string]float64 // share of fills, by source, that are reported as rejected by it; nil: no fills
	rejectedAt []time.Time        // when it reported a fill as rejected
}

// NewCache starts a cache that listens on an address. Port 0 selects a free port.
func NewCache(address string) (*Cache, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fake cache: %w", err)
	}
	c := &Cache{listener: listener, conns: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

// Addr returns the address that the cache listens on.
func (c *Cache) Addr() string { return c.listener.Addr().String() }

// SetFillResults makes the cache report each attempt that names a source as filled from that source, or, for the source's share in the
// map, as rejected by it. Caches may share the map, which must not be modified afterwards.
func (c *Cache) SetFillResults(sources map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = sources
}

// RejectedFills returns the times at which the cache received the attempts whose fills it reported as rejected.
func (c *Cache) RejectedFills() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.rejectedAt...)
}

// SetDelay sets the delay before each attempt is answered.
func (c *Cache) SetDelay(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = by
}

// SetObjectSize sets the size of the objects that are served, in bytes.
func (c *Cache) SetObjectSize(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objectSize = size
}

// Attempts returns all attempts received so far.
func (c *Cache) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// Close stops listening and closes all connections, as if the process had died.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close() // nothing to flush
	for conn := range c.conns {
		_ = conn.Close() // closed to break the connection
	}
}

func (c *Cache) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		if c.closed {
			_ = conn.Close() // the cache is closed
		}
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serve(conn)
	}
}

func (c *Cache) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close() // its client has closed it, or Close has
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := make([]byte, 0, readBufferLength)
	out := bufio.NewWriter(conn)
	var words resp.Words
	for {
		if len(in) == cap(in) {
			in = append(make([]byte, 0, 2*cap(in)), in...)
		}
		n, err := conn.Read(in[len(in):cap(in)])
		if err != nil {
			return
		}
		in = in[:len(in)+n]
		if in, words, err = c.answerAll(out, in, words); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
}

// answerAll answers the complete messages in a buffer, and returns the rest of the buffer. It reuses words.
func (c *Cache) answerAll(out io.Writer, in []byte, words resp.Words) ([]byte, resp.Words, error) {
	for {
		parsed, used, _, err := resp.Parse(in, words)
		if err != nil {
			return in, parsed, err
		}
		words = parsed
		if used == 0 {
			return in, words, nil
		}
		c.answer(out, words)
		in = in[:copy(in, in[used:])]
	}
}

// answer writes the response to one message. The flush of out reports write errors.
func (c *Cache) answer(out io.Writer, words resp.Words) {
	if len(words) < 2 {
		return
	}
	switch string(words[0]) {
	case "ping":
		_, _ = out.Write(resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 2), words[1]), "UP"))
	case "do":
		if len(words) >= 3 {
			_, _ = out.Write(c.answerAttempt(words[1], string(words[2])))
		}
	}
}

func (c *Cache) answerAttempt(id []byte, fields string) []byte {
	a := Attempt{ID: string(id), At: time.Now()}
	for _, pair := range strings.Split(fields, ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "up":
			a.Source = value
		case "op":
			a.Token = value
		}
	}
	status, rejected, delay := c.record(a)
	time.Sleep(delay)
	if rejected {
		return appendResponse(id, "ERR", "n=turned_away", nil)
	}
	return appendResponse(id, "OK", "n="+status+",rev=1,since="+strconv.FormatInt(a.At.UnixMilli(), 10), c.object())
}

func appendResponse(id []byte, status, fields string, body []byte) []byte {
	b := resp.AppendBulk(resp.AppendHead(nil, 4), id)
	b = resp.AppendBulk(b, status)
	b = resp.AppendBulk(b, fields)
	return resp.AppendBulk(b, body)
}

// object returns the bytes of an object.
func (c *Cache) object() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.objectSize == 0 {
		return []byte("copy of " + c.Addr())
	}
	return make([]byte, c.objectSize)
}

// record appends an attempt to the recorded ones and returns how to answer it.
func (c *Cache) record(a Attempt) (status string, rejected bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	if c.sources == nil || a.Source == "" {
		return "local", false, c.delay
	}
	rejected = rand.Float64() < c.sources[a.Source]
	if rejected {
		c.rejectedAt = append(c.rejectedAt, a.At)
	}
	return "pulled", rejected, c.delay
}
