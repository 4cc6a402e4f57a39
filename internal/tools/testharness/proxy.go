package testharness

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	proxyDialTimeout  = time.Second
	acceptRetryPause  = 10 * time.Millisecond
	proxyBufferLength = 64 << 10 // bytes
	neverBreak        = -1
)

// Proxy forwards the connections to its own port to one process. A blocked direction accepts bytes and delivers none, as a network
// partition does; connections stay open and continue once the direction is unblocked. All methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu         sync.Mutex
	cond       *sync.Cond // signals a change of the fields below
	target     string
	forward    bool // bytes are forwarded to the target
	backward   bool // bytes are forwarded from the target
	delay      time.Duration
	breakAfter int64 // bytes still to forward to the target until a connection is broken; below 0: never
	conns      map[net.Conn]bool
	closed     bool
}

// NewProxy starts a proxy without a target on a free port.
func NewProxy() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, forward: true, backward: true, breakAfter: neverBreak, conns: map[net.Conn]bool{}}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget sets the target address. If it changes, all connections are closed.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != address {
		p.target = address
		p.closeAllConns()
	}
}

// SetForwarding sets in which directions bytes are forwarded: forward is to the target, backward from it.
func (p *Proxy) SetForwarding(forward, backward bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forward = forward
	p.backward = backward
	p.cond.Broadcast()
}

// SetDelay sets the delay before each chunk is forwarded, in both directions.
func (p *Proxy) SetDelay(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = by
}

// BreakAfter breaks the connection that exceeds the given number of further bytes to the target, counted over all connections. It
// breaks only one.
func (p *Proxy) BreakAfter(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAfter = bytes
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close() // nothing to flush
	p.closeAllConns()
	p.cond.Broadcast()
}

// closeAllConns closes all connections. The caller holds p.mu.
func (p *Proxy) closeAllConns() {
	for conn := range p.conns {
		_ = conn.Close() // closed to break the connection
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many open files: if the proxy stopped here, later connections would hang
			time.Sleep(acceptRetryPause)
			continue
		}
		go p.connect(client)
	}
}

// connect dials the target and forwards between it and a client connection.
func (p *Proxy) connect(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.conns[client] = true
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, proxyDialTimeout)
	if err != nil {
		p.closeConns(client)
		return
	}
	p.mu.Lock()
	p.conns[server] = true
	p.mu.Unlock()
	go p.forwardBytes(client, server, true)
	p.forwardBytes(server, client, false)
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // its peer has closed it, or it is closed to break it
		delete(p.conns, conn)
	}
}

// forwardBytes copies bytes from one connection to the other. While the direction is blocked, it keeps what it has read and reads no
// more.
func (p *Proxy) forwardBytes(from, to net.Conn, forward bool) {
	defer p.closeConns(from, to)
	buffer := make([]byte, proxyBufferLength)
	for {
		n, err := from.Read(buffer)
		allowed, delay := p.awaitForwarding(forward, n)
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

// awaitForwarding waits while the direction is blocked. It returns how many of n bytes to forward, fewer than n if the connection is to be
// broken after them, and the delay before they are forwarded.
func (p *Proxy) awaitForwarding(forward bool, n int) (allowed int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && !p.isForwarding(forward) {
		p.cond.Wait()
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

// isForwarding reports whether a direction is not blocked. The caller holds p.mu.
func (p *Proxy) isForwarding(forward bool) bool {
	if forward {
		return p.forward
	}
	return p.backward
}
