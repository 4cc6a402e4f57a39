package main

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"stairvane.org/stairvane/internal/tools/fakes"
)

// Guards against idle clients that use up the descriptors needed for active clients, caches and the control plane.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const descriptors = 128
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	reserved, err := net.Listen("tcp", "127.0.0.1:0") // reserves a port for later use
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.Addr().String()
	if err := reserved.Close(); err != nil {
		t.Fatal(err)
	}
	c := quickstartConfig(t, address, descriptors)
	inService := endpoint("s-1", cache.Addr(), "in_service", 8, 0)
	terminated := endpoint("s-1", cache.Addr(), "terminated", 8, 0)
	c["known"] = json.RawMessage(`{"no":1,"items":[{"no":1,` + endpointList(1, true, inService) + `}]}`)
	p := startDirector(t, c, descriptors)
	addr := p.waitServing()
	for i := range 3 * descriptors { // half of them send one request, half send nothing; closed ones are not reopened
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // nothing depends on it
		if i%2 == 0 {
			client, err := fakes.Connect(addr)
			if err != nil {
				t.Fatal(err)
			}
			if err := client.SendRandom(100, 5*time.Second); err != nil {
				t.Logf("rejected: %v", err)
			}
			defer client.Finish(0)
		}
	}
	// New clients may be rejected while all others are so new that their first requests may still be in transit.
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		client, err := fakes.Connect(addr)
		if err == nil && client.SendRandom(100, time.Second) == nil && client.Finish(time.Second).Served == 1 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("no new client is admitted:\n%s", p.logged())
		}
	}
	if tally, err := fakes.Load(addr, 50, time.Second); err != nil || tally.Served != tally.Sent {
		t.Errorf("with all descriptors in use: %+v, %v", tally, err)
	}
	d := newFakeControlPlane(endpointList(1, true, inService), endpointList(2, false, terminated))
	serveControlPlane(t, address, d)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if good, err := heartbeat(addr); err == nil && !good {
			break // the only cache is gone, so the event has been applied
		}
		if time.Now().After(until) {
			t.Fatalf("no event is applied:\n%s", p.logged())
		}
	}
	for _, bad := range []string{"accept.failed", "connection.dial_failed", "connection.limit_reached", "panic"} {
		if strings.Contains(p.logged(), bad) {
			t.Errorf("%s is logged", bad)
		}
	}
	p.shutDown(5 * time.Second)
}
