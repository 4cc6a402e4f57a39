//go:build review

package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func() int{"6": purgeDuringRestart}

// purgeDuringRestart: directors on several cores are restarted by SIGTERM while each holds one request. A purge is told, then the cache
// that works on the request dies; the request goes to another cache, whose copy is older than the purge.
func purgeDuringRestart() (violations int) {
	for round := 1; round <= 3; round++ {
		violations += purgeRound(round)
	}
	return violations
}

const (
	coresOfDirector = 4
	directorsOfCase = 3
	boxesOfDepot    = 7
	purgeNotice     = 350 * time.Millisecond // 300 ms, and 50 ms more on sockets
)

func purgeRound(round int) (violations int) {
	var mu sync.Mutex
	var purgedAt time.Time // when it was told
	holders := map[string]*cache{}
	first := map[string]bool{}                            // requests that have been received once
	broken := map[string]bool{}                           // requests of which a late attempt was answered from a copy of before the purge
	copySince := time.Now().Add(-time.Minute).UnixMilli() // the copies that the boxes hold
	handle := func(c *cache, a *attempt) {
		mu.Lock()
		again := first[a.ID]
		first[a.ID] = true
		if !again {
			holders[a.ID] = c
		}
		told := purgedAt
		mu.Unlock()
		maxAge, _ := strconv.ParseInt(a.Fields["cap"], 10, 64)
		rec.printf("%s: attempt of %s, class %s, object %s, cap %q, up %q", c.Name, a.ID, a.Fields["sort"], a.Fields["asset"], a.Fields["cap"], a.Fields["up"])
		if !again {
			time.Sleep(3 * time.Second) // a large part: 2 s to send, in a crowded link
			a.answer("OK", fmt.Sprintf("n=local,rev=aa,since=%d", copySince), []byte("old"))
			return
		}
		since, body, note := copySince, "old", "local"
		if maxAge > 0 && time.Now().UnixMilli()-copySince > maxAge { // too old: filled anew
			time.Sleep(100 * time.Millisecond)
			since, body, note = time.Now().UnixMilli(), "new", "pulled"
		}
		after := a.At.Sub(told)
		if body == "old" && !told.IsZero() && after > purgeNotice && !a.isGivenUp() {
			rec.printf("VIOLATION: an attempt that came %v after the purge was told is answered from a copy of before it", after.Round(time.Millisecond))
			mu.Lock()
			broken[a.ID] = true
			mu.Unlock()
		}
		if a.answer("OK", fmt.Sprintf("n=%s,rev=%s,since=%d", note, body, since), []byte(body)) {
			rec.printf("%s: answered %s from the copy %q of %d", c.Name, a.ID, body, since)
		}
	}
	b := newBulletin()
	var hosts []any
	var boxes []*cache
	for i := range boxesOfDepot {
		c := newCache(fmt.Sprintf("s-%08x", 0x1000+i*977), "127.0.0.1:0", handle)
		boxes = append(boxes, c)
		hosts = append(hosts, host(c, "edge-1", "small-box", "in_service"))
	}
	for i, site := range []string{"north", "south"} {
		c := newCache(fmt.Sprintf("s-%08x", 0x9000+i*977), "127.0.0.1:0", handle)
		boxes = append(boxes, c)
		hosts = append(hosts, host(c, site, "parent", "in_service"))
	}
	origin := newCache("s-0000f000", "127.0.0.1:0", handle)
	boxes = append(boxes, origin)
	hosts = append(hosts, host(origin, "north", "origin", "in_service"))
	b.add("roster", map[string]any{"seq": 1, "whole": true, "hosts": hosts})

	program := writeFile("director.scm", fmt.Appendf(nil, "(director (cores %d) (divide connection))\n", coresOfDirector))
	var directors []*process
	var ends []<-chan result
	var ids []string
	object := randomID()
	for i := range directorsOfCase {
		name := fmt.Sprintf("r%d-n%d", round, i+1)
		listen := freeAddr()
		directors = append(directors, start(name, []string{"LB_CONFIG=" + directorConfig(name, listen, b, steppeSettings())}, "director", program))
		waitFor(name+" is ready", 5*time.Second, func() bool { return heartbeat(listen) })
		time.Sleep(100 * time.Millisecond)
		c, err := connect(listen)
		if err != nil {
			fail("%v", err)
		}
		id := randomID()
		ids = append(ids, id)
		rec.printf("client of %s: request %s for part 3 of object %s", name, id, object)
		ends = append(ends, c.submit(nil, "method", "clips", "rid", id, "budget", "6000", "obj", object, "part", "3", "group", "17", "mem", "11000"))
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		for _, p := range directors {
			p.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	b.add("recall", map[string]any{"item": object, "issued": time.Now().UnixMilli()})
	mu.Lock()
	purgedAt = time.Now()
	mu.Unlock()
	rec.printf("purge of %s is told", object)
	time.Sleep(700 * time.Millisecond)
	mu.Lock()
	holder := holders[ids[0]]
	same := holder != nil
	for _, id := range ids {
		same = same && holders[id] == holder
	}
	mu.Unlock()
	if !same {
		fail("the directors do not send the part to one box") // only one of seven boxes may die
	}
	rec.printf("%s dies", holder.Name)
	holder.die()
	for i, end := range ends {
		r := <-end
		rec.printf("client: request %s %s, body %q", ids[i], r.Kind, r.Body)
		mu.Lock()
		if r.Kind == "served" && string(r.Body) == "old" && broken[ids[i]] {
			violations++
		}
		mu.Unlock()
	}
	for _, p := range directors {
		p.signal(syscall.SIGTERM)
		p.waitEnd(3 * time.Second)
	}
	for _, c := range boxes {
		c.die()
	}
	return violations
}
