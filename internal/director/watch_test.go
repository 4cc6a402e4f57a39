package director

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

// scriptedControlPlane is a scripted discovery: it says byte by byte what its script wants.
type scriptedControlPlane struct {
	t        *testing.T
	listener net.Listener
}

func newScriptedControlPlane(t *testing.T) *scriptedControlPlane {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { ln.Close() })
	return &scriptedControlPlane{t, ln}
}

func (b *scriptedControlPlane) addr() string { return b.listener.Addr().String() }

// acceptPoll accepts the director's next connection and reads its call, which must ask for what comes after a number.
func (b *scriptedControlPlane) acceptPoll(after int) *scriptedConn {
	b.t.Helper()
	must(b.t, b.listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)))
	conn, err := b.listener.Accept()
	must(b.t, err)
	p := newScriptedConn(b.t, conn)
	p.wantPoll(after)
	return p
}

func (p *scriptedConn) wantPoll(after int) {
	p.t.Helper()
	for first := true; ; first = false {
		line, err := p.reader.ReadString('\n')
		must(p.t, err)
		if first && !strings.Contains(line, fmt.Sprintf("after=%d&", after)) {
			p.t.Fatalf("called %q, want what comes after %d", line, after)
		}
		if line == "\r\n" {
			return
		}
	}
}

