package main

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"stairvane.org/stairvane/internal/tools/fakes"
)

// Guards against directors that become ready too late when many start at the same time without an endpoint list. The time from
// start to listening plus the time from the publication of the list to readiness must be at most 10 s for nine in ten directors.
func TestThirtyDirectorsAreReadyInTime(t *testing.T) {
	cache, err := fakes.NewCache("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer cache.Close()
	d := newFakeControlPlane()
	addr := serveControlPlane(t, "127.0.0.1:0", d)
	directorBinary(t) // built before the measurement starts
	const directors = 30
	started := time.Now()
	procs := make([]*directorProcess, directors)
	for i := range procs {
		procs[i] = startDirector(t, quickstartConfig(t, addr, 256), 0)
	}
	for _, p := range procs {
		if good, err := heartbeat(p.waitServing()); err != nil || good {
			t.Fatalf("ready without an endpoint list: %t, %v", good, err)
		}
	}
	up := time.Since(started)
	d.publish(endpointList(1, true, endpoint("s-1", cache.Addr(), "in_service", 8, 0)))
	published := time.Now()
	var took []time.Duration
	for _, p := range procs {
		for {
			good, err := heartbeat(p.addr)
			if err != nil {
				t.Fatal(err)
			}
			if good {
				break
			}
			if time.Since(published) > 10*time.Second {
				t.Fatal("a director is not ready within 10 s")
			}
			time.Sleep(5 * time.Millisecond)
		}
		took = append(took, time.Since(published))
	}
	slices.Sort(took)
	t.Logf("all %d listened after %v; ready after the list was published: median %v, 90th percentile %v, last %v",
		directors, up.Round(time.Millisecond), took[directors/2].Round(time.Millisecond),
		took[directors*9/10].Round(time.Millisecond), took[directors-1].Round(time.Millisecond))
	if up+took[directors*9/10] > 10*time.Second {
		t.Errorf("90%% are ready only after %v", up+took[directors*9/10])
	}
}

// Guards against ignoring a SIGTERM before the first endpoint list arrives or while the control plane is unreachable.
func TestShutdownBeforeEndpointList(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // never accepts: a poll hangs after it is sent
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) }) // nothing depends on it
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	hangs := fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port)
	for range 4 { // fills the accept queue, so that further dials hang
		if conn, err := net.DialTimeout("tcp", hangs, 50*time.Millisecond); err == nil {
			defer func() { _ = conn.Close() }() // nothing depends on it
		}
	}
	for name, address := range map[string]string{
		"refused": "127.0.0.1:1",
		"dialing": hangs,
		"silent":  serveControlPlane(t, "127.0.0.1:0", newFakeControlPlane()),
	} {
		p := startDirector(t, quickstartConfig(t, address, 256), 0)
		if good, err := heartbeat(p.waitServing()); err != nil || good {
			t.Errorf("%s: ready without an endpoint list: %t, %v", name, good, err)
		}
		p.shutDown(5 * time.Second)
	}
}
