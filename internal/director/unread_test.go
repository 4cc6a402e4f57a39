package director

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stairvane.org/stairvane/internal/protocol/resp"
)

// slowReader is a client that reads its answers at a limited rate.
type slowReader struct {
	*scriptedConn
	pause   time.Duration // before each read of readStepBytes
	answers map[int32]reply
	err     error
}

const readStepBytes = 32 << 10

func (d *testDirector) slowReader(bytesPerS int) *slowReader {
	c := d.client()
	must(d.t, c.conn.(*net.TCPConn).SetReadBuffer(readStepBytes))
	return &slowReader{scriptedConn: c, pause: readStepBytes * time.Second / time.Duration(bytesPerS), answers: map[int32]reply{}}
}

// readAnswers reads slowly until n answers have arrived or the connection ends.
func (r *slowReader) readAnswers(n int) {
	var unread []byte
	chunk := make([]byte, readStepBytes)
	for len(r.answers) < n {
		time.Sleep(r.pause)
		read, err := r.conn.Read(chunk)
		unread = append(unread, chunk[:read]...)
		for len(unread) >= 4 && len(unread) >= 4+int(binary.BigEndian.Uint32(unread)) {
			end := 4 + int(binary.BigEndian.Uint32(unread))
			whole := &scriptedConn{t: r.t, reader: bufio.NewReader(bytes.NewReader(unread[:end]))}
			answer := whole.reply()
			r.answers[answer.seq] = answer
			unread = unread[end:]
		}
		if err != nil {
			r.err = err
			return
		}
	}
}

