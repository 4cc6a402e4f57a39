package director

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	requestA = "aaaaaaaaaaaaaaa1"
	requestB = "bbbbbbbbbbbbbbb2"
	requestC = "ccccccccccccccc3"
	objectA  = "7f3a9c21e0b4d655"
	objectB  = "0000000000000001"
)

func (p *scriptedConn) want(seq int32, result int, body string) reply {
	p.t.Helper()
	r := p.reply()
	if r.seq != seq || r.kind != 2 || r.result != result || r.body != body {
		p.t.Fatalf("got %+.200v, want seq %d, result %d, body %.40q", r, seq, result, body)
	}
	return r
}

func TestServesAndPassesOnTheClientsCopy(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	client.submit(requestA, objectA)
	box := c.accept()
	id, f := box.request()
	if id != requestA || f["sort"] != "clips" || f["asset"] != objectA || f["slice"] != "0" || f["store"] != "1" || f["do"] != "merge" {
		t.Fatalf("order %s %v", id, f)
	}
	box.answer(requestA, "OK", "n=local,l=inflight:7;util:0.61,rev=4be0c1927d55a6f3,since=1764576000123", "bytes")
	client.want(1, 0, "bytes")

	client.submit(requestB, objectA, "have", "4be0c1927d55a6f3")
	if _, f = box.request(); f["inm"] != "4be0c1927d55a6f3" {
		t.Fatalf("the client's copy is not passed on: %v", f)
	}
	box.answer(requestB, "SAME", "n=local,rev=4be0c1927d55a6f3,since=1764576000123", "")
	if r := client.want(2, 0, ""); r.fields["same"] != "1" {
		t.Fatalf("same is not told: %v", r.fields)
	}
}

// Frames arrive in any pieces, several at once, and a slow reader's answers wait without a byte lost.
func TestPartialFramesAndSlowReader(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	text := client.submitText(requestA, objectA, 5*time.Second)
	client.write(text[:9])
	var box *scriptedConn
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 15_000))
	client.write(text[9:])
	box = c.accept()
	box.request()
	for i := range 12 { // 2.9 MB, far more than the sockets hold
		rid := fmt.Sprintf("%016x", i)
		client.submit(rid, objectA)
		box.request()
		box.answer(rid, "OK", "n=local", body)
	}
	box.answer(requestA, "OK", "n=local", "last")
	for i := range 12 {
		client.want(int32(i+2), 0, body)
	}
	client.want(1, 0, "last")
}

// An undone attempt may still be answered: that answer is nobody's.
func TestRevokeIsPassedOnAndALateAnswerIgnored(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	client.submit(requestA, objectA)
	box := c.accept()
	box.request()
	client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
	if w := box.command(); w[0] != "undo" || w[1] != requestA {
		t.Fatalf("want undo, got %q", w)
	}
	box.answer(requestA, "OK", "n=local", "late")
	client.submit(requestB, objectB)
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "mine")
	client.want(3, 0, "mine")
}

// A refused connection proves that nothing ran; a reset does not, but the class is safe. Either way the client gets
// one answer, from where the request went next.
func TestRefusedAndResetAttemptsGoOn(t *testing.T) {
	down := newScriptedCache(t)
	up := newScriptedCache(t)
	down.listener.Close()
	client := newTestDirector(t, down.host("s-1", "in_service"), up.host("s-2", "in_service")).client()
	var box *scriptedConn
	for i := range 16 { // some of the objects belong to the cache that is down
		client.submit(fmt.Sprintf("%016x", i), fmt.Sprintf("%016x", i*7919))
		if box == nil {
			box = up.accept()
		}
		id, _ := box.request()
		box.answer(id, "OK", "n=local", id)
		client.want(int32(i+1), 0, id)
	}
	client.submit(requestA, objectA)
	box.request()
	must(t, box.conn.(*net.TCPConn).SetLinger(0))
	box.conn.Close()
	box = up.accept()
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "again")
	client.want(17, 0, "again")
}

