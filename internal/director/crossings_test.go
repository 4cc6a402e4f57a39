package director

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"stairvane.org/stairvane/internal/transport"
)

// The stories of this file have two things happen to a director in one round of its loop: it is held, its peers do what crosses,
// and it is let go on. docs/design/crossings.md lists them.

// holdLoop stops the director's loop. What its peers do until release comes in one round; the function given is then the first to run.
func (w *testDirector) holdLoop() (release func(first func())) {
	w.t.Helper()
	held, let := make(chan struct{}), make(chan func(), 1)
	w.program.Post(func() {
		close(held)
		if first := <-let; first != nil {
			first()
		}
	})
	<-held
	var once sync.Once
	w.t.Cleanup(func() { once.Do(func() { let <- nil }) })
	return func(first func()) { once.Do(func() { let <- first }) }
}

// waitAcknowledged waits until all that was written on a connection, and its end if that was written, has come to the other machine.
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

// heartbeat asks for a heartbeat and reads it: all that the client sent before has been taken by then.
func (p *scriptedConn) heartbeat() {
	p.t.Helper()
	p.write(p.call(1, "heartbeat", "\x02\x00\x01\x01"))
	p.want(p.seq, 0, "")
}

// onLoop runs f on the director's loop and waits for it.
func (w *testDirector) onLoop(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.program.Post(func() { f(); close(done) })
	<-done
}

// waitRound waits until a round of the loop that began later than this is over. What on does may still be within one.
func (w *testDirector) waitRound() {
	w.t.Helper()
	done := make(chan struct{})
	timer := &transport.Timer{Fire: func() { close(done) }}
	w.program.Post(func() { w.program.loop.Set(timer, w.program.loop.Now()+2*transport.Tick) })
	<-done
}

// readToEnd reads up to the end of a connection and gives what came before it.
func (p *scriptedConn) readToEnd() string {
	p.t.Helper()
	b, err := io.ReadAll(p.reader)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatal(err)
	}
	return string(b)
}

// wantNothingSentBefore sees that a cache gets nothing but pings and undos until the marker request has come; it is answered.
func (w *testDirector) wantNothingSentBefore(box *scriptedConn, marker string) {
	w.t.Helper()
	other := w.client()
	other.submit(marker, objectB)
	for {
		c := box.command()
		if c[0] != "do" {
			continue
		}
		if c[1] != marker {
			w.t.Fatalf("%s was sent to the cache", c[1])
		}
		box.answer(marker, "OK", "n=local", "m")
		other.want(1, 0, "m")
		return
	}
}

// warmUp has a client get its first answer, over a link that stays.
func (w *testDirector) warmUp(c *scriptedCache) (client, box *scriptedConn) {
	w.t.Helper()
	client = w.client()
	client.submit("00000000000000ff", objectB)
	box = c.accept()
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "w")
	client.want(1, 0, "w")
	return client, box
}

// finishDraining ends the taking in, as 0.7 s after SIGTERM.
func (w *testDirector) finishDraining() {
	w.program.Leave()
	w.program.shutdownStep()
}

// --- Shutdown ---

// A request that the system holds already when its resting connection is closed was taken: it gets its answer.
func TestRequestThatComesWithTheLastCloseIsServed(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	release := w.holdLoop()
	client.submit(requestA, objectB)
	waitAcknowledged(t, client.conn)
	release(w.finishDraining)
	id, _ := box.request()
	if id != requestA {
		t.Fatalf("order %s", id)
	}
	box.answer(requestA, "OK", "n=local", "late")
	client.want(2, 0, "late")
	if rest := client.readToEnd(); rest != "" {
		t.Errorf("after the last answer came %q", rest)
	}
}

// What comes on a connection after its writing side was ended is the client's to send again: it is never sent on.
func TestWhatComesAfterTheLastCloseIsNotSentOn(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	stays, _ := w.client(), box
	stays.submit(requestB, objectB) // keeps the director alive meanwhile
	id, _ := box.request()
	w.onLoop(w.finishDraining)
	if rest := client.readToEnd(); rest != "" {
		t.Fatalf("before the end came %q", rest)
	}
	client.submit(requestA, objectB)
	waitAcknowledged(t, client.conn)
	w.waitRound() // that round, or the one before, has read it
	w.waitRound()
	box.answer(id, "OK", "n=local", "b")
	stays.want(1, 0, "b")
	client.conn.Close()
	stays.conn.Close()
	err := <-w.exited
	w.exited <- err
	must(t, err)
	for open := true; open; {
		var cmd []string
		if cmd, open = <-box.commands; open && cmd[0] == "do" {
			t.Errorf("order %q", cmd)
		}
	}
	if w.program.frontend.Counters.AfterClose != 1 {
		t.Errorf("crossed: %d", w.program.frontend.Counters.AfterClose)
	}
}

