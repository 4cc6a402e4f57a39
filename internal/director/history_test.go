package director

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// Guards against a core that keeps counting by the events of an earlier event log, and skips those of a new one.
func TestNewEventLogReachesAllCores(t *testing.T) {
	g := newTestGroup(t, 4, 1)
	purge := func(revision int, history string) string {
		return fmt.Sprintf(`{"no":%d,"history":%q,"items":[{"no":%d,"recall":{"lot":5,"issued":%d}}]}`,
			revision, history, revision, time.Now().UnixMilli())
	}
	waitPurges := func(want int64) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			counts := make(chan int64, len(g.group.cores))
			g.group.onAllCores(func(p *Program) { counts <- p.director.Counters.Purges })
			lowest := want
			for range g.group.cores {
				lowest = min(lowest, <-counts)
			}
			if lowest == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("a core has applied %d purges, want %d", lowest, want)
			}
		}
	}
	g.responses <- purge(9, "a")
	waitPurges(1)
	g.responses <- `{"no":2,"history":"b","items":[]}` // of the new log; the director asks again for all of it
	g.responses <- purge(2, "b")
	waitPurges(2)
	g.responses <- purge(3, "b")
	waitPurges(3)
}

// Guards against a core that takes over the watch and goes to an address that was replaced before.
func TestReloadReachesAllCores(t *testing.T) {
	g := newTestGroup(t, 4, 1)
	moved := g.group.cores[0].prog.config
	moved.Discovery = netip.MustParseAddrPort("127.0.0.1:1")
	g.group.Reload(moved)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		addresses := make(chan netip.AddrPort, len(g.group.cores))
		g.group.onAllCores(func(p *Program) { addresses <- p.watch.addresses[0] })
		all := true
		for range g.group.cores {
			all = <-addresses == moved.Discovery && all
		}
		if all {
			return
		}
		if time.Now().After(end) {
			t.Fatal("a core has the old address")
		}
	}
}
