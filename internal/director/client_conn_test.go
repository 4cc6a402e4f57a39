package director

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against losing answers already written when a connection is closed because of malformed input.
func TestAnswersBeforeMalformedInputReachTheClient(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	client.submit(requestA, objectB)
	upstream.request()
	must(t, client.conn.(*net.TCPConn).SetReadBuffer(4096)) // so that most of the answer is queued in the director
	body := strings.Repeat("x", 200_000)
	upstream.answer(requestA, "OK", "n=local", body)
	for inFlight := 1; inFlight > 0; {
		d.onLoop(func() { inFlight = d.program.director.InFlight() })
	}
	client.write(strings.Repeat("no frame", 2_000))
	for seen := int64(0); seen == 0; {
		d.onLoop(func() { seen = d.program.frontend.Counters.Malformed })
	}
	d.waitRound()                    // a connection closed immediately would be closed by now,
	client.write("and some more...") // and these bytes would reset it
	waitAcknowledged(t, client.conn)
	client.want(2, 0, body)
	client.readToEnd()
}

// Guards against ignoring the cancels and the disconnect of a client that does not read.
func TestClientThatReadsNothingCanStillCancel(t *testing.T) {
	for _, how := range []string{"end", "revoke"} {
		t.Run(how, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			_, upstream := d.serveFirstRequest(c)
			client := d.client()
			// The request is so large and its timeout so long that only the client ends it.
			client.write(client.submitText(requestA, objectA, time.Minute, "mem", "90000"))
			upstream.request()
			d.fillQueue(client, upstream, 1)
			client.submit(requestC, objectA) // it is shed at once instead of being read later
			if how == "end" {
				must(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			for cmd := upstream.command(); cmd[0] != "undo" || cmd[1] != requestA; cmd = upstream.command() {
				if cmd[0] == "do" && cmd[1] != requestA {
					t.Fatalf("request %q", cmd)
				}
			}
			d.wantNothingSentBefore(upstream, requestB)
		})
	}
}

// Guards against evicting a client in the round in which its request arrives.
func TestClientWithArrivingRequestIsNotEvicted(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	busy, upstream := d.serveFirstRequest(c)
	idle := d.client()
	idle.submit(requestB, objectB)
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "r")
	idle.want(1, 0, "r")
	addr, err := d.program.Addr()
	must(t, err)
	d.onLoop(func() { d.program.frontend.maxClients = 2 })
	release := d.blockLoop()
	conn, err := net.Dial("tcp", addr.String()) // arrives first; busy has been unused the longest
	must(t, err)
	busy.submit(requestA, objectB)
	waitAcknowledged(t, busy.conn)
	release(nil)
	id, _ = upstream.request()
	upstream.answer(id, "OK", "n=local", "a")
	busy.want(2, 0, "a")
	if rest := idle.readToEnd(); rest != "" {
		t.Errorf("the idle client got %q", rest)
	}
	late := newScriptedConn(t, conn)
	late.submit(requestC, objectB)
	id, _ = upstream.request()
	upstream.answer(id, "OK", "n=local", "c")
	late.want(1, 0, "c")
}

// Guards against a close that truncates a large answer which the client has not read yet.
func TestLargeAnswerIsNotTruncatedByClose(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	client.submit(requestA, objectB)
	upstream.request()
	body := strings.Repeat("y", 100_000) // it fits into the socket buffers
	upstream.answer(requestA, "OK", "n=local", body)
	for queued := -1; queued != 0; {
		d.onLoop(func() {
			queued = int(1 - d.program.director.Counters.OK/2)
			for f := range d.program.frontend.clients {
				queued += f.conn.Queued()
			}
		})
	}
	d.onLoop(func() {
		for f := range d.program.frontend.clients {
			f.closeIfUnused()
		}
	})
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // arrives after the close
	waitAcknowledged(t, client.conn)
	d.waitRound()
	client.want(2, 0, body)
	client.readToEnd()
}

// Guards against a descriptor leak caused by a client that does not close its end.
func TestLingeringClientIsClosed(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, _ := d.serveFirstRequest(c)
	d.onLoop(func() {
		for f := range d.program.frontend.clients {
			f.closeGracefully()
		}
	})
	client.readToEnd()
	left := 1
	for until := time.Now().Add(4 * lingerTimeout); left > 0 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		d.onLoop(func() { left = len(d.program.frontend.clients) + len(d.program.frontend.lingering) })
	}
	if left > 0 {
		t.Error("the client is still registered")
	}
}

