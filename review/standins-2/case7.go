//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = slowReaders }

const (
	slowClients   = 10
	slowRate      = 40_000 // bytes a second
	fastClients   = 5
	perClientS    = 8 // requests a second of each client
	mostOpen      = 32
	partBytes     = 200_000
	budgetOfCase  = 6 * time.Second
	lengthOfCase  = 20 * time.Second
	crossesWithin = 50 * time.Millisecond
)

// readerTally counts the requests of all clients of the case by their ends.
type readerTally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *readerTally) add(kind, end string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[kind+" "+end]++
}

// reader is a client that reads all the time, at a steady rate. It stops waiting for a request when its time is up, and revokes it.
type reader struct {
	kind  string
	rate  int // bytes a second; 0: as fast as it can
	conn  net.Conn
	tally *readerTally
	hurry atomic.Bool // the connection is known to have ended: read what has arrived

	mu   sync.Mutex
	seq  int32
	open map[int32]time.Time // when each was sent
	read int                 // bytes of an answer that has begun to arrive
	got  int
	over bool
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	if r.rate > 0 && !r.hurry.Load() {
		time.Sleep(10 * time.Millisecond)
		b = b[:min(len(b), r.rate/100)]
	}
	n, err := r.conn.Read(b)
	r.mu.Lock()
	r.read += n
	r.got += n
	r.mu.Unlock()
	return n, err
}

func (r *reader) readAll() {
	head := make([]byte, 4)
	for {
		if _, err := io.ReadFull(r, head); err != nil {
			r.ended(err)
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(r, frame); err != nil {
			r.ended(err)
			return
		}
		name := int(binary.BigEndian.Uint32(frame[4:]))
		seq := int32(binary.BigEndian.Uint32(frame[8+name:]))
		end := "failed"
		if result := frame[12+name:]; frame[3] == 2 && result[0] == 0x0c {
			end = []string{"served", "refused", "failed"}[result[2]]
		}
		r.mu.Lock()
		r.read = 0
		_, waits := r.open[seq]
		delete(r.open, seq)
		r.mu.Unlock()
		if waits {
			r.tally.add(r.kind, end)
		}
	}
}

// ended counts what was open when the connection ended.
func (r *reader) ended(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return
	}
	r.over = true
	oldest := int32(0)
	for seq := range r.open {
		if oldest == 0 || seq < oldest {
			oldest = seq
		}
	}
	for seq, sent := range r.open {
		switch age := time.Since(sent); {
		case age >= budgetOfCase:
			r.tally.add(r.kind, "given up")
		case age < crossesWithin:
			r.tally.add(r.kind, "crossed the close")
		case seq == oldest && r.read > 0:
			r.tally.add(r.kind, "cut off in its answer")
		default:
			r.tally.add(r.kind, "LOST")
			rec.printf("%s client: request %d of %v ago is lost", r.kind, seq, age.Round(time.Millisecond))
		}
	}
	rec.printf("%s client: its connection has ended (%v) after %d bytes, %d requests were open", r.kind, err, r.got, len(r.open))
}

// send sends one request, unless as many are open as may be, and revokes those whose time is up.
func (r *reader) send() (more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	var out []byte
	for seq, sent := range r.open {
		if time.Since(sent) >= budgetOfCase {
			delete(r.open, seq)
			r.tally.add(r.kind, "given up")
			m := binary.BigEndian.AppendUint32(nil, 0x80010004)
			m = append(appendText(m, "revoke"), 0, 0, 0, 0)
			m = append(m, 0x08, 0, 1)
			m = append(binary.BigEndian.AppendUint32(m, uint32(seq)), 0)
			out = append(append(out, binary.BigEndian.AppendUint32(nil, uint32(len(m)))...), m...)
		}
	}
	if len(r.open) < mostOpen {
		r.seq++
		id := randomID()
		m := append(thriftHead("submit", r.seq), 0x0d, 0, 1, 0x0b, 0x0b)
		fields := []string{"method", "clips", "rid", id, "budget", "6000", "obj", id, "part", "0", "group", "3", "mem", "2000"}
		m = binary.BigEndian.AppendUint32(m, uint32(len(fields)/2))
		for _, f := range fields {
			m = appendText(m, f)
		}
		m = append(appendText(append(m, 0x0b, 0, 2), ""), 0)
		out = append(append(out, binary.BigEndian.AppendUint32(nil, uint32(len(m)))...), m...)
		r.open[r.seq] = time.Now()
	}
	if len(out) > 0 {
		if _, err := r.conn.Write(out); err != nil && !r.hurry.Swap(true) {
			rec.printf("%s client: can't write any more (%v)", r.kind, err)
		}
	}
	return true
}

// slowReaders: some clients read slowly, but steadily, parts of which they have asked for more than they read.
func slowReaders() int {
	body := make([]byte, partBytes)
	handle := func(_ *cache, a *attempt) {
		time.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
		a.answer("OK", fmt.Sprintf("n=local,rev=1,since=%d", time.Now().UnixMilli()), body)
	}
	b := newBulletin()
	var hosts []any
	for i := range 4 {
		hosts = append(hosts, host(newCache(fmt.Sprintf("s-%08x", 0x1000+i*977), "127.0.0.1:0", handle), "edge-1", "small-box", "in_service"))
	}
	for i, site := range []string{"north", "south"} {
		hosts = append(hosts, host(newCache(fmt.Sprintf("s-%08x", 0x9000+i*977), "127.0.0.1:0", handle), site, "parent", "in_service"))
	}
	hosts = append(hosts, host(newCache("s-0000f000", "127.0.0.1:0", handle), "north", "origin", "in_service"))
	b.add("roster", map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	listen := freeAddr()
	known, _ := b.since(0)
	path := writeFile("n1.json", mustJSON(map[string]any{"name": "n1", "listen": listen, "seed": randomID(),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "bulletin": b.addr, "known": known, "settings": steppeSettings()}))
	director := start("n1", []string{"LB_CONFIG=" + path})
	waitFor("the director is ready", 5*time.Second, func() bool { return heartbeat(listen) })
	t := &readerTally{counts: map[string]int{}}
	rate := slowRate
	if !trouble {
		rate = 0
	}
	var wg sync.WaitGroup
	end := time.Now().Add(lengthOfCase)
	run := func(kind string, rate int) {
		defer wg.Done()
		for time.Now().Before(end) {
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				fail("%v", err)
			}
			r := &reader{kind: kind, rate: rate, conn: conn, tally: t, open: map[int32]time.Time{}}
			go r.readAll()
			for time.Now().Before(end) && r.send() {
				time.Sleep(time.Second / perClientS)
			}
			if time.Now().Before(end) {
				conn.Close()
				continue
			}
			for range 30 { // what is open at the end
				r.mu.Lock()
				left := len(r.open)
				r.mu.Unlock()
				if left == 0 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			r.mu.Lock()
			r.over = true
			r.mu.Unlock()
			conn.Close()
		}
	}
	for range slowClients {
		wg.Add(1)
		go run("slow", rate)
		time.Sleep(12 * time.Millisecond)
	}
	for range fastClients {
		wg.Add(1)
		go run("fast", 0)
		time.Sleep(12 * time.Millisecond)
	}
	wg.Wait()
	if !director.isRunning() {
		rec.printf("VIOLATION: the director has ended")
		return 1
	}
	rec.printf("all requests by their ends: %v", t.counts)
	fmt.Println(t.counts)
	return t.counts["slow LOST"] + t.counts["fast LOST"]
}
