package testharness

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	proxyDialTimeout  = time.Second
	proxyAcceptPause  = 10 * time.Millisecond
	proxyBufferLength = 64 << 10 // bytes
	neverBreak        = -1
)

// Proxy is a port of its own whose connections lead to one process. A direction that is cut takes bytes and delivers none, as a broken
// network does; connections live on and go on once it is no longer cut. All methods may be called concurrently.
type Proxy struct {
	listener net.Listener

	mu         sync.Mutex
	changed    *sync.Cond // of the fields below
	target     string
	forward    bool // bytes go to the target
	backward   bool // and back
	delay      time.Duration
	breakAfter int64 // bytes that still go forward before all connections break; below 0: they never do
	conns      map[net.Conn]bool
	closed     bool
}

// NewProxy makes a proxy without a target.
func NewProxy() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, forward: true, backward: true, breakAfter: neverBreak, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// To sets the target. Connections to another one break.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != address {
		p.target = address
		p.breakConns()
	}
}

// Carry sets in which directions bytes go.
func (p *Proxy) SetForwarding(forward, backward bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forward = forward
	p.backward = backward
	p.changed.Broadcast()
}

// Slow delays each piece that is carried.
func (p *Proxy) SetDelay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = by
}

// BreakAfter breaks all connections once so many more bytes have gone forward; it happens once.
func (p *Proxy) BreakAfter(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAfter = bytes
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close() // nothing is lost with it
	p.breakConns()
	p.changed.Broadcast()
}

// breakConns closes all connections. p.mu is held.
func (p *Proxy) breakConns() {
	for conn := range p.conns {
		_ = conn.Close() // it is to break
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many files are open: a proxy that ended here would hang whoever connects later
			time.Sleep(proxyAcceptPause)
			continue
		}
		go p.connect(near)
	}
}

// connect connects a client with the target.
func (p *Proxy) connect(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.conns[near] = true
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, proxyDialTimeout)
	if err != nil {
		p.end(near)
		return
	}
	p.mu.Lock()
	p.conns[far] = true
	p.mu.Unlock()
	go p.carry(near, far, true)
	p.carry(far, near, false)
}

func (p *Proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // its peer has ended, or it is to break
		delete(p.conns, conn)
	}
}

// carry takes bytes from one end to the other. While the direction is cut it holds what it has read, and reads no more.
func (p *Proxy) carry(from, to net.Conn, forward bool) {
	defer p.end(from, to)
	buffer := make([]byte, proxyBufferLength)
	for {
		n, err := from.Read(buffer)
		allowed, delay := p.await(forward, n)
		if allowed < n {
			err = net.ErrClosed
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if allowed > 0 {
			if _, err := to.Write(buffer[:allowed]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits while the direction is cut. It returns how many of n bytes may pass before the connection breaks, and after which delay.
func (p *Proxy) await(forward bool, n int) (allowed int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && !p.passes(forward) {
		p.changed.Wait()
	}
	if !forward || p.breakAfter < 0 || n == 0 {
		return n, p.delay
	}
	if int64(n) <= p.breakAfter {
		p.breakAfter -= int64(n)
		return n, p.delay
	}
	allowed = int(p.breakAfter)
	p.breakAfter = neverBreak
	return allowed, p.delay
}

// passes reports whether a direction is not cut. p.mu is held.
func (p *Proxy) passes(forward bool) bool {
	if forward {
		return p.forward
	}
	return p.backward
}