// answerAll answers every request to a cache with the same object, at once, until the test ends.
func (c *scriptedCache) answerAll(body string) {
	go func() {
		for {
			conn, err := c.listener.Accept()
			if err != nil {
				return
			}
			upstream := newScriptedConn(c.t, conn)
			upstream.commands = make(chan []string, 4096)
			go upstream.serve()
			go func() {
				for command := range upstream.commands {
					if command[0] != "do" {
						continue
					}
					answer := respArray(command[1], "OK", objectFields, body)
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
}

// objectFields are the fields of a good answer.
const objectFields = "n=local,rev=4be0c1927d55a6f3,since=1764576000123"

// Guards against closing connections of clients that read slowly, with all requests taken from them, when the answers that
// wait for them use up their memory.
func TestSlowReadersKeepTheirConnections(t *testing.T) {
	const clients, requests, fastRequests = 8, 31, 60
	c := newScriptedCache(t)
	body := strings.Repeat("x", 200_000)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	d.onLoop(func() { d.program.frontend.maxQueuedBytes = 4 << 20 })
	slow := make([]*slowReader, clients)
	for i := range slow {
		slow[i] = d.slowReader(4 << 20)
		for n := range requests {
			slow[i].submit(fmt.Sprintf("%016x", 0xc000+i*requests+n), objectA)
		}
	}
	var wg sync.WaitGroup
	for _, r := range slow {
		wg.Go(func() { r.readAnswers(requests) })
	}
	c.answerAll(body)
	fast := d.client()
	for n := range fastRequests { // a client that reads as fast as it can is served beside them
		fast.submit(fmt.Sprintf("%016x", 0xfa000+n), objectB)
		fast.want(int32(1+n), 0, body)
	}
	wg.Wait()
	served := int64(fastRequests)
	for i, r := range slow {
		if r.err != nil {
			t.Errorf("client %d: its connection ended (%v) after %d of %d answers", i, r.err, len(r.answers), requests)
		}
		for _, a := range r.answers {
			if a.result == 0 {
				served++
				if a.body != body {
					t.Errorf("client %d was served %d bytes", i, len(a.body))
				}
			}
		}
	}
	d.onLoop(func() {
		counters, requestCounters := d.program.frontend.Counters, d.program.director.Counters
		if counters.Stuck != 0 {
			t.Errorf("%d connections were closed", counters.Stuck)
		}
		if notServed := clients*requests + fastRequests - served; notServed == 0 || counters.Dropped+counters.Shed != notServed {
			t.Errorf("%d answers dropped, %d calls shed, %d requests not served", counters.Dropped, counters.Shed, notServed)
		}
		if requestCounters.Served != served || requestCounters.Failed != counters.Dropped {
			t.Errorf("%d requests were served; counters: %+v", served, requestCounters)
		}
	})
}

// Guards against taking a request for whose answer there will be no room: it must be rejected before a cache is asked.
func TestCallIsRejectedIfItsAnswerWouldNotFit(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	_, upstream := d.serveFirstRequest(c)
	d.onLoop(func() { d.program.frontend.maxQueuedBytes = 1 << 20 })
	client := d.client()
	body := strings.Repeat("x", 240_000)
	var counters FrontendCounters
	for n := 1; counters.Shed+counters.Dropped == 0; n++ {
		client.submit(fmt.Sprintf("%016x", 0xc000+n), objectA)
		taken := int64(0)
		for taken+counters.Shed < int64(n) {
			d.onLoop(func() { taken, counters = d.program.director.Counters.Accepted-1, d.program.frontend.Counters })
		}
		if counters.Shed > 0 {
			break
		}
		id, _ := upstream.request()
		upstream.answer(id, "OK", objectFields, body)
		for inFlight := 1; inFlight > 0; {
			d.onLoop(func() { inFlight, counters = d.program.director.InFlight(), d.program.frontend.Counters })
		}
	}
	if counters.Dropped != 0 || counters.Shed != 1 {
		t.Errorf("%d answers dropped, %d calls shed", counters.Dropped, counters.Shed)
	}
}

// Guards against memory that fills up with answers for clients that read nothing, however many there are, and against holding
// their connections.
func TestClientsThatReadNothingMeetTheLimits(t *testing.T) {
	const clients, requests = 8, 31
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	d.onLoop(func() { d.program.frontend.maxQueuedBytes = 1 << 20 })
	for i := range clients {
		silent := d.client()
		for n := range requests {
			silent.submit(fmt.Sprintf("%016x", 0xc000+i*requests+n), objectA)
		}
	}
	c.answerAll(strings.Repeat("x", 240_000))
	begin, peak, unread, answered := time.Now(), 0, 0, false
	for !answered || unread > 1<<19 {
		if time.Since(begin) > testTimeout-time.Second {
			t.Fatalf("%d bytes are unread", unread)
		}
		d.onLoop(func() {
			unread = d.program.frontend.unreadUsage().bytes
			answered = d.program.director.Counters.Accepted > 0 && d.program.director.InFlight() == 0
		})
		peak = max(peak, unread)
	}
	d.onLoop(func() {
		if limit := d.program.frontend.unreadLimits().all; peak <= 1<<19 || peak > limit {
			t.Errorf("%d bytes were unread, the limit is %d", peak, limit)
		}
		if d.program.frontend.Counters.Stuck == 0 {
			t.Error("no client was closed")
		}
	})
}

// Guards against memory that fills up with replies to calls which never become a request, for a client that does not read.
func TestFloodOfUnreadRepliesIsBounded(t *testing.T) {
	for _, call := range []string{"heartbeat", "malformed", "unknown"} {
		t.Run(call, func(t *testing.T) {
			c := newScriptedCache(t)
			d := newTestDirector(t, c.host("s-1", "in_service"))
			other, upstream := d.serveFirstRequest(c)
			d.onLoop(func() { d.program.frontend.maxQueuedBytes = 1 << 20 })
			flood := d.client()
			var text strings.Builder
			for range 1000 {
				switch call {
				case "heartbeat":
					text.WriteString(flood.call(1, "heartbeat", "\x02\x00\x01\x01"))
				case "malformed":
					text.WriteString(flood.submitText(requestA, strings.Repeat("\x00", 50_000), time.Second))
				case "unknown":
					text.WriteString(flood.call(1, "no_such_method", ""))
				}
			}
			sent := make(chan error, 1)
			go func() {
				for range 2000 {
					if _, err := io.WriteString(flood.conn, text.String()); err != nil {
						sent <- err
						return
					}
				}
				sent <- nil
			}()
			peak := 0
			for ended := false; !ended; {
				d.onLoop(func() { peak = max(peak, d.program.frontend.unreadUsage().bytes) })
				select {
				case err := <-sent:
					ended = true
					if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
						t.Errorf("the flood ended with %v", err)
					}
				case <-time.After(time.Millisecond):
				}
			}
			limit := 0
			d.onLoop(func() { limit = d.program.frontend.unreadLimits().all })
			if peak > limit {
				t.Errorf("%d bytes were unread, more than %d", peak, limit)
			}
			other.submit(requestB, objectB)
			id, _ := upstream.request()
			upstream.answer(id, "OK", "n=local", "b")
			other.want(2, 0, "b")
		})
	}
}

// Guards against limits whose parts add up to more than the whole, and against rejecting calls while there is room.
func TestUnreadLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := newUnreadLimits(rapid.IntRange(1<<18, 1<<24).Draw(t, "limit"))
		unread := make([]int, rapid.IntRange(1, 40).Draw(t, "clients"))
		sum := func() (usage unreadUsage) {
			for _, n := range unread {
				if n > 0 {
					usage.clients++
					usage.bytes += n
				}
			}
			return usage
		}
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			i := rapid.IntRange(0, len(unread)-1).Draw(t, "client")
			if rapid.Bool().Draw(t, "reads") {
				unread[i] = 0
				continue
			}
			size := rapid.IntRange(1, 240_000).Draw(t, "size")
			before := sum()
			if limits.fits(size, unread[i], before) {
				unread[i] += size
			} else if before.bytes+size <= limits.queued {
				t.Fatalf("an answer of %d bytes does not fit beside %+v", size, before)
			}
			if after := sum(); after.bytes > limits.answers {
				t.Fatalf("%+v exceeds %+v", after, limits)
			}
		}
		usage := sum()
		own := rapid.IntRange(0, limits.queued/max(1, usage.clients)).Draw(t, "own")
		if !limits.admits(own, 1, usage) {
			t.Fatalf("a client with less than its share is rejected: %d of %+v", own, usage)
		}
	})
}

