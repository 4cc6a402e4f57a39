package director

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	slowRate    = 1 << 20 // bytes a second
	slowObjects = 6
	slowObject  = 240_000 // bytes
)

// serveSlowReader answers requests of a client that reads slowly. When it returns, all answers are in the kernel's buffers, and
// the client has only begun to read them.
func (d *testDirector) serveSlowReader(upstream *scriptedConn) *slowReader {
	d.t.Helper()
	r := d.slowReader(slowRate)
	for n := range slowObjects {
		r.submit(fmt.Sprintf("%016x", 0xc000+n), objectA)
		id, _ := upstream.request()
		upstream.answer(id, "OK", objectFields, strings.Repeat("x", slowObject))
	}
	for answered := false; !answered; {
		d.onLoop(func() { answered = d.program.director.InFlight() == 0 && d.program.loop.Queued() == 0 })
	}
	return r
}

// newTestDirectorWithSlowReader starts a director with one cache and a client that reads slowly, see serveSlowReader.
func newTestDirectorWithSlowReader(t *testing.T) (*testDirector, *slowReader) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	_, upstream := d.serveFirstRequest(c)
	return d, d.serveSlowReader(upstream)
}

// waitExit waits until the director's shutdown is complete.
func (d *testDirector) waitExit() {
	d.t.Helper()
	select {
	case err := <-d.exited:
		d.exited <- err
		must(d.t, err)
	case <-time.After(testTimeout):
		d.t.Fatal("the director does not exit")
	}
}

// wantAllAnswers reads the answers of serveSlowReader. After a while it sends a cancel, which a client may do at any time.
func (r *slowReader) wantAllAnswers() {
	r.t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.readAnswers(slowObjects)
	}()
	time.Sleep(lingerTimeout + 200*time.Millisecond)
	r.write(r.call(4, "revoke", "\x08\x00\x01"+be32(99)))
	<-done
	if r.err != nil {
		r.t.Errorf("the connection ended (%v) after %d of %d answers", r.err, len(r.answers), slowObjects)
	}
	for _, a := range r.answers {
		if a.result != 0 || len(a.body) != slowObject {
			r.t.Errorf("result %d, %d bytes", a.result, len(a.body))
		}
	}
}

// Guards against resetting a connection that was closed gracefully while its client still reads the answers.
func TestSlowReaderGetsAllAnswersAfterClose(t *testing.T) {
	d, r := newTestDirectorWithSlowReader(t)
	d.onLoop(func() {
		for f := range d.program.frontend.clients {
			f.closeGracefully()
		}
	})
	r.wantAllAnswers()
}

// Guards against ending the process while a client still reads its last answers.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	d, r := newTestDirectorWithSlowReader(t)
	d.onLoop(d.shutdownWithoutDrainTime)
	r.wantAllAnswers()
	must(t, r.conn.Close())
	d.waitExit()
}

// Guards against waiting at the shutdown for a client that reads nothing.
func TestShutdownEndsWithClientThatReadsNothing(t *testing.T) {
	d, _ := newTestDirectorWithSlowReader(t)
	d.onLoop(d.shutdownWithoutDrainTime)
	d.waitExit()
}

// Guards against taking a client that still reads its answers for an unused one: it learns of the close only after them, and the
// requests that it sends until then would be lost.
func TestSlowReaderIsNotEvicted(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	unused, upstream := d.serveFirstRequest(c)
	r := d.serveSlowReader(upstream)
	unused.submit(requestB, objectB) // now the slow reader has been unused the longest
	id, _ := upstream.request()
	upstream.answer(id, "OK", objectFields, "b")
	unused.want(2, 0, "b")
	d.onLoop(func() { d.program.frontend.maxClients = 2 })
	late := d.client()
	late.submit(requestC, objectB)
	id, _ = upstream.request()
	upstream.answer(id, "OK", objectFields, "c")
	late.want(1, 0, "c")
	r.submit(requestA, objectB)
	id, _ = upstream.request()
	upstream.answer(id, "OK", objectFields, "a")
	r.readAnswers(slowObjects + 1)
	if r.err != nil || r.answers[slowObjects+1].body != "a" {
		t.Errorf("the slow reader got %d of %d answers, then %v", len(r.answers), slowObjects+1, r.err)
	}
	if rest := unused.readToEnd(); rest != "" {
		t.Errorf("the unused connection got %q", rest)
	}
}

