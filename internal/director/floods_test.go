package director

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A client sends much at once and goes without reading: others are served meanwhile, no round takes long, and nothing of it stays.
func TestAFloodThatGoesLeavesNothing(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	client, box := w.warmUp(c)
	flood := w.client()
	var text strings.Builder
	for i := range 5000 {
		text.WriteString(flood.submitBody(fmt.Sprintf("%016x", 0xf0000+i), objectA, 5*time.Second, "a body"))
	}
	go func() {
		_, _ = flood.conn.Write([]byte(text.String()))
		flood.conn.Close()
	}()
	slowest := time.Duration(0)
	for i := range 20 {
		rid := fmt.Sprintf("%016x", 0xa0000+i)
		client.submit(rid, objectB)
		for cmd := box.command(); cmd[0] != "do" || cmd[1] != rid; cmd = box.command() {
		}
		since := time.Now()
		w.onLoop(func() {})
		slowest = max(slowest, time.Since(since))
		box.answer(rid, "OK", "n=local", "x")
		client.want(int32(i+2), 0, "x")
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a round took %v", slowest)
	}
	for left, until := 2, time.Now().Add(testTimeout); left != 1; {
		if time.Now().After(until) {
			t.Fatalf("%d clients are left", left)
		}
		w.onLoop(func() { left = len(w.program.frontend.clients) })
	}
	w.onLoop(func() {
		if n := w.program.director.InFlight(); n != 0 {
			t.Errorf("%d requests are open", n)
		}
		if w.program.frontend.bodyBytes != 0 || w.program.loop.Queued() != 0 {
			t.Errorf("%d bytes of bodies, %d queued", w.program.frontend.bodyBytes, w.program.loop.Queued())
		}
	})
}

// A client that only asks and never reads is closed before its answers fill the memory, refusals among them.
func TestAClientThatOnlyAsksIsClosed(t *testing.T) {
	c := newScriptedCache(t)
	w := newTestDirector(t, c.host("s-1", "in_service"))
	_, box := w.warmUp(c)
	flood := w.client()
	w.fillQueue(flood, box, 0)
	var text strings.Builder
	for i := range maxShedInARow + 100 {
		text.WriteString(flood.submitText(fmt.Sprintf("%016x", 0xf0000+i), objectA, 5*time.Second))
	}
	go func() { _, _ = flood.conn.Write([]byte(text.String())) }()
	for stuck, until := int64(0), time.Now().Add(testTimeout); stuck == 0; {
		if time.Now().After(until) {
			t.Fatal("it may go on for good")
		}
		w.onLoop(func() { stuck = w.program.frontend.Counters.Stuck })
	}
	w.onLoop(func() {
		if n := w.program.frontend.Counters.Shed; n != maxShedInARow+1 {
			t.Errorf("%d requests were refused", n)
		}
		if n := w.program.loop.Queued(); n != 0 {
			t.Errorf("%d bytes are queued still", n)
		}
	})
	w.wantNothingSentBefore(box, requestB)
}

// Lines and bodies without end from a cache cost its link and not more; the request goes on at another.
func TestAnswersWithoutEndCostTheirLink(t *testing.T) {
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
			w := newTestDirector(t, c.host("s-1", "in_service"))
			client := w.client()
			client.submit(requestA, objectA)
			box := c.accept()
			box.request()
			if _, err := box.conn.Write([]byte(text)); err != nil {
				t.Log(err) // it was closed under the writing
			}
			box = c.accept()
			box.request()
			box.answer(requestA, "OK", "n=local", "x")
			client.want(1, 0, "x")
		})
	}
}

// Connections to a cache do not come up: the requests go on to another in time, and no connection is left.
func TestConnectionsThatDoNotComeUp(t *testing.T) {
	full, c := newFullListenerCache(t), newScriptedCache(t)
	w := newTestDirector(t, full.host("s-1", "in_service"), c.host("s-2", "in_service"))
	client := w.client()
	var box *scriptedConn
	since := time.Now()
	for i := range 8 {
		client.submit(fmt.Sprintf("%016x", 0xa0000+i), fmt.Sprintf("%016x", i*7919))
	}
	for range 8 {
		if box == nil {
			box = c.accept()
		}
		id, _ := box.request()
		box.answer(id, "OK", "n=local", "x")
	}
	for range 8 {
		if r := client.reply(); r.result != 0 || r.body != "x" {
			t.Errorf("%+v", r)
		}
	}
	if took := time.Since(since); took > 2*time.Second {
		t.Errorf("it took %v; a connection may take 0.4 s", took)
	}
	w.onLoop(func() {
		if w.program.director.Counters.ConnectFailed == 0 {
			t.Error("none of them met the cache that takes no connection")
		}
	})
}
