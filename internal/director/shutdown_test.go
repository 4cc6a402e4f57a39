package director

import (
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against losing a request that arrived before its idle connection was closed.
func TestRequestRacingShutdownCloseIsServed(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	release := d.blockLoop()
	client.submit(requestA, objectB)
	waitAcknowledged(t, client.conn)
	release(d.shutdownWithoutDrainTime)
	id, _ := upstream.request()
	if id != requestA {
		t.Fatalf("request %s", id)
	}
	upstream.answer(requestA, "OK", "n=local", "late")
	client.want(2, 0, "late")
	if rest := client.readToEnd(); rest != "" {
		t.Errorf("received %q after the last answer", rest)
	}
}

// Guards against running a request that arrived after the close: its client sends it again.
func TestRequestAfterShutdownCloseIsNotForwarded(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	stays := d.client()
	stays.submit(requestB, objectB) // keeps the director running
	id, _ := upstream.request()
	d.onLoop(d.shutdownWithoutDrainTime)
	if rest := client.readToEnd(); rest != "" {
		t.Fatalf("received %q before the end of the connection", rest)
	}
	client.submit(requestA, objectB)
	waitAcknowledged(t, client.conn)
	d.waitRound() // the input is read in this round or the one before
	d.waitRound()
	upstream.answer(id, "OK", "n=local", "b")
	stays.want(1, 0, "b")
	must(t, client.conn.Close())
	must(t, stays.conn.Close())
	err := <-d.exited
	d.exited <- err
	must(t, err)
	for open := true; open; {
		var cmd []string
		if cmd, open = <-upstream.commands; open && cmd[0] == "do" {
			t.Errorf("request %q", cmd)
		}
	}
	if d.program.frontend.Counters.AfterClose != 1 {
		t.Errorf("input after the close was counted %d times", d.program.frontend.Counters.AfterClose)
	}
}

// Guards against closing a connection on which a part of a request has arrived.
func TestPartialRequestAtShutdownCloseIsAwaited(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	text := client.submitText(requestA, objectB, 5*time.Second)
	release := d.blockLoop()
	client.write(text[:20])
	waitAcknowledged(t, client.conn)
	release(d.shutdownWithoutDrainTime)
	d.waitRound()
	client.write(text[20:])
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "complete")
	client.want(2, 0, "complete")
	client.readToEnd()
}

// Guards against losing a connection that is in the accept queue when the listener closes.
func TestPendingConnectionIsServedAtShutdownClose(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	_, upstream := d.serveFirstRequest(c)
	addr, err := d.program.Addr()
	must(t, err)
	release := d.blockLoop()
	conn, err := net.Dial("tcp", addr.String())
	must(t, err)
	late := newScriptedConn(t, conn)
	late.submit(requestA, objectB)
	waitAcknowledged(t, conn)
	release(d.shutdownWithoutDrainTime)
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "late")
	late.want(1, 0, "late")
}

// Guards against a second SIGTERM, or a SIGHUP during the shutdown, that loses or repeats an answer.
func TestRepeatedShutdownSignals(t *testing.T) {
	c := newScriptedCache(t)
	full := newFullListenerCache(t)
	d := newTestDirectorWith(t, strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":5000`, 1), c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	d.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`,`+full.host("s-2", "in_service")+`]}`)
	client.write(client.submitText(requestA, objectA, 2*time.Second)) // waits for a connection that is never established
	client.heartbeat()                                                // the request has been accepted by now
	d.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+full.host("s-2", "terminating")+`]}`)
	client.write(client.submitText(requestB, objectB, 2*time.Second)) // in flight at a cache that hangs
	if id, _ := upstream.request(); id != requestB {
		t.Fatalf("request %s", id)
	}
	d.onLoop(d.program.Shutdown)
	d.onLoop(func() { d.program.Reload(d.program.config) })
	d.onLoop(d.program.Shutdown)
	seen := map[int32]int{}
	for range 2 {
		seen[client.reply().seq]++
	}
	if seen[2] != 1 || seen[4] != 1 {
		t.Errorf("answers by sequence number: %v", seen)
	}
	select {
	case err := <-d.exited:
		d.exited <- err
		must(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the shutdown does not complete")
	}
	if rest := client.readToEnd(); rest != "" {
		t.Errorf("more than one answer each: %q", rest)
	}
}

// Guards against a shutdown that rejects requests which wait for the fill of another request.
func TestCoalescedRequestsAreAnsweredDuringShutdown(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirectorWith(t, strings.Replace(testSettings, `"Joins":true`, `"Joins":false`, 1), c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	client.submit(requestA, objectA, "mem", "9000")
	if id, _ := upstream.request(); id != requestA {
		t.Fatalf("request %s", id)
	}
	client.submit(requestB, objectA, "mem", "9000") // same object, so it is coalesced with the first request
	client.heartbeat()
	d.onLoop(func() {
		if n, inFlight := d.program.director.Counters.Attempts, d.program.director.InFlight(); n != 2 || inFlight != 2 {
			t.Errorf("%d attempts, %d in flight", n, inFlight)
		}
		d.shutdownWithoutDrainTime()
	})
	upstream.answer(requestA, "OK", "n=local", "a")
	client.want(2, 0, "a")
	if id, _ := upstream.request(); id != requestB {
		t.Fatalf("request %s", id)
	}
	upstream.answer(requestB, "OK", "n=local", "b")
	client.want(3, 0, "b")
	client.readToEnd()
}

// Guards against a shutdown that rejects new connections too early or completes before all requests are answered.
func TestShutdownAnswersEverything(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client := d.client()
	client.submit(requestA, objectA, "mem", "9000") // large enough not to time out during the test
	upstream := c.accept()
	upstream.request()
	d.program.Post(d.program.Shutdown)
	late := d.client()
	late.submit(requestB, objectB)
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "b")
	late.want(1, 0, "b")
	if _, err := late.reader.ReadByte(); err == nil { // the connection is closed after drainAcceptTime
		t.Error("received bytes after the last answer")
	}
	client.submit(requestC, objectB)
	id, _ = upstream.request()
	upstream.answer(id, "OK", "n=local", "c")
	client.want(2, 0, "c")
	upstream.answer(requestA, "OK", "n=local", strings.Repeat("a", 200_000))
	client.want(1, 0, strings.Repeat("a", 200_000))
	must(t, client.conn.Close())
	must(t, late.conn.Close())
	err := <-d.exited
	d.exited <- err
	must(t, err)
}
