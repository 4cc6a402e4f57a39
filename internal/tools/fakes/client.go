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

const (
	thriftVersion     = 0x80010000 // of a Thrift message; the low byte holds the message type
	kindCall          = 1
	kindReply         = 2
	fieldRejected     = 1 // field ID in the result of a reply
	fieldFailed       = 2 // likewise
	pollInterval      = 5 * time.Millisecond
	loadObjects       = 200 // distinct objects that Load requests
	loadTimeout       = 5 * time.Second
	finishTimeout     = 10 * time.Second
	purgeGroups       = 256
	minReplyLength    = 12 // bytes
	frameHeaderLength = 4  // bytes
)

// Tally counts the requests of a load by outcome. Every request sent is counted in exactly one of Served, Rejected, Failed and Lost;
// further answers to it are counted in Duplicated.
type Tally struct {
	Sent       int
	Served     int
	Rejected   int // rejected by the director
	Failed     int
	Duplicated int // answers beyond the first
	Lost       int // never answered
}

// Client sends requests on one connection to a director. Its methods are safe for concurrent use.
type Client struct {
	conn net.Conn
	done chan struct{} // closed when the read loop has ended

	mu        sync.Mutex
	seq       int32
	open      map[int32]time.Time // sending times of unanswered requests, by sequence number
	latencies []time.Duration     // latencies of served requests
	tally     Tally
}

// Connect connects a client to a director.
func Connect(director string) (*Client, error) {
	return connect(director, func(conn net.Conn) io.Reader { return conn })
}

// ConnectSlow connects a client that reads at most the given number of bytes a second. If it is 0, the client reads nothing.
func ConnectSlow(director string, bytesPerS int) (*Client, error) {
	return connect(director, func(conn net.Conn) io.Reader { return &slowReader{conn: conn, bytesPerS: bytesPerS} })
}

func connect(director string, newReader func(net.Conn) io.Reader) (*Client, error) {
	conn, err := net.Dial("tcp", director)
	if err != nil {
		return nil, fmt.Errorf("fake client: %w", err)
	}
	c := &Client{conn: conn, open: map[int32]time.Time{}, done: make(chan struct{})}
	go c.readAnswers(newReader(conn))
	return c, nil
}

// slowReader reads from a connection at a limited rate.
type slowReader struct {
	conn      net.Conn
	bytesPerS int // 0: reads fail at once, and the connection stays open
}

// slowReadsPerS is the number of reads a second of a slowReader.
const slowReadsPerS = 100

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) {
	if r.bytesPerS == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second / slowReadsPerS)
	return r.conn.Read(b[:min(len(b), max(1, r.bytesPerS/slowReadsPerS))])
}

// SendRandom sends one request of the class clips for a random one of the given number of objects.
func (c *Client) SendRandom(objects int, timeout time.Duration) error {
	object := rand.IntN(objects)
	return c.SendRequest("clips", uint64(1+object), timeout, "mem", "10")
}

// SendRequest sends one request of a class for an object. more holds additional fields as alternating names and values.
func (c *Client) SendRequest(class string, object uint64, timeout time.Duration, more ...string) error {
	c.mu.Lock()
	c.seq++
	seq := c.seq
	c.open[seq] = time.Now()
	c.tally.Sent++
	c.mu.Unlock()
	fields := append([]string{
		"method", class, "rid", fmt.Sprintf("%016x", rand.Uint64()), "budget", fmt.Sprint(timeout.Milliseconds()),
		"obj", fmt.Sprintf("%016x", object), "part", "0", "group", fmt.Sprint(object % purgeGroups),
	}, more...)
	message := appendSubmit(nil, seq, fields)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	_, err := c.conn.Write(append(frame, message...))
	return err
}

// appendSubmit appends a Thrift call of the method submit with a map of fields and an empty body.
func appendSubmit(b []byte, seq int32, fields []string) []byte {
	b = binary.BigEndian.AppendUint32(b, thriftVersion|kindCall)
	b = appendText(b, "submit")
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, 0x0d, 0, 1, 0x0b, 0x0b) // field 1: a map from strings to strings
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)/2))
	for _, field := range fields {
		b = appendText(b, field)
	}
	b = append(b, 0x0b, 0, 2) // field 2: a string
	b = appendText(b, "")
	return append(b, 0)
}

func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

// readAnswers counts answers until the connection is closed or a frame is malformed.
func (c *Client) readAnswers(from io.Reader) {
	defer close(c.done)
	head := make([]byte, frameHeaderLength)
	for {
		if _, err := io.ReadFull(from, head); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(from, frame); err != nil || len(frame) < minReplyLength {
			return
		}
		if !c.countAnswer(frame) {
			return
		}
	}
}

// countAnswer counts one answer by its message type, its sequence number and the field that its result holds. It returns false if the
// frame is too short.
func (c *Client) countAnswer(frame []byte) bool {
	afterName := 8 + int(binary.BigEndian.Uint32(frame[4:]))
	if len(frame) < afterName+7 {
		return false
	}
	seq := int32(binary.BigEndian.Uint32(frame[afterName:]))
	kind := frame[3]
	result := frame[afterName+6]
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, open := c.open[seq]
	switch {
	case !open:
		c.tally.Duplicated++
	case kind != kindReply || result == fieldFailed:
		c.tally.Failed++
	case result == fieldRejected:
		c.tally.Rejected++
	default:
		c.tally.Served++
		c.latencies = append(c.latencies, time.Since(sent))
	}
	delete(c.open, seq)
	return true
}

// Latencies returns the latencies of all requests served so far.
func (c *Client) Latencies() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Duration(nil), c.latencies...)
}

// Finish waits until all requests are answered, but no longer than the given time. It then closes the connection and returns the counts.
func (c *Client) Finish(within time.Duration) Tally {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(pollInterval) {
		c.mu.Lock()
		unanswered := len(c.open)
		c.mu.Unlock()
		if unanswered == 0 {
			break
		}
	}
	_ = c.conn.Close() // nothing more is read from it
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Lost = len(c.open)
	return c.tally
}

// Load sends requests at a rate for a duration, then waits for the answers and returns the counts. It stops early if the connection breaks.
func Load(director string, perSecond int, duration time.Duration) (Tally, error) {
	c, err := Connect(director)
	if err != nil {
		return Tally{}, err
	}
	interval := time.Second / time.Duration(perSecond)
	start := time.Now()
	for n := 0; time.Since(start) < duration; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		if err := c.SendRandom(loadObjects, loadTimeout); err != nil {
			break
		}
	}
	return c.Finish(finishTimeout), nil
}
