package director

import (
	"net"
	"strings"
	"testing"
)

// Guards against sending an attempt on a connection that the cache closes in the same round.
func TestNoAttemptOnClosingConnection(t *testing.T) {
	for _, how := range []string{"end", "reset"} {
		t.Run(how, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			client, upstream := d.serveFirstRequest(c)
			release := d.blockLoop()
			client.submit(requestA, objectB) // arrives first
			waitAcknowledged(t, client.conn)
			if how == "reset" {
				must(t, upstream.conn.(*net.TCPConn).SetLinger(0))
			}
			must(t, upstream.conn.Close())
			release(nil)
			upstream = c.accept()
			id, _ := upstream.request()
			upstream.answer(id, "OK", "n=local", "x")
			client.want(2, 0, "x")
			d.onLoop(func() {
				if n := d.program.director.Counters.Reset; n != 0 {
					t.Errorf("%d attempts were reset", n)
				}
			})
		})
	}
}

// Guards against unbounded or malformed responses that affect more than their own connection.
func TestMalformedResponseClosesItsConnection(t *testing.T) {
	for name, text := range map[string]string{
		"a line":        "*" + strings.Repeat("1", 100_000),
		"a body":        "*4\r\n$99999999999\r\n",
		"many words":    "*1000000\r\n" + strings.Repeat("$1\r\nx\r\n", 1000),
		"a word alone":  respArray("UP"),
		"unknown":       respArray(requestA, "WHAT", "-", ""),
		"a bad field":   respArray(requestA, "OK", "since=soon", "x"),
		"negative size": "*4\r\n$-5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			client := d.client()
			client.submit(requestA, objectA)
			upstream := c.accept()
			upstream.request()
			if _, err := upstream.conn.Write([]byte(text)); err != nil {
				t.Log(err) // the director has closed it
			}
			upstream = c.accept()
			upstream.request()
			upstream.answer(requestA, "OK", "n=local", "x")
			client.want(1, 0, "x")
		})
	}
}

// Guards against confusing a cache with its replacement at the same address.
func TestCacheReplacedAtSameAddress(t *testing.T) {
	c, controlPlane := newScriptedCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	d.start(testSettings, controlPlane.addr(), 1024, c.host("s-1", "in_service"))
	p := controlPlane.acceptPoll(1)
	client := d.client()
	client.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	p.write(watchResponse(2, endpointDelta(2, c.host("s-1", "terminated"), c.host("s-2", "in_service"))))
	p.wantPoll(2)
	client.submit(requestB, objectA)
	second := c.accept()
	if id, _ := second.request(); id != requestB {
		t.Fatalf("request %s", id)
	}
	second.answer(requestB, "OK", "n=local", "new")
	client.want(2, 0, "new")
	upstream.answer(requestA, "OK", "n=local", "old")
	client.want(1, 0, "old")
}
