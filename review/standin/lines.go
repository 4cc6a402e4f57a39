//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// line forwards connections from one process to another, and can be cut. Over a cut line nothing arrives: open connections stay open
// and silent, and new ones never come up.
type line struct {
	name, to string

	mu    sync.Mutex
	cond  *sync.Cond
	isCut bool
	cuts  int // number of cuts so far
}

// runLines forwards lines, each given as NAME=LISTEN=TO, and reads commands: "cut NAME" and "heal NAME". It ends with its input.
func runLines(args []string) error {
	lines := map[string]*line{}
	for _, arg := range args {
		parts := strings.Split(arg, "=")
		if len(parts) != 3 {
			return fmt.Errorf("%q is not NAME=LISTEN=TO", arg)
		}
		l := &line{name: parts[0], to: parts[2]}
		l.cond = sync.NewCond(&l.mu)
		lines[l.name] = l
		listener, err := net.Listen("tcp", parts[1])
		if err != nil {
			return err
		}
		go l.accept(listener)
	}
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		words := strings.Fields(commands.Text())
		if len(words) != 2 || lines[words[1]] == nil {
			return fmt.Errorf("unknown command %q", commands.Text())
		}
		l := lines[words[1]]
		l.mu.Lock()
		l.isCut = words[0] == "cut"
		if l.isCut {
			l.cuts++
		}
		l.cond.Broadcast()
		l.mu.Unlock()
	}
	return nil
}

func (l *line) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

// forward joins a connection to one to the other process. A connection that is opened while the line is cut is never forwarded, not
// even in part.
func (l *line) forward(c net.Conn) {
	defer c.Close()
	l.mu.Lock()
	for cuts := l.cuts; l.isCut; {
		l.cond.Wait()
		if !l.isCut || l.cuts > cuts {
			l.mu.Unlock()
			return
		}
	}
	l.mu.Unlock()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, to}, {to, c}} {
		go func() {
			l.copy(pair[1], pair[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// copy forwards bytes until either side ends. Bytes that are read while the line is cut go on when it is whole again, as bytes that
// are sent again by TCP do.
func (l *line) copy(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		l.mu.Lock()
		for l.isCut {
			l.cond.Wait()
		}
		l.mu.Unlock()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
