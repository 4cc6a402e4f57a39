package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// retryingClient sends one request after another on a connection. A request that races the close of its connection is sent
// again to another director.
type retryingClient struct {
	addrs   func() []string
	served  int
	retried int
	others  int      // rejected or failed
	lost    []string // why
}

// closeCrossing is how long a request may be on its way while its connection is closed.
const closeCrossing = 50 * time.Millisecond

func (p *retryingClient) run(until time.Time, number int) {
	var conn net.Conn
	seq := 0
	closeConn := func() {
		if conn != nil {
			_ = conn.Close() // it may have ended
			conn = nil
		}
	}
	defer closeConn()
	for next := number; time.Now().Before(until); {
		if conn == nil {
			addrs := p.addrs()
			var err error
			if conn, err = net.Dial("tcp", addrs[next%len(addrs)]); err != nil {
				next++
				time.Sleep(time.Millisecond)
				continue
			}
			seq = 0
		}
		seq++
		sent := time.Now()
		result, err := sendRequest(conn, seq, fmt.Sprintf("%08x%08x", number, sent.UnixNano()&0xffffffff))
		switch {
		case err != nil && time.Since(sent) <= closeCrossing:
			p.retried++
			closeConn()
			next++
		case err != nil:
			p.lost = append(p.lost, fmt.Sprintf("after %v: %v", time.Since(sent), err))
			closeConn()
			next++
		case result == 0:
			p.served++
		default:
			p.others++
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// Guards against requests lost while directors are restarted one after another under load.
func TestRestartsUnderLoadLoseNothing(t *testing.T) {
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	slow, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.SetDelay(300 * time.Millisecond)
	fastEndpoint := endpoint("s-1", cache.Addr(), "in_service", 8, 0)
	slowEndpoint := endpoint("s-2", slow.Addr(), "in_service", 8, 0)
	d := newFakeControlPlane(endpointList(1, true, fastEndpoint, slowEndpoint))
	controlPlane := serveControlPlane(t, "127.0.0.1:0", d)
	const nodes, clients = 5, 20
	procs := make([]*directorProcess, nodes)
	addrs := make([]string, nodes)
	for i := range nodes {
		procs[i] = startDirector(t, quickstartConfig(t, controlPlane, 256), 0)
		addrs[i] = procs[i].waitServing()
		for good := false; !good; {
			if good, err = heartbeat(addrs[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	until := time.Now().Add(nodes*1500*time.Millisecond + time.Second)
	retrying := make([]*retryingClient, clients)
	var all sync.WaitGroup
	for i := range retrying {
		retrying[i] = &retryingClient{addrs: func() []string { return addrs }}
		all.Go(func() { retrying[i].run(until, i) })
	}
	for i := range nodes {
		procs[i].shutDown(8 * time.Second)
		c := quickstartConfig(t, controlPlane, 256)
		c["listen"] = addrs[i]
		procs[i] = startDirector(t, c, 0)
		procs[i].waitServing()
	}
	all.Wait()
	served, retried, others := 0, 0, 0
	for _, p := range retrying {
		served += p.served
		retried += p.retried
		others += p.others
		for _, l := range p.lost {
			t.Errorf("lost %s", l)
		}
	}
	t.Logf("%d served, %d raced a close and were sent again, %d rejected or failed", served, retried, others)
	if served < 500 || others > served/20 || retried > nodes*clients {
		t.Errorf("%d served, %d sent again, %d rejected or failed", served, retried, others)
	}
}