// Guards against a lingering connection that is closed for a new client before its own client has read the answers.
func TestLingeringSlowReaderIsNotEvicted(t *testing.T) {
	d, r := newTestDirectorWithSlowReader(t)
	d.onLoop(func() {
		for f := range d.program.frontend.clients {
			if f.conn.Undelivered() > inTransitBytes {
				f.closeGracefully()
			}
		}
		d.program.frontend.maxClients = 1
	})
	time.Sleep(2 * closeRaceWindow)
	addr, err := d.program.Addr()
	must(t, err)
	for range 4 {
		conn, err := net.Dial("tcp", addr.String())
		must(t, err)
		newScriptedConn(t, conn)
	}
	d.waitRound()
	r.wantAllAnswers()
}

// Guards against closing unused connections for new clients while lingering ones leave no room for these.
func TestUnusedConnectionIsNotClosedInVain(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	unused, upstream := d.serveFirstRequest(c)
	r := d.serveSlowReader(upstream)
	d.onLoop(func() {
		for f := range d.program.frontend.clients {
			if f.conn.Undelivered() > inTransitBytes {
				f.closeGracefully()
			}
		}
		d.program.frontend.maxClients = 1
	})
	late := d.client()
	late.readToEnd()
	unused.submit(requestB, objectB)
	id, _ := upstream.request()
	upstream.answer(id, "OK", objectFields, "b")
	unused.want(2, 0, "b")
	r.wantAllAnswers()
}

// Guards against a shutdown that waits without end for a client that reads slowly and has output queued.
func TestShutdownIsBoundedInTime(t *testing.T) {
	const limit = lastAnswerTimeout + 200*time.Millisecond
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	_, upstream := d.serveFirstRequest(c)
	r := d.serveSlowReader(upstream)
	const more = 25 // more than the kernel's buffers take
	for n := range more {
		r.submit(fmt.Sprintf("%016x", 0xd000+n), objectA)
		id, _ := upstream.request()
		upstream.answer(id, "OK", objectFields, strings.Repeat("x", slowObject))
	}
	queued := 0
	for answered := false; !answered; {
		d.onLoop(func() { answered, queued = d.program.director.InFlight() == 0, d.program.loop.Queued() })
	}
	if queued < slowRate {
		t.Fatalf("%d bytes are queued, which the client reads in time", queued)
	}
	d.onLoop(func() { d.program.frontend.stuckTimeout = limit })
	d.onLoop(d.shutdownWithoutDrainTime)
	begin := time.Now()
	go r.readAnswers(slowObjects + more)
	d.waitExit()
	if took := time.Since(begin); took > 2*limit {
		t.Errorf("the shutdown took %v", took)
	}
}

// Guards against keeping connections, and so descriptors, of clients that read nothing, whether they send or not: they may be evicted
// once they are stalled.
func TestStalledClientIsEvicted(t *testing.T) {
	for _, sends := range []bool{false, true} {
		t.Run(fmt.Sprintf("sends=%t", sends), func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			first, upstream := d.serveFirstRequest(c)
			stalled := d.serveSlowReader(upstream)
			must(t, first.conn.Close())
			d.onLoop(func() { d.program.frontend.maxClients = 1 })
			evicted := int64(0)
			var late *scriptedConn
			for begin := time.Now(); evicted == 0; time.Sleep(50 * time.Millisecond) {
				if time.Since(begin) > 2*stalledTimeout {
					t.Fatal("no client is evicted")
				}
				if sends {
					stalled.write(stalled.call(4, "revoke", "\x08\x00\x01"+be32(99)))
				}
				late = d.client()
				d.onLoop(func() { evicted = d.program.frontend.Counters.Evicted })
			}
			late.submit(requestC, objectB)
			id, _ := upstream.request()
			upstream.answer(id, "OK", objectFields, "c")
			late.want(1, 0, "c")
		})
	}
}
