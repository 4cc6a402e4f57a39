package director

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/transport"
)

// Guards against events that are missed or applied twice when the connection is lost.
func TestWatchResumesAfterConnectionLoss(t *testing.T) {
	c, other := newScriptedCache(t), newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	d.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+other.host("s-2", "in_service")+`]}`)
	d.responses <- ""
	d.wantPoll("2")
	d.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`]}`)
	d.wantServedBy(other)
}

// Guards against detecting a silent event stream only after drains and purges have become due.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for name, script := range map[string]func(p *scriptedConn) (after int){
		"at the start": func(*scriptedConn) int { return 1 },
		"after a response": func(p *scriptedConn) int {
			p.write(watchResponse(2, endpointDelta(2)))
			p.wantPoll(2)
			return 2
		},
		"in the middle of a response": func(p *scriptedConn) int {
			text := watchResponse(2, endpointDelta(2))
			p.write(text[:len(text)-5])
			return 1
		},
		"in the head of a response": func(p *scriptedConn) int {
			p.write("HTTP/1.1 200 O")
			return 1
		},
		"a byte at a time": func(p *scriptedConn) int {
			go func() {
				text := watchResponse(2, endpointDelta(2)+strings.Repeat(" ", 1000))
				for i := range text {
					if _, err := p.conn.Write([]byte{text[i]}); err != nil {
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
			c, controlPlane := newScriptedCache(t), newScriptedControlPlane(t)
			d := &testDirector{t: t}
			d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"))
			p := controlPlane.acceptPoll(1)
			after := script(p)
			since := time.Now()
			again := controlPlane.acceptPoll(after)
			if took := time.Since(since); took > 5*time.Second {
				t.Errorf("the stream was abandoned after %v; events are due within 7 s", took)
			}
			again.write(watchResponse(after+1, endpointDelta(9, c.host("s-1", "terminated"))))
			again.wantPoll(after + 1)
			client := d.client()
			client.submit(requestA, objectA)
			client.want(1, 1, "") // the drain was applied
		})
	}
}

// Guards against losing a response that arrives in the same round as the close of its connection.
func TestResponseBeforeCloseIsApplied(t *testing.T) {
	c, controlPlane := newScriptedCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"))
	p := controlPlane.acceptPoll(1)
	release := d.blockLoop()
	p.write(watchResponse(2, endpointDelta(2, c.host("s-1", "terminated"))))
	must(t, p.conn.(*net.TCPConn).CloseWrite())
	waitAcknowledged(t, p.conn)
	release(nil)
	controlPlane.acceptPoll(2)
	client := d.client()
	client.submit(requestA, objectA)
	client.want(1, 1, "")
}

// Guards against waiting for the silence timeout after a malformed response instead of closing at once.
func TestMalformedWatchResponseClosesAtOnce(t *testing.T) {
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
			c, controlPlane := newScriptedCache(t), newScriptedControlPlane(t)
			d := &testDirector{t: t}
			d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"))
			p := controlPlane.acceptPoll(1)
			since := time.Now()
			p.write(text)
			controlPlane.acceptPoll(1)
			if took := time.Since(since); took > oneAddressTiming.SilenceTimeout-time.Second/2 {
				t.Errorf("the connection was closed after %v", took)
			}
			d.wantServedBy(c)
		})
	}
}

// Guards against a malformed event that prevents the other events of the response from being applied.
func TestMalformedEventIsSkipped(t *testing.T) {
	c, other, controlPlane := newScriptedCache(t), newScriptedCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"))
	p := controlPlane.acceptPoll(1)
	p.write(watchResponse(2, `"recall":{"lot":"seven","issued":1}`, endpointDelta(3, other.host("s-2", "in_service")), `"roster":[]`,
		endpointDelta(4, c.host("s-1", "terminated"))))
	p.wantPoll(5)
	d.wantServedBy(other)
	d.onLoop(func() {
		if d.program.watch.malformedEvents != 2 {
			t.Errorf("%d events were skipped", d.program.watch.malformedEvents)
		}
	})
}

