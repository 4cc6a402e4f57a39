package fakes

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Tally is what a load got. Every request sent is in exactly one of the other counts, or was doubled or lost.
type Tally struct {
	Sent, Served, Refused, Failed, Doubled, Lost int
}

// Client puts requests on one connection to a director.
type Client struct {
	conn  net.Conn
	mu    sync.Mutex
	seq   int32
	open  map[int32]time.Time // when it was sent
	took  []time.Duration     // of those that were served
	tally Tally
	done  chan struct{}
}

// Connect opens a client's connection.
func Connect(director string) (*Client, error) {
	conn, err := net.Dial("tcp", director)
	if err != nil {
		return nil, fmt.Errorf("stand-in client: %w", err)
	}
	c := &Client{conn: conn, open: map[int32]time.Time{}, done: make(chan struct{})}
	go c.read()
	return c, nil
}

// Send sends one request for a random object of so many.
func (c *Client) Send(objects int, budget time.Duration) error {
	object := rand.IntN(objects)
	return c.Ask("clips", uint64(1+object), budget, "group", fmt.Sprint(object%256), "mem", "10")
}

// Ask sends one request of a class for an object, with further fields as names and values in turn.
func (c *Client) Ask(class string, object uint64, budget time.Duration, more ...string) error {
	c.mu.Lock()
	c.seq++
	seq := c.seq
	c.open[seq] = time.Now()
	c.tally.Sent++
	c.mu.Unlock()
	fields := append([]string{
		"method", class, "rid", fmt.Sprintf("%016x", rand.Uint64()), "budget", fmt.Sprint(budget.Milliseconds()),
		"obj", fmt.Sprintf("%016x", object), "part", "0",
	}, more...)
	b := binary.BigEndian.AppendUint32(nil, 0x80010001)
	text := func(s string) {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	text("submit")
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, 0x0d, 0, 1, 0x0b, 0x0b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, f := range fields {
		text(f)
	}
	b = append(b, 0x0b, 0, 2)
	text("")
	b = append(b, 0)
	_, err := c.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

// read counts answers: a frame's message kind, its sequence number, and which of the results it holds.
func (c *Client) read() {
	defer close(c.done)
	head := make([]byte, 4)
	for {
		if _, err := io.ReadFull(c.conn, head); err != nil {
			return
		}
		b := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(c.conn, b); err != nil || len(b) < 12 {
			return
		}
		at := 8 + int(binary.BigEndian.Uint32(b[4:]))
		if len(b) < at+7 {
			return
		}
		seq := int32(binary.BigEndian.Uint32(b[at:]))
		c.mu.Lock()
		sent, open := c.open[seq]
		switch result := b[at+6]; {
		case !open:
			c.tally.Doubled++
		case b[3] != 2 || result == 2:
			c.tally.Failed++
		case result == 1:
			c.tally.Refused++
		default:
			c.tally.Served++
			c.took = append(c.took, time.Since(sent))
		}
		delete(c.open, seq)
		c.mu.Unlock()
	}
}

// Took is how long each request took that was served so far.
func (c *Client) Took() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Duration(nil), c.took...)
}

// Finish waits until all is answered, but no longer than a time, and closes.
func (c *Client) Finish(within time.Duration) Tally {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		left := len(c.open)
		c.mu.Unlock()
		if left == 0 {
			break
		}
	}
	c.conn.Close()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Lost = len(c.open)
	return c.tally
}

// Load sends so many requests a second for a time, then waits for the answers.
func Load(director string, perSecond int, length time.Duration) (Tally, error) {
	c, err := Connect(director)
	if err != nil {
		return Tally{}, err
	}
	every := time.Second / time.Duration(perSecond)
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * every)))
		if err := c.Send(200, 5*time.Second); err != nil {
			break
		}
	}
	return c.Finish(10 * time.Second), nil
}
