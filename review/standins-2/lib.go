//go:build review

// Command standins-2 holds the stand-ins of the second review (review/6 and following) and drives its cases: caches, clients and a bulletin,
// written from the operators' pages. The project's programs are started as processes of their own.
package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"stairvane.org/stairvane/internal/protocol/resp"
)

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// attempt is a request that a cache stand-in has read.
type attempt struct {
	ID     string
	Fields map[string]string
	At     time.Time
	conn   *cacheConn
}

// cache is a stand-in for a cache, a parent or the origin.
type cache struct {
	Name     string
	handle   func(c *cache, a *attempt) // runs in a goroutine of its own
	listener net.Listener
	mu       sync.Mutex
	conns    map[*cacheConn]bool
}

type cacheConn struct {
	net.Conn
	closed  atomic.Bool
	mu      sync.Mutex
	givenUp map[string]bool // attempts withdrawn by undo
}

func newCache(name, addr string, handle func(*cache, *attempt)) *cache {
	c := &cache{Name: name, handle: handle, conns: map[*cacheConn]bool{}}
	c.listen(addr)
	return c
}

func (c *cache) listen(addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		fail("listen: %v", err)
	}
	c.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			cc := &cacheConn{Conn: conn, givenUp: map[string]bool{}}
			c.mu.Lock()
			c.conns[cc] = true
			c.mu.Unlock()
			go c.serve(cc)
		}
	}()
}

func (c *cache) addr() string { return c.listener.Addr().String() }

// die ends the stand-in as the end of its process would: its connections are reset.
func (c *cache) die() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (c *cache) serve(conn *cacheConn) {
	defer func() {
		conn.closed.Store(true)
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	var in []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		in = append(in, buffer[:n]...)
		for {
			words, used, _, err := resp.Parse(in, nil)
			if err != nil {
				return
			}
			if used == 0 {
				break
			}
			c.message(conn, words)
			in = append([]byte(nil), in[used:]...)
		}
	}
}

func (c *cache) message(conn *cacheConn, words resp.Words) {
	switch string(words[0]) {
	case "ping":
		conn.write(string(words[1]), "UP", "-", nil)
	case "undo":
		conn.mu.Lock()
		conn.givenUp[string(words[1])] = true
		conn.mu.Unlock()
	case "do":
		a := &attempt{ID: string(words[1]), Fields: map[string]string{}, At: time.Now(), conn: conn}
		for _, pair := range strings.Split(string(words[2]), ",") {
			name, value, _ := strings.Cut(pair, "=")
			a.Fields[name] = value
		}
		conn.mu.Lock()
		delete(conn.givenUp, a.ID)
		conn.mu.Unlock()
		go c.handle(c, a)
	}
}

func (conn *cacheConn) write(id, word, fields string, body []byte) {
	b := resp.AppendBulk(resp.AppendHead(nil, 4), id)
	b = resp.AppendBulk(b, word)
	b = resp.AppendBulk(b, fields)
	b = resp.AppendBulk(b, body)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_, _ = conn.Conn.Write(b)
}

// answer answers an attempt unless it was given up.
func (a *attempt) answer(word, fields string, body []byte) bool {
	if a.isGivenUp() {
		return false
	}
	a.conn.write(a.ID, word, fields, body)
	return true
}

func (a *attempt) isGivenUp() bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	return a.conn.givenUp[a.ID]
}

// result is the end of a client's request.
type result struct {
	Kind string // served, refused, failed or lost
	Body []byte
	At   time.Time
}

// client is a client's connection to a director.
type client struct {
	conn net.Conn
	mu   sync.Mutex
	seq  int32
	open map[int32]chan result
	dup  int
}

func connect(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, open: map[int32]chan result{}}
	go c.read()
	return c, nil
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends one request and returns the channel of its end.
func (c *client) submit(body []byte, fields ...string) <-chan result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	done := make(chan result, 1)
	c.open[c.seq] = done
	m := thriftHead("submit", c.seq)
	m = append(m, 0x0d, 0, 1, 0x0b, 0x0b)
	m = binary.BigEndian.AppendUint32(m, uint32(len(fields)/2))
	for _, f := range fields {
		m = appendText(m, f)
	}
	m = append(m, 0x0b, 0, 2)
	m = appendText(m, string(body))
	m = append(m, 0)
	_, _ = c.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...))
	return done
}

func thriftHead(method string, seq int32) []byte {
	m := binary.BigEndian.AppendUint32(nil, 0x80010001)
	m = appendText(m, method)
	return binary.BigEndian.AppendUint32(m, uint32(seq))
}