// Guards against applying a response from the old address that arrives in the round in which the address changes.
func TestOldAddressIsIgnoredAfterAddressChange(t *testing.T) {
	c, old, controlPlane := newScriptedCache(t), newScriptedControlPlane(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.acceptPoll(1)
	release := d.blockLoop()
	text := watchResponse(2, endpointDelta(2, c.host("s-1", "terminated")))
	p.write(text)
	waitAcknowledged(t, p.conn)
	release(func() { d.program.watch.switchAddress(netip.MustParseAddrPort(controlPlane.addr())) })
	controlPlane.acceptPoll(1)
	d.wantServedBy(c)
}

// Guards against treating a partially received response as applied when the address changes.
func TestAddressChangeDuringPartialResponse(t *testing.T) {
	c, old, controlPlane := newScriptedCache(t), newScriptedControlPlane(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, old.addr(), 1024, c.host("s-1", "in_service"))
	p := old.acceptPoll(1)
	text := watchResponse(2, endpointDelta(2, c.host("s-1", "terminated")))
	p.write(text[:len(text)/2])
	waitAcknowledged(t, p.conn)
	moved := d.program.config
	moved.Discovery = netip.MustParseAddrPort(controlPlane.addr())
	d.onLoop(func() { d.program.Reload(moved) })
	next := controlPlane.acceptPoll(1)
	next.write(watchResponse(2, endpointDelta(2)))
	next.wantPoll(2)
	d.wantServedBy(c)
}

// Guards against the timer of an earlier pause closing the new connection.
func TestAddressChangeStopsRetryTimer(t *testing.T) {
	loop, err := transport.NewLoop()
	must(t, err)
	defer loop.Release()
	controlPlane := newScriptedControlPlane(t)
	w := newWatchClient(loop, nil, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, 1, 1)
	w.retryDelay = time.Second
	w.handleConnectionLoss(net.ErrClosed)
	if !w.timer.Active() {
		t.Fatal("there is no pause")
	}
	w.switchAddress(netip.MustParseAddrPort(controlPlane.addr()))
	if w.conn == nil || w.timer.Active() {
		t.Errorf("connecting %t, the retry timer is active %t", w.conn != nil, w.timer.Active())
	}
}

// Guards against a director that reports ready before it has an endpoint list.
func TestReadyOnceEndpointListArrived(t *testing.T) {
	c, controlPlane := newScriptedCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, controlPlane.addr(), 1024)
	client := d.client()
	good := func(seq int32) bool {
		client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
		return client.want(seq, 0, "").good
	}
	if good(1) {
		t.Error("ready before it connects")
	}
	p := controlPlane.acceptPoll(0)
	if good(2) {
		t.Error("ready without an endpoint list")
	}
	text := watchResponse(1, `"roster":{"seq":1,"whole":true,"hosts":[`+c.host("s-1", "in_service")+`]}`)
	p.write(text[:len(text)-1])
	waitAcknowledged(t, p.conn)
	if good(3) {
		t.Error("ready before the list is complete")
	}
	p.write(text[len(text)-1:])
	p.wantPoll(1)
	if !good(4) {
		t.Error("not ready with an endpoint list")
	}
	d.wantServedBy(c)
}

// Guards against an older delta that brings back a cache.
func TestOlderListAfterNewerIsIgnored(t *testing.T) {
	c, other, controlPlane := newScriptedCache(t), newScriptedCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"), other.host("s-2", "in_service"))
	p := controlPlane.acceptPoll(1)
	p.write(watchResponse(2, endpointDelta(5, c.host("s-1", "terminated")), endpointDelta(4, c.host("s-1", "in_service"))))
	p.wantPoll(3)
	d.wantServedBy(other)
	d.onLoop(func() {
		if d.program.director.Counters.ConnectFailed+d.program.director.Counters.Reset > 0 {
			t.Errorf("%+v", d.program.director.Counters)
		}
	})
}

// Guards against skipping events because a response that announces them does not have them.
func TestResponseWithoutItsEventsIsNotApplied(t *testing.T) {
	for _, text := range []string{`{"no":5}`, `{"no":5,"items":null}`, `{}`} {
		t.Run(text, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			d.responses <- text
			d.wantPoll("1")
			d.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminated")+`]}`)
		})
	}
}

// Guards against closing the connection after each response that has nothing new.
func TestResponseWithNothingNewIsAccepted(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	for _, text := range []string{`{"no":1,"items":[]}`, `{"no":1,"items":null}`, `{"no":1}`} {
		d.responses <- text
		d.wantPoll("1")
	}
	d.onLoop(func() {
		if d.program.watch.failing {
			t.Error("a response was taken for a failure")
		}
	})
}

// Guards against using an endpoint that has no name.
func TestEndpointWithoutNameIsSkipped(t *testing.T) {
	c, other := newScriptedCache(t), newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	d.publish(2, `"roster":{"seq":2,"whole":true,"hosts":[`+c.host("", "in_service")+`,`+other.host("s-2", "in_service")+`]}`)
	d.wantServedBy(other)
}
