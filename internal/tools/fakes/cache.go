// Package standin is the one place for stand-ins: caches that answer everything at once and note what they were asked,
// and clients that put a steady load on a director. They serve tests and quick starts; they are no models of real boxes.
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

// Attempt is one attempt that came to a cache.
type Attempt struct {
	ID, Source, Token string
	At                time.Time
}

// Cache answers every order with a small copy, and pings.
type Cache struct {
	listener net.Listener
	mu       sync.Mutex
	orders   []Attempt
	conns    map[net.Conn]bool
	closed   bool
	slow     time.Duration
	sources  map[string]float64 // share of the fills from each that it says were turned away there; nil: it fills nothing
	spoilt   []time.Time        // when it said so
}

// Fill has the cache say of each order that names a source that it was filled from there, or, for a share of those that name one
// that is in the map, that the source turned it away. Caches may share a map; it must not be changed.
func (c *Cache) Fill(sources map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = sources
}

// Corrupted is when it said that a source turned it away.
func (c *Cache) Corrupted() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.spoilt...)
}

// Slow has it take so long for each order.
func (c *Cache) Slow(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = by
}

// NewCache listens at an address; port 0 picks one.
func NewCache(address string) (*Cache, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in cache: %w", err)
	}
	c := &Cache{listener: l, conns: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Cache) Addr() string { return c.listener.Addr().String() }

// Attempts are all that has come so far.
func (c *Cache) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.orders...)
}

// Close is the death of the process: it listens no more and its connections break.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.listener.Close()
	for conn := range c.conns {
		conn.Close()
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
			conn.Close()
		}
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serve(conn)
	}
}

func (c *Cache) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in, out := make([]byte, 0, 64<<10), bufio.NewWriter(conn)
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
		for {
			w, used, _, err := resp.Parse(in, words)
			if words = w; err != nil {
				return
			}
			if used == 0 {
				break
			}
			c.answer(out, w)
			in = in[:copy(in, in[used:])]
		}
		if out.Flush() != nil {
			return
		}
	}
}

func (c *Cache) answer(out io.Writer, w resp.Words) {
	if len(w) < 2 {
		return
	}
	var b []byte
	switch string(w[0]) {
	case "ping":
		b = resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 2), w[1]), "UP")
	case "do":
		if len(w) < 3 {
			return
		}
		o := Attempt{ID: string(w[1]), At: time.Now()}
		for _, pair := range strings.Split(string(w[2]), ",") {
			switch name, value, _ := strings.Cut(pair, "="); name {
			case "up":
				o.Source = value
			case "op":
				o.Token = value
			}
		}
		c.mu.Lock()
		c.orders = append(c.orders, o)
		slow := c.slow
		note, away := "local", false
		if c.sources != nil && o.Source != "" {
			if note, away = "pulled", rand.Float64() < c.sources[o.Source]; away {
				c.spoilt = append(c.spoilt, o.At)
			}
		}
		c.mu.Unlock()
		time.Sleep(slow)
		if away {
			b = resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 3), w[1]), "ERR")
			b = resp.AppendBulk(b, "n=turned_away")
			break
		}
		b = resp.AppendBulk(resp.AppendBulk(resp.AppendHead(nil, 4), w[1]), "OK")
		b = resp.AppendBulk(b, "n="+note+",rev=1,since="+strconv.FormatInt(o.At.UnixMilli(), 10))
		b = resp.AppendBulk(b, "copy of "+c.Addr())
	}
	_, _ = out.Write(b)
}
