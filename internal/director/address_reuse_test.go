package director

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// reuseAddress ends a cache and starts another process at its address.
func (c *scriptedCache) reuseAddress() *scriptedCache {
	c.t.Helper()
	address := c.listener.Addr().String()
	must(c.t, c.listener.Close())
	ln, err := net.Listen("tcp", address)
	must(c.t, err)
	c.t.Cleanup(func() { _ = ln.Close() }) // it may be closed already
	return &scriptedCache{c.t, ln}
}

// as returns a host line with another kind and zone.
func as(line, kind, zone string) string {
	return strings.NewReplacer(`"std"`, fmt.Sprintf("%q", kind), `"west"`, fmt.Sprintf("%q", zone)).Replace(line)
}

// Guards against work for a cache that has gone and that is sent to another process, which has taken its address.
func TestNewProcessAtAnAddressIsNotTakenForTheOldOne(t *testing.T) {
	for name, oldEntry := range map[string]string{"old cache still listed": "", "old cache listed as terminated": "terminated"} {
		t.Run(name, func(t *testing.T) {
			old, other := newScriptedCache(t), newScriptedCache(t)
			d := newTestDirector(t, old.host("s-1", "in_service"), other.host("s-2", "in_service"))
			replaced := old.reuseAddress()
			lines := as(replaced.host("s-3", "in_service"), "std", "hub") // clients of this director are never served from there
			if oldEntry != "" {
				lines = old.host("s-1", oldEntry) + "," + lines
			}
			wrong := countAll(replaced)
			served := countAll(other)
			d.publish(2, fmt.Sprintf(`"roster":{"seq":2,"whole":false,"hosts":[%s]}`, lines))
			client := d.client()
			for i := range 24 {
				client.submit(fmt.Sprintf("%016x", 0xf000+i), fmt.Sprintf("%016x", 0x1000+i))
			}
			waitCount(t, served, 24)
			if n := wrong.Load(); n > 0 {
				t.Errorf("%d requests were sent to the process that has taken the address", n)
			}
		})
	}
}

// Guards against an attempt that waits for a connection to a cache, and is sent once another process at its address accepts one.
func TestWaitingAttemptIsNotSentToNewProcessAtTheAddress(t *testing.T) {
	full, other := newFullListenerCache(t), newScriptedCache(t)
	d := newTestDirectorWith(t, strings.Replace(testSettings, `"DialTimeout":400`, `"DialTimeout":5000`, 1), full.host("s-1", "in_service"))
	client := d.client()
	client.submit(requestA, objectA, "mem", "9000") // waits for a connection
	client.heartbeat()                              // the request has been accepted by now
	d.publish(2, fmt.Sprintf(`"roster":{"seq":2,"whole":false,"hosts":[%s,%s,%s]}`, full.host("s-1", "terminated"),
		as(full.host("s-3", "in_service"), "std", "hub"), other.host("s-2", "in_service")))
	served := countAll(other)
	go func() { // the new process accepts what waits for the old one
		for {
			conn, err := full.listener.Accept()
			if err != nil {
				return
			}
			p := newScriptedConn(t, conn)
			p.commands = make(chan []string, 16)
			go p.serve()
			go func() {
				for cmd := range p.commands {
					if cmd[0] == "do" {
						t.Errorf("%q was sent to the process that has taken the address", cmd)
					}
				}
			}()
		}
	}()
	waitCount(t, served, 1)
	time.Sleep(100 * time.Millisecond)
}