// Half a request at the end: its other half is waited for, as long as others are answered.
func TestHalfARequestAtTheLastCloseIsWaitedFor(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	text := client.submitText(requestA, objectB, 5*time.Second)
	release := w.holdLoop()
	client.write(text[:20])
	waitAcknowledged(t, client.conn)
	release(w.finishDraining)
	w.waitRound()
	client.write(text[20:])
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "whole")
	client.want(2, 0, "whole")
	client.readToEnd()
}

// A connection that waits to be accepted when the listener closes is taken in with what it has sent.
func TestWaitingConnectionIsServedAtTheLastClose(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	_, box := w.warmUp(c)
	addr, err := w.program.Addr()
	must(t, err)
	release := w.holdLoop()
	conn, err := net.Dial("tcp", addr.String())
	must(t, err)
	late := newScriptedConn(t, conn)
	late.submit(requestA, objectB)
	waitAcknowledged(t, conn)
	release(w.finishDraining)
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "late")
	late.want(1, 0, "late")
}

// SIGTERM twice, and SIGHUP between: what is out, what waits for a link and what the module holds get their one answer, and a
// client that never closes does not keep the process.
func TestLeavesOnceWhateverIsOpen(t *testing.T) {
	c := newScriptedCache(t)
	full := newFullListenerCache(t)
	w := newTestDirectorWith(t, strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":5000`, 1), c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	w.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`,`+full.host("s-2", "in_service")+`]}`)
	client.write(client.submitText(requestA, objectA, 2*time.Second)) // waits for a link that does not come up
	client.heartbeat()                                                // it has been taken: what follows is told later
	w.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+full.host("s-2", "terminating")+`]}`)
	client.write(client.submitText(requestB, objectB, 2*time.Second)) // out, and the cache hangs
	if id, _ := box.request(); id != requestB {
		t.Fatalf("order %s", id)
	}
	w.onLoop(w.program.Leave)
	w.onLoop(func() { w.program.Reload(w.program.config) })
	w.onLoop(w.program.Leave)
	seen := map[int32]int{}
	for range 2 {
		seen[client.reply().seq]++
	}
	if seen[2] != 1 || seen[4] != 1 {
		t.Errorf("answers by sequence number: %v", seen)
	}
	select {
	case err := <-w.exited:
		w.exited <- err
		must(t, err)
	case <-time.After(testTimeout):
		t.Fatal("it does not leave")
	}
	if rest := client.readToEnd(); rest != "" {
		t.Errorf("more than one answer each: %q", rest)
	}
}

// Rubbish behind good requests costs its sender the connection, but not the answers that were written before.
func TestAnswersBeforeRubbishReachTheClient(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	client.submit(requestA, objectB)
	box.request()
	must(t, client.conn.(*net.TCPConn).SetReadBuffer(4096)) // the most of the answer waits on the director's side
	body := strings.Repeat("x", 200_000)
	box.answer(requestA, "OK", "n=local", body)
	for open := 1; open > 0; {
		w.onLoop(func() { open = w.program.director.InFlight() })
	}
	client.write(strings.Repeat("rubbish ", 2_000))
	for seen := int64(0); seen == 0; {
		w.onLoop(func() { seen = w.program.frontend.Counters.Malformed })
	}
	w.waitRound()                    // what was closed at once would be closed by now,
	client.write("and more of that") // and these bytes reset the connection
	waitAcknowledged(t, client.conn)
	client.want(2, 0, body)
	client.readToEnd()
}

// --- Clients that leave ---

// fullListenerCache is a cache whose machine takes no connection until it is let: its queue is full.
type fullListenerCache struct {
	*scriptedCache
	fillers []net.Conn
}

