//go:build review

package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// slowSettings are the settings of the clients.
type slowSettings struct {
	director string
	clients  int
	fast     int // further clients, which read as fast as they can
	rate     int // bytes a second that a client reads; 0: as fast as it can
	open     int // requests that a client has open at most
	least    int // bytes of the smallest object's part
	most     int // bytes of the largest object's part
	perS     int // requests a second of all clients together
	budget   time.Duration
	length   time.Duration
}

// tally counts the requests of all clients by their ends.
type tally struct {
	mu                            sync.Mutex
	start                         time.Time
	sent, served, refused, failed int
	gaveUp                        int // still without an answer when their time was up: failed, not lost
	cutOff                        int // their answer was begun and not finished: failed, not lost
	lost                          int // the connection ended with no answer before their time was up
	crossed                       int // sent less than 50 ms before the connection ended
	closes                        int // connections that the director ended
	bytesRead                     int64
	fastest                       float64 // bytes a second, the highest mean of a client's connection over a second or more
	out                           *os.File
}

func (t *tally) logf(format string, args ...any) {
	fmt.Fprintf(t.out, "%7.3f s  %s\n", time.Since(t.start).Seconds(), fmt.Sprintf(format, args...))
}

// runSlowClients runs clients that read at a limited rate, and ends with 1 if a request was lost.
func runSlowClients(args []string) error {
	var s slowSettings
	set := flag.NewFlagSet("slow", flag.ExitOnError)
	set.StringVar(&s.director, "director", "", "address")
	set.IntVar(&s.clients, "clients", 1, "number of clients, each with one connection")
	set.IntVar(&s.fast, "fast", 0, "number of further clients that read as fast as they can")
	set.IntVar(&s.rate, "rate", 0, "bytes a second that a client reads; 0: as fast as it can")
	set.IntVar(&s.open, "open", 32, "requests that a client has open at most")
	set.IntVar(&s.least, "least", 1000, "bytes of the smallest object's part")
	set.IntVar(&s.most, "most", 1000, "bytes of the largest object's part")
	set.IntVar(&s.perS, "per-second", 170, "requests a second of all clients together")
	set.DurationVar(&s.budget, "budget", 6*time.Second, "how long a client waits")
	set.DurationVar(&s.length, "length", 10*time.Second, "for how long requests are sent")
	record := set.String("record", "", "file to append to")
	if err := set.Parse(args); err != nil {
		return err
	}
	out, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	t := &tally{start: time.Now(), out: out}
	clients := make([]*slowClient, s.clients+s.fast)
	for i := range clients {
		own := s
		if i >= s.clients {
			own.rate = 0
		}
		clients[i] = &slowClient{number: i, settings: own, tally: t, open: map[int32]time.Time{}}
		if err := clients[i].connect(); err != nil {
			return err
		}
	}
	sendAll(s, t, clients)
	for end := time.Now().Add(s.budget + time.Second); time.Now().Before(end) && countOpen(clients) > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	return t.report(clients)
}

// sendAll sends requests at the given rate, in turn from the clients that may open one more, and gives up those whose time is up.
func sendAll(s slowSettings, t *tally, clients []*slowClient) {
	next := 0
	for n := 0; time.Since(t.start) < s.length; n++ {
		time.Sleep(time.Until(t.start.Add(time.Duration(n) * time.Second / time.Duration(s.perS))))
		for range clients {
			c := clients[next]
			next = (next + 1) % len(clients)
			if c.send() {
				break
			}
		}
	}
}

func countOpen(clients []*slowClient) (n int) {
	for _, c := range clients {
		c.mu.Lock()
		n += len(c.open)
		c.mu.Unlock()
	}
	return n
}

func (t *tally) report(clients []*slowClient) error {
	left := countOpen(clients)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logf("sent %d: served %d, refused %d, failed %d, given up at the end of their time %d, cut off in their answer %d, crossed the close %d, lost %d, open %d",
		t.sent, t.served, t.refused, t.failed, t.gaveUp, t.cutOff, t.crossed, t.lost, left)
	t.logf("connections that the director ended: %d; bytes read: %d, the fastest connection read %.0f a second",
		t.closes, t.bytesRead, t.fastest)
	switch {
	case t.lost > 0:
		t.logf("the rule is broken: %d requests were taken and their connections ended with no answer before their time was up", t.lost)
		os.Exit(1)
	case t.served == 0:
		return fmt.Errorf("nothing was served")
	}
	t.logf("the rule held")
	return nil
}

// slowClient is a client with one connection.
type slowClient struct {
	number   int
	settings slowSettings
	tally    *tally

	mu     sync.Mutex
	conn   net.Conn
	seq    int32
	open   map[int32]time.Time // when the last byte of each open request was written
	part   int32               // number of the request whose answer is being received; 0: none
	readAt time.Time           // when the connection was opened
	read   int64               // bytes read from the connection
}

