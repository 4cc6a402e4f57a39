package director

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	requestA = "aaaaaaaaaaaaaaa1"
	requestB = "bbbbbbbbbbbbbbb2"
	requestC = "ccccccccccccccc3"
	objectA  = "7f3a9c21e0b4d655"
	objectB  = "0000000000000001"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 10 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// scriptedConn is a connection to the director whose other end the test plays: a cache, a client, or the control plane.
type scriptedConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	seq    int32

	commands chan []string // received on a cache's connection
}

func newScriptedConn(t *testing.T, conn net.Conn) *scriptedConn {
	t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &scriptedConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// waitAcknowledged waits until the peer's kernel has received everything written to a connection, including its end.
func waitAcknowledged(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must(t, err)
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		left := -1
		must(t, raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		must(t, err)
		if left == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d bytes are not acknowledged", left)
		}
	}
}

// heartbeat calls heartbeat and reads the answer. When it returns, the director has handled everything the client sent before.
func (p *scriptedConn) heartbeat() {
	p.t.Helper()
	p.write(p.call(1, "heartbeat", "\x02\x00\x01\x01"))
	p.want(p.seq, 0, "")
}

// readToEnd returns everything received until the end of a connection.
func (p *scriptedConn) readToEnd() string {
	p.t.Helper()
	b, err := io.ReadAll(p.reader)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatal(err)
	}
	return string(b)
}

// serve reads commands of the director and answers pings immediately, as caches do.
func (p *scriptedConn) serve() {
	defer close(p.commands)
	count := func() int {
		line, err := p.reader.ReadString('\n')
		if err != nil || len(line) < 4 {
			return -1
		}
		n, err := strconv.Atoi(line[1 : len(line)-2])
		if err != nil {
			return -1
		}
		return n
	}
	for n := count(); n > 0; n = count() {
		w := make([]string, n)
		for i := range w {
			b := make([]byte, max(0, count())+2)
			if _, err := io.ReadFull(p.reader, b); err != nil {
				return
			}
			w[i] = string(b[:len(b)-2])
		}
		if w[0] != "ping" {
			p.commands <- w
		} else if _, err := io.WriteString(p.conn, respArray(w[1], "UP")); err != nil {
			return
		}
	}
}

func (p *scriptedConn) write(s string) {
	p.t.Helper()
	_, err := io.WriteString(p.conn, s)
	must(p.t, err)
}

func (p *scriptedConn) read(n int) string {
	p.t.Helper()
	b := make([]byte, n)
	_, err := io.ReadFull(p.reader, b)
	must(p.t, err)
	return string(b)
}

// command waits for the next command to a cache.
func (p *scriptedConn) command() []string {
	p.t.Helper()
	select {
	case w, open := <-p.commands:
		if !open {
			p.t.Fatal("the connection was closed")
		}
		return w
	case <-time.After(testTimeout):
		p.t.Fatal("no command arrived")
	}
	return nil
}

// request waits for the next request to a cache, skipping cancels, and returns its ID and fields.
func (p *scriptedConn) request() (id string, fields map[string]string) {
	p.t.Helper()
	w := p.command()
	for w[0] != "do" {
		w = p.command()
	}
	if len(w) != 4 {
		p.t.Fatalf("request %q", w)
	}
	fields = map[string]string{}
	for pair := range strings.SplitSeq(w[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return w[1], fields
}

// answer writes a response to a request. An object gets the ETag and the time that every object has, unless the test names them.
func (p *scriptedConn) answer(w ...string) {
	p.t.Helper()
	if isObject := w[1] == "OK" || w[1] == "SAME"; isObject {
		w[2] = withObjectFields(w[2])
	}
	p.write(respArray(w...))
}

// withObjectFields adds the fields that every object has to a list of fields that lacks them.
func withObjectFields(fields string) string {
	if !strings.Contains(fields, "rev=") {
		fields += ",rev=4be0c1927d55a6f3"
	}
	if !strings.Contains(fields, "since=") {
		fields += fmt.Sprintf(",since=%d", time.Now().UnixMilli())
	}
	return fields
}

// respArray returns an array of bulk strings.
func respArray(w ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(w))
	for _, x := range w {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(x), x)
	}
	return s
}

func be32(n int) string { return string(binary.BigEndian.AppendUint32(nil, uint32(n))) }

func str(s string) string { return be32(len(s)) + s }

func frame(s string) string { return str(s) }

// call returns a framed message in Thrift's strict binary protocol.
func (p *scriptedConn) call(kind int, name, args string) string {
	p.seq++
	return frame(be32(0x80010000|kind) + str(name) + be32(int(p.seq)) + args + "\x00")
}

// submitText returns a call of submit for an object. more has additional fields, as alternating names and values, that precede
// the usual ones.
func (p *scriptedConn) submitText(id, object string, budget time.Duration, more ...string) string {
	return p.submitBody(id, object, budget, "", more...)
}

// submitBody is like submitText, with a body.
func (p *scriptedConn) submitBody(id, object string, budget time.Duration, body string, more ...string) string {
	f := append(more, "method", "clips", "rid", id, "budget", fmt.Sprint(budget.Milliseconds()), "obj", object,
		"part", "0", "group", "5", "mem", "100")
	s := "\x0d\x00\x01\x0b\x0b" + be32(len(f)/2)
	for _, word := range f {
		s += str(word)
	}
	return p.call(1, "submit", s+"\x0b\x00\x02"+str(body))
}

func (p *scriptedConn) submit(id, object string, more ...string) {
	p.t.Helper()
	p.write(p.submitText(id, object, 5*time.Second, more...))
}

// reply is a decoded answer to a client.
type reply struct {
	seq    int32
	kind   byte // 2: an answer or a declared exception, 3: an application exception
	result int  // 0: an answer, 1: rejected, 2: failed
	body   string
	good   bool
	fields map[string]string
}

func (p *scriptedConn) reply() reply {
	p.t.Helper()
	b := p.read(int(binary.BigEndian.Uint32([]byte(p.read(4)))))
	next := func(n int) string {
		s := b[:n]
		b = b[n:]
		return s
	}
	num := func() int { return int(binary.BigEndian.Uint32([]byte(next(4)))) }
	r := reply{kind: byte(num()), fields: map[string]string{}}
	next(num())
	r.seq = int32(num())
	if r.kind != 2 {
		return r
	}
	head := next(3)
	r.result = int(head[2])
	for kind := next(1); kind != "\x00"; kind = next(1) {
		next(2)
		switch kind {
		case "\x0b":
			r.body = next(num())
		case "\x02":
			r.good = next(1) == "\x01"
		case "\x0d":
			next(2)
			for range num() {
				name := next(num())
				r.fields[name] = next(num())
			}
		}
	}
	return r
}

func (p *scriptedConn) want(seq int32, result int, body string) reply {
	p.t.Helper()
	r := p.reply()
	if r.seq != seq || r.kind != 2 || r.result != result || r.body != body {
		p.t.Fatalf("got %+.200v, want seq %d, result %d, body %.40q", r, seq, result, body)
	}
	return r
}

func (p *scriptedConn) wantPoll(after int) {
	p.t.Helper()
	for first := true; ; first = false {
		line, err := p.reader.ReadString('\n')
		must(p.t, err)
		if first && !strings.Contains(line, fmt.Sprintf("after=%d&", after)) {
			p.t.Fatalf("polled %q, want the events after revision %d", line, after)
		}
		if line == "\r\n" {
			return
		}
	}
}
