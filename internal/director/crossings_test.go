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

// hold stops the director's loop. What its peers do until release comes in one round; the function given is then the first to run.
func (w *world) hold() (release func(first func())) {
	w.t.Helper()
	held, let := make(chan struct{}), make(chan func(), 1)
	w.p.Post(func() {
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

// arrived waits until all that was written on a connection, and its end if that was written, has come to the other machine.
func arrived(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	check(t, err)
	for until := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		left := -1
		check(t, raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		check(t, err)
		if left == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d bytes are not acknowledged", left)
		}
	}
}

// beat asks for a heartbeat and reads it: all that the client sent before has been taken by then.
func (p *peer) beat() {
	p.t.Helper()
	p.write(p.call(1, "heartbeat", "\x02\x00\x01\x01"))
	p.want(p.seq, 0, "")
}

// on runs f on the director's loop and waits for it.
func (w *world) on(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.p.Post(func() { f(); close(done) })
	<-done
}

// round waits until a round of the loop that began later than this is over. What on does may still be within one.
func (w *world) round() {
	w.t.Helper()
	done := make(chan struct{})
	timer := &transport.Timer{Fire: func() { close(done) }}
	w.p.Post(func() { w.p.loop.Set(timer, w.p.loop.Now()+2*transport.Tick) })
	<-done
}

// ends reads up to the end of a connection and gives what came before it.
func (p *peer) ends() string {
	p.t.Helper()
	b, err := io.ReadAll(p.in)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		p.t.Fatal(err)
	}
	return string(b)
}

// nothing sees that a cache gets nothing but pings and undos until the marker request has come; it is answered.
func (w *world) nothing(box *peer, marker string) {
	w.t.Helper()
	other := w.client()
	other.submit(marker, objB)
	for {
		c := box.words()
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

// warm has a client get its first answer, over a link that stays.
func (w *world) warm(c *cache) (client, box *peer) {
	w.t.Helper()
	client = w.client()
	client.submit("00000000000000ff", objB)
	box = c.accept()
	id, _ := box.order()
	box.answer(id, "OK", "n=local", "w")
	client.want(1, 0, "w")
	return client, box
}

// lastTaking ends the taking in, as 0.7 s after SIGTERM.
func (w *world) lastTaking() {
	w.p.Leave()
	w.p.leaveIfDone()
}

// --- Shutdown ---

// A request that the system holds already when its resting connection is closed was taken: it gets its answer.
func TestRequestThatComesWithTheLastCloseIsServed(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	release := w.hold()
	client.submit(ridA, objB)
	arrived(t, client.conn)
	release(w.lastTaking)
	id, _ := box.order()
	if id != ridA {
		t.Fatalf("order %s", id)
	}
	box.answer(ridA, "OK", "n=local", "late")
	client.want(2, 0, "late")
	if rest := client.ends(); rest != "" {
		t.Errorf("after the last answer came %q", rest)
	}
}

// What comes on a connection after its writing side was ended is the client's to send again: it is never sent on.
func TestWhatComesAfterTheLastCloseIsNotSentOn(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	stays, _ := w.client(), box
	stays.submit(ridB, objB) // keeps the director alive meanwhile
	id, _ := box.order()
	w.on(w.lastTaking)
	if rest := client.ends(); rest != "" {
		t.Fatalf("before the end came %q", rest)
	}
	client.submit(ridA, objB)
	arrived(t, client.conn)
	w.round() // that round, or the one before, has read it
	w.round()
	box.answer(id, "OK", "n=local", "b")
	stays.want(1, 0, "b")
	client.conn.Close()
	stays.conn.Close()
	err := <-w.ended
	w.ended <- err
	check(t, err)
	for open := true; open; {
		var cmd []string
		if cmd, open = <-box.commands; open && cmd[0] == "do" {
			t.Errorf("order %q", cmd)
		}
	}
	if w.p.front.Counts.Crossed != 1 {
		t.Errorf("crossed: %d", w.p.front.Counts.Crossed)
	}
}

// Half a request at the end: its other half is waited for, as long as others are answered.
func TestHalfARequestAtTheLastCloseIsWaitedFor(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	text := client.submitText(ridA, objB, 5*time.Second)
	release := w.hold()
	client.write(text[:20])
	arrived(t, client.conn)
	release(w.lastTaking)
	w.round()
	client.write(text[20:])
	id, _ := box.order()
	box.answer(id, "OK", "n=local", "whole")
	client.want(2, 0, "whole")
	client.ends()
}

// A connection that waits to be accepted when the listener closes is taken in with what it has sent.
func TestWaitingConnectionIsServedAtTheLastClose(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	_, box := w.warm(c)
	addr, err := w.p.Addr()
	check(t, err)
	release := w.hold()
	conn, err := net.Dial("tcp", addr.String())
	check(t, err)
	late := newPeer(t, conn)
	late.submit(ridA, objB)
	arrived(t, conn)
	release(w.lastTaking)
	id, _ := box.order()
	box.answer(id, "OK", "n=local", "late")
	late.want(1, 0, "late")
}

// SIGTERM twice, and SIGHUP between: what is out, what waits for a link and what the module holds get their one answer, and a
// client that never closes does not keep the process.
func TestLeavesOnceWhateverIsOpen(t *testing.T) {
	c := newCache(t)
	full := newFullCache(t)
	w := newWorldWith(t, strings.Replace(settings, `"DialTimeout":400`, `"DialTimeout":5000`, 1), c.host("s-1", "in_service"))
	client, box := w.warm(c)
	w.tell(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`,`+full.host("s-2", "in_service")+`]}`)
	client.write(client.submitText(ridA, objA, 2*time.Second)) // waits for a link that does not come up
	client.beat()                                              // it has been taken: what follows is told later
	w.tell(3, `"roster":{"seq":3,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+full.host("s-2", "terminating")+`]}`)
	client.write(client.submitText(ridB, objB, 2*time.Second)) // out, and the cache hangs
	if id, _ := box.order(); id != ridB {
		t.Fatalf("order %s", id)
	}
	w.on(w.p.Leave)
	w.on(func() { w.p.Reload(w.p.config) })
	w.on(w.p.Leave)
	seen := map[int32]int{}
	for range 2 {
		seen[client.reply().seq]++
	}
	if seen[2] != 1 || seen[4] != 1 {
		t.Errorf("answers by sequence number: %v", seen)
	}
	select {
	case err := <-w.ended:
		w.ended <- err
		check(t, err)
	case <-time.After(patience):
		t.Fatal("it does not leave")
	}
	if rest := client.ends(); rest != "" {
		t.Errorf("more than one answer each: %q", rest)
	}
}

// Rubbish behind good requests costs its sender the connection, but not the answers that were written before.
func TestAnswersBeforeRubbishReachTheClient(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	client.submit(ridA, objB)
	box.order()
	check(t, client.conn.(*net.TCPConn).SetReadBuffer(4096)) // the most of the answer waits on the director's side
	body := strings.Repeat("x", 200_000)
	box.answer(ridA, "OK", "n=local", body)
	for open := 1; open > 0; {
		w.on(func() { open = w.p.director.InFlight() })
	}
	client.write(strings.Repeat("rubbish ", 2_000))
	for seen := int64(0); seen == 0; {
		w.on(func() { seen = w.p.front.Counts.Malformed })
	}
	w.round()                        // what was closed at once would be closed by now,
	client.write("and more of that") // and these bytes reset the connection
	arrived(t, client.conn)
	client.want(2, 0, body)
	client.ends()
}

// --- Clients that leave ---

// fullCache is a cache whose machine takes no connection until it is let: its queue is full.
type fullCache struct {
	*cache
	fillers []net.Conn
}

func newFullCache(t *testing.T) *fullCache {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	check(t, err)
	check(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	check(t, unix.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	check(t, err)
	t.Cleanup(func() { ln.Close() })
	full := &fullCache{cache: &cache{t, ln}}
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

// let takes the connections that filled the queue, and then the director's, which comes up with its next try.
func (f *fullCache) let() *peer {
	f.t.Helper()
	for range f.fillers {
		conn, err := f.ln.Accept()
		check(f.t, err)
		conn.Close()
	}
	return f.accept()
}

// A link comes up in the round that brings the end of the client that waits for it, or its word that it does not wait any more:
// nothing is sent on.
func TestNothingIsSentForAClientThatLeftWhileItsLinkCameUp(t *testing.T) {
	for _, how := range []string{"end", "reset", "revoke"} {
		t.Run(how, func(t *testing.T) {
			full := newFullCache(t)
			w := newWorldWith(t, strings.Replace(settings, `"DialTimeout":400`, `"DialTimeout":8000`, 1), full.host("s-1", "in_service"))
			client := w.client()
			client.submit(ridA, objA)
			client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // answered: the request has been taken
			client.want(2, 0, "")
			release := w.hold()
			box := full.let() // the link is up, and the director has not seen it
			switch how {
			case "end":
				check(t, client.conn.(*net.TCPConn).CloseWrite())
				arrived(t, client.conn)
			case "reset":
				check(t, client.conn.(*net.TCPConn).SetLinger(0))
				client.conn.Close()
			case "revoke":
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
				arrived(t, client.conn)
			}
			release(nil)
			w.nothing(box, ridB)
			w.on(func() {
				if w.p.director.Counters.Cancelled != 1 || w.p.director.InFlight() != 0 {
					t.Errorf("%+v, %d open", w.p.director.Counters, w.p.director.InFlight())
				}
			})
		})
	}
}

// An attempt fails in the round that brings the end of its client: no further one begins, though another cache has a link for it.
func TestNoFurtherAttemptForAClientThatLeftWithTheAnswer(t *testing.T) {
	for _, how := range []string{"end", "revoke"} {
		t.Run(how, func(t *testing.T) {
			c, other := newCache(t), newCache(t)
			w := newWorld(t, other.host("s-2", "in_service"))
			_, second := w.warm(other)
			w.tell(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+other.host("s-2", "terminating")+`]}`)
			client := w.client()
			client.submit(ridA, objA)
			box := c.accept()
			box.order()
			w.tell(3, `"roster":{"seq":3,"whole":false,"hosts":[`+other.host("s-2", "in_service")+`]}`)
			release := w.hold()
			box.answer(ridA, "ERR", "-", "") // the first to come
			arrived(t, box.conn)
			if how == "end" {
				check(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			arrived(t, client.conn)
			release(nil)
			w.round()
			w.tell(4, `"roster":{"seq":4,"whole":false,"hosts":[`+c.host("s-1", "terminating")+`]}`)
			w.nothing(second, ridB)
			w.on(func() {
				if n := w.p.director.Counters.Attempts; n != 3 {
					t.Errorf("%d attempts, of three requests", n)
				}
			})
		})
	}
}

// fill has a client leave so many answers untaken that the front wants no more of it. So many requests of others are open.
func (w *world) fill(client, box *peer, others int) {
	w.t.Helper()
	body := strings.Repeat("x", 240_000)
	queued := 0
	for i := 0; queued <= clientQueue; i++ { // more than the sockets hold and the front wants to
		if i == 100 {
			w.t.Fatalf("%d bytes are queued after %d answers", queued, i)
		}
		rid := fmt.Sprintf("%016x", 0xb000+i)
		client.submit(rid, objA)
		box.order()
		box.answer(rid, "OK", "n=local", body)
		for before := true; before; { // until it has been passed on
			w.on(func() {
				before = w.p.director.InFlight() > others
				for f := range w.p.front.clients {
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
			c := newCache(t)
			w := newWorld(t, c.host("s-1", "in_service"))
			_, box := w.warm(c)
			client := w.client()
			// So large, and with so much time, that nothing but its client ends it while this lasts.
			client.write(client.submitText(ridA, objA, time.Minute, "mem", "90000"))
			box.order()
			w.fill(client, box, 1)
			client.submit(ridC, objA) // it is refused, not read later
			if how == "end" {
				check(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			for cmd := box.words(); cmd[0] != "undo" || cmd[1] != ridA; cmd = box.words() {
				if cmd[0] == "do" && cmd[1] != ridA {
					t.Fatalf("order %q", cmd)
				}
			}
			w.nothing(box, ridB)
		})
	}
}

// A client's connection ends, and the same request comes on another one in the same round: it is a request of its own. The first is
// called off before the second is sent, on another link, and a late answer to the first is nobody's.
func TestTheSameRequestOnANewConnectionIsItsOwn(t *testing.T) {
	for _, first := range []string{"the end", "the repeat"} {
		t.Run(first+" first", func(t *testing.T) {
			c := newCache(t)
			w := newWorld(t, c.host("s-1", "in_service"))
			_, box := w.warm(c)
			old, again := w.client(), w.client()
			old.submit(ridA, objA)
			box.order()
			again.beat() // its connection has been accepted
			release := w.hold()
			end := func() {
				check(t, old.conn.(*net.TCPConn).CloseWrite())
				arrived(t, old.conn)
			}
			if first == "the end" {
				end()
			}
			again.submit(ridA, objA)
			arrived(t, again.conn)
			if first != "the end" {
				end()
			}
			release(nil)
			if cmd := box.words(); cmd[0] != "undo" || cmd[1] != ridA {
				t.Fatalf("got %q, want the undo of the first", cmd)
			}
			second := c.accept()
			if id, _ := second.order(); id != ridA {
				t.Fatalf("order %s", id)
			}
			box.answer(ridA, "OK", "n=local", "to the first")
			arrived(t, box.conn)
			w.round()
			second.answer(ridA, "OK", "n=local", "to the second")
			again.want(2, 0, "to the second")
		})
	}
}

// Some clients send one id again and again, taking it back each time; each would take one more link.
func TestAnIdThatComesOftenIsNotSentOn(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	for i := range 5 {
		client.submit(ridA, objA)
		if i > 2 {
			client.want(int32(2+2*i), 2, "")
			client.seq++
			continue
		}
		if i > 0 {
			box = c.accept()
		}
		box.order()
		client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(int(client.seq))))
		for cmd := box.words(); cmd[0] != "undo"; cmd = box.words() {
		}
	}
}

// --- Repeated attempts ---

// Some caches answer twice. The second answer must not end the next attempt, which would be out still when a third begins.
func TestASecondAnswerDoesNotEndTheNextAttempt(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	issued := time.Now().UnixMilli()
	w.tell(2, fmt.Sprintf(`"recall":{"lot":5,"issued":%d}`, issued))
	client.submit(ridA, objA)
	box.order()
	twice := words(ridA, "OK", fmt.Sprintf("n=local,since=%d", issued-1), "old") // withheld, and asked for again
	box.write(twice + twice)
	second := c.accept()
	second.order()
	box.write(twice)
	arrived(t, box.conn)
	w.round()
	w.on(func() {
		if n := w.p.director.Counters.Attempts; n != 3 {
			t.Errorf("%d attempts", n)
		}
	})
	second.answer(ridA, "OK", fmt.Sprintf("n=pulled,since=%d", issued+1), "new")
	client.want(2, 0, "new")
}

// The answer and the end of the request's time come in one round: one answer goes to the client, the cache's.
func TestAnswerAndTimeOutInOneRound(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	client.write(client.submitText(ridA, objA, 200*time.Millisecond))
	box.order()
	release := w.hold()
	box.answer(ridA, "OK", "n=local", "just")
	arrived(t, box.conn)
	time.Sleep(250 * time.Millisecond) // the request's time runs out while nothing can be done
	release(nil)
	client.want(2, 0, "just")
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(3, 0, "")
}

// A cache may call a copy current only by the tag that the client holds.
func TestSameIsPassedOnForTheClientsOwnCopyAlone(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	client.submit(ridA, objA, "have", "4be0c1927d55a6f3")
	box.order()
	box.answer(ridA, "SAME", "n=local,rev=0000000000000001", "")
	box = c.accept()
	box.order()
	box.answer(ridA, "SAME", "n=local,rev=4be0c1927d55a6f3", "")
	if r := client.want(2, 0, ""); r.fields["same"] != "1" {
		t.Errorf("%v", r.fields)
	}
}

// --- Idle connections ---

// A cache closes a resting link in the round that brings a request: the order goes on a link that is open.
func TestNoOrderIntoALinkThatCloses(t *testing.T) {
	for _, how := range []string{"end", "reset"} {
		t.Run(how, func(t *testing.T) {
			c := newCache(t)
			w := newWorld(t, c.host("s-1", "in_service"))
			client, box := w.warm(c)
			release := w.hold()
			client.submit(ridA, objB) // the first to come
			arrived(t, client.conn)
			if how == "reset" {
				check(t, box.conn.(*net.TCPConn).SetLinger(0))
			}
			box.conn.Close()
			release(nil)
			box = c.accept()
			id, _ := box.order()
			box.answer(id, "OK", "n=local", "x")
			client.want(2, 0, "x")
			w.on(func() {
				if n := w.p.director.Counters.Reset; n != 0 {
					t.Errorf("%d attempts were reset", n)
				}
			})
		})
	}
}

// A client is to make room as its request arrives: another one makes room, and the request is served.
func TestAClientIsNotEvictedOverItsRequest(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	busy, box := w.warm(c)
	resting := w.client()
	resting.submit(ridB, objB)
	id, _ := box.order()
	box.answer(id, "OK", "n=local", "r")
	resting.want(1, 0, "r")
	addr, err := w.p.Addr()
	check(t, err)
	w.on(func() { w.p.front.most = 2 })
	release := w.hold()
	conn, err := net.Dial("tcp", addr.String()) // the first to come; busy has been without use for longest
	check(t, err)
	busy.submit(ridA, objB)
	arrived(t, busy.conn)
	release(nil)
	id, _ = box.order()
	box.answer(id, "OK", "n=local", "a")
	busy.want(2, 0, "a")
	if rest := resting.ends(); rest != "" {
		t.Errorf("the resting one got %q", rest)
	}
	late := newPeer(t, conn)
	late.submit(ridC, objB)
	id, _ = box.order()
	box.answer(id, "OK", "n=local", "c")
	late.want(1, 0, "c")
}

// A resting client is closed over a large answer that it has not read yet, and over bytes that cross the close: the answer is whole.
func TestAnAnswerIsWholeUnderAClose(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	client.submit(ridA, objB)
	box.order()
	body := strings.Repeat("y", 100_000) // the sockets hold it
	box.answer(ridA, "OK", "n=local", body)
	for queued := -1; queued != 0; {
		w.on(func() {
			queued = int(1 - w.p.director.Counters.OK/2)
			for f := range w.p.front.clients {
				queued += f.conn.Queued()
			}
		})
	}
	w.on(func() {
		for f := range w.p.front.clients {
			f.endIfUnused()
		}
	})
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // crosses the close
	arrived(t, client.conn)
	w.round()
	client.want(2, 0, body)
	client.ends()
}

// A client that does not close after we did is cut off after a while; its descriptor is not held for good.
func TestAClosedClientLingersNotForGood(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, _ := w.warm(c)
	w.on(func() {
		for f := range w.p.front.clients {
			f.end()
		}
	})
	client.ends()
	left := 1
	for until := time.Now().Add(4 * lingerFor); left > 0 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		w.on(func() { left = len(w.p.front.clients) + len(w.p.front.ending) })
	}
	if left > 0 {
		t.Error("it is still there")
	}
}

// SIGTERM while the module holds a request behind another's attempt: both get their answers, and nothing is refused for it.
func TestWhatTheModuleHoldsIsAnsweredOnTheWayOut(t *testing.T) {
	c := newCache(t)
	w := newWorldWith(t, strings.Replace(settings, `"Joins":true`, `"Joins":false`, 1), c.host("s-1", "in_service"))
	client, box := w.warm(c)
	client.submit(ridA, objA, "mem", "9000")
	if id, _ := box.order(); id != ridA {
		t.Fatalf("order %s", id)
	}
	client.submit(ridB, objA, "mem", "9000") // the same object: it waits for the first
	client.beat()
	w.on(func() {
		if n, open := w.p.director.Counters.Attempts, w.p.director.InFlight(); n != 2 || open != 2 {
			t.Errorf("%d attempts, %d open", n, open)
		}
		w.lastTaking()
	})
	box.answer(ridA, "OK", "n=local", "a")
	client.want(2, 0, "a")
	if id, _ := box.order(); id != ridB {
		t.Fatalf("order %s", id)
	}
	box.answer(ridB, "OK", "n=local", "b")
	client.want(3, 0, "b")
	client.ends()
}