// Whatever a cache says, no copy from before a purge reaches a client once the purge binds.
func TestPurgedCopyIsWithheld(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client := w.client()
	issued := time.Now().UnixMilli()
	w.publish(2, fmt.Sprintf(`"recall":{"lot":5,"issued":%d}`, issued))
	client.submit(requestA, objectA)
	box := c.accept()
	if _, f := box.request(); f["cap"] == "" {
		t.Fatalf("no age cap after a purge: %v", f)
	}
	box.answer(requestA, "OK", fmt.Sprintf("n=local,since=%d", issued-1), "old")
	box = c.accept() // not on the link on which the first attempt was answered: it may be answered there again
	box.request()
	box.answer(requestA, "OK", fmt.Sprintf("n=pulled,since=%d", issued+1), "new")
	client.want(1, 0, "new")
}

// The bulletin breaks off: the next call asks for what comes after the last event that was taken in.
func TestBulletinIsResumed(t *testing.T) {
	c, other := newScriptedCache(t), newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	w.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+other.host("s-2", "in_service")+`]}`)
	w.events <- ""
	w.wantPoll("2")
	w.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`]}`)
	w.wantServedBy(other)
}

// wantServedBy has a client ask for an object and the cache answer it.
func (w *testDirector) wantServedBy(c *scriptedCache) {
	w.t.Helper()
	client := w.client()
	client.submit(requestA, objectA)
	box := c.accept()
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "x")
	client.want(1, 0, "x")
}

// Settings that leave out how many directors there are, or a limit, or give 0: what stands in is logged by its key, and
// requests are served.
func TestMissingSettingsAreLoggedAndServed(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn})))
	defer slog.SetDefault(old)
	less := testSettings
	for _, change := range [][2]string{
		{`"Balancers":1,`, ``},
		{`"CountByZone":[0,1],`, ``},
		{`"Multiplex":32,`, `"Multiplex":0,`},
		{`"DialTimeout":400,`, ``},
		{`"ConnIdle":15000,`, `"ConnIdle":0,`},
	} {
		if !strings.Contains(less, change[0]) {
			t.Fatalf("the settings have no %s", change[0])
		}
		less = strings.Replace(less, change[0], change[1], 1)
	}
	c := newScriptedCache(t)
	w := newTestDirectorWith(t, less, c.host("s-1", "in_service"))
	for _, key := range []string{"settings.Balancers", "settings.Limits.Multiplex", "settings.Limits.DialTimeout", "settings.Limits.ConnIdle"} {
		if !strings.Contains(log.String(), `"key":"`+key+`"`) {
			t.Errorf("%s is not named in %s", key, log.String())
		}
	}
	w.wantServedBy(c)
}

// With no cache left, the answer is a refusal at once, with the time to stay away.
func TestRefusedAtOnceWithBackoff(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client := w.client()
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	if !client.want(1, 0, "").good {
		t.Error("able to serve, but the heartbeat is not good")
	}
	w.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminating")+`]}`)
	client.submit(requestA, objectA)
	if r := client.want(2, 1, ""); r.fields["backoff"] == "" {
		t.Errorf("no backoff: %v", r.fields)
	}
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	if client.want(3, 0, "").good {
		t.Error("no cache is left, but the heartbeat is good")
	}
}

// Whoever sends rubbish loses that connection and nobody else's; a bad field costs that request alone.
func TestMalformedInputStaysItsSendersTrouble(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	bad, client := w.client(), w.client()
	bad.write("GET / HTTP/1.1\r\n\r\n")
	if _, err := bad.reader.ReadByte(); err == nil {
		t.Error("rubbish was answered")
	}
	client.submit("not hex", objectA)
	if r := client.reply(); r.kind != 3 || r.seq != 1 {
		t.Errorf("want an application exception, got %+v", r)
	}
	client.submit(requestB, objectA, "group", "256")
	if r := client.reply(); r.kind != 3 || r.seq != 2 {
		t.Errorf("want an application exception, got %+v", r)
	}
	client.submit(requestA, objectA)
	box := c.accept()
	box.request()
	box.write("+PONG\r\n") // a cache that sends rubbish: its link goes, the request goes on
	box = c.accept()
	box.request()
	box.answer(requestA, "OK", "n=local", "x")
	client.want(3, 0, "x")
}

