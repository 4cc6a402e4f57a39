package director

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a not-modified answer for a different ETag than the client's.
func TestNotModifiedRequiresTheClientsETag(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	client.submit(requestA, objectA, "have", "4be0c1927d55a6f3")
	upstream.request()
	upstream.answer(requestA, "SAME", "n=local,rev=0000000000000001", "")
	upstream = c.accept()
	upstream.request()
	upstream.answer(requestA, "SAME", "n=local,rev=4be0c1927d55a6f3", "")
	if r := client.want(2, 0, ""); r.fields["same"] != "1" {
		t.Errorf("%v", r.fields)
	}
}

// Guards against requests that time out because connections to one cache are never established.
func TestRequestsAvoidCacheThatAcceptsNoConnections(t *testing.T) {
	full, c := newFullListenerCache(t), newScriptedCache(t)
	d := newTestDirector(t, full.host("s-1", "in_service"), c.host("s-2", "in_service"))
	client := d.client()
	var upstream *scriptedConn
	since := time.Now()
	for i := range 8 {
		client.submit(fmt.Sprintf("%016x", 0xa0000+i), fmt.Sprintf("%016x", i*7919))
	}
	for range 8 {
		if upstream == nil {
			upstream = c.accept()
		}
		id, _ := upstream.request()
		upstream.answer(id, "OK", "n=local", "x")
	}
	for range 8 {
		if r := client.reply(); r.result != 0 || r.body != "x" {
			t.Errorf("%+v", r)
		}
	}
	if took := time.Since(since); took > 2*time.Second {
		t.Errorf("it took %v; the dial timeout is 0.4 s", took)
	}
	d.onLoop(func() {
		if d.program.director.Counters.ConnectFailed == 0 {
			t.Error("no request was routed to the cache whose connections are never established")
		}
	})
}

// Guards against altering a request, or the ETag of the object that its client has cached, on the way to the cache.
func TestServesAndForwardsETag(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	client.submit(requestA, objectA)
	upstream := c.accept()
	id, f := upstream.request()
	if id != requestA || f["sort"] != "clips" || f["asset"] != objectA || f["slice"] != "0" || f["store"] != "1" || f["do"] != "merge" {
		t.Fatalf("request %s %v", id, f)
	}
	upstream.answer(requestA, "OK", "n=local,l=inflight:7;util:0.61,rev=4be0c1927d55a6f3,since=1764576000123", "bytes")
	client.want(1, 0, "bytes")

	client.submit(requestB, objectA, "have", "4be0c1927d55a6f3")
	if _, f = upstream.request(); f["inm"] != "4be0c1927d55a6f3" {
		t.Fatalf("the client's ETag is not forwarded: %v", f)
	}
	upstream.answer(requestB, "SAME", "n=local,rev=4be0c1927d55a6f3,since=1764576000123", "")
	if r := client.want(2, 0, ""); r.fields["same"] != "1" {
		t.Fatalf("not modified is not answered: %v", r.fields)
	}
}

// Guards against losing bytes if frames arrive in pieces or a client reads slowly.
func TestPartialFramesAndSlowReader(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	text := client.submitText(requestA, objectA, 5*time.Second)
	client.write(text[:9])
	var upstream *scriptedConn
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 15_000))
	client.write(text[9:])
	upstream = c.accept()
	upstream.request()
	for i := range 12 { // 2.9 MB, far more than the socket buffers hold
		id := fmt.Sprintf("%016x", i)
		client.submit(id, objectA)
		upstream.request()
		upstream.answer(id, "OK", "n=local", body)
	}
	upstream.answer(requestA, "OK", "n=local", "last")
	for i := range 12 {
		client.want(int32(i+2), 0, body)
	}
	client.want(1, 0, "last")
}

// Guards against forwarding the response to a cancelled attempt to a client.
func TestCancelIsForwardedAndLateResponseIgnored(t *testing.T) {
	c := newScriptedCache(t)
	client := newTestDirector(t, c.host("s-1", "in_service")).client()
	client.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
	if w := upstream.command(); w[0] != "undo" || w[1] != requestA {
		t.Fatalf("want a cancel, got %q", w)
	}
	upstream.answer(requestA, "OK", "n=local", "late")
	client.submit(requestB, objectB)
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "mine")
	client.want(3, 0, "mine")
}

