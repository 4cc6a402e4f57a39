package director

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against sending an attempt whose client disconnects in the round in which its connection is established.
func TestNoAttemptForClientGoneWhileConnecting(t *testing.T) {
	for _, how := range []string{"end", "reset", "revoke"} {
		t.Run(how, func(t *testing.T) {
			full := newFullListenerCache(t)
			settings := strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":8000`, 1)
			d := newTestDirectorWith(t, settings, full.host("s-1", "in_service"))
			client := d.client()
			client.submit(requestA, objectA)
			client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01")) // once this is answered, the request has been accepted
			client.want(2, 0, "")
			release := d.blockLoop()
			upstream := full.acceptNext() // the connection is established, but the director has not processed that
			switch how {
			case "end":
				must(t, client.conn.(*net.TCPConn).CloseWrite())
				waitAcknowledged(t, client.conn)
			case "reset":
				must(t, client.conn.(*net.TCPConn).SetLinger(0))
				must(t, client.conn.Close())
			case "revoke":
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
				waitAcknowledged(t, client.conn)
			}
			release(nil)
			d.wantNothingSentBefore(upstream, requestB)
			d.onLoop(func() {
				if d.program.director.Counters.Cancelled != 1 || d.program.director.InFlight() != 0 {
					t.Errorf("%+v, %d in flight", d.program.director.Counters, d.program.director.InFlight())
				}
			})
		})
	}
}

// Guards against a retry for a client that disconnects in the round in which its attempt fails.
func TestNoRetryForClientGoneWithTheResponse(t *testing.T) {
	for _, how := range []string{"end", "revoke"} {
		t.Run(how, func(t *testing.T) {
			c, other := newScriptedCache(t), newScriptedCache(t)
			d := newTestDirector(t, other.host("s-2", "in_service"))
			_, second := d.serveFirstRequest(other)
			d.publish(2, `"roster":{"seq":2,"whole":false,"hosts":[`+c.host("s-1", "in_service")+`,`+other.host("s-2", "terminating")+`]}`)
			client := d.client()
			client.submit(requestA, objectA)
			upstream := c.accept()
			upstream.request()
			d.publish(3, `"roster":{"seq":3,"whole":false,"hosts":[`+other.host("s-2", "in_service")+`]}`)
			release := d.blockLoop()
			upstream.answer(requestA, "ERR", "-", "") // arrives first
			waitAcknowledged(t, upstream.conn)
			if how == "end" {
				must(t, client.conn.(*net.TCPConn).CloseWrite())
			} else {
				client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(1)))
			}
			waitAcknowledged(t, client.conn)
			release(nil)
			d.waitRound()
			d.publish(4, `"roster":{"seq":4,"whole":false,"hosts":[`+c.host("s-1", "terminating")+`]}`)
			d.wantNothingSentBefore(second, requestB)
			d.onLoop(func() {
				if n := d.program.director.Counters.Attempts; n != 3 {
					t.Errorf("%d attempts for three requests", n)
				}
			})
		})
	}
}

// Guards against a resubmission that runs concurrently with the first request or gets its late response.
func TestResubmissionOnNewConnectionIsSeparate(t *testing.T) {
	for _, first := range []string{"the end", "the resubmission"} {
		t.Run(first+" first", func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			_, upstream := d.serveFirstRequest(c)
			old, again := d.client(), d.client()
			old.submit(requestA, objectA)
			upstream.request()
			again.heartbeat() // its connection has been accepted
			release := d.blockLoop()
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
			if cmd := upstream.command(); cmd[0] != "undo" || cmd[1] != requestA {
				t.Fatalf("got %q, want the cancel of the first", cmd)
			}
			second := c.accept()
			if id, _ := second.request(); id != requestA {
				t.Fatalf("request %s", id)
			}
			upstream.answer(requestA, "OK", "n=local", "to the first")
			waitAcknowledged(t, upstream.conn)
			d.waitRound()
			second.answer(requestA, "OK", "n=local", "to the second")
			again.want(2, 0, "to the second")
		})
	}
}

// Guards against a client that uses up connections by repeatedly submitting and cancelling one ID.
func TestResubmissionsOfOneIDAreLimited(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	for i := range 5 {
		client.submit(requestA, objectA)
		if i > 2 {
			client.want(int32(2+2*i), 2, "")
			client.seq++
			continue
		}
		if i > 0 {
			upstream = c.accept()
		}
		upstream.request()
		client.write(client.call(4, "revoke", "\x08\x00\x01"+be32(int(client.seq))))
		for cmd := upstream.command(); cmd[0] != "undo"; cmd = upstream.command() {
		}
	}
}