// watchResponse is an answer of discovery with events, each without its number.
func watchResponse(from int, events ...string) string {
	items := make([]string, len(events))
	for i, e := range events {
		items[i] = fmt.Sprintf(`{"no":%d,%s}`, from+i, e)
	}
	body := fmt.Sprintf(`{"no":%d,"items":[%s]}`, from+len(events)-1, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func endpointDelta(seq int, hosts ...string) string {
	return fmt.Sprintf(`"roster":{"seq":%d,"whole":false,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}

// A watch that falls silent with its connection open is left within the time in which drains and purges are due, whatever has come on
// it before. The next one asks for what comes after the last event that was taken in.
func TestSilentWatchIsLeftInTime(t *testing.T) {
	for name, script := range map[string]func(p *scriptedConn) (after int){
		"at the start": func(*scriptedConn) int { return 1 },
		"after an answer": func(p *scriptedConn) int {
			p.write(watchResponse(2, endpointDelta(2)))
			p.wantPoll(2)
			return 2
		},
		"in the middle of an answer": func(p *scriptedConn) int {
			whole := watchResponse(2, endpointDelta(2))
			p.write(whole[:len(whole)-5])
			return 1
		},
		"in the head of an answer": func(p *scriptedConn) int {
			p.write("HTTP/1.1 200 O")
			return 1
		},
		"a byte at a time": func(p *scriptedConn) int {
			go func() {
				whole := watchResponse(2, endpointDelta(2)+strings.Repeat(" ", 1000))
				for i := range whole {
					if _, err := p.conn.Write([]byte{whole[i]}); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, b := newScriptedCache(t), newScriptedControlPlane(t)
			w := &testDirector{t: t}
			w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"))
			p := b.acceptPoll(1)
			after := script(p)
			since := time.Now()
			again := b.acceptPoll(after)
			if took := time.Since(since); took > 5*time.Second {
				t.Errorf("it was left after %v; news count as told after 7 s", took)
			}
			again.write(watchResponse(after+1, endpointDelta(9, c.host("s-1", "terminated"))))
			again.wantPoll(after + 1)
			client := w.client()
			client.submit(requestA, objectA)
			client.want(1, 1, "") // the drain is known
		})
	}
}

// An answer and the close right after it come in one round: the answer counts.
func TestAnswerCountsUnderAClose(t *testing.T) {
	c, b := newScriptedCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.acceptPoll(1)
	release := w.holdLoop()
	p.write(watchResponse(2, endpointDelta(2, c.host("s-1", "terminated"))))
	must(t, p.conn.(*net.TCPConn).CloseWrite())
	waitAcknowledged(t, p.conn)
	release(nil)
	b.acceptPoll(2)
	client := w.client()
	client.submit(requestA, objectA)
	client.want(1, 1, "")
}

// Answers that can't be one end their connection at once, not after a silence, and nothing else.
func TestAnswersThatCantBeOneAreLeftAtOnce(t *testing.T) {
	for name, text := range map[string]string{
		"a body without end":   "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{",
		"a head without end":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 1200),
		"a chunk without size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"no JSON":              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"no\"",
		"another status":       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"no HTTP":              "*1\r\n$4\r\nping\r\n\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, b := newScriptedCache(t), newScriptedControlPlane(t)
			w := &testDirector{t: t}
			w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"))
			p := b.acceptPoll(1)
			since := time.Now()
			p.write(text)
			b.acceptPoll(1)
			if took := time.Since(since); took > oneAddressTiming.Silence-time.Second/2 {
				t.Errorf("it was left after %v", took)
			}
			w.wantServedBy(c)
		})
	}
}

// One event that can't be read holds up neither those beside it nor those that follow.
func TestAnEventThatCantBeReadIsPassedOver(t *testing.T) {
	c, other, b := newScriptedCache(t), newScriptedCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.acceptPoll(1)
	p.write(watchResponse(2, `"recall":{"lot":"seven","issued":1}`, endpointDelta(3, other.host("s-2", "in_service")), `"roster":[]`,
		endpointDelta(4, c.host("s-1", "terminated"))))
	p.wantPoll(5)
	w.wantServedBy(other)
	w.onLoop(func() {
		if w.program.watch.malformedEvents != 2 {
			t.Errorf("%d events were passed over", w.program.watch.malformedEvents)
		}
	})
}

// After a move the old place tells nothing more, not even what it said in the round of the move.
func TestTheOldPlaceTellsNothingAfterAMove(t *testing.T) {
	c, old, b := newScriptedCache(t), newScriptedControlPlane(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.acceptPoll(1)
	release := w.holdLoop()
	whole := watchResponse(2, endpointDelta(2, c.host("s-1", "terminated")))
	p.write(whole)
	waitAcknowledged(t, p.conn)
	release(func() { w.program.watch.moveTo(netip.MustParseAddrPort(b.addr())) })
	b.acceptPoll(1)
	w.wantServedBy(c)
}

// A configuration is read anew in the middle of an answer: the new place is asked for what comes after the last whole one.
func TestAMoveInTheMiddleOfAnAnswer(t *testing.T) {
	c, old, b := newScriptedCache(t), newScriptedControlPlane(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.acceptPoll(1)
	whole := watchResponse(2, endpointDelta(2, c.host("s-1", "terminated")))
	p.write(whole[:len(whole)/2])
	waitAcknowledged(t, p.conn)
	moved := w.program.config
	moved.Discovery = netip.MustParseAddrPort(b.addr())
	w.onLoop(func() { w.program.Reload(moved) })
	next := b.acceptPoll(1)
	next.write(watchResponse(2, endpointDelta(2)))
	next.wantPoll(2)
	w.wantServedBy(c)
}

// While a connection comes up, no timer of what was before may end it: after a move the pause's did.
func TestAMoveEndsThePauseBeforeIt(t *testing.T) {
	loop, err := transport.NewLoop()
	must(t, err)
	defer loop.Release()
	b := newScriptedControlPlane(t)
	f := newWatchClient(loop, nil, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, 1, 1)
	f.retry = time.Second
	f.connectionLost(net.ErrClosed)
	if !f.timer.Active() {
		t.Fatal("there is no pause")
	}
	f.moveTo(netip.MustParseAddrPort(b.addr()))
	if f.conn == nil || f.timer.Active() {
		t.Errorf("connecting %t, the pause goes on %t", f.conn != nil, f.timer.Active())
	}
}

// A director that comes up while discovery is silent is ready as soon as a list has come, and never before.
func TestReadyOnceAListHasCome(t *testing.T) {
	c, b := newScriptedCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, b.addr(), 1024)
	client := w.client()
	good := func(seq int32) bool {
		client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
		return client.want(seq, 0, "").good
	}
	if good(1) {
		t.Error("ready before it dials")
	}
	p := b.acceptPoll(0)
	if good(2) {
		t.Error("ready before a list has come")
	}
	whole := watchResponse(1, `"roster":{"seq":1,"whole":true,"hosts":[`+c.host("s-1", "in_service")+`]}`)
	p.write(whole[:len(whole)-1])
	waitAcknowledged(t, p.conn)
	if good(3) {
		t.Error("ready before the list is whole")
	}
	p.write(whole[len(whole)-1:])
	p.wantPoll(1)
	if !good(4) {
		t.Error("not ready although a list has come")
	}
	w.wantServedBy(c)
}

// A drain is told in the round in which the link comes up for which an attempt waits: where no grace is left it is not sent.
func TestADrainToldAsTheLinkComesUp(t *testing.T) {
	full, b := newFullListenerCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	none := strings.Replace(strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":8000`, 1), `"DrainGrace":500`, `"DrainGrace":0`, 1)
	w.start(none, b.addr(), 1024, full.host("s-1", "in_service"))
	p := b.acceptPoll(1)
	client := w.client()
	client.submit(requestA, objectA)
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(2, 0, "")
	release := w.holdLoop()
	box := full.acceptNext()
	p.write(watchResponse(2, endpointDelta(2, full.host("s-1", "terminating"))))
	waitAcknowledged(t, p.conn)
	release(nil)
	client.want(1, 1, "") // refused, with no other cache to go to
	w.onLoop(func() {
		if n := w.program.director.Counters.Attempts; n != 0 {
			t.Errorf("%d attempts", n)
		}
	})
	box.conn.Close()
}

// A change that is older than the last one does not bring a cache back.
func TestAnOlderVersionAfterANewer(t *testing.T) {
	c, other, b := newScriptedCache(t), newScriptedCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"), other.host("s-2", "in_service"))
	p := b.acceptPoll(1)
	p.write(watchResponse(2, endpointDelta(5, c.host("s-1", "terminated")), endpointDelta(4, c.host("s-1", "in_service"))))
	p.wantPoll(3)
	w.wantServedBy(other)
	w.onLoop(func() {
		if w.program.director.Counters.ConnectFailed+w.program.director.Counters.Reset > 0 {
			t.Errorf("%+v", w.program.director.Counters)
		}
	})
}

// --- Hand-overs ---

// A cache is replaced at the same address under another id, with a request out at the old one: that one's answer still counts, and
// what is new goes on a connection of its own.
func TestReplacedAtTheSameAddressUnderAnotherID(t *testing.T) {
	c, b := newScriptedCache(t), newScriptedControlPlane(t)
	w := &testDirector{t: t}
	w.start(testSettings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.acceptPoll(1)
	client := w.client()
	client.submit(requestA, objectA)
	box := c.accept()
	box.request()
	p.write(watchResponse(2, endpointDelta(2, c.host("s-1", "terminated"), c.host("s-2", "in_service"))))
	p.wantPoll(2)
	client.submit(requestB, objectA)
	second := c.accept()
	if id, _ := second.request(); id != requestB {
		t.Fatalf("order %s", id)
	}
	second.answer(requestB, "OK", "n=local", "new")
	client.want(2, 0, "new")
	box.answer(requestA, "OK", "n=local", "old")
	client.want(1, 0, "old")
}