func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

// heartbeat reports whether the director answers that it is good.
func heartbeat(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	m := append(thriftHead("heartbeat", 1), 0x02, 0, 1, 0, 0)
	_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...))
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return false
	}
	frame := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(conn, frame); err != nil {
		return false
	}
	return bytes.Contains(frame, []byte{0x02, 0, 3, 1}) // field good is true
}

func (c *client) read() {
	head := make([]byte, 4)
	for {
		if _, err := io.ReadFull(c.conn, head); err != nil {
			break
		}
		frame := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(c.conn, frame); err != nil {
			break
		}
		c.end(frame)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for seq, done := range c.open {
		done <- result{Kind: "lost", At: time.Now()}
		delete(c.open, seq)
	}
}

func (c *client) end(frame []byte) {
	name := int(binary.BigEndian.Uint32(frame[4:]))
	seq := int32(binary.BigEndian.Uint32(frame[8+name:]))
	rest := frame[12+name:]
	r := result{Kind: "failed", At: time.Now()}
	if frame[3] == 2 && len(rest) > 3 && rest[0] == 0x0c {
		switch rest[2] {
		case 0:
			r.Kind = "served"
			if answer := rest[3:]; len(answer) > 7 && answer[0] == 0x0b && answer[2] == 1 {
				r.Body = answer[7 : 7+binary.BigEndian.Uint32(answer[3:])]
			}
		case 1:
			r.Kind = "refused"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if done := c.open[seq]; done != nil {
		done <- r
		delete(c.open, seq)
	} else {
		c.dup++
	}
}

// bulletin is a stand-in for the platform's bulletin.
type bulletin struct {
	addr    string
	mu      sync.Mutex
	events  []map[string]any
	changed chan struct{}
}

func newBulletin() *bulletin {
	b := &bulletin{changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	b.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/bulletins", b.get)
	go func() { _ = http.Serve(listener, mux) }()
	return b
}

// add makes an event; it counts as told when add returns.
func (b *bulletin) add(kind string, value any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, map[string]any{"no": len(b.events) + 1, kind: value})
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *bulletin) since(after int) (body map[string]any, changed chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := []any{}
	for i := after; i < len(b.events); i++ {
		items = append(items, b.events[i])
	}
	return map[string]any{"no": len(b.events), "items": items}, b.changed
}

func (b *bulletin) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(patience, 5000))*time.Millisecond)
	defer cancel()
	for {
		body, changed := b.since(after)
		if len(body["items"].([]any)) == 0 && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		out, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(out)
		return
	}
}

// process is one of the project's programs.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

var processes []*process

func start(name string, env []string, args ...string) *process {
	p := &process{name: name, ended: make(chan struct{}), log: filepath.Join(folder, name+".log")}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fail("%v", err)
	}
	p.cmd = exec.Command(filepath.Join(root, "bin", "stairvane"), args...)
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("%v", err)
	}
	shown := make([]string, len(args))
	for i, arg := range args {
		shown[i] = filepath.Base(arg)
	}
	rec.printf("started %s: pid %d, stairvane %s", name, p.cmd.Process.Pid, strings.Join(shown, " "))
	processes = append(processes, p)
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) {
	rec.printf("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) waitEnd(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

func killAll() {
	for _, p := range processes {
		if p.isRunning() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
}

var (
	root    string // of the repository
	folder  string // temporary
	rec     *record
	trouble = os.Getenv("TROUBLE") != "0"
)

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	if rec != nil {
		rec.printf("could not run: "+format, args...)
	}
	killAll()
	os.Exit(2)
}

func waitFor(what string, within time.Duration, ok func() bool) {
	for deadline := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			fail("%s did not happen within %v", what, within)
		}
	}
}

// freeAddr returns an address that was free a moment ago.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func writeFile(name string, data []byte) string {
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fail("%v", err)
	}
	return path
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		fail("%v", err)
	}
	return b
}

// Call: standins-2 CASE ROOT FOLDER RECORD. The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE ROOT FOLDER RECORD")
		os.Exit(2)
	}
	root, folder = os.Args[2], os.Args[3]
	file, err := os.Create(os.Args[4])
	if err != nil {
		fail("%v", err)
	}
	rec = &record{start: time.Now(), file: file}
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]]()
	rec.printf("violations: %d", broken)
	killAll()
	fmt.Println("violations:", broken)
	if broken > 0 {
		os.Exit(1)
	}
}
