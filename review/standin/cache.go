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

// cache is a cache that has every object: it answers each request at once.
type cache struct {
	least, most int
	spoil       int // of the good answers every so many'th arrives spoilt; 0: none
	out         *os.File

	mu      sync.Mutex
	answers int
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

func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		words, err := readWords(r)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "do" && len(words) == 4:
			_, err = conn.Write(c.answer(words[1], words[2]))
		case words[0] == "ping":
			_, err = conn.Write(appendWords(nil, words[1], "UP"))
		}
		if err != nil {
			return
		}
	}
}

// answer returns the answer to a request. A spoilt one has all its words, and an array length that is one too small.
func (c *cache) answer(id, fields string) []byte {
	named := map[string]string{}
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		named[name] = value
	}
	head := fmt.Sprintf("n=local,rev=4be0c1927d55a6f3,since=%d", time.Now().UnixMilli())
	out := appendWords(nil, id, "OK", head, partOf(named["asset"], named["slice"], c.least, c.most))
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