// Guards against a request that fails, or is answered twice, because a cache refuses or resets its connection.
func TestRefusedAndResetAttemptsAreRetried(t *testing.T) {
	down := newScriptedCache(t)
	up := newScriptedCache(t)
	must(t, down.listener.Close())
	client := newTestDirector(t, down.host("s-1", "in_service"), up.host("s-2", "in_service")).client()
	var upstream *scriptedConn
	for i := range 16 { // some of the objects belong to the cache that is down
		client.submit(fmt.Sprintf("%016x", i), fmt.Sprintf("%016x", i*7919))
		if upstream == nil {
			upstream = up.accept()
		}
		id, _ := upstream.request()
		upstream.answer(id, "OK", "n=local", id)
		client.want(int32(i+1), 0, id)
	}
	client.submit(requestA, objectA)
	upstream.request()
	must(t, upstream.conn.(*net.TCPConn).SetLinger(0))
	must(t, upstream.conn.Close())
	upstream = up.accept()
	id, _ := upstream.request()
	upstream.answer(id, "OK", "n=local", "again")
	client.want(17, 0, "again")
}

// Guards against forwarding a response that predates a purge, whatever the cache responds.
func TestPurgedResponseIsWithheld(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client := d.client()
	issued := time.Now().UnixMilli()
	d.publish(2, fmt.Sprintf(`"recall":{"lot":5,"issued":%d}`, issued))
	client.submit(requestA, objectA)
	upstream := c.accept()
	if _, f := upstream.request(); f["cap"] == "" {
		t.Fatalf("no age limit after a purge: %v", f)
	}
	upstream.answer(requestA, "OK", fmt.Sprintf("n=local,since=%d", issued-1), "old")
	upstream = c.accept() // another connection, since a second response may arrive on the first
	upstream.request()
	upstream.answer(requestA, "OK", fmt.Sprintf("n=pulled,since=%d", issued+1), "new")
	client.want(1, 0, "new")
}

// Guards against a setting that is absent or 0 and breaks the service, or is defaulted without a log line.
func TestMissingSettingsAreDefaultedAndLogged(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn})))
	defer slog.SetDefault(old)
	settings := testSettings
	for _, change := range [][2]string{
		{`"Balancers":1,`, ``},
		{`"CountByZone":[0,1],`, ``},
		{`"Multiplex":32,`, `"Multiplex":0,`},
		{`"DialTimeout":400,`, ``},
		{`"ConnIdle":15000,`, `"ConnIdle":0,`},
	} {
		if !strings.Contains(settings, change[0]) {
			t.Fatalf("the settings have no %s", change[0])
		}
		settings = strings.Replace(settings, change[0], change[1], 1)
	}
	c := newScriptedCache(t)
	d := newTestDirectorWith(t, settings, c.host("s-1", "in_service"))
	for _, key := range []string{
		"settings.Balancers",
		"settings.Limits.Multiplex",
		"settings.Limits.DialTimeout",
		"settings.Limits.ConnIdle",
	} {
		if !strings.Contains(log.String(), `"key":"`+key+`"`) {
			t.Errorf("%s is not named in %s", key, log.String())
		}
	}
	d.wantServedBy(c)
}

// Guards against requests that wait for their timeout although no cache is available.
func TestRejectedAtOnceWithRetryAfter(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client := d.client()
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	if !client.want(1, 0, "").good {
		t.Error("a cache is ready, but the heartbeat is not good")
	}
	d.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "terminating")+`]}`)
	client.submit(requestA, objectA)
	if r := client.want(2, 1, ""); r.fields["backoff"] == "" {
		t.Errorf("no Retry-After: %v", r.fields)
	}
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	if client.want(3, 0, "").good {
		t.Error("no cache is ready, but the heartbeat is good")
	}
}

// Guards against malformed input that affects connections or requests other than those of its sender.
func TestMalformedInputAffectsItsSenderOnly(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	bad, client := d.client(), d.client()
	bad.write("GET / HTTP/1.1\r\n\r\n")
	if _, err := bad.reader.ReadByte(); err == nil {
		t.Error("malformed input was answered")
	}
	client.submit("not hex", objectA)
	if r := client.reply(); r.kind != 3 || r.seq != 1 {
		t.Errorf("want an application exception, got %+v", r)
	}
	client.submit(requestB, objectA, "group", "256")
	if r := client.reply(); r.kind != 3 || r.seq != 2 {
		t.Errorf("want an application exception, got %+v", r)
	}
	client.submit(requestA, objectA)
	upstream := c.accept()
	upstream.request()
	upstream.write("+PONG\r\n") // malformed, so the connection is closed and the request is retried
	upstream = c.accept()
	upstream.request()
	upstream.answer(requestA, "OK", "n=local", "x")
	client.want(3, 0, "x")
}
