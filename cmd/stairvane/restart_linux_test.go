package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// retryingClient sends requests one after the other on a connection. A request that crosses the close of its connection is
// sent again to another director.
type retryingClient struct {
	addrs            func() []string
	served           int
	retried          int
	rejectedOrFailed int      // requests
	lost             []string // errors of requests that were lost
}

// closeRaceWindow is the time after sending within which a connection error means that the request crossed the close.
const closeRaceWindow = 50 * time.Millisecond

func (c *retryingClient) run(until time.Time, number int) {
	var conn net.Conn
	seq := 0
	closeConn := func() {
		if conn != nil {
			_ = conn.Close() // it may be closed already
			conn = nil
		}
	}
	defer closeConn()
	for next := number; time.Now().Before(until); {
		if conn == nil {
			addrs := c.addrs()
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
		case err != nil && time.Since(sent) <= closeRaceWindow:
			c.retried++
			closeConn()
			next++
		case err != nil:
			c.lost = append(c.lost, fmt.Sprintf("after %v: %v", time.Since(sent), err))
			closeConn()
			next++
		case result == 0:
			c.served++
		default:
			c.rejectedOrFailed++
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// Guards against losing requests during a rolling restart of directors under load.
func TestRollingRestartLosesNoRequests(t *testing.T) {
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
	const directors, clients = 5, 20
	procs := make([]*directorProcess, directors)
	addrs := make([]string, directors)
	for i := range directors {
		procs[i] = startDirector(t, quickstartConfig(t, controlPlane, 256), 0)
		addrs[i] = procs[i].waitServing()
		for good := false; !good; {
			if good, err = heartbeat(addrs[i]); err != nil {
				t.Fatal(err)
			}
		}
	}
	until := time.Now().Add(directors*1500*time.Millisecond + time.Second)
	retrying := make([]*retryingClient, clients)
	var all sync.WaitGroup
	for i := range retrying {
		retrying[i] = &retryingClient{addrs: func() []string { return addrs }}
		all.Go(func() { retrying[i].run(until, i) })
	}
	for i := range directors {
		procs[i].shutDown(8 * time.Second)
		c := quickstartConfig(t, controlPlane, 256)
		c["listen"] = addrs[i]
		procs[i] = startDirector(t, c, 0)
		procs[i].waitServing()
	}
	all.Wait()
	served, retried, rejectedOrFailed := 0, 0, 0
	for _, p := range retrying {
		served += p.served
		retried += p.retried
		rejectedOrFailed += p.rejectedOrFailed
		for _, l := range p.lost {
			t.Errorf("lost %s", l)
		}
	}
	t.Logf("%d served, %d crossed a close and were sent again, %d rejected or failed", served, retried, rejectedOrFailed)
	if served < 500 || rejectedOrFailed > served/20 || retried > directors*clients {
		t.Errorf("%d served, %d sent again, %d rejected or failed", served, retried, rejectedOrFailed)
	}
}
