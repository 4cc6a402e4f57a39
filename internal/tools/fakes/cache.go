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

const readBufferLength = 64 << 10 // bytes, at first

// Attempt is one attempt that came to a cache.
type Attempt struct {
	ID     string // of the request
	Source string // that a miss is to be filled from; empty: none
	Token  string // the idempotency key; empty: none
	At     time.Time
}

// Cache is a fake cache. It answers every attempt with a small object, and pings. Its methods may be called concurrently.
type Cache struct {
	listener net.Listener

	mu        sync.Mutex
	attempts  []Attempt
	conns     map[net.Conn]bool
	closed    bool
	delay     time.Duration
	sources   map[string]float64 // share of the fills from each that it says were rejected there; nil: it fills nothing
	corrupted []time.Time        // when it said so
}

// NewCache listens at an address; port 0 picks one.
func NewCache(address string) (*Cache, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fake cache: %w", err)
	}
	c := &Cache{listener: listener, conns: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Cache) Addr() string { return c.listener.Addr().String() }

// Fill makes the cache say of each attempt that names a source that it was filled from there, or, for a share of those that name one in
// the map, that the source rejected it. Caches may share a map; it must not be changed.
func (c *Cache) SetFillResults(sources map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = sources
}

// Corrupted is when it said that a source rejected a fill.
func (c *Cache) RejectedFills() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.corrupted...)
}

// Slow delays each answer.
func (c *Cache) SetDelay(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = by
}

// Attempts are all that came so far.
func (c *Cache) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// Close is the death of the process: it listens no more and its connections break.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close() // nothing is lost with it
	for conn := range c.conns {
		_ = conn.Close() // it is to break
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
			_ = conn.Close() // it is to break
		}
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serve(conn)
	}
}

func (c *Cache) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close() // its client has gone, or it is to break
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

// answerAll answers the complete messages in a buffer, and returns what is left of it. words is used again.
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

// answer answers one message. Errors of out are those of its flush.
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
		b := resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 3), id), "ERR")
		return resp.AppendBulk(b, "n=turned_away")
	}
	b := resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 4), id), "OK")
	b = resp.AppendBulk(b, "n="+status+",rev=1,since="+strconv.FormatInt(a.At.UnixMilli(), 10))
	return resp.AppendBulk(b, "copy of "+c.Addr())
}

// record keeps an attempt and decides how it is answered.
func (c *Cache) record(a Attempt) (status string, rejected bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	if c.sources == nil || a.Source == "" {
		return "local", false, c.delay
	}
	rejected = rand.Float64() < c.sources[a.Source]
	if rejected {
		c.corrupted = append(c.corrupted, a.At)
	}
	return "pulled", rejected, c.delay
}