// Guards against limits so low that no large object can be served: cores divide the memory.
func TestLargestObjectFitsWithLittleMemory(t *testing.T) {
	c := newScriptedCache(t)
	d := newTestDirector(t, c.host("s-1", "in_service"))
	config := d.program.config
	config.MemoryMB = 1
	small, err := New(config)
	must(t, err)
	defer small.loop.Release()
	if limits := small.frontend.unreadLimits(); !limits.fits(resp.MaxBulk, 0, unreadUsage{}) {
		t.Errorf("%d bytes do not fit %+v", resp.MaxBulk, limits)
	}
}

// Guards against counting a client as stalled that had nothing to read, or that reads.
func TestDeliveryCountsOnlyUnreadTime(t *testing.T) {
	const unread = 1
	d := delivery{}
	d.check(0, 0, 4*time.Second) // everything is delivered
	d.check(0, unread, 5*time.Second)
	if got := d.stalledFor(6 * time.Second); got != 2*time.Second {
		t.Errorf("stalled for %v", got)
	}
	d.check(1, unread, 7*time.Second)
	if got := d.stalledFor(7 * time.Second); got != 0 {
		t.Errorf("stalled for %v although it reads", got)
	}
	d.check(1, 0, time.Minute)
	d.check(1, unread, time.Minute+time.Second)
	if got := d.stalledFor(time.Minute + time.Second); got != time.Second {
		t.Errorf("stalled for %v although it had nothing to read before", got)
	}
}
