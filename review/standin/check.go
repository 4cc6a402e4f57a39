//go:build review

package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// checkedRequest is an open request of a checking client.
type checkedRequest struct {
	id, class, object string
	at                time.Time
}

// checker counts answers, and compares the bytes of each served one with those that the caches have for the object's part.
type checker struct {
	least, most int
	out         *os.File

	mu                                   sync.Mutex
	sent, served, refused, failed, wrong int
	wrongReports                         int // of the wrong ones, those of the class stock-report
	again, ended                         int // second answers; connections that the director ended with open requests
}

// runCheck sends requests over some connections and ends with 1 if one is served with other bytes than the caches have for it.
func runCheck(args []string) error {
	set := flag.NewFlagSet("check", flag.ExitOnError)
	var k checker
	director := set.String("director", "", "address")
	conns := set.Int("conns", 4, "connections")
	perS := set.Int("per-second", 50, "requests a second")
	length := set.Duration("length", 10*time.Second, "for how long requests are sent")
	set.IntVar(&k.least, "least", 1000, "bytes of the smallest object's part")
	set.IntVar(&k.most, "most", 1000, "bytes of the largest object's part")
	record := set.String("record", "", "file to append to")
	if err := set.Parse(args); err != nil {
		return err
	}
	var err error
	if k.out, err = os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	clients := make([]*checkClient, *conns)
	for i := range clients {
		clients[i] = &checkClient{checker: &k, open: map[int32]checkedRequest{}}
		if clients[i].conn, err = net.Dial("tcp", *director); err != nil {
			return err
		}
		go clients[i].receive()
	}
	start := time.Now()
	for n := 0; time.Since(start) < *length; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(*perS))))
		class := "clips"
		if n%3 == 2 {
			class = "stock-report"
		}
		clients[n%len(clients)].send(class)
	}
	time.Sleep(3500 * time.Millisecond)
	k.mu.Lock()
	defer k.mu.Unlock()
	fmt.Fprintf(k.out, "sent %d: served with the caches' bytes %d, refused %d, failed %d, served with other bytes %d (stock-report %d), answered again %d, connections ended %d\n",
		k.sent, k.served, k.refused, k.failed, k.wrong, k.wrongReports, k.again, k.ended)
	switch {
	case k.wrong > 0:
		fmt.Fprintf(k.out, "the rule is broken: %d requests were served with what no cache made for them\n", k.wrong)
		os.Exit(1)
	case k.served == 0:
		return fmt.Errorf("nothing was served")
	}
	fmt.Fprintln(k.out, "the rule held")
	return nil
}

// checkClient is one connection of a checking client.
type checkClient struct {
	checker *checker
	conn    net.Conn

	mu   sync.Mutex
	seq  int32
	open map[int32]checkedRequest
}

func (c *checkClient) send(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= 32 {
		return
	}
	c.seq++
	r := checkedRequest{fmt.Sprintf("%016x", rand.Uint64()), class, fmt.Sprintf("%016x", rand.Uint64()), time.Now()}
	budget, group := "6000", fmt.Sprint(rand.IntN(256))
	fields := []string{"method", class, "rid", r.id, "obj", r.object, "part", "0", "group", group,
		"mem", memOf(len(partOf(r.object, "0", c.checker.least, c.checker.most)))}
	if class == "stock-report" {
		budget = "3000"
		fields = append(fields, "token", fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
	}
	c.open[c.seq] = r
	if _, err := c.conn.Write(submitFrame(c.seq, append(fields, "budget", budget)...)); err != nil {
		delete(c.open, c.seq)
		return
	}
	c.checker.mu.Lock()
	c.checker.sent++
	c.checker.mu.Unlock()
}

func (c *checkClient) receive() {
	for {
		head := make([]byte, 4)
		_, err := io.ReadFull(c.conn, head)
		var b []byte
		if err == nil {
			b = make([]byte, binary.BigEndian.Uint32(head))
			_, err = io.ReadFull(c.conn, b)
		}
		var answer answerHead
		if err == nil {
			answer, err = parseAnswer(b)
		}
		if err != nil {
			c.checker.mu.Lock()
			c.checker.ended++
			fmt.Fprintf(c.checker.out, "client: the connection ended: %v\n", err)
			c.checker.mu.Unlock()
			return
		}
		c.mu.Lock()
		r, open := c.open[answer.seq]
		delete(c.open, answer.seq)
		c.mu.Unlock()
		c.checker.count(answer, b, r, open)
	}
}

// count counts an answer. The bytes of a served one are in field 1 of the answer, which is field 0 of the result.
func (k *checker) count(answer answerHead, b []byte, r checkedRequest, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !open:
		k.again++
	case answer.word == "refused":
		k.refused++
		k.note(r, "refused")
	case answer.word == "failed":
		k.failed++
		k.note(r, "failed")
	default:
		body := answerBody(b)
		if body == partOf(r.object, "0", k.least, k.most) {
			k.served++
			k.note(r, fmt.Sprintf("served, %d bytes", len(body)))
			return
		}
		k.wrong++
		if r.class == "stock-report" {
			k.wrongReports++
		}
		fmt.Fprintf(k.out, "client: %s (%s, object %s) is served, good, with %d bytes after %.1f ms; the caches have %d bytes for it\n",
			r.id, r.class, r.object, len(body), float64(time.Since(r.at).Microseconds())/1000, len(partOf(r.object, "0", k.least, k.most)))
	}
}

// note records the end of a request.
func (k *checker) note(r checkedRequest, end string) {
	fmt.Fprintf(k.out, "client: %s (%s, object %s) %s after %.1f ms\n", r.id, r.class, r.object, end,
		float64(time.Since(r.at).Microseconds())/1000)
}

// answerBody returns the body of a served answer.
func answerBody(b []byte) string {
	at := 8 + int(binary.BigEndian.Uint32(b[4:])) + 4 // behind the name and the number
	at += 3                                           // the result's field 0, a struct
	if len(b) < at+7 || b[at] != 11 || binary.BigEndian.Uint16(b[at+1:]) != 1 {
		return ""
	}
	size := int(binary.BigEndian.Uint32(b[at+3:]))
	return string(b[at+7 : min(len(b), at+7+size)])
}