func (c *slowClient) connect() error {
	conn, err := net.Dial("tcp", c.settings.director)
	if err != nil {
		return err
	}
	if c.settings.rate > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	c.mu.Lock()
	c.conn, c.seq, c.part, c.read, c.readAt = conn, 0, 0, 0, time.Now()
	c.open = map[int32]time.Time{}
	c.mu.Unlock()
	go c.receive(conn)
	return nil
}

// send sends a request if the client may open one more, and gives up those whose time is up.
func (c *slowClient) send() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, at := range c.open {
		if seq != c.part && time.Since(at) > c.settings.budget {
			delete(c.open, seq)
			c.seq++
			_, _ = c.conn.Write(revokeFrame(c.seq, seq))
			c.tally.mu.Lock()
			c.tally.gaveUp++
			c.tally.mu.Unlock()
		}
	}
	if len(c.open) >= c.settings.open {
		return false
	}
	c.seq++
	id, object := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	_, err := c.conn.Write(submitFrame(c.seq, "method", "clips", "rid", id,
		"budget", fmt.Sprint(c.settings.budget.Milliseconds()), "obj", object, "part", "0", "group", fmt.Sprint(rand.IntN(256)),
		"mem", memOf(len(partOf(object, "0", c.settings.least, c.settings.most)))))
	if err != nil {
		return false // the reader sees the end of the connection
	}
	c.open[c.seq] = time.Now()
	c.tally.mu.Lock()
	c.tally.sent++
	c.tally.mu.Unlock()
	return true
}

// crossing is the age below which a request at the end of its connection may have crossed the close, and is not counted as lost.
const crossing = 50 * time.Millisecond

// receiveBuffer is the receive buffer of a client that reads slowly, in bytes.
const receiveBuffer = 256 << 10

const readStep = 10 * time.Millisecond

// receive reads answers, no faster than the client's rate.
func (c *slowClient) receive(conn net.Conn) {
	var buffer []byte
	chunk := make([]byte, 64<<10)
	limited := c.settings.rate > 0
	if limited {
		chunk = chunk[:min(len(chunk), c.settings.rate/int(time.Second/readStep))]
	}
	begin := time.Now()
	for total := 0; ; {
		if limited {
			time.Sleep(time.Until(begin.Add(time.Duration(float64(total) / float64(c.settings.rate) * float64(time.Second)))))
			if time.Since(begin)-time.Duration(float64(total)/float64(c.settings.rate)*float64(time.Second)) > time.Second {
				begin, total = time.Now(), 0 // idle: the rate counts anew
			}
		}
		n, err := conn.Read(chunk)
		total += n
		buffer = append(buffer, chunk[:n]...)
		c.count(n)
		for {
			rest, done := c.take(buffer)
			if !done {
				break
			}
			buffer = rest
		}
		if err != nil {
			c.ended(err)
			return
		}
	}
}

func (c *slowClient) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += int64(n)
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	c.tally.bytesRead += int64(n)
	if age := time.Since(c.readAt).Seconds(); age >= 1 {
		c.tally.fastest = max(c.tally.fastest, float64(c.read)/age)
	}
}

// take takes one whole answer from the buffer. Of an answer that is not whole it notes the request's number.
func (c *slowClient) take(b []byte) (rest []byte, done bool) {
	if len(b) < 4 {
		return b, false
	}
	size := int(binary.BigEndian.Uint32(b))
	head, err := parseAnswer(b[4:min(len(b), 4+size)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) < 4+size {
		if err == nil {
			c.part = head.seq
		}
		return b, false
	}
	c.part = 0
	if sentAt, open := c.open[head.seq]; open {
		delete(c.open, head.seq)
		c.tally.mu.Lock()
		c.tally.logf("client %d: request %d %s, %d bytes in its frame, after %.2f s", c.number, head.seq, head.word, size,
			time.Since(sentAt).Seconds())
		switch head.word {
		case "served":
			c.tally.served++
		case "refused":
			c.tally.refused++
		default:
			c.tally.failed++
		}
		c.tally.mu.Unlock()
	}
	return b[4+size:], true
}

// ended counts what the end of the connection did to the open requests, and connects again.
func (c *slowClient) ended(err error) {
	c.mu.Lock()
	t := c.tally
	t.mu.Lock()
	t.closes++
	lost, cut := 0, 0
	oldest := time.Duration(0)
	for seq, at := range c.open {
		switch age := time.Since(at); {
		case seq == c.part:
			cut++
		case age > c.settings.budget:
			t.gaveUp++
		case age < crossing:
			t.crossed++
		default:
			t.logf("client %d: request %d lost, %.2f s after it was sent", c.number, seq, age.Seconds())
			lost++
			oldest = max(oldest, age)
		}
	}
	t.lost += lost
	t.cutOff += cut
	t.logf("client %d: its connection ended (%v) after %d bytes read in %.2f s; %d open requests: %d lost, the oldest %.2f s old, %d cut off",
		c.number, err, c.read, time.Since(c.readAt).Seconds(), len(c.open), lost, oldest.Seconds(), cut)
	t.mu.Unlock()
	c.mu.Unlock()
	if err := c.connect(); err != nil {
		t.logf("client %d: no new connection: %v", c.number, err)
	}
}
