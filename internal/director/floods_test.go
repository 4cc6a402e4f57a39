package director

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A client sends much at once and goes without reading: others are served meanwhile, no round takes long, and nothing of it stays.
func TestAFloodThatGoesLeavesNothing(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	client, box := w.warm(c)
	flood := w.client()
	var text strings.Builder
	for i := range 5000 {
		text.WriteString(flood.submitBody(fmt.Sprintf("%016x", 0xf0000+i), objA, 5*time.Second, "a body"))
	}
	go func() {
		_, _ = flood.conn.Write([]byte(text.String()))
		flood.conn.Close()
	}()
	slowest := time.Duration(0)
	for i := range 20 {
		rid := fmt.Sprintf("%016x", 0xa0000+i)
		client.submit(rid, objB)
		for cmd := box.words(); cmd[0] != "do" || cmd[1] != rid; cmd = box.words() {
		}
		since := time.Now()
		w.on(func() {})
		slowest = max(slowest, time.Since(since))
		box.answer(rid, "OK", "n=local", "x")
		client.want(int32(i+2), 0, "x")
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a round took %v", slowest)
	}
	for left, until := 2, time.Now().Add(patience); left != 1; {
		if time.Now().After(until) {
			t.Fatalf("%d clients are left", left)
		}
		w.on(func() { left = len(w.p.front.clients) })
	}
	w.on(func() {
		if n := w.p.director.InFlight(); n != 0 {
			t.Errorf("%d requests are open", n)
		}
		if w.p.front.bodies != 0 || w.p.loop.Queued() != 0 {
			t.Errorf("%d bytes of bodies, %d queued", w.p.front.bodies, w.p.loop.Queued())
		}
	})
}

// A client that only asks and never reads is closed before its answers fill the memory, refusals among them.
func TestAClientThatOnlyAsksIsClosed(t *testing.T) {
	c := newCache(t)
	w := newWorld(t, c.host("s-1", "in_service"))
	_, box := w.warm(c)
	flood := w.client()
	w.fill(flood, box, 0)
	var text strings.Builder
	for i := range clientShed + 100 {
		text.WriteString(flood.submitText(fmt.Sprintf("%016x", 0xf0000+i), objA, 5*time.Second))
	}
	go func() { _, _ = flood.conn.Write([]byte(text.String())) }()
	for stuck, until := int64(0), time.Now().Add(patience); stuck == 0; {
		if time.Now().After(until) {
			t.Fatal("it may go on for good")
		}
		w.on(func() { stuck = w.p.front.Counts.Stuck })
	}
	w.on(func() {
		if n := w.p.front.Counts.Shed; n != clientShed+1 {
			t.Errorf("%d requests were refused", n)
		}
		if n := w.p.loop.Queued(); n != 0 {
			t.Errorf("%d bytes are queued still", n)
		}
	})
	w.nothing(box, ridB)
}

// Lines and bodies without end from a cache cost its link and not more; the request goes on at another.
func TestAnswersWithoutEndCostTheirLink(t *testing.T) {
	for name, text := range map[string]string{
		"a line":        "*" + strings.Repeat("1", 100_000),
		"a body":        "*4\r\n$99999999999\r\n",
		"many words":    "*1000000\r\n" + strings.Repeat("$1\r\nx\r\n", 1000),
		"a word alone":  words("UP"),
		"unknown":       words(ridA, "WHAT", "-", ""),
		"a bad field":   words(ridA, "OK", "since=soon", "x"),
		"negative size": "*4\r\n$-5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newCache(t)
			w := newWorld(t, c.host("s-1", "in_service"))
			client := w.client()
			client.submit(ridA, objA)
			box := c.accept()
			box.order()
			if _, err := box.conn.Write([]byte(text)); err != nil {
				t.Log(err) // it was closed under the writing
			}
			box = c.accept()
			box.order()
			box.answer(ridA, "OK", "n=local", "x")
			client.want(1, 0, "x")
		})
	}
}

// Connections to a cache do not come up: the requests go on to another in time, and no connection is left.
func TestConnectionsThatDoNotComeUp(t *testing.T) {
	full, c := newFullCache(t), newCache(t)
	w := newWorld(t, full.host("s-1", "in_service"), c.host("s-2", "in_service"))
	client := w.client()
	var box *peer
	since := time.Now()
	for i := range 8 {
		client.submit(fmt.Sprintf("%016x", 0xa0000+i), fmt.Sprintf("%016x", i*7919))
	}
	for range 8 {
		if box == nil {
			box = c.accept()
		}
		id, _ := box.order()
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
	w.on(func() {
		if w.p.director.Counters.ConnectFailed == 0 {
			t.Error("none of them met the cache that takes no connection")
		}
	})
}
