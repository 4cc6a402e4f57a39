package transport

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lengthBytes       = 4
	largestTestLength = 64 << 10
	// testInputLimit has room for few of the large messages that the tests send at once.
	testInputLimit = 128 << 10
)

// messageReader takes messages that begin with their length, and checks that each repeats one byte.
type messageReader struct {
	t        *testing.T
	messages int
	bytes    int
	longest  int // input of one call of Data
	ended    error
}

// Opened implements Handler.
func (*messageReader) Opened() {}

// Flushed implements Handler.
func (*messageReader) Flushed() {}

// Closed implements Handler.
func (r *messageReader) Closed(err error) { r.ended = err }

// Data implements Handler.
func (r *messageReader) Data(b []byte) (used, need int, err error) {
	r.longest = max(r.longest, len(b))
	for {
		rest := b[used:]
		if len(rest) < lengthBytes {
			return used, lengthBytes, nil
		}
		end := lengthBytes + int(binary.BigEndian.Uint32(rest))
		if len(rest) < end {
			return used, end, nil
		}
		if body := rest[lengthBytes:end]; len(body) > 0 && bytes.Count(body, body[:1]) != len(body) {
			r.t.Errorf("message %d of %d bytes is corrupt", r.messages, len(body))
		}
		r.messages++
		r.bytes += end
		used += end
	}
}

// boundedListener starts a loop's listener with bounded input, and returns its address and the handlers of the connections.
func boundedListener(t *testing.T, l *Loop) (address string, handlers *[]*messageReader) {
	t.Helper()
	l.SetInputLimit(testInputLimit)
	handlers = &[]*messageReader{}
	newHandler := func() Handler {
		r := &messageReader{t: t}
		*handlers = append(*handlers, r)
		return r
	}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), newHandler, func(*Conn, Handler) {})
	if err != nil {
		t.Fatal(err)
	}
	ln.BoundInput()
	addr, err := ln.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr.String(), handlers
}

// randomMessages returns messages of random lengths, each of one repeated byte, and their number.
func randomMessages(random *rand.Rand, messages int) []byte {
	var text []byte
	for range messages {
		length := random.IntN(200)
		switch random.IntN(4) {
		case 0:
			length = random.IntN(largestTestLength + 1)
		case 1:
			length = heldInputBytes - 2*lengthBytes + random.IntN(3*lengthBytes) // ends beside the size of a read
		}
		text = binary.BigEndian.AppendUint32(text, uint32(length))
		text = append(text, bytes.Repeat([]byte{byte(random.IntN(256))}, length)...)
	}
	return text
}

// writeInPieces writes a text in pieces of random lengths, with short pauses.
func writeInPieces(t *testing.T, conn net.Conn, text []byte, random *rand.Rand) {
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(1<<random.IntN(18)))
		if _, err := conn.Write(text[:n]); err != nil {
			t.Error(err)
			return
		}
		text = text[n:]
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
	}
}

// Guards against messages that are lost, corrupted or never completed, and against a limit that is exceeded or not given back, while more
// connections have large messages in part than there is room for.
func TestBoundedInputDeliversEveryMessage(t *testing.T) {
	const connections, messages = 24, 40
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	l, err := NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release()
	address, handlers := boundedListener(t, l)
	var wg sync.WaitGroup
	sent := make([]int, connections)
	conns := make([]net.Conn, connections)
	for i := range connections {
		if conns[i], err = net.Dial("tcp", address); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }() // it may be closed already
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		text := randomMessages(random, messages)
		sent[i] = len(text)
		wg.Go(func() { writeInPieces(t, conns[i], text, random) })
	}
	paused := false
	total := func() (bytes, complete int) {
		for _, r := range *handlers {
			bytes += r.bytes
			complete += r.messages
		}
		return bytes, complete
	}
	want := 0
	for _, n := range sent {
		want += n
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		runLoop(t, l, 2*Tick)
		paused = paused || len(l.input.paused) > 0
		if l.input.used > l.input.limit {
			t.Fatalf("%d bytes are held, the limit is %d", l.input.used, l.input.limit)
		}
		if got, _ := total(); got == want {
			break
		}
	}
	wg.Wait()
	got, complete := total()
	if got != want || complete != connections*messages {
		t.Errorf("%d of %d bytes, %d of %d messages", got, want, complete, connections*messages)
	}
	if l.input.used != 0 {
		t.Errorf("%d bytes count as held at the end", l.input.used)
	}
	if !paused {
		t.Error("no connection was paused, so the test had room for all")
	}
	for _, r := range *handlers {
		if r.longest > largestTestLength+lengthBytes {
			t.Errorf("%d bytes were handled at once", r.longest)
		}
	}
}

// Guards against one connection that occupies the loop with all the input that the kernel holds.
func TestBoundedInputIsReadInSmallParts(t *testing.T) {
	l, err := NewLoop()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release()
	address, handlers := boundedListener(t, l)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // nothing depends on it
	if _, err := conn.Write(make([]byte, 10*heldInputBytes)); err != nil {
		t.Fatal(err)
	}
	var source eventSource
	for end := time.Now().Add(10 * time.Second); source == nil && time.Now().Before(end); time.Sleep(Tick) {
		for _, s := range l.sources {
			if _, isConn := s.(*Conn); isConn {
				source = s
			}
		}
		if source == nil {
			runLoop(t, l, Tick)
		}
	}
	before := (*handlers)[0].bytes
	source.handleEvents(unix.EPOLLIN)
	if n := (*handlers)[0].bytes - before; n > heldInputBytes {
		t.Errorf("%d bytes were handled at one event", n)
	}
}