// Clients that take no answers must not fill the memory: the worst of them is closed, the others are served on.
func TestStuckClientIsClosedWhenMemoryRunsShort(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	w.program.Post(func() { w.program.frontend.maxQueuedBytes = 1 << 20 })
	stuck, client := w.client(), w.client()
	stuck.submit(requestA, objectA)
	box := c.accept()
	box.request()
	body := strings.Repeat("x", 240_000)
	for i := range 31 {
		stuck.submit(fmt.Sprintf("%016x", i), objectA)
		box.request()
	}
	for i := range 31 { // 7 MB, more than the sockets between hold
		box.answer(fmt.Sprintf("%016x", i), "OK", "n=local", body)
	}
	for w := box.command(); w[1] != requestA; w = box.command() { // what was open for it is given up, in any order
		if w[0] != "undo" {
			t.Fatalf("want undo, got %q", w)
		}
	}
	client.submit(requestB, objectB)
	for w := box.command(); w[0] != "do"; w = box.command() {
	}
	box.answer(requestB, "OK", "n=local", body)
	client.want(1, 0, body)
}

// Whoever connects and says nothing, or half a message, or withdraws what it asks, is closed after a while; a client that
// waits for an answer is not.
func TestMuteClientsAreClosed(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	waiting, silent, half, fickle := w.client(), w.client(), w.client(), w.client()
	waiting.submit(requestA, objectA)
	box := c.accept()
	box.request()
	half.write(half.submitText(requestB, objectB, time.Second)[:20])
	fickle.submit(requestC, objectB)
	if id, _ := box.request(); id != requestC { // it is out before it is taken back, or nothing of it would ever be seen
		t.Fatalf("order %s", id)
	}
	fickle.write(fickle.call(4, "revoke", "\x08\x00\x01"+be32(1)))
	for w := box.command(); w[0] != "undo"; w = box.command() {
	}
	w.program.Post(func() { w.program.frontend.firstAnswerTimeout = 0; w.program.frontend.sweep() })
	for _, p := range []*scriptedConn{silent, half, fickle} {
		if _, err := p.reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("not closed: %v", err)
		}
	}
	box.answer(requestA, "OK", "n=local", "a")
	waiting.want(1, 0, "a")
}

// Clients that ask once and hold their connection for good make room for those who come; one that waits for its answer
// does not.
func TestUnusedConnectionMakesRoom(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	w.program.Post(func() { w.program.frontend.maxClients = 2 })
	waiting, unused := w.client(), w.client()
	waiting.submit(requestA, objectA)
	box := c.accept()
	box.request()
	unused.submit(requestB, objectB)
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "b")
	unused.want(1, 0, "b")
	late := w.client()
	late.submit(requestC, objectB)
	id, _ = box.request()
	box.answer(id, "OK", "n=local", "c")
	late.want(1, 0, "c")
	if _, err := unused.reader.ReadByte(); err == nil {
		t.Error("the unused connection is still open")
	}
	box.answer(requestA, "OK", "n=local", "a")
	waiting.want(1, 0, "a")
}

// After the order to leave, connections that still come are served, all that is open is answered, then it ends.
func TestLeavesWhenAllIsAnswered(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client := w.client()
	client.submit(requestA, objectA, "mem", "9000") // large, so that its answer is not overdue while this lasts
	box := c.accept()
	box.request()
	w.program.Post(w.program.Leave)
	late := w.client()
	late.submit(requestB, objectB)
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "b")
	late.want(1, 0, "b")
	if _, err := late.reader.ReadByte(); err == nil { // it waits for the end of the taking in, then closes
		t.Error("bytes after the last answer")
	}
	client.submit(requestC, objectB)
	id, _ = box.request()
	box.answer(id, "OK", "n=local", "c")
	client.want(2, 0, "c")
	box.answer(requestA, "OK", "n=local", strings.Repeat("a", 200_000))
	client.want(1, 0, strings.Repeat("a", 200_000))
	client.conn.Close()
	late.conn.Close()
	err := <-w.exited
	w.exited <- err
	must(t, err)
}
