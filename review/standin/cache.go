//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// readWords reads one RESP array of bulk strings.
func readWords(r *bufio.Reader) ([]string, error) {
	n, err := readCount(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readCount(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

func readCount(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 3 || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

func appendWords(b []byte, words ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// partOf returns the bytes of an object's part: its number of bytes depends on the object, evenly spread from least to most.
func partOf(object, part string, least, most int) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(object))
	text := object + "/" + part + " "
	size := least + int(sum.Sum32()%uint32(most-least+1))
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// The scale of the sizes: one transfer runs at flowBytes a second, which stands for flowKB as the simulator counts.
const (
	flowBytes = 310_000
	flowKB    = 5500
)

// memOf returns the size of a part as requests tell it, in KB as the simulator counts it.
func memOf(bytes int) string { return strconv.FormatFloat(float64(bytes)*flowKB/flowBytes, 'f', 1, 64) }

// cache is a cache that has every object, and passes requests that are not kept on to the source that they name. An answer takes the
// time of its transfer and is then written whole.
type cache struct {
	least, most int
	spoil       int // of the good answers every so many'th arrives spoilt; 0: none
	out         *os.File
	since       int64 // Unix milliseconds at which the origin gave out the copies

	mu      sync.Mutex
	answers int
	open    int
}

func runCache(args []string) error {
	var c cache
	set := flag.NewFlagSet("cache", flag.ExitOnError)
	listen := set.String("listen", "", "address")
	set.IntVar(&c.least, "least", 1000, "bytes of the smallest object's part")
	set.IntVar(&c.most, "most", 1000, "bytes of the largest object's part")
	set.IntVar(&c.spoil, "spoil", 0, "every so many'th good answer has an array length that does not fit; 0: none")
	record := set.String("record", "", "file to append the spoilt answers to")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *record != "" {
		var err error
		if c.out, err = os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
			return err
		}
	}
	c.since = time.Now().UnixMilli()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go c.serve(conn)
	}
}

// cacheConn is a connection of a cache, with the requests that are open on it.
type cacheConn struct {
	net.Conn
	mu   sync.Mutex // held while an answer is written
	open map[string]*time.Timer
}

func (c *cacheConn) write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(b) // an error shows when the connection is read
}

// giveUp ends a request without an answer, and reports whether it was open.
func (c *cacheConn) giveUp(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := c.open[id]
	delete(c.open, id)
	return timer != nil && timer.Stop()
}

func (c *cache) serve(conn net.Conn) {
	k := &cacheConn{Conn: conn, open: map[string]*time.Timer{}}
	defer conn.Close()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, timer := range k.open {
			if timer.Stop() {
				c.count(-1)
			}
		}
	}()
	r := bufio.NewReader(conn)
	for {
		words, err := readWords(r)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "do" && len(words) == 4:
			c.start(k, words[1], words[2])
		case words[0] == "undo":
			if k.giveUp(words[1]) {
				c.count(-1)
			}
		case words[0] == "ping":
			k.write(appendWords(nil, words[1], "UP"))
		}
	}
}

func (c *cache) count(change int) (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	return c.open
}

// start begins a request, whose answer is due when its transfer is over.
func (c *cache) start(k *cacheConn, id, fields string) {
	named := map[string]string{}
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		named[name] = value
	}
	isReport := named["sort"] == "stock-report"
	if isReport && named["up"] == "" {
		k.write(appendWords(nil, id, "MISS", "-", ""))
		return
	}
	body := partOf(named["asset"], named["slice"], c.least, c.most)
	load := fmt.Sprintf("busy_reqs:%d;cpu_share:0.3;x1:0.1;x0:0.9", c.count(1))
	head := fmt.Sprintf("n=local,rev=%s,since=%d,l=%s", named["asset"], c.since, load)
	if isReport {
		head = fmt.Sprintf("n=pulled,rev=%s,since=%d,l=%s", named["asset"], time.Now().UnixMilli(), load)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open[id] = time.AfterFunc(time.Duration(len(body))*time.Second/flowBytes, func() {
		c.count(-1)
		k.mu.Lock()
		delete(k.open, id)
		k.mu.Unlock()
		k.write(c.answer(id, named, head, body))
	})
}

// answer returns a good answer. A spoilt one has all its words, and an array length that is one too small.
func (c *cache) answer(id string, named map[string]string, head, body string) []byte {
	out := appendWords(nil, id, "OK", head, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	if c.spoil > 0 && c.answers%c.spoil == 0 {
		out[1]--
		fmt.Fprintf(c.out, "cache: the answer to %s (%s, object %s) goes out with the array length %c before four words\n",
			id, named["sort"], named["asset"], out[1])
	}
	return out
}
