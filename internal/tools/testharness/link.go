// Package rig starts several processes of the program on one machine, each with a folder that stands for its machine's
// disk, runs the lines between them through stand-ins of links, and puts faults in both. It serves tests and measurements.
package testharness

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Proxy is a stand-in of a line to one process: a port of its own whose connections lead there. A cut line takes bytes and
// carries none, as a broken one does; connections live on and go on once it is whole again.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	to       string
	there    bool // bytes go there
	back     bool // and back
	delay    time.Duration
	breakAt  int64 // bytes that still go there before all connections break; below 0: no end
	conns    map[net.Conn]bool
	closed   bool
}

// NewProxy makes a line that leads nowhere yet.
func NewProxy() (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Proxy{listener: l, there: true, back: true, breakAt: -1, conns: map[net.Conn]bool{}}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// Addr is the near end.
func (k *Proxy) Addr() string { return k.listener.Addr().String() }

// To sets the far end. Connections to the one before break.
func (k *Proxy) To(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.to != address {
		k.to = address
		k.reset()
	}
}

// Carry sets in which directions bytes go.
func (k *Proxy) Carry(there, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.there, k.back = there, back
	k.changed.Broadcast()
}

// Slow makes each piece of what is carried later by a time.
func (k *Proxy) Slow(by time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = by
}

// BreakAfter breaks all connections once so many more bytes have gone there; it happens once.
func (k *Proxy) BreakAfter(bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.breakAt = bytes
}

// Close ends the line.
func (k *Proxy) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.listener.Close()
	k.reset()
	k.changed.Broadcast()
}

func (k *Proxy) reset() {
	for c := range k.conns {
		c.Close()
	}
}

func (k *Proxy) accept() {
	for {
		near, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many files are open: a line that ended here would hang whoever comes later
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go k.join(near)
	}
}

func (k *Proxy) join(near net.Conn) {
	k.mu.Lock()
	to := k.to
	k.conns[near] = true
	k.mu.Unlock()
	far, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		k.end(near)
		return
	}
	k.mu.Lock()
	k.conns[far] = true
	k.mu.Unlock()
	go k.carry(near, far, true)
	k.carry(far, near, false)
}

func (k *Proxy) end(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(k.conns, c)
	}
}

// carry takes bytes from one end to the other. While the direction is cut it holds what it has read, and reads no more.
func (k *Proxy) carry(from, to net.Conn, there bool) {
	defer k.end(from, to)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		for !k.closed && (there && !k.there || !there && !k.back) {
			k.changed.Wait()
		}
		delay := k.delay
		if there && k.breakAt >= 0 && n > 0 {
			if int64(n) > k.breakAt {
				n = int(k.breakAt)
				err = net.ErrClosed
				k.breakAt = -1
			} else {
				k.breakAt -= int64(n)
			}
		}
		k.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