// Guards against a duplicate response of a cache that ends the next attempt.
func TestDuplicateResponseDoesNotEndTheRetry(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	issued := time.Now().UnixMilli()
	d.publish(2, fmt.Sprintf(`"recall":{"lot":5,"issued":%d}`, issued))
	client.submit(requestA, objectA)
	upstream.request()
	twice := respArray(requestA, "OK", withObjectFields(fmt.Sprintf("n=local,since=%d", issued-1)), "old") // withheld and retried
	upstream.write(twice + twice)
	second := c.accept()
	second.request()
	upstream.write(twice)
	waitAcknowledged(t, upstream.conn)
	d.waitRound()
	d.onLoop(func() {
		if n := d.program.director.Counters.Attempts; n != 3 {
			t.Errorf("%d attempts", n)
		}
	})
	second.answer(requestA, "OK", fmt.Sprintf("n=pulled,since=%d", issued+1), "new")
	client.want(2, 0, "new")
}

// Guards against two answers, or a timeout, if the response arrives in time but is handled in the round of the timeout.
func TestResponseAndTimeoutInOneRound(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	client, upstream := d.serveFirstRequest(c)
	client.write(client.submitText(requestA, objectA, 200*time.Millisecond))
	upstream.request()
	release := d.blockLoop()
	upstream.answer(requestA, "OK", "n=local", "just")
	waitAcknowledged(t, upstream.conn)
	time.Sleep(250 * time.Millisecond) // the request's timeout passes while the loop is blocked
	release(nil)
	client.want(2, 0, "just")
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(3, 0, "")
}

// Guards against sending an attempt to a host whose drain arrives in the round in which the connection is established.
func TestDrainRacingConnect(t *testing.T) {
	full, controlPlane := newFullListenerCache(t), newScriptedControlPlane(t)
	d := &testDirector{t: t}
	noGrace := strings.NewReplacer(`"DialTimeout":400`, `"DialTimeout":8000`, `"DrainGrace":500`, `"DrainGrace":0`).Replace(testSettings)
	d.start(noGrace, controlPlane.addr(), 1024, full.host("s-1", "in_service"))
	p := controlPlane.acceptPoll(1)
	client := d.client()
	client.submit(requestA, objectA)
	client.write(client.call(1, "heartbeat", "\x02\x00\x01\x01"))
	client.want(2, 0, "")
	release := d.blockLoop()
	upstream := full.acceptNext()
	p.write(watchResponse(2, endpointDelta(2, full.host("s-1", "terminating"))))
	waitAcknowledged(t, p.conn)
	release(nil)
	client.want(1, 1, "") // rejected: there is no other cache
	d.onLoop(func() {
		if n := d.program.director.Counters.Attempts; n != 0 {
			t.Errorf("%d attempts", n)
		}
	})
	must(t, upstream.conn.Close())
}

// Guards against serving a request that does not say which part of its object it is for, or lacks another field: the director
// must not choose one.
func TestRequestWithMissingFieldIsNotForwarded(t *testing.T) {
	complete := [][2]string{
		{"method", "clips"}, {"rid", requestA}, {"budget", "5000"}, {"obj", objectA}, {"part", "0"}, {"group", "5"}, {"mem", "100"},
	}
	for missing, field := range complete {
		t.Run(field[0], func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			_, upstream := d.serveFirstRequest(c)
			client := d.client()
			fields := "\x0d\x00\x01\x0b\x0b" + be32(len(complete)-1)
			for i, f := range complete {
				if i != missing {
					fields += str(f[0]) + str(f[1])
				}
			}
			client.write(client.call(1, "submit", fields+"\x0b\x00\x02"+str("")))
			if field[0] == "mem" { // not every site tells it
				id, _ := upstream.request()
				upstream.answer(id, "OK", objectFields, "x")
				client.want(1, 0, "x")
				return
			}
			if r := client.reply(); r.kind != 3 {
				t.Errorf("without %s: %+v", field[0], r)
			}
			d.wantNothingSentBefore(upstream, requestB)
		})
	}
}
