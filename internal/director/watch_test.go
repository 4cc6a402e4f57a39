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

// board is a scripted discovery: it says byte by byte what its script wants.
type board struct {
	t  *testing.T
	ln net.Listener
}

func newBoard(t *testing.T) *board {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	t.Cleanup(func() { ln.Close() })
	return &board{t, ln}
}

func (b *board) addr() string { return b.ln.Addr().String() }

// watch accepts the director's next connection and reads its call, which must ask for what comes after a number.
func (b *board) watch(after int) *peer {
	b.t.Helper()
	check(b.t, b.ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	conn, err := b.ln.Accept()
	check(b.t, err)
	p := newPeer(b.t, conn)
	p.called(after)
	return p
}

func (p *peer) called(after int) {
	p.t.Helper()
	for first := true; ; first = false {
		line, err := p.in.ReadString('\n')
		check(p.t, err)
		if first && !strings.Contains(line, fmt.Sprintf("after=%d&", after)) {
			p.t.Fatalf("called %q, want what comes after %d", line, after)
		}
		if line == "\r\n" {
			return
		}
	}
}

// response is an answer of discovery with events, each without its number.
func response(from int, events ...string) string {
	items := make([]string, len(events))
	for i, e := range events {
		items[i] = fmt.Sprintf(`{"no":%d,%s}`, from+i, e)
	}
	body := fmt.Sprintf(`{"no":%d,"items":[%s]}`, from+len(events)-1, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func change(seq int, hosts ...string) string {
	return fmt.Sprintf(`"roster":{"seq":%d,"whole":false,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}

// A watch that falls silent with its connection open is left within the time in which drains and purges are due, whatever has come on
// it before. The next one asks for what comes after the last event that was taken in.
func TestSilentWatchIsLeftInTime(t *testing.T) {
	for name, script := range map[string]func(p *peer) (after int){
		"at the start": func(*peer) int { return 1 },
		"after an answer": func(p *peer) int {
			p.write(response(2, change(2)))
			p.called(2)
			return 2
		},
		"in the middle of an answer": func(p *peer) int {
			whole := response(2, change(2))
			p.write(whole[:len(whole)-5])
			return 1
		},
		"in the head of an answer": func(p *peer) int {
			p.write("HTTP/1.1 200 O")
			return 1
		},
		"a byte at a time": func(p *peer) int {
			go func() {
				whole := response(2, change(2)+strings.Repeat(" ", 1000))
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
			c, b := newCache(t), newBoard(t)
			w := &world{t: t}
			w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"))
			p := b.watch(1)
			after := script(p)
			since := time.Now()
			again := b.watch(after)
			if took := time.Since(since); took > 5*time.Second {
				t.Errorf("it was left after %v; news count as told after 7 s", took)
			}
			again.write(response(after+1, change(9, c.host("s-1", "terminated"))))
			again.called(after + 1)
			client := w.client()
			client.submit(ridA, objA)
			client.want(1, 1, "") // the drain is known
		})
	}
}

// An answer and the close right after it come in one round: the answer counts.
func TestAnswerCountsUnderAClose(t *testing.T) {
	c, b := newCache(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.watch(1)
	release := w.hold()
	p.write(response(2, change(2, c.host("s-1", "terminated"))))
	check(t, p.conn.(*net.TCPConn).CloseWrite())
	arrived(t, p.conn)
	release(nil)
	b.watch(2)
	client := w.client()
	client.submit(ridA, objA)
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
			c, b := newCache(t), newBoard(t)
			w := &world{t: t}
			w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"))
			p := b.watch(1)
			since := time.Now()
			p.write(text)
			b.watch(1)
			if took := time.Since(since); took > oneAddressTiming.Silence-time.Second/2 {
				t.Errorf("it was left after %v", took)
			}
			w.serves(c)
		})
	}
}

// One event that can't be read holds up neither those beside it nor those that follow.
func TestAnEventThatCantBeReadIsPassedOver(t *testing.T) {
	c, other, b := newCache(t), newCache(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.watch(1)
	p.write(response(2, `"recall":{"lot":"seven","issued":1}`, change(3, other.host("s-2", "in_service")), `"roster":[]`,
		change(4, c.host("s-1", "terminated"))))
	p.called(5)
	w.serves(other)
	w.on(func() {
		if w.p.watch.unreadable != 2 {
			t.Errorf("%d events were passed over", w.p.watch.unreadable)
		}
	})
}

// After a move the old place tells nothing more, not even what it said in the round of the move.
func TestTheOldPlaceTellsNothingAfterAMove(t *testing.T) {
	c, old, b := newCache(t), newBoard(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.watch(1)
	release := w.hold()
	whole := response(2, change(2, c.host("s-1", "terminated")))
	p.write(whole)
	arrived(t, p.conn)
	release(func() { w.p.watch.moveTo(netip.MustParseAddrPort(b.addr())) })
	b.watch(1)
	w.serves(c)
}

// A configuration is read anew in the middle of an answer: the new place is asked for what comes after the last whole one.
func TestAMoveInTheMiddleOfAnAnswer(t *testing.T) {
	c, old, b := newCache(t), newBoard(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.watch(1)
	whole := response(2, change(2, c.host("s-1", "terminated")))
	p.write(whole[:len(whole)/2])
	arrived(t, p.conn)
	moved := w.p.config
	moved.Discovery = netip.MustParseAddrPort(b.addr())
	w.on(func() { w.p.Reload(moved) })
	next := b.watch(1)
	next.write(response(2, change(2)))
	next.called(2)
	w.serves(c)
}

// While a connection comes up, no timer of what was before may end it: after a move the pause's did.
func TestAMoveEndsThePauseBeforeIt(t *testing.T) {
	loop, err := transport.NewLoop()
	check(t, err)
	defer loop.Release()
	b := newBoard(t)
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
	c, b := newCache(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, b.addr(), 1024)
	client := w.client()
	good := func(seq int32) bool {
		client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
		return client.want(seq, 0, "").good
	}
	if good(1) {
		t.Error("ready before it dials")
	}
	p := b.watch(0)
	if good(2) {
		t.Error("ready before a list has come")
	}
	whole := response(1, `"roster":{"seq":1,"whole":true,"hosts":[`+c.host("s-1", "in_service")+`]}`)
	p.write(whole[:len(whole)-1])
	arrived(t, p.conn)
	if good(3) {
		t.Error("ready before the list is whole")
	}
	p.write(whole[len(whole)-1:])
	p.called(1)
	if !good(4) {
		t.Error("not ready although a list has come")
	}
	w.serves(c)
}

// A drain is told in the round in which the link comes up for which an attempt waits: where no grace is left it is not sent.
func TestADrainToldAsTheLinkComesUp(t *testing.T) {
	full, b := newFullCache(t), newBoard(t)
	w := &world{t: t}
	none := strings.Replace(strings.Replace(settings, `"DialTimeout":400`, `"DialTimeout":8000`, 1), `"DrainGrace":500`, `"DrainGrace":0`, 1)
	w.start(none, b.addr(), 1024, full.host("s-1", "in_service"))
	p := b.watch(1)
	client := w.client()
	client.submit(ridA, objA)
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(2, 0, "")
	release := w.hold()
	box := full.let()
	p.write(response(2, change(2, full.host("s-1", "terminating"))))
	arrived(t, p.conn)
	release(nil)
	client.want(1, 1, "") // refused, with no other cache to go to
	w.on(func() {
		if n := w.p.director.Counters.Attempts; n != 0 {
			t.Errorf("%d attempts", n)
		}
	})
	box.conn.Close()
}

// A change that is older than the last one does not bring a cache back.
func TestAnOlderVersionAfterANewer(t *testing.T) {
	c, other, b := newCache(t), newCache(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"), other.host("s-2", "in_service"))
	p := b.watch(1)
	p.write(response(2, change(5, c.host("s-1", "terminated")), change(4, c.host("s-1", "in_service"))))
	p.called(3)
	w.serves(other)
	w.on(func() {
		if w.p.director.Counters.ConnectFailed+w.p.director.Counters.Reset > 0 {
			t.Errorf("%+v", w.p.director.Counters)
		}
	})
}

// --- Hand-overs ---

// A cache is replaced at the same address under another id, with a request out at the old one: that one's answer still counts, and
// what is new goes on a connection of its own.
func TestReplacedAtTheSameAddressUnderAnotherID(t *testing.T) {
	c, b := newCache(t), newBoard(t)
	w := &world{t: t}
	w.start(settings, b.addr(), 1024, c.host("s-1", "in_service"))
	p := b.watch(1)
	client := w.client()
	client.submit(ridA, objA)
	box := c.accept()
	box.order()
	p.write(response(2, change(2, c.host("s-1", "terminated"), c.host("s-2", "in_service"))))
	p.called(2)
	client.submit(ridB, objA)
	second := c.accept()
	if id, _ := second.order(); id != ridB {
		t.Fatalf("order %s", id)
	}
	second.answer(ridB, "OK", "n=local", "new")
	client.want(2, 0, "new")
	box.answer(ridA, "OK", "n=local", "old")
	client.want(1, 0, "old")
}
