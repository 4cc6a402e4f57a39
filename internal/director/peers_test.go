package director

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/director/config"
)

// testTimeout is how long a scripted peer waits for what must come; a story that keeps its word never spends it.
const testTimeout = 10 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// scriptedCache is a scripted cache.
type scriptedCache struct {
	t        *testing.T
	listener net.Listener
}

func newScriptedCache(t *testing.T) *scriptedCache {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { ln.Close() })
	return &scriptedCache{t, ln}
}

func (c *scriptedCache) host(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"west","class":"std","health":%q,"share":1}`, name, c.listener.Addr(), health)
}

func (c *scriptedCache) accept() *scriptedConn {
	c.t.Helper()
	must(c.t, c.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := c.listener.Accept()
	must(c.t, err)
	p := newScriptedConn(c.t, conn)
	p.commands = make(chan []string, 4096)
	go p.serve()
	return p
}

// serve reads commands as a cache does and answers pings at once, as a cache does whatever else it is busy with.
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

// scriptedConn is one connection of a script: a cache's, or a client's.
type scriptedConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	seq    int32

	commands chan []string // that have come, where it is a cache
}

func newScriptedConn(t *testing.T, conn net.Conn) *scriptedConn {
	t.Cleanup(func() { conn.Close() })
	must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &scriptedConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
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

// command is the next command that a cache has got.
func (p *scriptedConn) command() []string {
	p.t.Helper()
	select {
	case w, open := <-p.commands:
		if !open {
			p.t.Fatal("the connection has ended")
		}
		return w
	case <-time.After(testTimeout):
		p.t.Fatal("no command came")
	}
	return nil
}

// request reads the next order, past what is undone; it gives the id and the fields.
func (p *scriptedConn) request() (id string, fields map[string]string) {
	p.t.Helper()
	w := p.command()
	for w[0] != "do" {
		w = p.command()
	}
	if len(w) != 4 {
		p.t.Fatalf("order %q", w)
	}
	fields = map[string]string{}
	for pair := range strings.SplitSeq(w[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return w[1], fields
}

func (p *scriptedConn) answer(w ...string) {
	p.t.Helper()
	p.write(respArray(w...))
}

// respArray is an array of bulk strings.
func respArray(w ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(w))
	for _, x := range w {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(x), x)
	}
	return s
}

func be32(n int) string     { return string(binary.BigEndian.AppendUint32(nil, uint32(n))) }
func str(s string) string   { return be32(len(s)) + s }
func frame(s string) string { return str(s) }

// call frames one message of the strict protocol.
func (p *scriptedConn) call(kind int, name, args string) string {
	p.seq++
	return frame(be32(0x80010000|kind) + str(name) + be32(int(p.seq)) + args + "\x00")
}

// submitText is a call of submit for an object; more holds further fields as name, value, which go before the usual.
func (p *scriptedConn) submitText(rid, object string, budget time.Duration, more ...string) string {
	return p.submitBody(rid, object, budget, "", more...)
}

// submitBody is submitText with a body.
func (p *scriptedConn) submitBody(rid, object string, budget time.Duration, body string, more ...string) string {
	f := append(more, "method", "clips", "rid", rid, "budget", fmt.Sprint(budget.Milliseconds()), "obj", object,
		"part", "0", "group", "5", "mem", "100")
	s := "\x0d\x00\x01\x0b\x0b" + be32(len(f)/2)
	for _, word := range f {
		s += str(word)
	}
	return p.call(1, "submit", s+"\x0b\x00\x02"+str(body))
}

func (p *scriptedConn) submit(rid, object string, more ...string) {
	p.t.Helper()
	p.write(p.submitText(rid, object, 5*time.Second, more...))
}

// reply is an answer as a client reads it.
type reply struct {
	seq    int32
	kind   byte // 2 an answer or a declared exception, 3 an application exception
	result int  // 0 an Answer, 1 refused, 2 failed
	body   string
	good   bool
	fields map[string]string
}

func (p *scriptedConn) reply() reply {
	p.t.Helper()
	b := p.read(int(binary.BigEndian.Uint32([]byte(p.read(4)))))
	take := func(n int) string {
		s := b[:n]
		b = b[n:]
		return s
	}
	num := func() int { return int(binary.BigEndian.Uint32([]byte(take(4)))) }
	r := reply{kind: byte(num()), fields: map[string]string{}}
	take(num())
	r.seq = int32(num())
	if r.kind != 2 {
		return r
	}
	head := take(3)
	r.result = int(head[2])
	for kind := take(1); kind != "\x00"; kind = take(1) {
		take(2)
		switch kind {
		case "\x0b":
			r.body = take(num())
		case "\x02":
			r.good = take(1) == "\x01"
		case "\x0d":
			take(2)
			for range num() {
				name := take(num())
				r.fields[name] = take(num())
			}
		}
	}
	return r
}

// testDirector is a director among scripted peers.
type testDirector struct {
	t       *testing.T
	program *Program
	exited  chan error
	polls   chan string // the after of each call of the bulletin
	events  chan string // what it answers; empty: the connection breaks
}

func newTestDirector(t *testing.T, hosts ...string) *testDirector {
	return newTestDirectorWith(t, testSettings, hosts...)
}

func newTestDirectorWith(t *testing.T, settings string, hosts ...string) *testDirector {
	w := &testDirector{t: t, polls: make(chan string, 64), events: make(chan string, 8)}
	stop := make(chan struct{})
	bulletin := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.polls <- r.URL.Query().Get("after")
		select {
		case text := <-w.events:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(rw, text)
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); bulletin.Close() })
	w.start(settings, bulletin.Listener.Addr().String(), 1024, hosts...)
	w.wantPoll("1")
	return w
}

// start starts the director of a world, with these hosts on the list of its start; without any, there is no such list.
func (w *testDirector) start(settings, bulletin string, sockets int, hosts ...string) {
	w.t.Helper()
	t := w.t
	known := `{"no":0,"items":[]}`
	if len(hosts) > 0 {
		known = `{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}}]}`
	}
	w.exited = make(chan error, 1)
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bulletin": bulletin,
		"limits":   map[string]any{"memory_mb": 192, "sockets": sockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(settings),
	})
	must(t, err)
	c, err := config.Parse(text, "", "")
	must(t, err)
	w.program, err = New(c)
	must(t, err)
	go func() { w.exited <- w.program.Run() }()
	t.Cleanup(func() {
		w.program.Post(w.program.loop.Stop)
		<-w.exited
	})
}

func (w *testDirector) wantPoll(after string) {
	w.t.Helper()
	select {
	case got := <-w.polls:
		if got != after {
			w.t.Fatalf("bulletin asked for what comes after %s, want %s", got, after)
		}
	case <-time.After(testTimeout):
		w.t.Fatal("bulletin not asked")
	}
}

// publish answers the open call of the bulletin and waits until the director has taken it in and asks again.
func (w *testDirector) publish(number int, event string) {
	w.t.Helper()
	w.events <- fmt.Sprintf(`{"no":%d,"items":[{"no":%d,%s}]}`, number, number, event)
	w.wantPoll(strconv.Itoa(number))
}

func (w *testDirector) client() *scriptedConn {
	w.t.Helper()
	addr := make(chan netip.AddrPort, 1)
	w.program.Post(func() {
		a, _ := w.program.Addr()
		addr <- a
	})
	conn, err := net.Dial("tcp", (<-addr).String())
	must(w.t, err)
	return newScriptedConn(w.t, conn)
}

const testSettings = `{"Areas":["hub","west"],"Zone":"west","Models":["std","parent","origin"],"Balancers":1,"SlotNo":0,
"FamilyInfo":{"ParentKind":-1,"SourceKind":2,"CountByZone":[0,1],"OneFlowKbPerS":5000,"Tells":"hit","Joins":true,
 "Siblings":"off","NoticeTime":0,"PurgeDone":6000,"GoodFor":[0],"OlderBy":[0],"PassOn":[false],"MultiPart":[true]},
"Grades":[{"Name":"clips","Aim":600,"AimStretch":2,"Deadline":6000,"Worth":2,"Effect":"safe","Group":"all"}],
"Limits":{"Cancel":true,"ConnIdle":15000,"DialTimeout":400,"MaxAttempts":8,"MaxRetryAfter":2000,"MostHeld":20000,
 "Multiplex":32,"RetryAfter":true},
"Report":{"How":"inline","Fields":["cpu_share","busy_reqs"]},
"Rules":{"DrainGrace":500,"GraceToAnswer":8,"Cold":16000,"ColdFrom":0.17,"Fall":3000,"TipMultiple":4}}`
