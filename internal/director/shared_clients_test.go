package director

import (
	"fmt"
	"net"
	"testing"
)

// Guards against a core that rejects clients because its share of the descriptors is used up, while other cores have room.
func TestCoresShareTheLimitOfClients(t *testing.T) {
	const cores = 4
	silent := newScriptedCache(t)
	sent := countAll(silent)
	g := newTestGroup(t, cores, 1)
	g.responses <- fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"seq":2,"whole":true,"hosts":[%s]}}]}`, silent.host("s-9", "in_service"))
	g.waitAllApplied(2)
	const clients, divisor = 46, 16 // of 48 that all cores together may have
	for _, c := range g.group.cores {
		done := make(chan struct{})
		c.prog.Post(func() { c.prog.frontend.maxClients /= divisor; close(done) })
		<-done
	}
	for i := range clients { // each has a request open, so that it can't be closed for another
		conn, err := net.Dial("tcp", g.addr)
		must(t, err)
		p := newScriptedConn(t, conn)
		p.submit(fmt.Sprintf("%016x", 0xa000+i), fmt.Sprintf("%016x", 0xa000+i), "mem", "9000")
	}
	waitCount(t, sent, clients)
	rejected := make(chan int64, cores)
	g.group.onAllCores(func(p *Program) { rejected <- p.frontend.Counters.Rejected })
	for range cores {
		if n := <-rejected; n > 0 {
			t.Errorf("a core has rejected %d clients", n)
		}
	}
}