// Guards against a client that sends many requests and disconnects: other clients must be served, and none of its requests may
// remain.
func TestFloodingClientLeavesNoRequests(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	flood := d.client()
	var text strings.Builder
	for i := range 5000 {
		text.WriteString(flood.submitBody(fmt.Sprintf("%016x", 0xf0000+i), objectA, 5*time.Second, "a body"))
	}
	go func() {
		_, _ = flood.conn.Write([]byte(text.String()))
		_ = flood.conn.Close() // an error means that the director has closed it
	}()
	slowest := time.Duration(0)
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0xa0000+i)
		client.submit(id, objectB)
		for cmd := upstream.command(); cmd[0] != "do" || cmd[1] != id; cmd = upstream.command() {
		}
		since := time.Now()
		d.onLoop(func() {})
		slowest = max(slowest, time.Since(since))
		upstream.answer(id, "OK", "n=local", "x")
		client.want(int32(i+2), 0, "x")
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a round took %v", slowest)
	}
	for left, until := 2, time.Now().Add(testTimeout); left != 1; {
		if time.Now().After(until) {
			t.Fatalf("%d clients are still registered", left)
		}
		d.onLoop(func() { left = len(d.program.frontend.clients) })
	}
	d.onLoop(func() {
		if n := d.program.director.InFlight(); n != 0 {
			t.Errorf("%d requests are in flight", n)
		}
		if d.program.frontend.bodyBytes != 0 || d.program.loop.Queued() != 0 {
			t.Errorf("%d bytes of bodies, %d queued", d.program.frontend.bodyBytes, d.program.loop.Queued())
		}
	})
}

// Guards against memory that fills up with answers and rejections for a client that sends but never reads.
func TestClientThatNeverReadsIsClosed(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	_, upstream := d.serveFirstRequest(c)
	flood := d.client()
	d.fillQueue(flood, upstream, 0)
	var text strings.Builder
	for i := range maxShedInARow + 100 {
		text.WriteString(flood.submitText(fmt.Sprintf("%016x", 0xf0000+i), objectA, 5*time.Second))
	}
	go func() { _, _ = flood.conn.Write([]byte(text.String())) }()
	for stuck, until := int64(0), time.Now().Add(testTimeout); stuck == 0; {
		if time.Now().After(until) {
			t.Fatal("the client is never closed")
		}
		d.onLoop(func() { stuck = d.program.frontend.Counters.Stuck })
	}
	d.onLoop(func() {
		if n := d.program.frontend.Counters.Shed; n != maxShedInARow+1 {
			t.Errorf("%d requests were shed", n)
		}
		if n := d.program.loop.Queued(); n != 0 {
			t.Errorf("%d bytes are still queued", n)
		}
	})
	d.wantNothingSentBefore(upstream, requestB)
}

// Guards against memory that fills up with answers for clients that do not read.
func TestStuckClientIsClosedAtMemoryLimit(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	w.program.Post(func() { w.program.frontend.maxQueuedBytes = 1 << 20 })
	stuck, client := w.client(), w.client()
	stuck.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	body := strings.Repeat("x", 240_000)
	for i := range 31 {
		stuck.submit(fmt.Sprintf("%016x", i), objectA)
		upstream.request()
	}
	for i := range 31 { // 7 MB, more than the socket buffers hold
		upstream.answer(fmt.Sprintf("%016x", i), "OK", "n=local", body)
	}
	for w := upstream.command(); w[1] != requestA; w = upstream.command() { // the client's requests are cancelled in no particular order
		if w[0] != "undo" {
			t.Fatalf("want a cancel, got %q", w)
		}
	}
	client.submit(requestB, objectB)
	for w := upstream.command(); w[0] != "do"; w = upstream.command() {
	}
	upstream.answer(requestB, "OK", "n=local", body)
	client.want(1, 0, body)
}

// Guards against keeping connections open that send nothing, half a message, or only cancelled requests.
func TestSilentClientsAreClosed(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	waiting, silent, half, cancelling := w.client(), w.client(), w.client(), w.client()
	waiting.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	half.write(half.submitText(requestB, objectB, time.Second)[:20])
	cancelling.submit(requestC, objectB)
	if id, _ := upstream.request(); id != requestC { // it must be in flight before it is cancelled
		t.Fatalf("request %s", id)
	}
	cancelling.write(cancelling.call(4, "revoke", "\x08\x00\x01"+be32(1)))
	for w := upstream.command(); w[0] != "undo"; w = upstream.command() {
	}
	w.program.Post(func() { w.program.frontend.firstAnswerTimeout = 0; w.program.frontend.sweep() })
	for _, p := range []*scriptedConn{silent, half, cancelling} {
		if _, err := p.reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("not closed: %v", err)
		}
	}
	upstream.answer(requestA, "OK", "n=local", "a")
	waiting.want(1, 0, "a")
}

// Guards against rejecting new clients while others hold unused connections.
func TestUnusedConnectionIsEvicted(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	d.program.Post(func() { d.program.frontend.maxClients = 2 })
	waiting, unused := d.client(), d.client()
	waiting.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	unused.submit(requestB, objectB)
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "b")
	unused.want(1, 0, "b")
	late := d.client()
	late.submit(requestC, objectB)
	id, _ = upstream.request()
	upstream.answer(id, "OK", "n=local", "c")
	late.want(1, 0, "c")
	if _, err := unused.reader.ReadByte(); err == nil {
		t.Error("the unused connection is still open")
	}
	upstream.answer(requestA, "OK", "n=local", "a")
	waiting.want(1, 0, "a")
}