func newFullListenerCache(t *testing.T) *fullListenerCache {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must(t, err)
	must(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(t, unix.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	must(t, err)
	t.Cleanup(func() { ln.Close() })
	full := &fullListenerCache{scriptedCache: &scriptedCache{t, ln}}
	// The system answers no further connection once the queue is full; how many that are is its own.
	for range 8 {
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return full
		}
		t.Cleanup(func() { conn.Close() })
		full.fillers = append(full.fillers, conn)
	}
	t.Fatal("the queue is never full")
	return nil
}

// acceptNext takes the connections that filled the queue, and then the director's, which comes up with its next try.
func (f *fullListenerCache) acceptNext() *scriptedConn {
	f.t.Helper()
	for range f.fillers {
		conn, err := f.listener.Accept()
		must(f.t, err)
		conn.Close()
	}
	return f.accept()
}

// A link comes up in the round that brings the end of the client that waits for it, or its word that it does not wait any more:
// nothing is sent on.
func TestNothingIsSentForAClientThatLeftWhileItsLinkCameUp(t *testing.T) {
	for _, how := range []string{"end", "reset", "revoke"} {
		t.Run(how, func(t *testing.T) {
			full := newFullListenerCache(t)
			w := newTestDirectorWith(t, strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":8000`, 1), full.host("s-1", "in_service"))
			client := w.client()
			client.submit(requestA, objectA)
			client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // answered: the request has been taken
			client.want(2, 0, "")
			release := w.holdLoop()
			box := full.acceptNext() // the link is up, and the director has not seen it
			switch how {
			case "end":
				must(t, client.conn.(*net.TCPConn).CloseWrite())
				waitAcknowledged(t, client.conn)
			case "reset":
				must(t, client.conn.(*net.TCPConn).SetLinger(0))
				client.conn.Close()
			case "revoke":
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
				waitAcknowledged(t, client.conn)
			}
			release(nil)
			w.wantNothingSentBefore(box, requestB)
			w.onLoop(func() {
				if w.program.director.Counters.Cancelled != 1 || w.program.director.InFlight() != 0 {
					t.Errorf("%+v, %d open", w.program.director.Counters, w.program.director.InFlight())
				}
			})
		})
	}
}

// An attempt fails in the round that brings the end of its client: no further one begins, though another cache has a link for it.
func TestNoFurtherAttemptForAClientThatLeftWithTheAnswer(t *testing.T) {
	for _, how := range []string{"end", "revoke"} {
		t.Run(how, func(t *testing.T) {
			c, other := newScriptedCache(t), newScriptedCache(t)
			w := newTestDirector(t, other.host("s-2", "in_service"))
			_, second := w.warmUp(other)
			w.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+other.host("s-2", "terminating")+`]}`)
			client := w.client()
			client.submit(requestA, objectA)
			box := c.accept()
			box.request()
			w.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+other.host("s-2", "in_service")+`]}`)
			release := w.holdLoop()
			box.answer(requestA, "ERR", "-", "") // the first to come
			waitAcknowledged(t, box.conn)
			if how == "end" {
				must(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			waitAcknowledged(t, client.conn)
			release(nil)
			w.waitRound()
			w.publish(4, `"roster":{"seq":4,"whole":false,"hosts":[`+c.host("s-1", "terminating")+`]}`)
			w.wantNothingSentBefore(second, requestB)
			w.onLoop(func() {
				if n := w.program.director.Counters.Attempts; n != 3 {
					t.Errorf("%d attempts, of three requests", n)
				}
			})
		})
	}
}

// fillQueue has a client leave so many answers untaken that the front wants no more of it. So many requests of others are open.
func (w *testDirector) fillQueue(client, box *scriptedConn, others int) {
	w.t.Helper()
	body := strings.Repeat("x", 240_000)
	queued := 0
	for i := 0; queued <= maxClientQueue; i++ { // more than the sockets hold and the front wants to
		if i == 100 {
			w.t.Fatalf("%d bytes are queued after %d answers", queued, i)
		}
		rid := fmt.Sprintf("%016x", 0xb000+i)
		client.submit(rid, objectA)
		box.request()
		box.answer(rid, "OK", "n=local", body)
		for before := true; before; { // until it has been passed on
			w.onLoop(func() {
				before = w.program.director.InFlight() > others
				for f := range w.program.frontend.clients {
					queued = max(queued, f.conn.Queued())
				}
			})
		}
	}
}

// A client that takes no answers can still take back what it asked, and its end is still seen.
func TestAClientThatReadsNothingIsHeardAllTheSame(t *testing.T) {
	for _, how := range []string{"end", "revoke"} {
		t.Run(how, func(t *testing.T) {
			c := newScriptedCache(t)
			w := newTestDirector(t, c.host("s-1", "in_service"))
			_, box := w.warmUp(c)
			client := w.client()
			// So large, and with so much time, that nothing but its client ends it while this lasts.
			client.write(client.submitText(requestA, objectA, time.Minute, "mem", "90000"))
			box.request()
			w.fillQueue(client, box, 1)
			client.submit(requestC, objectA) // it is refused, not read later
			if how == "end" {
				must(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			for cmd := box.command(); cmd[0] != "undo" || cmd[1] != requestA; cmd = box.command() {
				if cmd[0] == "do" && cmd[1] != requestA {
					t.Fatalf("order %q", cmd)
				}
			}
			w.wantNothingSentBefore(box, requestB)
		})
	}
}

// A client's connection ends, and the same request comes on another one in the same round: it is a request of its own. The first is
// called off before the second is sent, on another link, and a late answer to the first is nobody's.
func TestTheSameRequestOnANewConnectionIsItsOwn(t *testing.T) {
	for _, first := range []string{"the end", "the repeat"} {
		t.Run(first+" first", func(t *testing.T) {
			c := newScriptedCache(t)
			w := newTestDirector(t, c.host("s-1", "in_service"))
			_, box := w.warmUp(c)
			old, again := w.client(), w.client()
			old.submit(requestA, objectA)
			box.request()
			again.heartbeat() // its connection has been accepted
			release := w.holdLoop()
			end := func() {
				must(t, old.conn.(*net.TCPConn).CloseWrite())
				waitAcknowledged(t, old.conn)
			}
			if first == "the end" {
				end()
			}
			again.submit(requestA, objectA)
			waitAcknowledged(t, again.conn)
			if first != "the end" {
				end()
			}
			release(nil)
			if cmd := box.command(); cmd[0] != "undo" || cmd[1] != requestA {
				t.Fatalf("got %q, want the undo of the first", cmd)
			}
			second := c.accept()
			if id, _ := second.request(); id != requestA {
				t.Fatalf("order %s", id)
			}
			box.answer(requestA, "OK", "n=local", "to the first")
			waitAcknowledged(t, box.conn)
			w.waitRound()
			second.answer(requestA, "OK", "n=local", "to the second")
			again.want(2, 0, "to the second")
		})
	}
}

// Some clients send one id again and again, taking it back each time; each would take one more link.
func TestAnIdThatComesOftenIsNotSentOn(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	for i := range 5 {
		client.submit(requestA, objectA)
		if i > 2 {
			client.want(int32(2+2*i), 2, "")
			client.seq++
			continue
		}
		if i > 0 {
			box = c.accept()
		}
		box.request()
		client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(int(client.seq))))
		for cmd := box.command(); cmd[0] != "undo"; cmd = box.command() {
		}
	}
}

// --- Repeated attempts ---

// Some caches answer twice. The second answer must not end the next attempt, which would be out still when a third begins.
func TestASecondAnswerDoesNotEndTheNextAttempt(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	issued := time.Now().UnixMilli()
	w.publish(2, fmt.Sprintf(`"recall":{"lot":5,"issued":%d}`, issued))
	client.submit(requestA, objectA)
	box.request()
	twice := respArray(requestA, "OK", fmt.Sprintf("n=local,since=%d", issued-1), "old") // withheld, and asked for again
	box.write(twice + twice)
	second := c.accept()
	second.request()
	box.write(twice)
	waitAcknowledged(t, box.conn)
	w.waitRound()
	w.onLoop(func() {
		if n := w.program.director.Counters.Attempts; n != 3 {
			t.Errorf("%d attempts", n)
		}
	})
	second.answer(requestA, "OK", fmt.Sprintf("n=pulled,since=%d", issued+1), "new")
	client.want(2, 0, "new")
}

// The answer and the end of the request's time come in one round: one answer goes to the client, the cache's.
func TestAnswerAndTimeOutInOneRound(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	client.write(client.submitText(requestA, objectA, 200*time.Millisecond))
	box.request()
	release := w.holdLoop()
	box.answer(requestA, "OK", "n=local", "just")
	waitAcknowledged(t, box.conn)
	time.Sleep(250 * time.Millisecond) // the request's time runs out while nothing can be done
	release(nil)
	client.want(2, 0, "just")
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(3, 0, "")
}

// A cache may call a copy current only by the tag that the client holds.
func TestSameIsPassedOnForTheClientsOwnCopyAlone(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	client.submit(requestA, objectA, "have", "4be0c1927d55a6f3")
	box.request()
	box.answer(requestA, "SAME", "n=local,rev=0000000000000001", "")
	box = c.accept()
	box.request()
	box.answer(requestA, "SAME", "n=local,rev=4be0c1927d55a6f3", "")
	if r := client.want(2, 0, ""); r.fields["same"] != "1" {
		t.Errorf("%v", r.fields)
	}
}

// --- Idle connections ---

// A cache closes a resting link in the round that brings a request: the order goes on a link that is open.
func TestNoOrderIntoALinkThatCloses(t *testing.T) {
	for _, how := range []string{"end", "reset"} {
		t.Run(how, func(t *testing.T) {
			c := newScriptedCache(t)
			w := newTestDirector(t, c.host("s-1", "in_service"))
			client, box := w.warmUp(c)
			release := w.holdLoop()
			client.submit(requestA, objectB) // the first to come
			waitAcknowledged(t, client.conn)
			if how == "reset" {
				must(t, box.conn.(*net.TCPConn).SetLinger(0))
			}
			box.conn.Close()
			release(nil)
			box = c.accept()
			id, _ := box.request()
			box.answer(id, "OK", "n=local", "x")
			client.want(2, 0, "x")
			w.onLoop(func() {
				if n := w.program.director.Counters.Reset; n != 0 {
					t.Errorf("%d attempts were reset", n)
				}
			})
		})
	}
}

// A client is to make room as its request arrives: another one makes room, and the request is served.
func TestAClientIsNotEvictedOverItsRequest(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	busy, box := w.warmUp(c)
	resting := w.client()
	resting.submit(requestB, objectB)
	id, _ := box.request()
	box.answer(id, "OK", "n=local", "r")
	resting.want(1, 0, "r")
	addr, err := w.program.Addr()
	must(t, err)
	w.onLoop(func() { w.program.frontend.maxClients = 2 })
	release := w.holdLoop()
	conn, err := net.Dial("tcp", addr.String()) // the first to come; busy has been without use for longest
	must(t, err)
	busy.submit(requestA, objectB)
	waitAcknowledged(t, busy.conn)
	release(nil)
	id, _ = box.request()
	box.answer(id, "OK", "n=local", "a")
	busy.want(2, 0, "a")
	if rest := resting.readToEnd(); rest != "" {
		t.Errorf("the resting one got %q", rest)
	}
	late := newScriptedConn(t, conn)
	late.submit(requestC, objectB)
	id, _ = box.request()
	box.answer(id, "OK", "n=local", "c")
	late.want(1, 0, "c")
}

// A resting client is closed over a large answer that it has not read yet, and over bytes that cross the close: the answer is whole.
func TestAnAnswerIsWholeUnderAClose(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	client.submit(requestA, objectB)
	box.request()
	body := strings.Repeat("y", 100_000) // the sockets hold it
	box.answer(requestA, "OK", "n=local", body)
	for queued := -1; queued != 0; {
		w.onLoop(func() {
			queued = int(1 - w.program.director.Counters.OK/2)
			for f := range w.program.frontend.clients {
				queued += f.conn.Queued()
			}
		})
	}
	w.onLoop(func() {
		for f := range w.program.frontend.clients {
			f.closeIfUnused()
		}
	})
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // crosses the close
	waitAcknowledged(t, client.conn)
	w.waitRound()
	client.want(2, 0, body)
	client.readToEnd()
}

// A client that does not close after we did is cut off after a while; its descriptor is not held for good.
func TestAClosedClientLingersNotForGood(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, _ := w.warmUp(c)
	w.onLoop(func() {
		for f := range w.program.frontend.clients {
			f.closeGracefully()
		}
	})
	client.readToEnd()
	left := 1
	for until := time.Now().Add(4 * lingerTimeout); left > 0 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		w.onLoop(func() { left = len(w.program.frontend.clients) + len(w.program.frontend.lingering) })
	}
	if left > 0 {
		t.Error("it is still there")
	}
}

// SIGTERM while the module holds a request behind another's attempt: both get their answers, and nothing is refused for it.
func TestWhatTheModuleHoldsIsAnsweredOnTheWayOut(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirectorWith(t, strings.Replace(testSettings, `"Joins":true`, `"Joins":false`, 1), c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	client.submit(requestA, objectA, "mem", "9000")
	if id, _ := box.request(); id != requestA {
		t.Fatalf("order %s", id)
	}
	client.submit(requestB, objectA, "mem", "9000") // the same object: it waits for the first
	client.heartbeat()
	w.onLoop(func() {
		if n, open := w.program.director.Counters.Attempts, w.program.director.InFlight(); n != 2 || open != 2 {
			t.Errorf("%d attempts, %d open", n, open)
		}
		w.finishDraining()
	})
	box.answer(requestA, "OK", "n=local", "a")
	client.want(2, 0, "a")
	if id, _ := box.request(); id != requestB {
		t.Fatalf("order %s", id)
	}
	box.answer(requestB, "OK", "n=local", "b")
	client.want(3, 0, "b")
	client.readToEnd()
}
